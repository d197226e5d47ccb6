// Gateway state machine: handlers of request, rules and link events.

#include "mimosagauge/impl/decisions/gateway.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "mimosagauge/impl/decisions/gateway_detail.h"
#include "mimosagauge/impl/decisions/problems.h"
#include "mimosagauge/impl/decisions/rendezvous.h"

namespace mimosagauge {
namespace detail {
namespace {

[[nodiscard]] ::mimosagauge::Place OwnHop(const Gateway& gateway) {
  return {gateway.config.region, gateway.config.instance.value()};
}

[[nodiscard]] bool HasAcceptablePath(const Gateway& gateway,
                                     const RequestHead& head) {
  const auto own_hop = OwnHop(gateway);
  return head.path.size() < kMaxHops &&
         std::find(head.path.begin(), head.path.end(), own_hop) ==
             head.path.end();
}

[[nodiscard]] TimePoint DueTime(const Gateway& gateway, const Verdict& verdict,
                                const RequestHead& head, TimePoint now) {
  Duration due = verdict.due.value_or(gateway.config.limits.default_due);
  if (head.remaining > Duration::zero()) {
    due = std::min(due, head.remaining);
  }
  return now + due;
}

// Bound of the time for which a caller may send the request again if it states
// no deadline.
constexpr Duration kUnstatedDeadline = std::chrono::minutes(1);

[[nodiscard]] TimePoint CallerDueTime(const RequestHead& head, TimePoint due,
                                      TimePoint now) {
  const Duration stated = head.caller_remaining > Duration::zero()
                              ? head.caller_remaining
                              : head.remaining;
  return std::max(due, now + (stated > Duration::zero()
                                  ? std::min(stated, kLongestResumption)
                                  : kUnstatedDeadline));
}

// Refuses a request before it is admitted. It has no entry in `requests` yet,
// so a temporary record is used.
void RefuseArrival(StepContext& context, const RequestArrived& arrival,
                   Problem problem) {
  RequestRecord record;
  record.arrival = arrival;
  ServiceMetrics& metrics = MetricsOf(context.gateway, record);
  ++metrics.requests;
  ++metrics.refused[problem.type];
  // Another instance may already have run a request with this idempotency key.
  if (arrival.head->key) {
    problem.run = Join(problem.run, RunState::kUnknown);
  }
  EmitAnswerPart(context, record, SendProblem{{}, std::move(problem)});
}

}  // namespace

void Handle(StepContext& context, RequestArrived&& arrival) {
  Gateway& gateway = context.gateway;
  if (gateway.refusing_requests) {
    return RefuseArrival(context, arrival, Stopping(RunState::kNotRun));
  }
  if (!HasRoutingRules(gateway)) {
    return RefuseArrival(context, arrival, NotReady());
  }
  if (gateway.catalogue != nullptr && arrival.origin == Origin::kLink &&
      gateway.catalogue->revision < arrival.head->revision) {
    return RefuseArrival(context, arrival, OlderConfiguration());
  }
  if (!HasAcceptablePath(gateway, *arrival.head)) {
    return RefuseArrival(context, arrival, PathRefused(*arrival.head));
  }
  if (gateway.requests.size() >= gateway.config.limits.requests) {
    return RefuseArrival(context, arrival, Overloaded(RunState::kNotRun));
  }
  if (auto problem = AuthenticateArrival(context, arrival)) {
    return RefuseArrival(context, arrival, std::move(*problem));
  }
  RequestRecord record;
  record.arrived = context.now;
  record.route_draw = std::uniform_real_distribution<double>()(gateway.random);
  record.last_event_id = arrival.head->resume_after;
  record.runs = arrival.head->runs;
  record.software = arrival.head->software;
  record.visited = arrival.head->path;
  record.visited.push_back(OwnHop(gateway));
  record.arrival = std::move(arrival);
  record.verdict = VerdictFor(gateway, record);
  record.due =
      DueTime(gateway, record.verdict, *record.arrival.head, context.now);
  record.caller_due =
      CallerDueTime(*record.arrival.head, record.due, context.now);
  const RequestNumber number = record.arrival.number;
  ++MetricsOf(gateway, record).requests;
  gateway.deadlines.emplace(record.due, number);
  gateway.requests.emplace(number, std::move(record));
  ServeUnderAllowance(context, number);
}

void Handle(StepContext& context, RequestAbandoned&& event) {
  RequestRecord* record = FindRequest(context.gateway, event.number);
  if (record == nullptr) {
    // The answer's end and the abandonment have crossed each other.
    RemoveUnwritten(context.gateway.unwritten, {event.number, false});
    return;
  }
  if (!record->keyed) {
    LogRequestEnd(context, *record, log_events::kRequestAbandoned, 0, "");
    return RemoveRequest(context, event.number);
  }
  record->detached = true;
  if (!record->keyed->is_runner || !record->running) {
    return RefuseOrAbort(context, *record, Stopping(record->outcome.run));
  }
  // The attempt continues, so that a resend of the request gets its answer. The
  // bytes that will not be consumed any more are granted as credit.
  GrantAttemptCredit(context, *record, record->unconsumed);
  record->unconsumed = Bytes{};
}

void Handle(StepContext& context, AnswersWritten&& event) {
  for (const WrittenAnswer& written : event.answers) {
    RemoveUnwritten(context.gateway.unwritten, written);
  }
}

void Handle(StepContext& context, AnswerConsumed&& event) {
  RequestRecord* record = FindRequest(context.gateway, event.number);
  if (record == nullptr) {
    return;
  }
  record->unconsumed -= event.bytes;
  GrantAttemptCredit(context, *record, event.bytes);
}

void Handle(StepContext& context, RulesReceived&& event) {
  Apply(context,
        AdoptRulesFromStore(context.gateway.spread, std::move(event.rules)));
}

void Apply(StepContext& context, RulesGossipOutput&& output) {
  if (output.adopted != nullptr) {
    context.gateway.rules = std::move(output.adopted);
    context.gateway.last_view_at = TimePoint{};
    context.gateway.all_services_freed = true;
  }
  for (AddressedRulesMessage& message : output.messages) {
    context.effects.emplace_back(ForLinks{SendGossip{
        std::move(message.to), EncodeRulesMessage(message.message)}});
  }
  if (!output.faults.empty()) {
    const RuleFault& fault = output.faults.front();
    context.effects.emplace_back(
        WriteLog{log_events::kRulesDamaged, {{"detail", fault.message}}});
  }
}

void Handle(StepContext& context, LinkChanged&& event) {
  if (PeerState* peer = FindPeer(context.gateway, event.instance)) {
    peer->up = event.up;
    peer->leaving_since =
        event.leaving ? std::optional(context.now) : std::nullopt;
  }
  if (!event.up && context.gateway.catalogue != nullptr) {
    MaintainLinks(context);
  }
  SetAllowanceLink(context, event.instance, event.up);
  UpdateInstanceShares(context.gateway);
  UpdateCoordinators(context.gateway, event.up ? event.instance : InstanceId{});
  const PeerState* peer = FindPeer(context.gateway, event.instance);
  if (peer != nullptr && !peer->up && !peer->leaving_since && !peer->listed) {
    Handle(context, InstanceRemoved{event.instance});
  }
  context.gateway.all_services_freed = true;
  Apply(context,
        SetMemberReachable(context.gateway.spread, event.instance, event.up));
}

void Handle(StepContext& context, GossipReceived&& event) {
  const Result<RulesMessage> message = DecodeRulesMessage(event.bytes);
  if (!message) {
    ++context.gateway.metrics.discarded;
    return;
  }
  Apply(context, HandleRulesMessage(context.gateway.spread, event.from,
                                    message.value(), context.now));
}

void Handle(StepContext& context, ClaimStoreAnswered&& event) {
  Apply(context,
        HandleStoreEvent(context.gateway.claims, context.now, event.answer));
}

void Handle(StepContext& context, Tick&&) {
  // An ejection ends when its time is over, without an event, so requests that
  // wait for any service are tried again on each tick.
  context.gateway.all_services_freed = true;
  SearchForPoison(context);
  SendHealthRequests(context);
  Apply(context, RemoveExpiredKeys(context.gateway.keys, context.now));
  Apply(context, TickClaims(context.gateway.claims, context.now));
  Apply(context, TickRulesGossip(context.gateway.spread, context.now));
  TickAllowances(context);
}

ServiceMetrics& MetricsOf(Gateway& gateway, const RequestRecord& record) {
  const ServiceId& service = record.verdict.service;
  const bool known = gateway.upstreams.services.contains(service);
  static const ServiceId kOther("other");
  return gateway.metrics.services[known ? service : kOther];
}

RequestRecord* FindRequest(Gateway& gateway, RequestNumber number) noexcept {
  const auto found = gateway.requests.find(number);
  return found == gateway.requests.end() ? nullptr : &found->second;
}

bool HasRoutingRules(const Gateway& gateway) noexcept {
  return gateway.catalogue != nullptr || gateway.rules != nullptr;
}

Verdict VerdictFor(const Gateway& gateway, const RequestRecord& record) {
  const RequestHead& head = *record.arrival.head;
  if (gateway.catalogue == nullptr) {
    return DecideByRules(*gateway.rules, TraitsOf(head));
  }
  const Route* route = RouteOf(*gateway.catalogue, head);
  if (route == nullptr) {
    return {};
  }
  Verdict verdict = MakeVerdict(*route, head, record.route_draw);
  ApplyAccount(gateway, head, verdict);
  return verdict;
}

PeerState* FindPeer(Gateway& gateway, const InstanceId& id) noexcept {
  const auto found = std::find_if(
      gateway.peers.begin(), gateway.peers.end(),
      [&id](const PeerState& peer) { return peer.config.id == id; });
  return found == gateway.peers.end() ? nullptr : &*found;
}

}  // namespace detail

namespace {

// Derived from the seed without drawing from the random numbers, so that other
// decisions do not depend on whether allowances are enforced.
[[nodiscard]] std::uint64_t FirstAllowanceNonce(std::uint64_t seed) {
  return RendezvousWeight(seed, "allowances");
}

}  // namespace

Gateway MakeGateway(GatewayConfig config, TimePoint now, std::uint64_t seed) {
  Gateway gateway;
  gateway.keys = MakeKeyTable(config.self, now);
  gateway.poison.self = config.instance;
  gateway.upstreams = MakeUpstreamTable(config.upstreams);
  for (const PeerConfig& peer : config.peers) {
    gateway.peers.emplace_back().config = peer;
  }
  gateway.waiting.capacity = config.limits.queued;
  gateway.confirmation =
      MakeConfirmation(config.strict_revocation, config.self.nonce);
  gateway.metrics.accounts.strict = IsStrict(gateway.confirmation);
  gateway.config = std::move(config);
  gateway.random.seed(seed);
  gateway.upstreams.speeds = gateway.config.speeds;
  gateway.spread = MakeRulesGossip({}, seed);
  if (gateway.config.placement.coordinated != PlacementMode::kNever) {
    gateway.placement.last_number = PlacementNumber{std::mt19937_64{seed}()};
  }
  gateway.allowances =
      MakeAllowances(gateway.config.instance, gateway.config.region,
                     gateway.config.allowances, now, FirstAllowanceNonce(seed));
  return gateway;
}

std::vector<Effect> Step(Gateway& gateway, TimePoint now, Event event) {
  std::vector<Effect> effects;
  detail::StepContext context{gateway, now, effects};
  detail::ExpireRequests(context);
  std::visit(
      [&context](auto&& typed) {
        detail::Handle(context, std::forward<decltype(typed)>(typed));
      },
      std::move(event));
  // Drains before dispatching, so that no attempt is started only to be
  // cancelled.
  detail::ContinueDrain(context);
  detail::Dispatch(context);
  detail::CoordinatePlacement(context);
  // After dispatching, so that a waiting request gets a free slot first.
  detail::StartDueHedges(context);
  detail::SendLoadDigests(context);
  detail::SendTrafficMessages(context);
  detail::MaintainStreams(context);
  detail::MaintainConfirmation(context);
  detail::PublishViews(context);
  return effects;
}

}  // namespace mimosagauge
