// Keyed requests: who may run them, and what becomes of their keys.

#include <string>
#include <utility>
#include <variant>

#include "mimosagauge/impl/decisions/gateway_detail.h"
#include "mimosagauge/impl/decisions/once/handover.h"
#include "mimosagauge/impl/decisions/once/key_refusal.h"
#include "mimosagauge/impl/decisions/once/ticket.h"

namespace mimosagauge::detail {
namespace {

// Refuses with what the key table knows; the table needs no word about it.
void RefuseKey(Turn& turn, RequestRecord& record, KeyRefusal refusal) {
  record.keyed.reset();
  Problem problem = ProblemFor(refusal);
  record.outcome.run = Join(record.outcome.run, problem.run);
  Refuse(turn, record, std::move(problem));
}

[[nodiscard]] const PeerConfig* FindLinked(const Gateway& gateway,
                                           const InstanceId& id) {
  for (const PeerState& peer : gateway.peers) {
    if (peer.config.id == id && peer.up) {
      return &peer.config;
    }
  }
  return nullptr;
}

// Only the instance that a caller asked asks the owner; one that was asked as
// the owner and is not has no further to go.
void ForwardToOwner(Turn& turn, RequestRecord& record,
                    const InstanceId& owner) {
  const PeerConfig* peer = FindLinked(turn.gateway, owner);
  const bool may = record.arrival.origin == Origin::kCaller &&
                   peer != nullptr && MayGoTo(record, *peer);
  if (!may) {
    return RefuseKey(turn, record, KeyRefusal::kOwnerGone);
  }
  record.keyed->forwarded = true;
  StartOnInstance(turn, record, *peer);
}

[[nodiscard]] std::vector<InstanceId> Reachable(const Gateway& gateway) {
  std::vector<InstanceId> live;
  for (const PeerState& peer : gateway.peers) {
    if (peer.up) {
      live.push_back(peer.config.id);
    }
  }
  return live;
}

[[nodiscard]] KeyedCall CallOf(const RequestRecord& record,
                               ContentFingerprint content) {
  KeyedCall call;
  call.number = record.arrival.number;
  call.key = record.keyed->key;
  call.content = content;
  call.route = record.arrival.origin == Origin::kCaller ? KeyRoute::kEntry
                                                        : KeyRoute::kBound;
  return call;
}

void AdmitUnderTicket(Turn& turn, RequestRecord& record, KeyedCall call,
                      const Ticket& ticket) {
  Gateway& gateway = turn.gateway;
  const std::vector<InstanceId> live = Reachable(gateway);
  const OwnerPlace place =
      PlaceOf(ticket.owner, gateway.keys.self, {}, {}, live);
  if (std::holds_alternative<OwnedHere>(place)) {
    call.route = KeyRoute::kTicket;
    call.ticket_expiry = ticket.expiry;
    return Apply(turn, AdmitCall(gateway.keys, turn.now, call));
  }
  if (const auto* other = std::get_if<AskInstance>(&place)) {
    return ForwardToOwner(turn, record, other->instance);
  }
  RefuseKey(turn, record, KeyRefusal::kOwnerGone);
}

void Replay(Turn& turn, RequestRecord& record, const RecordedAnswer& answer) {
  if (!Advance(record.outcome, AnswerPhase::kClosed)) {
    return;
  }
  record.keyed.reset();
  ++MetricsOf(turn.gateway, record).answered;
  Answer(turn, record, SendAnswerHead{{}, answer.head});
  if (!answer.body.empty()) {
    Answer(turn, record, SendAnswerBody{{}, answer.body, std::nullopt});
  }
  Answer(turn, record, SendAnswerEnd{});
  Close(turn, record.arrival.number);
}

// One overload for each effect of the key table.
void Carry(Turn& turn, const RunCall& effect) {
  RequestRecord* record = FindRequest(turn.gateway, effect.number);
  if (record == nullptr) {
    return Apply(turn, RecordNotRun(turn.gateway.keys, turn.now, effect.key));
  }
  record->keyed->runs = true;
  Place(turn, effect.number);
}

void Carry(Turn& turn, const AskClaim& effect) {
  Apply(turn, AskForClaim(turn.gateway.claims, turn.now, effect.ask));
}

void Carry(Turn& turn, const ForwardCall& effect) {
  if (RequestRecord* record = FindRequest(turn.gateway, effect.number)) {
    ForwardToOwner(turn, *record, effect.owner.instance);
  }
}

void Carry(Turn& turn, const ReplayAnswer& effect) {
  if (RequestRecord* record = FindRequest(turn.gateway, effect.number)) {
    Replay(turn, *record, *effect.answer);
  }
}

void Carry(Turn& turn, const RefuseCall& effect) {
  if (RequestRecord* record = FindRequest(turn.gateway, effect.number)) {
    RefuseKey(turn, *record, effect.refusal);
  }
}

// One overload for each effect of the claim committer.
void Carry(Turn& turn, const LoadSlot& effect) {
  turn.effects.emplace_back(ForPlatform{effect});
}

void Carry(Turn& turn, const CommitClaims& effect) {
  turn.effects.emplace_back(ForPlatform{effect});
}

void Carry(Turn& turn, const AnswerClaim& effect) {
  Apply(turn, LearnBinding(turn.gateway.keys, turn.now, effect.binding));
}

void Carry(Turn& turn, const RefuseClaim& effect) {
  Apply(turn, LearnClaimRefused(turn.gateway.keys, effect.ask));
}

}  // namespace

void AdmitKeyed(Turn& turn, RequestNumber number) {
  Gateway& gateway = turn.gateway;
  RequestRecord& record = gateway.requests.at(number);
  const RequestHead& head = *record.arrival.head;
  record.keyed.emplace();
  record.keyed->key =
      FingerprintOf(gateway.config.hash, head.account, *head.key);
  const Result<ContentFingerprint> content = FingerprintOf(head.digest);
  const KeyKind kind =
      ClassifyKey(gateway.config.ticket_secrets, head.account, *head.key);
  if (!content || std::holds_alternative<MalformedKey>(kind)) {
    return RefuseKey(turn, record, KeyRefusal::kMalformedKey);
  }
  if (std::holds_alternative<ForeignKey>(kind)) {
    return RefuseKey(turn, record, KeyRefusal::kForeignTicket);
  }
  KeyedCall call = CallOf(record, content.value());
  if (const auto* under = std::get_if<TicketKey>(&kind)) {
    return AdmitUnderTicket(turn, record, call, under->ticket);
  }
  Apply(turn, AdmitCall(gateway.keys, turn.now, call));
}

void SettleKey(Turn& turn, RequestRecord& record) {
  if (!record.keyed) {
    return;
  }
  const KeyedState keyed = std::move(*record.keyed);
  record.keyed.reset();
  KeyTable& keys = turn.gateway.keys;
  if (!keyed.runs) {
    return AbandonCall(keys, keyed.key, record.arrival.number);
  }
  if (record.outcome.run == RunState::kNotRun) {
    return Apply(turn, RecordNotRun(keys, turn.now, keyed.key));
  }
  const bool whole = record.whole;
  Apply(turn, whole
                  ? RecordCompleted(keys, turn.now, keyed.key, keyed.recording)
                  : RecordUnknown(keys, turn.now, keyed.key));
}

void Apply(Turn& turn, KeyEffects&& effects) {
  for (const KeyEffect& effect : effects) {
    std::visit([&turn](const auto& typed) { Carry(turn, typed); }, effect);
  }
}

void Apply(Turn& turn, ClaimEffects&& effects) {
  for (const ClaimEffect& effect : effects) {
    std::visit([&turn](const auto& typed) { Carry(turn, typed); }, effect);
  }
}

}  // namespace mimosagauge::detail
