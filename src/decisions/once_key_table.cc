// Admission, completion and expiry of keys.

#include <algorithm>
#include <limits>
#include <utility>

#include "mimosagauge/impl/decisions/once/key_table.h"

namespace mimosagauge {
namespace {

using KeyRecords = std::unordered_map<KeyFingerprint, KeyRecord>;

KeyEffects RefuseOne(RequestNumber number, KeyRefusal refusal) {
  return {RefuseCall{number, refusal}};
}

KeyEffects RefuseAll(const std::vector<RequestNumber>& calls,
                     KeyRefusal refusal) {
  KeyEffects effects;
  for (const RequestNumber number : calls) {
    effects.emplace_back(RefuseCall{number, refusal});
  }
  return effects;
}

bool HasRoom(const KeyTable& table) noexcept {
  // Every active key may still add an answer of the maximum size.
  const std::uint64_t reserved =
      (table.active.size() + 1) * table.settings.max_answer_size.count();
  return table.records.size() < table.settings.max_keys &&
         table.answers.count() + reserved <=
             table.settings.max_total_answer_size.count();
}

void SetExpiry(KeyTable& table, KeyFingerprint key, KeyRecord& record,
               TimePoint when) {
  table.expiry_order.erase({record.expires_at, key});
  record.expires_at = when;
  table.expiry_order.emplace(when, key);
}

void EraseRecord(KeyTable& table, KeyRecords::iterator found) {
  if (found->second.answer) {
    table.answers -= SizeOf(*found->second.answer);
  }
  table.expiry_order.erase({found->second.expires_at, found->first});
  table.active.erase(found->first);
  table.records.erase(found);
}

KeyEffects RunNewKey(KeyTable& table, const KeyedCall& call) {
  KeyRecord record;
  record.content = call.content;
  record.state = KeyState::kRunning;
  record.ticket_expiry = call.ticket_expiry;
  table.records.emplace(call.key, std::move(record));
  table.active.emplace(call.key, ActiveKey{});
  return {RunCall{call.number, call.key}};
}

KeyEffects ClaimNewKey(KeyTable& table, TimePoint now, const KeyedCall& call) {
  KeyRecord record;
  record.content = call.content;
  record.state = KeyState::kClaiming;
  const auto inserted =
      table.records.emplace(call.key, std::move(record)).first;
  SetExpiry(table, call.key, inserted->second,
            now + table.settings.claim_lifetime);
  table.last_claim = table.last_claim.next();
  table.active.emplace(call.key,
                       ActiveKey{{call.number}, table.last_claim, now});
  return {SendClaimRequest{{call.key, table.self, table.last_claim}}};
}

KeyEffects AdmitNewTicketKey(KeyTable& table, TimePoint now,
                             const KeyedCall& call) {
  const Duration age = now - table.started;
  // Records are kept for the retention time after their ticket expires. Until
  // then, a missing record proves that the key was never sent.
  if (age >= call.ticket_expiry + table.settings.retention) {
    return RefuseOne(call.number, KeyRefusal::kRecordExpired);
  }
  if (age >= call.ticket_expiry) {
    return RefuseOne(call.number, KeyRefusal::kTicketExpired);
  }
  if (table.sealed_at) {
    return RefuseOne(call.number, KeyRefusal::kOwnerStopping);
  }
  if (!HasRoom(table)) {
    return RefuseOne(call.number, KeyRefusal::kTableFull);
  }
  return RunNewKey(table, call);
}

KeyEffects AdmitNewKey(KeyTable& table, TimePoint now, const KeyedCall& call) {
  switch (call.route) {
    case KeyRoute::kTicket:
      return AdmitNewTicketKey(table, now, call);
    case KeyRoute::kBound:
      // The store binds the key to this process, so this table had a record of
      // it.
      return RefuseOne(call.number, KeyRefusal::kRecordExpired);
    case KeyRoute::kEntry:
      break;
  }
  if (table.sealed_at) {
    return RefuseOne(call.number, KeyRefusal::kClaimUnavailable);
  }
  if (!HasRoom(table)) {
    return RefuseOne(call.number, KeyRefusal::kTableFull);
  }
  return ClaimNewKey(table, now, call);
}

KeyEffects WaitForResult(KeyTable& table, const KeyedCall& call,
                         KeyState state) {
  ActiveKey& active = table.active.at(call.key);
  if (active.max_waiting_calls.size() >= table.settings.max_waiting) {
    return RefuseOne(call.number, KeyRefusal::kTooManyWaiting);
  }
  active.max_waiting_calls.push_back(call.number);
  if (state == KeyState::kClaiming) {
    return {SendClaimRequest{{call.key, table.self, active.claim}}};
  }
  return {};
}

KeyEffects AdmitKnownKey(KeyTable& table, const KeyedCall& call,
                         const KeyRecord& record) {
  if (record.content != call.content) {
    // Another process may have run this content while the claim is undecided.
    return RefuseOne(call.number, record.state == KeyState::kClaiming
                                      ? KeyRefusal::kTooManyWaiting
                                      : KeyRefusal::kContentDiffers);
  }
  switch (record.state) {
    case KeyState::kClaiming:
    case KeyState::kRunning:
      return WaitForResult(table, call, record.state);
    case KeyState::kUnknown:
      return RefuseOne(call.number, KeyRefusal::kOutcomeUnknown);
    case KeyState::kClosed:
      return RefuseOne(call.number, KeyRefusal::kClosed);
    case KeyState::kCompleted:
      break;
  }
  if (!record.answer) {
    return RefuseOne(call.number, KeyRefusal::kAnswerNotKept);
  }
  return {ReplayAnswer{call.number, record.answer}};
}

// Ends a running key in the given state. Returns the calls that waited for it;
// none when the key is not running.
std::vector<RequestNumber> FinishRunningKey(KeyTable& table, TimePoint now,
                                            KeyFingerprint key,
                                            KeyState state) {
  const auto found = table.records.find(key);
  if (found == table.records.end() ||
      found->second.state != KeyState::kRunning) {
    return {};
  }
  KeyRecord& record = found->second;
  record.state = state;
  const TimePoint expiry = table.started + record.ticket_expiry;
  SetExpiry(table, key, record,
            std::max(now, expiry) + table.settings.retention);
  const auto active = table.active.find(key);
  std::vector<RequestNumber> calls =
      std::move(active->second.max_waiting_calls);
  table.active.erase(active);
  return calls;
}

KeyEffects ForwardAll(const std::vector<RequestNumber>& calls,
                      const KeyOwner& owner) {
  KeyEffects effects;
  for (const RequestNumber number : calls) {
    effects.emplace_back(ForwardCall{number, owner});
  }
  return effects;
}

KeyEffects RunClaimed(KeyTable& table, TimePoint now, KeyFingerprint key,
                      KeyRecord& record, ActiveKey& active) {
  if (active.max_waiting_calls.empty() ||
      now >= active.first_claimed_at + table.settings.claim_lifetime) {
    return {};  // The key remains kClaiming until RemoveExpiredKeys removes it.
  }
  table.expiry_order.erase({record.expires_at, key});
  record.state = KeyState::kRunning;
  const RequestNumber first = active.max_waiting_calls.front();
  active.max_waiting_calls.erase(active.max_waiting_calls.begin());
  return {RunCall{first, key}};
}

}  // namespace

KeyTable MakeKeyTable(KeyOwner self, TimePoint now,
                      const KeyTableSettings& settings) {
  KeyTable table;
  table.self = std::move(self);
  table.settings = settings;
  table.started = now;
  return table;
}

Ticket MakeTicket(const KeyTable& table, TimePoint now) noexcept {
  const Duration expiry = now - table.started + table.settings.ticket_lifetime;
  return {table.self,
          std::chrono::duration_cast<std::chrono::milliseconds>(expiry)};
}

KeyEffects AdmitCall(KeyTable& table, TimePoint now, const KeyedCall& call) {
  const auto found = table.records.find(call.key);
  if (found == table.records.end()) {
    return AdmitNewKey(table, now, call);
  }
  return AdmitKnownKey(table, call, found->second);
}

KeyEffects ApplyClaimBinding(KeyTable& table, TimePoint now,
                             const ClaimBinding& binding) {
  const auto found = table.records.find(binding.key);
  if (found == table.records.end() ||
      found->second.state != KeyState::kClaiming) {
    return {};
  }
  ActiveKey& active = table.active.at(binding.key);
  if (binding.owner == table.self && binding.number == active.claim) {
    return RunClaimed(table, now, binding.key, found->second, active);
  }
  const std::vector<RequestNumber> calls = std::move(active.max_waiting_calls);
  EraseRecord(table, found);
  if (binding.owner == table.self) {
    // The binding is an earlier claim of this process, whose record has been
    // removed since.
    return RefuseAll(calls, KeyRefusal::kRecordExpired);
  }
  return ForwardAll(calls, binding.owner);
}

KeyEffects ApplyClaimRefusal(KeyTable& table, const ClaimAsk& ask) {
  const auto active = table.active.find(ask.key);
  if (active == table.active.end() || active->second.claim != ask.number ||
      table.records.at(ask.key).state != KeyState::kClaiming) {
    return {};
  }
  return RefuseAll(std::exchange(active->second.max_waiting_calls, {}),
                   KeyRefusal::kClaimUnavailable);
}

KeyEffects RecordCompleted(KeyTable& table, TimePoint now, KeyFingerprint key,
                           RecordedAnswerPtr answer) {
  if (answer && SizeOf(*answer) > table.settings.max_answer_size) {
    answer = nullptr;
  }
  const auto calls = FinishRunningKey(table, now, key, KeyState::kCompleted);
  const auto found = table.records.find(key);
  if (found == table.records.end() ||
      found->second.state != KeyState::kCompleted || found->second.answer) {
    return {};
  }
  if (!answer) {
    return RefuseAll(calls, KeyRefusal::kAnswerNotKept);
  }
  found->second.answer = answer;
  table.answers += SizeOf(*answer);
  KeyEffects effects;
  for (const RequestNumber number : calls) {
    effects.emplace_back(ReplayAnswer{number, answer});
  }
  return effects;
}

KeyEffects RecordUnknown(KeyTable& table, TimePoint now, KeyFingerprint key) {
  return RefuseAll(FinishRunningKey(table, now, key, KeyState::kUnknown),
                   KeyRefusal::kOutcomeUnknown);
}

KeyEffects RecordNotRun(KeyTable& table, TimePoint now, KeyFingerprint key) {
  return RefuseAll(FinishRunningKey(table, now, key, KeyState::kClosed),
                   KeyRefusal::kClosed);
}

void AbandonCall(KeyTable& table, KeyFingerprint key, RequestNumber number) {
  const auto active = table.active.find(key);
  if (active != table.active.end()) {
    std::erase(active->second.max_waiting_calls, number);
  }
}

KeyEffects SealKeyTable(KeyTable& table, TimePoint now) {
  if (!table.sealed_at) {
    table.sealed_at = now;
  }
  KeyEffects effects;
  std::vector<KeyFingerprint> claiming;
  for (const auto& [key, active] : table.active) {
    if (table.records.at(key).state == KeyState::kClaiming) {
      claiming.push_back(key);
    }
  }
  for (const KeyFingerprint key : claiming) {
    const KeyEffects refused = RefuseAll(table.active.at(key).max_waiting_calls,
                                         KeyRefusal::kClaimUnavailable);
    effects.insert(effects.end(), refused.begin(), refused.end());
    EraseRecord(table, table.records.find(key));
  }
  return effects;
}

KeyEffects RemoveExpiredKeys(KeyTable& table, TimePoint now,
                             std::size_t max_removals) {
  KeyEffects effects;
  while (max_removals > 0 && !table.expiry_order.empty() &&
         table.expiry_order.begin()->first <= now) {
    const KeyFingerprint key = table.expiry_order.begin()->second;
    const auto active = table.active.find(key);
    if (active != table.active.end()) {
      const KeyEffects refused = RefuseAll(active->second.max_waiting_calls,
                                           KeyRefusal::kClaimUnavailable);
      effects.insert(effects.end(), refused.begin(), refused.end());
    }
    EraseRecord(table, table.records.find(key));
    --max_removals;
  }
  return effects;
}

Bytes SizeOf(const RecordedAnswer& answer) noexcept {
  std::uint64_t size = sizeof(RecordedAnswer) + answer.body.size();
  for (const Header& header : answer.head.headers) {
    size += sizeof(Header) + header.name.size() + header.value.size();
  }
  for (const Place& place : answer.head.path) {
    size += sizeof(Place) + place.region.value().size() + place.name.size();
  }
  return Bytes{size};
}

}  // namespace mimosagauge
