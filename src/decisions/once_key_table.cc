// Admission, completion and forgetting of keys.

#include <algorithm>
#include <limits>
#include <utility>

#include "mimosagauge/impl/decisions/once/key_table.h"

namespace mimosagauge {
namespace {

using Records = std::unordered_map<KeyFingerprint, KeyRecord>;

KeyEffects Refuse(RequestNumber number, KeyRefusal refusal) {
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
  // Every active key may yet bring an answer of the largest kept size.
  const std::uint64_t reserved =
      (table.active.size() + 1) * table.settings.max_answer.count();
  return table.records.size() < table.settings.max_keys &&
         table.answers.count() + reserved <= table.settings.max_answers.count();
}

void ForgetAt(KeyTable& table, KeyFingerprint key, KeyRecord& record,
              TimePoint when) {
  table.forget_order.erase({record.forget_at, key});
  record.forget_at = when;
  table.forget_order.emplace(when, key);
}

void Erase(KeyTable& table, Records::iterator found) {
  if (found->second.answer) {
    table.answers -= SizeOf(*found->second.answer);
  }
  table.forget_order.erase({found->second.forget_at, found->first});
  table.active.erase(found->first);
  table.records.erase(found);
}

KeyEffects RunNew(KeyTable& table, const KeyedCall& call) {
  KeyRecord record;
  record.content = call.content;
  record.state = KeyState::kRunning;
  record.ticket_expiry = call.ticket_expiry;
  table.records.emplace(call.key, std::move(record));
  table.active.emplace(call.key, ActiveKey{});
  return {RunCall{call.number, call.key}};
}

KeyEffects ClaimNew(KeyTable& table, TimePoint now, const KeyedCall& call) {
  KeyRecord record;
  record.content = call.content;
  record.state = KeyState::kClaiming;
  const auto placed = table.records.emplace(call.key, std::move(record)).first;
  ForgetAt(table, call.key, placed->second, now + table.settings.claim_life);
  table.last_claim = table.last_claim.next();
  table.active.emplace(call.key,
                       ActiveKey{{call.number}, table.last_claim, now});
  return {AskClaim{{call.key, table.self, table.last_claim}}};
}

KeyEffects AdmitNewTicketKey(KeyTable& table, TimePoint now,
                             const KeyedCall& call) {
  const Duration age = now - table.started;
  // Records outlive their ticket by the retention time, so until then the
  // absence of one proves that the key was never sent.
  if (age >= call.ticket_expiry + table.settings.retention) {
    return Refuse(call.number, KeyRefusal::kForgotten);
  }
  if (age >= call.ticket_expiry) {
    return Refuse(call.number, KeyRefusal::kTicketExpired);
  }
  if (table.sealed_at) {
    return Refuse(call.number, KeyRefusal::kStopping);
  }
  if (!HasRoom(table)) {
    return Refuse(call.number, KeyRefusal::kTableFull);
  }
  return RunNew(table, call);
}

KeyEffects AdmitNewKey(KeyTable& table, TimePoint now, const KeyedCall& call) {
  switch (call.route) {
    case KeyRoute::kTicket:
      return AdmitNewTicketKey(table, now, call);
    case KeyRoute::kBound:
      // The claim was this process's, so a record has been here.
      return Refuse(call.number, KeyRefusal::kForgotten);
    case KeyRoute::kEntry:
      break;
  }
  if (table.sealed_at) {
    return Refuse(call.number, KeyRefusal::kClaimUnavailable);
  }
  if (!HasRoom(table)) {
    return Refuse(call.number, KeyRefusal::kTableFull);
  }
  return ClaimNew(table, now, call);
}

KeyEffects Wait(KeyTable& table, const KeyedCall& call, KeyState state) {
  ActiveKey& active = table.active.at(call.key);
  if (active.calls.size() >= table.settings.max_waiting) {
    return Refuse(call.number, KeyRefusal::kTooManyWaiting);
  }
  active.calls.push_back(call.number);
  if (state == KeyState::kClaiming) {
    return {AskClaim{{call.key, table.self, active.claim}}};
  }
  return {};
}

KeyEffects AdmitKnownKey(KeyTable& table, const KeyedCall& call,
                         const KeyRecord& record) {
  if (record.content != call.content) {
    // While the claim is undecided, another process may have run this content.
    return Refuse(call.number, record.state == KeyState::kClaiming
                                   ? KeyRefusal::kTooManyWaiting
                                   : KeyRefusal::kContentDiffers);
  }
  switch (record.state) {
    case KeyState::kClaiming:
    case KeyState::kRunning:
      return Wait(table, call, record.state);
    case KeyState::kUnknown:
      return Refuse(call.number, KeyRefusal::kOutcomeUnknown);
    case KeyState::kClosed:
      return Refuse(call.number, KeyRefusal::kClosed);
    case KeyState::kCompleted:
      break;
  }
  if (!record.answer) {
    return Refuse(call.number, KeyRefusal::kAnswerNotKept);
  }
  return {ReplayAnswer{call.number, record.answer}};
}

// Ends a running key. Returns the calls that waited for it; nothing when the
// key does not run.
std::vector<RequestNumber> Finish(KeyTable& table, TimePoint now,
                                  KeyFingerprint key, KeyState state) {
  const auto found = table.records.find(key);
  if (found == table.records.end() ||
      found->second.state != KeyState::kRunning) {
    return {};
  }
  KeyRecord& record = found->second;
  record.state = state;
  const TimePoint expiry = table.started + record.ticket_expiry;
  ForgetAt(table, key, record,
           std::max(now, expiry) + table.settings.retention);
  const auto active = table.active.find(key);
  std::vector<RequestNumber> calls = std::move(active->second.calls);
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
  if (active.calls.empty() ||
      now >= active.asked_at + table.settings.claim_life) {
    return {};  // It stays claimed; ForgetKeys ends it.
  }
  table.forget_order.erase({record.forget_at, key});
  record.state = KeyState::kRunning;
  const RequestNumber first = active.calls.front();
  active.calls.erase(active.calls.begin());
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

Ticket NextTicket(const KeyTable& table, TimePoint now) noexcept {
  const Duration expiry = now - table.started + table.settings.ticket_life;
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

KeyEffects LearnBinding(KeyTable& table, TimePoint now,
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
  const std::vector<RequestNumber> calls = std::move(active.calls);
  Erase(table, found);
  if (binding.owner == table.self) {
    // An earlier claim of this process: its record has been forgotten.
    return RefuseAll(calls, KeyRefusal::kForgotten);
  }
  return ForwardAll(calls, binding.owner);
}

KeyEffects LearnClaimRefused(KeyTable& table, const ClaimAsk& ask) {
  const auto active = table.active.find(ask.key);
  if (active == table.active.end() || active->second.claim != ask.number ||
      table.records.at(ask.key).state != KeyState::kClaiming) {
    return {};
  }
  return RefuseAll(std::exchange(active->second.calls, {}),
                   KeyRefusal::kClaimUnavailable);
}

KeyEffects RecordCompleted(KeyTable& table, TimePoint now, KeyFingerprint key,
                           RecordedAnswerPtr answer) {
  if (answer && SizeOf(*answer) > table.settings.max_answer) {
    answer = nullptr;
  }
  const auto calls = Finish(table, now, key, KeyState::kCompleted);
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
  return RefuseAll(Finish(table, now, key, KeyState::kUnknown),
                   KeyRefusal::kOutcomeUnknown);
}

KeyEffects RecordNotRun(KeyTable& table, TimePoint now, KeyFingerprint key) {
  return RefuseAll(Finish(table, now, key, KeyState::kClosed),
                   KeyRefusal::kClosed);
}

void AbandonCall(KeyTable& table, KeyFingerprint key, RequestNumber number) {
  const auto active = table.active.find(key);
  if (active != table.active.end()) {
    std::erase(active->second.calls, number);
  }
}

KeyEffects SealKeys(KeyTable& table, TimePoint now) {
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
    const KeyEffects refused =
        RefuseAll(table.active.at(key).calls, KeyRefusal::kClaimUnavailable);
    effects.insert(effects.end(), refused.begin(), refused.end());
    Erase(table, table.records.find(key));
  }
  return effects;
}

KeyEffects ForgetKeys(KeyTable& table, TimePoint now, std::size_t most) {
  KeyEffects effects;
  while (most > 0 && !table.forget_order.empty() &&
         table.forget_order.begin()->first <= now) {
    const KeyFingerprint key = table.forget_order.begin()->second;
    const auto active = table.active.find(key);
    if (active != table.active.end()) {
      const KeyEffects refused =
          RefuseAll(active->second.calls, KeyRefusal::kClaimUnavailable);
      effects.insert(effects.end(), refused.begin(), refused.end());
    }
    Erase(table, table.records.find(key));
    --most;
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
