// Gateway state machine: requests with idempotency keys. Decides which instance
// runs them and records the results in the key table.

#include <string>
#include <utility>
#include <variant>

#include "mimosagauge/impl/decisions/gateway_detail.h"
#include "mimosagauge/impl/decisions/once/handover.h"
#include "mimosagauge/impl/decisions/once/key_refusal.h"
#include "mimosagauge/impl/decisions/once/ticket.h"

namespace mimosagauge::detail {
namespace {

// Refuses a request for a reason that comes from its key. The key table is not
// updated.
void RefuseKey(StepContext& context, RequestRecord& record,
               KeyRefusal refusal) {
  record.keyed.reset();
  Problem problem = ProblemFor(refusal);
  record.outcome.run = Join(record.outcome.run, problem.run);
  RefuseOrAbort(context, record, std::move(problem));
}

[[nodiscard]] const PeerConfig* FindReachablePeer(const Gateway& gateway,
                                                  const InstanceId& id) {
  for (const PeerState& peer : gateway.peers) {
    if (peer.config.id == id && peer.up) {
      return &peer.config;
    }
  }
  return nullptr;
}

// Forwards a keyed request to the owner of its key. Only the instance that
// received the request from a caller does so; an instance that received it as
// the supposed owner, but is not the owner, refuses it.
void ForwardToOwner(StepContext& context, RequestRecord& record,
                    const InstanceId& owner) {
  const PeerConfig* peer = FindReachablePeer(context.gateway, owner);
  const bool allowed = record.arrival.origin == Origin::kCaller &&
                       peer != nullptr && IsPeerAllowed(record, *peer);
  if (!allowed) {
    return RefuseKey(context, record, KeyRefusal::kOwnerUnreachable);
  }
  record.keyed->forwarded = true;
  StartOnInstance(context, record, *peer);
}

[[nodiscard]] std::vector<InstanceId> ReachablePeers(const Gateway& gateway) {
  std::vector<InstanceId> reachable;
  for (const PeerState& peer : gateway.peers) {
    if (peer.up) {
      reachable.push_back(peer.config.id);
    }
  }
  return reachable;
}

[[nodiscard]] KeyedCall KeyedCallOf(const RequestRecord& record,
                                    ContentFingerprint content) {
  KeyedCall call;
  call.number = record.arrival.number;
  call.key = record.keyed->key;
  call.content = content;
  call.route = record.arrival.origin == Origin::kCaller ? KeyRoute::kEntry
                                                        : KeyRoute::kBound;
  return call;
}

void AdmitUnderTicket(StepContext& context, RequestRecord& record,
                      KeyedCall call, const Ticket& ticket) {
  Gateway& gateway = context.gateway;
  const std::vector<InstanceId> reachable = ReachablePeers(gateway);
  const OwnerLocation place =
      LocateOwner(ticket.owner, gateway.keys.self, {}, {}, reachable);
  if (std::holds_alternative<OwnedLocally>(place)) {
    call.route = KeyRoute::kTicket;
    call.ticket_expiry = ticket.expiry;
    return Apply(context, AdmitCall(gateway.keys, context.now, call));
  }
  if (const auto* other = std::get_if<ForwardToInstance>(&place)) {
    return ForwardToOwner(context, record, other->instance);
  }
  RefuseKey(context, record, KeyRefusal::kOwnerUnreachable);
}

void SendRecordedAnswer(StepContext& context, RequestRecord& record,
                        const RecordedAnswer& answer) {
  if (!Advance(record.outcome, AnswerPhase::kClosed)) {
    return;
  }
  record.keyed.reset();
  ++MetricsOf(context.gateway, record).answered;
  EmitAnswerPart(context, record, SendAnswerHead{{}, answer.head});
  if (!answer.body.empty()) {
    EmitAnswerPart(context, record,
                   SendAnswerBody{{}, answer.body, std::nullopt});
  }
  EmitAnswerPart(context, record, SendAnswerEnd{});
  RemoveRequest(context, record.arrival.number);
}

// Carries out one effect of the key table; one overload for each type.
void Execute(StepContext& context, const RunCall& effect) {
  RequestRecord* record = FindRequest(context.gateway, effect.number);
  if (record == nullptr) {
    return Apply(context,
                 RecordNotRun(context.gateway.keys, context.now, effect.key));
  }
  record->keyed->is_runner = true;
  PlaceRequest(context, effect.number);
}

void Execute(StepContext& context, const SendClaimRequest& effect) {
  Apply(context, RequestClaim(context.gateway.claims, context.now, effect.ask));
}

void Execute(StepContext& context, const ForwardCall& effect) {
  if (RequestRecord* record = FindRequest(context.gateway, effect.number)) {
    ForwardToOwner(context, *record, effect.owner.instance);
  }
}

void Execute(StepContext& context, const ReplayAnswer& effect) {
  if (RequestRecord* record = FindRequest(context.gateway, effect.number)) {
    SendRecordedAnswer(context, *record, *effect.answer);
  }
}

void Execute(StepContext& context, const RefuseCall& effect) {
  if (RequestRecord* record = FindRequest(context.gateway, effect.number)) {
    RefuseKey(context, *record, effect.refusal);
  }
}

// Carries out one effect of the claim committer; one overload for each type.
void Execute(StepContext& context, const LoadSlot& effect) {
  context.effects.emplace_back(ForPlatform{effect});
}

void Execute(StepContext& context, const CommitClaims& effect) {
  context.effects.emplace_back(ForPlatform{effect});
}

void Execute(StepContext& context, const AnswerClaim& effect) {
  Apply(context,
        ApplyClaimBinding(context.gateway.keys, context.now, effect.binding));
}

void Execute(StepContext& context, const RefuseClaim& effect) {
  Apply(context, ApplyClaimRefusal(context.gateway.keys, effect.ask));
}

}  // namespace

void AdmitKeyed(StepContext& context, RequestNumber number) {
  Gateway& gateway = context.gateway;
  RequestRecord& record = gateway.requests.at(number);
  const RequestHead& head = *record.arrival.head;
  record.keyed.emplace();
  record.keyed->key =
      FingerprintOf(gateway.config.hash, head.account, *head.key);
  const Result<ContentFingerprint> content = FingerprintOf(head.digest);
  const KeyKind kind =
      ClassifyKey(gateway.config.ticket_secrets, head.account, *head.key);
  if (!content || std::holds_alternative<MalformedKey>(kind)) {
    return RefuseKey(context, record, KeyRefusal::kMalformedKey);
  }
  if (std::holds_alternative<UnverifiedTicketKey>(kind)) {
    return RefuseKey(context, record, KeyRefusal::kUnverifiedTicket);
  }
  KeyedCall call = KeyedCallOf(record, content.value());
  if (const auto* ticket_key = std::get_if<TicketKey>(&kind)) {
    return AdmitUnderTicket(context, record, call, ticket_key->ticket);
  }
  Apply(context, AdmitCall(gateway.keys, context.now, call));
}

void RecordKeyOutcome(StepContext& context, RequestRecord& record) {
  if (!record.keyed) {
    return;
  }
  const KeyedState keyed = std::move(*record.keyed);
  record.keyed.reset();
  KeyTable& keys = context.gateway.keys;
  if (!keyed.is_runner) {
    return AbandonCall(keys, keyed.key, record.arrival.number);
  }
  if (record.outcome.run == RunState::kNotRun) {
    return Apply(context, RecordNotRun(keys, context.now, keyed.key));
  }
  const bool completed = record.completed;
  Apply(context, completed ? RecordCompleted(keys, context.now, keyed.key,
                                             keyed.recording)
                           : RecordUnknown(keys, context.now, keyed.key));
}

void Apply(StepContext& context, KeyEffects&& effects) {
  for (const KeyEffect& effect : effects) {
    std::visit([&context](const auto& typed) { Execute(context, typed); },
               effect);
  }
}

void Apply(StepContext& context, ClaimEffects&& effects) {
  for (const ClaimEffect& effect : effects) {
    std::visit([&context](const auto& typed) { Execute(context, typed); },
               effect);
  }
}

}  // namespace mimosagauge::detail
