// Gateway state machine: requests that ask the placement coordinator of their
// service where they may start, and what is reported to it.

#include "mimosagauge/impl/decisions/gateway_coordination.h"

#include <algorithm>
#include <utility>

#include "mimosagauge/impl/decisions/problems.h"

namespace mimosagauge::detail {
namespace {

// Longest delay of a report that no other request waits for, and the number of
// reports that are sent at once.
constexpr Duration kReportDelay = std::chrono::milliseconds(20);
constexpr std::size_t kReportBatch = 16;

[[nodiscard]] bool IsAsking(const RequestRecord& record) {
  return record.placement.phase == PlacementPhase::kAsked ||
         record.placement.phase == PlacementPhase::kQueued;
}

[[nodiscard]] PlacementMetrics& PlacementMetricsOf(
    Gateway& gateway, const RequestRecord& record) {
  return gateway.placement.metrics[record.verdict.service];
}

// Returns the message for a report, which is sent at once if requests wait at
// the coordinator for what it says.
[[nodiscard]] PlacementMessage& Report(StepContext& context,
                                       const InstanceId& coordinator) {
  PlacementState& state = context.gateway.placement;
  const CoordinatorContact& contact = state.contacts[coordinator];
  const std::size_t reports = contact.outbox.begun.size() +
                              contact.outbox.ended.size() +
                              contact.outbox.refused.size();
  const bool at_once = contact.waiting || reports + 1 >= kReportBatch;
  return Tell(context, coordinator, at_once ? Duration::zero() : kReportDelay);
}

// Ends the wait for an answer, without a report to the coordinator.
void CloseQuestion(Gateway& gateway, RequestRecord& record) {
  gateway.placement.asked.erase(record.placement.number);
  record.placement.phase = PlacementPhase::kNone;
}

void PlaceLocally(StepContext& context, RequestRecord& record) {
  record.placement.phase = PlacementPhase::kLocal;
  PlaceRequest(context, record.arrival.number);
}

[[nodiscard]] std::optional<ElsewhereEstimate> EstimateElsewhere(
    StepContext& context, const RequestRecord& record) {
  if (!IsForwardingAllowed(record)) {
    return std::nullopt;
  }
  const RemoteChoice remote =
      ChooseRemote(context.gateway, record, context.now);
  if (remote.peer == nullptr) {
    return std::nullopt;
  }
  return ElsewhereEstimate{remote.expected.start,
                           static_cast<std::uint32_t>(remote.prompt_tokens),
                           remote.part_cached};
}

[[nodiscard]] PlacementRequest MakePlacementRequest(
    StepContext& context, const RequestRecord& record) {
  const RequestHead& head = *record.arrival.head;
  PlacementRequest request;
  request.number = record.placement.number;
  request.service = record.verdict.service;
  request.model = head.model;
  request.prompt.tokens_in = head.prompt.tokens_in;
  request.prompt.tokens_out = head.prompt.tokens_out;
  request.prompt.parts = TrackedSharedParts(head.prompt);
  if (!request.prompt.parts.empty()) {
    request.prompt.parts.emplace_back();
  }
  request.priority = record.verdict.priority;
  request.resume = record.resuming;
  request.remaining = record.due - context.now;
  request.start_within =
      std::max(Duration::zero(),
               record.verdict.objective - (context.now - record.arrived));
  request.tried = record.placement.unusable;
  for (const ::mimosagauge::Place& place : record.visited) {
    if (place.region == context.gateway.config.region) {
      request.tried.push_back(HashUpstreamId(UpstreamId{place.name}));
    }
  }
  request.elsewhere = EstimateElsewhere(context, record);
  return request;
}

// Starts the request at an upstream whose rate is limited and that only this
// instance may use now.
// \returns Whether it was started.
[[nodiscard]] bool StartOnOwnedUpstream(StepContext& context,
                                        RequestRecord& record) {
  Gateway& gateway = context.gateway;
  const auto service = gateway.upstreams.services.find(record.verdict.service);
  const auto is_owned = [&](std::size_t position) {
    const SharedRate& rate = gateway.upstreams.upstreams[position].rate;
    return IsRateLimited(rate, context.now) && AllowsRequest(rate, context.now);
  };
  if (service == gateway.upstreams.services.end() ||
      std::none_of(service->second.all.begin(), service->second.all.end(),
                   is_owned)) {
    return false;
  }
  const auto choice =
      ChooseUpstream(gateway.upstreams, PlacementNeedOf(gateway, record),
                     gateway.config.zone, gateway.config.region, context.now);
  if (!choice ||
      !IsRateLimited(FindUpstream(gateway.upstreams, choice->id)->rate,
                     context.now)) {
    return false;
  }
  StartOnUpstream(context, record, *choice);
  return true;
}

// Returns the granted engine, or null if this instance knows that it cannot be
// used.
[[nodiscard]] const UpstreamState* UsableEngine(StepContext& context,
                                                const RequestRecord& record,
                                                UpstreamHash hash) {
  Gateway& gateway = context.gateway;
  const UpstreamState* engine = FindUpstream(gateway.upstreams, hash);
  if (engine == nullptr) {
    return nullptr;
  }
  const ::mimosagauge::Place place{gateway.config.region,
                                   engine->config.id.value()};
  const bool tried = std::find(record.visited.begin(), record.visited.end(),
                               place) != record.visited.end();
  // Another version may have joined since the coordinator was asked.
  const bool fits =
      record.software.empty() || record.software == engine->config.software;
  const bool usable = !tried && fits && !engine->leaving &&
                      !engine->evacuated &&
                      engine->config.service == record.verdict.service &&
                      IsEligible(engine->health, context.now) &&
                      AllowsRequest(engine->rate, context.now);
  return usable ? engine : nullptr;
}

void ReturnGrant(StepContext& context, const InstanceId& from,
                 PlacementNumber number) {
  Tell(context, from, Duration::zero()).ended.push_back(number);
}

void HandleUnusableGrant(StepContext& context, RequestRecord& record,
                         const PlacementAnswer& answer) {
  ++PlacementMetricsOf(context.gateway, record).unused;
  ReturnGrant(context, record.placement.coordinator, answer.number);
  CloseQuestion(context.gateway, record);
  record.placement.unusable.push_back(answer.upstream);
  if (record.placement.unusable.size() == 1) {
    return PlaceRequest(context, record.arrival.number);
  }
  ++PlacementMetricsOf(context.gateway, record).unusable;
  PlaceLocally(context, record);
}

void HandleGrant(StepContext& context, RequestRecord& record,
                 const PlacementAnswer& answer) {
  Gateway& gateway = context.gateway;
  const ServiceId service = record.verdict.service;
  if (!RenewVerdict(context, record)) {
    return;
  }
  if (record.verdict.service != service ||
      !AllowsRegion(record.verdict, gateway.config.region)) {
    ReturnGrant(context, record.placement.coordinator, answer.number);
    CloseQuestion(gateway, record);
    return PlaceRequest(context, record.arrival.number);
  }
  const UpstreamState* engine = UsableEngine(context, record, answer.upstream);
  if (engine == nullptr) {
    return HandleUnusableGrant(context, record, answer);
  }
  ++PlacementMetricsOf(gateway, record).granted;
  gateway.placement.asked.erase(answer.number);
  UpstreamChoice choice;
  choice.id = engine->config.id;
  choice.expected.start = answer.start;
  choice.prompt_tokens = answer.prompt_tokens;
  if (const UpstreamState* source =
          FindUpstream(gateway.upstreams, answer.cache_source)) {
    choice.cache_source = source->config.endpoint;
  }
  StartOnUpstream(context, record, choice);
}

void HandleRefusal(StepContext& context, RequestRecord& record,
                   const PlacementAnswer& answer) {
  ++PlacementMetricsOf(context.gateway, record).refused;
  CloseQuestion(context.gateway, record);
  const ServiceId service = record.verdict.service;
  if (!RenewVerdict(context, record)) {
    return;
  }
  if (record.verdict.service != service) {
    return PlaceRequest(context, record.arrival.number);
  }
  if (StartElsewhere(context, record)) {
    return;
  }
  Problem problem = Overloaded(record.outcome.run);
  problem.detail =
      "the region's engines are not expected to begin the answer in time";
  problem.retry_after = answer.time;
  RefuseOrAbort(context, record, std::move(problem));
}

// Counts that the coordinator was not heard of in time, and places the request
// locally.
void GiveUpAnswer(StepContext& context, RequestRecord& record) {
  PlacementState& state = context.gateway.placement;
  ++PlacementMetricsOf(context.gateway, record).timed_out;
  const InstanceId coordinator = record.placement.coordinator;
  CoordinatorContact& contact = state.contacts[coordinator];
  if (++contact.misses == kMaxMisses) {
    state.selection_stale = true;
    context.effects.emplace_back(
        WriteLog{log_events::kCoordinatorSilent,
                 {{"peer", coordinator.value()},
                  {"service", record.verdict.service.value()}}});
  }
  ReportEnd(context, record);
  PlaceLocally(context, record);
}

}  // namespace

bool AskCoordinator(StepContext& context, RequestRecord& record) {
  Gateway& gateway = context.gateway;
  PlacementState& state = gateway.placement;
  if (IsAsking(record)) {
    return true;
  }
  const auto coordinator = state.coordinators.find(record.verdict.service);
  if (coordinator == state.coordinators.end() ||
      record.placement.phase == PlacementPhase::kLocal ||
      IsBoundToSoftware(gateway, record) || record.queue_position ||
      !AllowsRegion(record.verdict, gateway.config.region)) {
    return false;
  }
  if (StartOnOwnedUpstream(context, record)) {
    return true;
  }
  RequestPlacement& placement = record.placement;
  state.last_number = state.last_number.next();
  placement.number = state.last_number;
  placement.phase = PlacementPhase::kAsked;
  placement.coordinator = coordinator->second;
  placement.asked_at = context.now;
  state.asked.emplace(placement.number, record.arrival.number);
  if (placement.coordinator != gateway.config.instance) {
    state.deadlines.emplace(
        context.now + gateway.config.placement.answer_within,
        record.arrival.number);
  }
  PlacementRequest request = MakePlacementRequest(context, record);
  Tell(context, placement.coordinator, Duration::zero())
      .requests.push_back(std::move(request));
  return true;
}

void ReportStart(StepContext& context, RequestRecord& record,
                 const UpstreamState& upstream) {
  PlacementState& state = context.gateway.placement;
  RequestPlacement& placement = record.placement;
  const bool granted = IsAsking(record);
  placement.unusable.clear();
  const auto coordinator = state.coordinators.find(upstream.config.service);
  if (coordinator == state.coordinators.end()) {
    if (granted) {
      ReturnGrant(context, placement.coordinator, placement.number);
    }
    placement.phase = PlacementPhase::kNone;
    return;
  }
  placement.phase = PlacementPhase::kStarted;
  if (granted && placement.coordinator == coordinator->second) {
    return;
  }
  if (granted) {
    ReturnGrant(context, placement.coordinator, placement.number);
  } else {
    state.last_number = state.last_number.next();
    placement.number = state.last_number;
  }
  placement.coordinator = coordinator->second;
  Tell(context, placement.coordinator, Duration::zero())
      .running.push_back(
          {placement.number, HashUpstreamId(upstream.config.id),
           static_cast<std::uint32_t>(record.running->prompt_tokens),
           record.due - context.now});
}

void ReportBegun(StepContext& context, RequestRecord& record) {
  if (record.placement.phase == PlacementPhase::kStarted &&
      !record.running->answered) {
    Report(context, record.placement.coordinator)
        .begun.push_back(
            {record.placement.number, context.now - record.running->started});
  }
}

void ReportLoad(StepContext& context, const UpstreamState& upstream,
                const LoadReport& report) {
  const auto& coordinators = context.gateway.placement.coordinators;
  const auto coordinator = coordinators.find(upstream.config.service);
  if (coordinator == coordinators.end()) {
    return;
  }
  const UpstreamHash hash = HashUpstreamId(upstream.config.id);
  std::vector<PlacementLoad>& loads =
      Report(context, coordinator->second).loads;
  const auto earlier = std::find_if(
      loads.begin(), loads.end(),
      [hash](const PlacementLoad& load) { return load.upstream == hash; });
  if (earlier == loads.end()) {
    loads.push_back({hash, report});
  } else {
    earlier->report = report;
  }
}

void ReportEnd(StepContext& context, RequestRecord& record) {
  RequestPlacement& placement = record.placement;
  Gateway& gateway = context.gateway;
  const bool refused = std::exchange(placement.refused_by_engine, false);
  if (IsAsking(record)) {
    CloseQuestion(gateway, record);
    Tell(context, placement.coordinator, Duration::zero())
        .ended.push_back(placement.number);
  } else if (placement.phase == PlacementPhase::kStarted) {
    PlacementMessage& message = Report(context, placement.coordinator);
    (refused ? message.refused : message.ended).push_back(placement.number);
    PlacementMetricsOf(gateway, record).engine_refusals += refused ? 1 : 0;
  }
  placement.phase = PlacementPhase::kNone;
}

void HandlePlacementAnswer(StepContext& context, const InstanceId& from,
                           const PlacementAnswer& answer) {
  Gateway& gateway = context.gateway;
  PlacementState& state = gateway.placement;
  const auto asked = state.asked.find(answer.number);
  RequestRecord* record = asked == state.asked.end()
                              ? nullptr
                              : FindRequest(gateway, asked->second);
  const bool expected = record != nullptr && IsAsking(*record) &&
                        record->placement.number == answer.number &&
                        record->placement.coordinator == from;
  if (!expected) {
    // The request was placed locally or has ended meanwhile.
    if (answer.decision == PlacementDecision::kGranted) {
      ReturnGrant(context, from, answer.number);
    }
    return;
  }
  state.contacts[from].misses = 0;
  switch (answer.decision) {
    case PlacementDecision::kGranted:
      return HandleGrant(context, *record, answer);
    case PlacementDecision::kQueued:
      ++PlacementMetricsOf(gateway, *record).queued;
      record->placement.phase = PlacementPhase::kQueued;
      record->placement.queued_until =
          context.now + answer.time + gateway.config.placement.answer_within;
      return;
    case PlacementDecision::kRefused:
      return HandleRefusal(context, *record, answer);
    case PlacementDecision::kElsewhere:
      CloseQuestion(gateway, *record);
      if (!RenewVerdict(context, *record)) {
        return;
      }
      if (StartElsewhere(context, *record)) {
        ++gateway.placement.metrics[record->verdict.service].elsewhere;
        return;
      }
      return PlaceLocally(context, *record);
  }
}

void ExpirePlacementAnswers(StepContext& context) {
  Gateway& gateway = context.gateway;
  PlacementState& state = gateway.placement;
  const Duration within = gateway.config.placement.answer_within;
  while (!state.deadlines.empty() &&
         state.deadlines.begin()->first <= context.now) {
    const RequestNumber number = state.deadlines.begin()->second;
    state.deadlines.erase(state.deadlines.begin());
    RequestRecord* record = FindRequest(gateway, number);
    if (record == nullptr || !IsAsking(*record)) {
      continue;
    }
    const RequestPlacement& placement = record->placement;
    TimePoint deadline = placement.asked_at + within;
    if (placement.phase == PlacementPhase::kQueued) {
      deadline = std::min(
          std::max(deadline,
                   state.contacts[placement.coordinator].heard_at + within),
          placement.queued_until);
    }
    if (deadline > context.now) {
      state.deadlines.emplace(deadline, number);
      continue;
    }
    GiveUpAnswer(context, *record);
  }
}

}  // namespace mimosagauge::detail
