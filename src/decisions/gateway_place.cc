// Placement of requests on an upstream of this region, on another instance or
// in the waiting queue.

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "mimosagauge/impl/decisions/gateway_detail.h"
#include "mimosagauge/impl/decisions/problems.h"

namespace mimosagauge::detail {
namespace {

// Number of a service's waiting requests that one `Dispatch` tries to place;
// the rest of its queue waits.
constexpr std::size_t kDispatchBatch = 8;

[[nodiscard]] UpstreamNeed NeedOf(const RequestRecord& record) {
  UpstreamNeed need{record.verdict.service, record.arrival.head->model,
                    record.resuming, record.visited};
  need.software = record.software;
  return need;
}

[[nodiscard]] Bytes RemainingWindow(const Gateway& gateway,
                                    const RequestRecord& record) {
  return gateway.config.limits.stream_window - record.unconsumed;
}

// Reports an attempt in a region that the configuration in force does not allow
// for the request: its verdict is from an earlier version.
void ReportIfOutsideHomes(StepContext& context, const RequestRecord& record,
                          const RegionId& region) {
  Gateway& gateway = context.gateway;
  if (gateway.catalogue == nullptr ||
      AllowsRegion(VerdictFor(gateway, record), region)) {
    return;
  }
  ++gateway.metrics.outside_homes;
  context.effects.emplace_back(
      WriteLog{log_events::kOutsideHomes,
               {{"request", record.arrival.head->id.value()},
                {"account", record.arrival.head->account.value()},
                {"region", region.value()}}});
}

AttemptNumber BeginAttempt(StepContext& context, RequestRecord& record,
                           std::variant<UpstreamId, InstanceId> target,
                           ::mimosagauge::Place place) {
  Gateway& gateway = context.gateway;
  ReportIfOutsideHomes(context, record, place.region);
  gateway.last_attempt = gateway.last_attempt.next();
  const AttemptNumber number = gateway.last_attempt;
  gateway.attempts.emplace(number, record.arrival.number);
  record.running = Attempt{number, std::move(target), context.now};
  record.visited.push_back(std::move(place));
  ++record.attempts;
  if (record.attempts > 1) {
    ++MetricsOf(gateway, record).retries;
  }
  if (record.queue_position) {
    RemoveWaiting(gateway.waiting, *record.queue_position);
    record.queue_position.reset();
  }
  return number;
}

// Factor by which the expected end of an answer may be wrong.
constexpr double kEstimateErrorFactor = 1.3;
// Fraction of an engine's time spent reading prompts above which generations
// are slow.
constexpr double kBusyReadingFraction = 0.6;
// An upstream of this region is used if its answer is expected to begin within
// this fraction of the latency objective.
constexpr double kStartTargetFraction = 0.5;
// Longest time that a request waits in this instance's queue, as a fraction of
// its latency objective.
constexpr double kMaxWaitFraction = 0.4;
constexpr Duration kMinWait = std::chrono::milliseconds(100);

[[nodiscard]] Duration Scale(Duration duration, double part) {
  return std::chrono::duration_cast<Duration>(duration * part);
}

// The longest time that a request waits in the queue.
[[nodiscard]] Duration MaxWait(const RequestRecord& record) {
  return std::max(kMinWait, Scale(record.verdict.objective, kMaxWaitFraction));
}

[[nodiscard]] bool IsExpectedInTime(const StepContext& context,
                                    const RequestRecord& record,
                                    const LatencyEstimate& expected) {
  const Duration left = record.due - context.now;
  // The duration of a generation can only be estimated roughly. The expected
  // end is therefore compared only where reading prompts keeps the engine busy,
  // and the expected start otherwise.
  const Duration needed = expected.reading < kBusyReadingFraction
                              ? expected.start
                              : Scale(expected.end, 1 / kEstimateErrorFactor);
  return needed <= left;
}

void EnqueueRequest(StepContext& context, RequestRecord& record) {
  const RequestNumber number = record.arrival.number;
  const QueuedRequest place{record.verdict.service,
                            {record.verdict.priority, record.due, number}};
  if (record.queue_position == place) {
    return;
  }
  // The rules may have changed since the request was queued, and with them its
  // service or priority.
  if (record.queue_position) {
    RemoveWaiting(context.gateway.waiting, *record.queue_position);
  }
  record.queue_position = place;
  if (context.gateway.catalogue != nullptr &&
      record.wait_until == TimePoint{}) {
    record.wait_until = context.now + MaxWait(record);
    context.gateway.deadlines.emplace(record.wait_until, number);
  }
  const auto displaced =
      Enqueue(context.gateway.waiting, *record.queue_position);
  if (!displaced) {
    return;
  }
  RequestRecord& refused = context.gateway.requests.at(*displaced);
  refused.queue_position.reset();
  RefuseOrAbort(context, refused, Overloaded(refused.outcome.run));
}

// Refuses a request whose upstreams are paused for longer than it can wait.
// Retry-After is the time at which the first of them is back.
void RefusePaused(StepContext& context, RequestRecord& record,
                  Duration first_back) {
  const RunState run = record.outcome.run;
  Problem problem = record.attempts > 0
                        ? AttemptsFailed(record.last_failure, run)
                        : Overloaded(run);
  problem.retry_after = first_back;
  RefuseOrAbort(context, record, std::move(problem));
}

void RefuseUnplaceable(StepContext& context, RequestRecord& record) {
  const RequestHead& head = *record.arrival.head;
  const RunState run = record.outcome.run;
  const RegionId& region = context.gateway.config.region;
  if (AllowsRegion(record.verdict, region)) {
    if (const auto first_back = TimeToFirstPauseEnd(
            context.gateway.upstreams, NeedOf(record), region, context.now)) {
      return RefusePaused(context, record, *first_back);
    }
  }
  if (record.attempts > 0) {
    return RefuseOrAbort(context, record,
                         AttemptsFailed(record.last_failure, run));
  }
  if (record.verdict.regions) {
    return RefuseOrAbort(context, record, ResidencyUnserved(head, run));
  }
  RefuseOrAbort(context, record, NoCapacity(head, run));
}

// Refuses a request immediately because no upstream is expected to answer it in
// time. Retry-After is the time in which the queue here is expected to shrink.
void RefuseOverload(StepContext& context, RequestRecord& record,
                    const LatencyEstimate& expected) {
  Problem problem = Overloaded(record.outcome.run);
  const Duration left = record.due - context.now;
  constexpr double kPercent = 100;
  problem.detail = fmt::format(
      "the fastest upstream is expected to begin the answer in {} ms and to "
      "end "
      "it in {} ms, and spends {:.0f}% of its time reading prompts; {} ms are "
      "left until the request is due",
      Milliseconds(expected.start), Milliseconds(expected.end),
      expected.reading * kPercent, Milliseconds(left));
  problem.retry_after =
      std::max(RetryAfter(left),
               std::min(expected.start - Scale(record.verdict.objective,
                                               kStartTargetFraction),
                        left / 3));
  RefuseOrAbort(context, record, std::move(problem));
}

// Returns whether an answer is expected to begin early enough for its upstream
// to be used. Requests of the product's own interface have no latency
// objective, so any free upstream qualifies for them.
[[nodiscard]] bool MeetsStartTarget(const Gateway& gateway,
                                    const RequestRecord& record,
                                    const LatencyEstimate& expected) {
  return gateway.catalogue == nullptr ||
         expected.start <=
             Scale(record.verdict.objective, kStartTargetFraction);
}

// Returns another region that is expected to serve the request better than
// `local`, an upstream of this region that meets the start target; else none.
[[nodiscard]] RemoteChoice ChoosePreferredRemote(StepContext& context,
                                                 const RequestRecord& record,
                                                 const UpstreamChoice& local) {
  Gateway& gateway = context.gateway;
  if (gateway.catalogue == nullptr) {
    return {};
  }
  const bool engine = record.arrival.head->prompt.tokens_in > 0;
  const RemoteChoice remote =
      engine ? ChooseCachingRegion(gateway, record, local, context.now)
             : SampleRegionByLatency(gateway, record, local, context.now);
  const bool meets_target = remote.peer != nullptr &&
                            MeetsStartTarget(gateway, record, remote.expected);
  return meets_target ? remote : RemoteChoice{};
}

}  // namespace

UpstreamNeed PlacementNeedOf(const Gateway& gateway,
                             const RequestRecord& record) {
  UpstreamNeed need = NeedOf(record);
  const Prompt& prompt = record.arrival.head->prompt;
  need.prompt = prompt.tokens_in > 0 ? &prompt : nullptr;
  need.draw = record.arrival.number.value() * 2 + record.attempts;
  need.spread = gateway.config.limits.placement_spread;
  return need;
}

void StartOnUpstream(StepContext& context, RequestRecord& record,
                     const UpstreamChoice& choice) {
  Gateway& gateway = context.gateway;
  const UpstreamId& id = choice.id;
  StartUpstreamAttempt start;
  start.attempt =
      BeginAttempt(context, record, id, {gateway.config.region, id.value()});
  start.upstream = id;
  start.head = record.arrival.head;
  start.body = record.arrival.body;
  start.priority = record.verdict.priority;
  start.remaining = record.due - context.now;
  start.credit = RemainingWindow(gateway, record);
  start.last_event_id = record.last_event_id;
  start.cache_source = choice.cache_source;
  CountAttemptStart(gateway.upstreams, id);
  record.running->expected = choice.expected;
  record.running->prompt_tokens = choice.prompt_tokens;
  if (UpstreamState* upstream = FindUpstream(gateway.upstreams, id)) {
    record.running->start = StartOf(upstream->config);
    record.running->software = upstream->config.software;
    RecordPromptSent(upstream->load, choice.prompt_tokens, context.now);
    ConsumeRequestToken(upstream->rate, context.now);
    if (upstream->kind == UpstreamKind::kEngine) {
      const Prompt& prompt = record.arrival.head->prompt;
      Touch(upstream->cache, prompt);
      ReportStart(context, record, *upstream);
      for (const PromptPart& part : TrackedSharedParts(prompt)) {
        gateway.parts_read.push_back({HashUpstreamId(id), part});
      }
    }
  }
  context.effects.emplace_back(ForUpstreams{std::move(start)});
  ScheduleHedge(context, record);
}

bool IsForwardingAllowed(const RequestRecord& record) noexcept {
  return record.arrival.origin == Origin::kCaller && !record.resuming &&
         !record.keyed && record.visited.size() < kMaxHops - 1;
}

bool IsPeerAllowed(const RequestRecord& record, const PeerConfig& peer) {
  const ::mimosagauge::Place place{peer.region, peer.id.value()};
  const bool visited = std::find(record.visited.begin(), record.visited.end(),
                                 place) != record.visited.end();
  return !visited && AllowsRegion(record.verdict, peer.region);
}

void StartOnInstance(StepContext& context, RequestRecord& record,
                     const PeerConfig& peer) {
  auto head = std::make_shared<RequestHead>(*record.arrival.head);
  head->path = record.visited;
  head->revision = context.gateway.catalogue != nullptr
                       ? context.gateway.catalogue->revision
                       : context.gateway.rules->revision;
  if (context.gateway.catalogue != nullptr) {
    head->service = record.verdict.service;
  }
  head->remaining = record.due - context.now;
  head->caller_remaining = record.caller_due - context.now;
  head->runs = record.runs;
  head->software = record.software;
  StartLinkAttempt start;
  start.attempt =
      BeginAttempt(context, record, peer.id, {peer.region, peer.id.value()});
  start.instance = peer.id;
  start.remaining = head->remaining;
  start.head = std::move(head);
  start.body = record.arrival.body;
  start.credit = RemainingWindow(context.gateway, record);
  ++MetricsOf(context.gateway, record).forwarded;
  context.effects.emplace_back(ForLinks{std::move(start)});
}

bool StartElsewhere(StepContext& context, RequestRecord& record) {
  const RemoteChoice remote =
      IsForwardingAllowed(record)
          ? ChooseRemote(context.gateway, record, context.now)
          : RemoteChoice{};
  if (remote.peer == nullptr ||
      !IsExpectedInTime(context, record, remote.expected)) {
    return false;
  }
  StartOnInstance(context, record, *remote.peer);
  return true;
}

bool RenewVerdict(StepContext& context, RequestRecord& record) {
  record.verdict = VerdictFor(context.gateway, record);
  if (record.verdict.service.empty()) {
    RefuseOrAbort(context, record, NoService(*record.arrival.head));
    return false;
  }
  return !RefuseIfAccountForbids(context, record) &&
         !RefuseIfPoison(context, record);
}

void PlaceRequest(StepContext& context, RequestNumber number) {
  Gateway& gateway = context.gateway;
  RequestRecord& record = gateway.requests.at(number);
  if (!RenewVerdict(context, record) || !SettleSoftware(context, record)) {
    return;
  }
  if (const PeerConfig* planned = ChoosePlannedPeer(context, record)) {
    return StartOnInstance(context, record, *planned);
  }
  if (AskCoordinator(context, record)) {
    return;
  }
  const RegionId& region = gateway.config.region;
  const UpstreamNeed need = NeedOf(record);
  const bool local_allowed = AllowsRegion(record.verdict, region);
  std::optional<UpstreamChoice> local;
  if (local_allowed) {
    local = ChooseUpstream(gateway.upstreams, PlacementNeedOf(gateway, record),
                           gateway.config.zone, region, context.now);
  }
  if (local && MeetsStartTarget(gateway, record, local->expected)) {
    const RemoteChoice preferred =
        ChoosePreferredRemote(context, record, *local);
    return preferred.peer != nullptr
               ? StartOnInstance(context, record, *preferred.peer)
               : StartOnUpstream(context, record, *local);
  }
  // The product's own rules do not define a cost of waiting, so a request is
  // forwarded to another region only if no upstream of this one can serve it.
  if (gateway.catalogue == nullptr && local_allowed &&
      CanServe(gateway.upstreams, need, region, context.now)) {
    return EnqueueRequest(context, record);
  }
  const RemoteChoice remote = IsForwardingAllowed(record)
                                  ? ChooseRemote(gateway, record, context.now)
                                  : RemoteChoice{};
  const bool sooner = remote.peer != nullptr &&
                      (!local || remote.expected.start < local->expected.start);
  if (sooner && (gateway.catalogue == nullptr ||
                 IsExpectedInTime(context, record, remote.expected))) {
    return StartOnInstance(context, record, *remote.peer);
  }
  if (local) {
    return IsExpectedInTime(context, record, local->expected)
               ? StartOnUpstream(context, record, *local)
               : RefuseOverload(context, record, local->expected);
  }
  const Duration longest_wait =
      std::min(MaxWait(record), record.due - context.now);
  if (local_allowed && (CanEventuallyServe(gateway.upstreams, need, region,
                                           longest_wait, context.now) ||
                        AwaitsUnheardSoftware(context, record))) {
    return EnqueueRequest(context, record);
  }
  RefuseUnplaceable(context, record);
}

void Dispatch(StepContext& context) {
  Gateway& gateway = context.gateway;
  std::set<ServiceId> services = std::exchange(gateway.freed_services, {});
  if (std::exchange(gateway.all_services_freed, false)) {
    for (const auto& [service, line] : gateway.waiting.lines) {
      services.insert(service);
    }
  }
  for (const ServiceId& service : services) {
    for (const RequestNumber number :
         First(gateway.waiting, service, kDispatchBatch)) {
      // A request placed earlier in this loop may have displaced this one from
      // the queue.
      if (FindRequest(gateway, number) != nullptr) {
        PlaceRequest(context, number);
      }
    }
  }
}

}  // namespace mimosagauge::detail
