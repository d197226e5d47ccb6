// Gateway state machine: choice of the placement coordinators, this instance
// as one of them, and the exchange of messages about placement.

#include <algorithm>
#include <utility>
#include <vector>

#include "mimosagauge/impl/decisions/coordination/selection.h"
#include "mimosagauge/impl/decisions/gateway_coordination.h"

namespace mimosagauge::detail {
namespace {

// Largest region that `auto` coordinates. The messages of one coordinator grow
// with the requests of its region, and larger ones have not been measured.
constexpr std::size_t kMaxInstancesForAuto = 64;

// Interval at which all waiting requests are tried without an event: an engine
// may have become usable because its ejection ended.
constexpr Duration kRetryInterval = std::chrono::milliseconds(10);
// Time without a message after which an instance whose requests wait here is
// told that they still do. Together with the interval of ticks and the latency
// it stays below the time in which an answer is expected.
constexpr Duration kAliveInterval = std::chrono::milliseconds(15);
// Interval at which a coordinator that does not respond is asked again.
constexpr Duration kProbeInterval = std::chrono::milliseconds(250);
// Time without requests after which an instance forgets its state as a
// coordinator.
constexpr Duration kOwnLifetime = std::chrono::seconds(5);

[[nodiscard]] bool IsSelf(const Gateway& gateway, const InstanceId& id) {
  return id == gateway.config.instance;
}

// Returns whether an instance of this region can be sent messages. One that is
// leaving still asks and answers until its link is lost.
[[nodiscard]] bool IsReachable(Gateway& gateway, const InstanceId& id) {
  const PeerState* peer = FindPeer(gateway, id);
  return IsSelf(gateway, id) ||
         (peer != nullptr && (peer->up || peer->leaving_since) &&
          IsInOwnRegion(gateway, *peer));
}

[[nodiscard]] std::size_t InstancesInRegion(const Gateway& gateway) {
  const auto others = std::count_if(
      gateway.peers.begin(), gateway.peers.end(),
      [&](const PeerState& peer) { return IsInOwnRegion(gateway, peer); });
  return static_cast<std::size_t>(others) + 1;
}

[[nodiscard]] std::vector<CoordinatorCandidate> Candidates(
    const Gateway& gateway) {
  std::vector<CoordinatorCandidate> candidates;
  if (!gateway.drain_started) {
    candidates.push_back({gateway.config.instance, gateway.config.memory});
  }
  for (const PeerState& peer : gateway.peers) {
    if (peer.up && IsInOwnRegion(gateway, peer)) {
      candidates.push_back({peer.config.id, peer.config.memory});
    }
  }
  return candidates;
}

// Reports to a coordinator all that this instance has at the service's engines
// or, if it is not the service's coordinator any more, what it still asks
// there.
void ReportState(StepContext& context, const ServiceId& service,
                 const InstanceId& to, bool is_coordinator) {
  Gateway& gateway = context.gateway;
  PlacementMessage& message = Tell(context, to, Duration::zero());
  message.state_of.push_back(service);
  for (auto& [number, record] : gateway.requests) {
    RequestPlacement& placement = record.placement;
    if (record.verdict.service != service) {
      continue;
    }
    if (placement.phase == PlacementPhase::kStarted && is_coordinator) {
      placement.coordinator = to;
      const double unread =
          record.running->answered ? 0 : record.running->prompt_tokens;
      message.running.push_back(
          {placement.number,
           HashUpstreamId(std::get<UpstreamId>(record.running->target)),
           static_cast<std::uint32_t>(unread), record.due - context.now});
    } else if (placement.coordinator == to &&
               (placement.phase == PlacementPhase::kAsked ||
                placement.phase == PlacementPhase::kQueued)) {
      message.pending.push_back(placement.number);
    }
  }
}

// Asks the current coordinators for the requests that wait for an answer of an
// instance whose link is down.
void AskAgainForUnreachable(StepContext& context) {
  Gateway& gateway = context.gateway;
  std::vector<RequestNumber> numbers;
  for (const auto& [placement, number] : gateway.placement.asked) {
    RequestRecord* record = FindRequest(gateway, number);
    if (record != nullptr &&
        !IsReachable(gateway, record->placement.coordinator)) {
      numbers.push_back(number);
    }
  }
  std::sort(numbers.begin(), numbers.end());
  for (const RequestNumber number : numbers) {
    if (RequestRecord* record = FindRequest(gateway, number)) {
      ReportEnd(context, *record);
      PlaceRequest(context, number);
    }
  }
}

void ChangeCoordinator(StepContext& context, const ServiceId& service,
                       const InstanceId& old, const InstanceId& chosen) {
  Gateway& gateway = context.gateway;
  if (old != chosen) {
    context.effects.emplace_back(WriteLog{log_events::kCoordinatorChanged,
                                          {{"service", service.value()},
                                           {"peer", chosen.value()},
                                           {"before", old.value()}}});
    if (!old.empty() && IsReachable(gateway, old)) {
      ReportState(context, service, old, false);
    }
  }
  if (!chosen.empty()) {
    ReportState(context, service, chosen, true);
  }
}

[[nodiscard]] ZoneId ZoneOf(Gateway& gateway, const InstanceId& id) {
  const PeerState* peer = FindPeer(gateway, id);
  return peer == nullptr ? gateway.config.zone : peer->config.zone;
}

void QueueAnswers(StepContext& context, PlacementAnswers&& answers) {
  for (AddressedAnswer& addressed : answers) {
    Tell(context, addressed.to, Duration::zero())
        .answers.push_back(addressed.answer);
  }
}

[[nodiscard]] bool IsForCoordinator(const PlacementMessage& message) {
  return !message.requests.empty() || !message.begun.empty() ||
         !message.ended.empty() || !message.refused.empty() ||
         !message.running.empty() || !message.state_of.empty() ||
         !message.loads.empty();
}

// Updates this instance's view of the engines as a coordinator.
void RefreshEngines(StepContext& context) {
  Gateway& gateway = context.gateway;
  PlacementState& state = gateway.placement;
  if (!state.own_in_use || state.engines_stale) {
    AdoptEngines(state.own, gateway.upstreams, context.now);
    state.own_in_use = true;
    state.engines_stale = false;
  }
  AdoptEngineHealth(state.own, gateway.upstreams, context.now);
}

void HandleMessage(StepContext& context, const InstanceId& from,
                   const PlacementMessage& message) {
  Gateway& gateway = context.gateway;
  PlacementState& state = gateway.placement;
  CoordinatorContact& contact = state.contacts[from];
  contact.heard_at = context.now;
  contact.waiting = message.waiting;
  if (message.probe) {
    Tell(context, from, Duration::zero()).alive = true;
  }
  if (message.alive && contact.misses >= kMaxMisses &&
      context.now - contact.probed_at <=
          gateway.config.placement.answer_within) {
    contact.misses = 0;
    state.selection_stale = true;
    context.effects.emplace_back(
        WriteLog{log_events::kCoordinatorBack, {{"peer", from.value()}}});
  }
  if (IsForCoordinator(message)) {
    RefreshEngines(context);
    state.own_used_at = context.now;
    HandlePlacementReports(state.own, context.now, from, message);
    PlacementAnswers answers;
    for (const PlacementRequest& request : message.requests) {
      HandlePlacementRequest(state.own, context.now, from,
                             ZoneOf(gateway, from), request, answers);
    }
    QueueAnswers(context, std::move(answers));
  }
  for (const PlacementAnswer& answer : message.answers) {
    HandlePlacementAnswer(context, from, answer);
  }
}

void AdvanceOwn(StepContext& context) {
  PlacementState& state = context.gateway.placement;
  if (!state.own_in_use) {
    return;
  }
  const bool idle = state.own.grants.empty() && state.own.waiting.empty();
  if (idle && context.now - state.own_used_at > kOwnLifetime) {
    state.own = MakeCoordinator();
    state.own_in_use = false;
    return;
  }
  const bool retry_all = context.now - state.last_retry >= kRetryInterval;
  if (retry_all) {
    state.last_retry = context.now;
  }
  if (!state.own.waiting.empty() && (retry_all || !state.own.freed.empty())) {
    RefreshEngines(context);
  }
  PlacementAnswers answers;
  AdvanceCoordinator(state.own, context.now, retry_all, answers);
  QueueAnswers(context, std::move(answers));
}

// Handles what this instance tells itself, until it has nothing more to tell.
void DeliverToSelf(StepContext& context) {
  Gateway& gateway = context.gateway;
  const InstanceId& self = gateway.config.instance;
  AdvanceOwn(context);
  while (true) {
    CoordinatorContact& contact = gateway.placement.contacts[self];
    if (contact.send_by == TimePoint::max()) {
      return;
    }
    contact.send_by = TimePoint::max();
    const PlacementMessage message = std::exchange(contact.outbox, {});
    HandleMessage(context, self, message);
    AdvanceOwn(context);
  }
}

// Tells the instances whose requests wait here that they still do.
void SendAlive(StepContext& context) {
  PlacementState& state = context.gateway.placement;
  const auto& numbers = state.own.waiting_numbers;
  for (auto entry = numbers.begin(); entry != numbers.end();) {
    const InstanceId instance = entry->first.first;
    if (context.now - state.contacts[instance].told_at >= kAliveInterval &&
        !IsSelf(context.gateway, instance)) {
      Tell(context, instance, Duration::zero()).alive = true;
    }
    entry = std::find_if(entry, numbers.end(), [&](const auto& other) {
      return other.first.first != instance;
    });
  }
}

void SendProbes(StepContext& context) {
  for (auto& [id, contact] : context.gateway.placement.contacts) {
    if (contact.misses >= kMaxMisses &&
        context.now - contact.probed_at >= kProbeInterval) {
      contact.probed_at = context.now;
      contact.outbox.probe = true;
      contact.send_by = context.now;
    }
  }
}

void SendOutboxes(StepContext& context) {
  Gateway& gateway = context.gateway;
  const bool waiting = !gateway.placement.own.waiting.empty();
  for (auto& [id, contact] : gateway.placement.contacts) {
    if (contact.send_by > context.now || IsSelf(gateway, id)) {
      continue;
    }
    contact.send_by = TimePoint::max();
    PlacementMessage message = std::exchange(contact.outbox, {});
    if (IsReachable(gateway, id)) {
      contact.told_at = context.now;
      message.waiting = waiting;
      context.effects.emplace_back(
          ForLinks{SendPlacement{id, std::move(message)}});
    }
  }
}

}  // namespace

bool IsPlacementEnabled(const Gateway& gateway) noexcept {
  return gateway.config.placement.coordinated != PlacementMode::kNever &&
         gateway.catalogue != nullptr;
}

bool IsCoordinated(const Gateway& gateway, const ServiceId& service) {
  if (!IsPlacementEnabled(gateway)) {
    return false;
  }
  const ServiceProfile* profile = FindService(*gateway.catalogue, service);
  if (profile == nullptr || !profile->engine) {
    return false;
  }
  return gateway.config.placement.coordinated == PlacementMode::kAlways ||
         (profile->engine->slots < InstancesInRegion(gateway) &&
          InstancesInRegion(gateway) <= kMaxInstancesForAuto);
}

bool HasActiveCoordinator(const Gateway& gateway, const ServiceId& service) {
  const PlacementState& state = gateway.placement;
  const auto coordinator = state.coordinators.find(service);
  if (coordinator == state.coordinators.end()) {
    return false;
  }
  const auto contact = state.contacts.find(coordinator->second);
  return contact == state.contacts.end() || contact->second.misses == 0;
}

PlacementMessage& Tell(StepContext& context, const InstanceId& to,
                       Duration delay) {
  CoordinatorContact& contact = context.gateway.placement.contacts[to];
  contact.send_by = std::min(contact.send_by, context.now + delay);
  return contact.outbox;
}

void UpdateCoordinators(Gateway& gateway, const InstanceId& returned) {
  gateway.placement.selection_stale = true;
  gateway.placement.engines_stale = true;
  if (!returned.empty()) {
    gateway.placement.returned.insert(returned);
  }
}

void SelectCoordinators(StepContext& context) {
  Gateway& gateway = context.gateway;
  PlacementState& state = gateway.placement;
  if (!std::exchange(state.selection_stale, false)) {
    return;
  }
  const std::set<InstanceId> returned = std::exchange(state.returned, {});
  const std::vector<CoordinatorCandidate> candidates = Candidates(gateway);
  std::map<ServiceId, InstanceId> before = state.coordinators;
  state.coordinators.clear();
  for (const auto& [service, profile] : gateway.catalogue->services) {
    if (!IsCoordinated(gateway, service)) {
      continue;
    }
    const std::vector<InstanceId> ranked =
        RankCoordinators(service, candidates);
    const auto chosen = std::find_if(
        ranked.begin(), ranked.end(), [&state](const InstanceId& id) {
          return state.contacts[id].misses < kMaxMisses;
        });
    if (chosen != ranked.end()) {
      state.coordinators.emplace(service, *chosen);
    }
  }
  for (const auto& [service, chosen] : state.coordinators) {
    const InstanceId old = before[service];
    if (old != chosen || returned.contains(chosen)) {
      ChangeCoordinator(context, service, old, chosen);
    }
  }
  AskAgainForUnreachable(context);
}

void CoordinatePlacement(StepContext& context) {
  if (!IsPlacementEnabled(context.gateway)) {
    return;
  }
  ExpirePlacementAnswers(context);
  SelectCoordinators(context);
  DeliverToSelf(context);
  SendAlive(context);
  SendProbes(context);
  SendOutboxes(context);
}

void Handle(StepContext& context, PlacementReceived&& event) {
  const PeerState* peer = FindPeer(context.gateway, event.from);
  if (!IsPlacementEnabled(context.gateway) || peer == nullptr ||
      !IsInOwnRegion(context.gateway, *peer)) {
    return;
  }
  HandleMessage(context, event.from, event.message);
}

}  // namespace mimosagauge::detail
