// Where a request goes: an upstream of this region, another instance, or the
// waiting queue.

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "mimosagauge/impl/decisions/gateway_detail.h"
#include "mimosagauge/impl/decisions/problems.h"

namespace mimosagauge::detail {
namespace {

// Requests of a service tried at once; the rest of its line waits behind.
constexpr std::size_t kDispatchWidth = 8;

[[nodiscard]] UpstreamNeed NeedOf(const RequestRecord& record) {
  return {record.verdict.service, record.arrival.head->model, record.resuming,
          record.passed};
}

// What the choice among upstreams goes by beyond the bare need.
[[nodiscard]] UpstreamNeed WeighedNeedOf(const Gateway& gateway,
                                         const RequestRecord& record) {
  UpstreamNeed need = NeedOf(record);
  const Prompt& prompt = record.arrival.head->prompt;
  need.prompt = prompt.tokens_in > 0 ? &prompt : nullptr;
  need.draw = record.arrival.number.value() * 2 + record.attempts;
  need.spread = gateway.config.limits.placement_spread;
  return need;
}

[[nodiscard]] Bytes Window(const Gateway& gateway,
                           const RequestRecord& record) {
  return gateway.config.limits.stream_window - record.untaken;
}

AttemptNumber BeginAttempt(Turn& turn, RequestRecord& record,
                           std::variant<UpstreamId, InstanceId> target,
                           ::mimosagauge::Place place) {
  Gateway& gateway = turn.gateway;
  gateway.last_attempt = gateway.last_attempt.next();
  const AttemptNumber number = gateway.last_attempt;
  gateway.attempts.emplace(number, record.arrival.number);
  record.running = Attempt{number, std::move(target), turn.now, {}, 0, false};
  record.passed.push_back(std::move(place));
  ++record.attempts;
  if (record.attempts > 1) {
    ++MetricsOf(gateway, record).retries;
  }
  if (record.place) {
    Dequeue(gateway.waiting, *record.place);
    record.place.reset();
  }
  return number;
}

void StartOnUpstream(Turn& turn, RequestRecord& record,
                     const UpstreamChoice& choice) {
  Gateway& gateway = turn.gateway;
  const UpstreamId& id = choice.id;
  StartUpstreamAttempt start;
  start.attempt =
      BeginAttempt(turn, record, id, {gateway.config.region, id.value()});
  start.upstream = id;
  start.head = record.arrival.head;
  start.body = record.arrival.body;
  start.priority = record.verdict.priority;
  start.remaining = record.due - turn.now;
  start.credit = Window(gateway, record);
  start.last_event_id = record.last_event_id;
  start.cache_source = choice.cache_source;
  BeginWork(gateway.upstreams, id);
  record.running->expected = choice.expected;
  record.running->prompt_tokens = choice.prompt_tokens;
  if (UpstreamState* upstream = FindUpstream(gateway.upstreams, id)) {
    CountPrompt(upstream->load, choice.prompt_tokens, turn.now);
    CountRequest(upstream->cold, turn.now);
    if (upstream->kind == UpstreamKind::kEngine) {
      const Prompt& prompt = record.arrival.head->prompt;
      Touch(upstream->cache, prompt);
      if (const PromptPart* part = LeadingPart(prompt)) {
        gateway.parts_read.push_back({MarkOf(id), *part});
      }
    }
  }
  turn.effects.emplace_back(ForUpstreams{std::move(start)});
}

// An answer is expected no more exactly than this.
constexpr double kExpectationSlack = 1.3;
// Part of an engine's time spent reading from which on generations are slow.
constexpr double kBusyReading = 0.6;
// Part of the objective within which an answer from here begins soon enough.
constexpr double kSoonEnough = 0.5;
// A request waits here no longer than this part of its objective.
constexpr double kLongestWaitPart = 0.4;
constexpr Duration kShortestWait = std::chrono::milliseconds(100);

[[nodiscard]] Duration Part(Duration duration, double part) {
  return std::chrono::duration_cast<Duration>(duration * part);
}

[[nodiscard]] bool FitsIn(const Turn& turn, const RequestRecord& record,
                          const Expectation& expected) {
  const Duration left = record.due - turn.now;
  // How long a generation takes is little known; it is refused for that only
  // where reading keeps the engines busy.
  const Duration needed = expected.reading < kBusyReading
                              ? expected.start
                              : Part(expected.end, 1 / kExpectationSlack);
  return needed <= left;
}

void Wait(Turn& turn, RequestRecord& record) {
  const RequestNumber number = record.arrival.number;
  const WaitingPlace place{record.verdict.service,
                           {record.verdict.priority, record.due, number}};
  if (record.place == place) {
    return;
  }
  // New rules may have given it another service or priority.
  if (record.place) {
    Dequeue(turn.gateway.waiting, *record.place);
  }
  record.place = place;
  if (turn.gateway.catalogue != nullptr && record.wait_until == TimePoint{}) {
    const Duration wait = std::max(
        kShortestWait, Part(record.verdict.objective, kLongestWaitPart));
    record.wait_until = turn.now + wait;
    turn.gateway.deadlines.emplace(record.wait_until, number);
  }
  const auto loser = Enqueue(turn.gateway.waiting, *record.place);
  if (!loser) {
    return;
  }
  RequestRecord& refused = turn.gateway.requests.at(*loser);
  refused.place.reset();
  Refuse(turn, refused, Overloaded(refused.outcome.run));
}

void RefusePlace(Turn& turn, RequestRecord& record) {
  const RequestHead& head = *record.arrival.head;
  const RunState run = record.outcome.run;
  if (record.attempts > 0) {
    return Refuse(turn, record, AttemptsFailed(record.last_failure, run));
  }
  if (record.verdict.regions) {
    return Refuse(turn, record, ResidencyUnserved(head, run));
  }
  Refuse(turn, record, NoCapacity(head, run));
}

// Nothing could answer it in time: said at once, with the time at which the
// queue here will have shrunk.
void RefuseOverload(Turn& turn, RequestRecord& record,
                    const Expectation& expected) {
  Problem problem = Overloaded(record.outcome.run);
  const Duration left = record.due - turn.now;
  constexpr double kPercent = 100;
  problem.detail = fmt::format(
      "an answer would begin in {} ms and end in {} ms at the upstream that "
      "is soonest, which reads prompts {:.0f}% of its time; {} ms are left",
      Milliseconds(expected.start), Milliseconds(expected.end),
      expected.reading * kPercent, Milliseconds(left));
  problem.retry_after = std::max(
      RetryAfter(left),
      std::min(expected.start - Part(record.verdict.objective, kSoonEnough),
               left / 3));
  Refuse(turn, record, std::move(problem));
}

// Requests of the product's own interface have no objective: any upstream that
// is free is soon enough.
[[nodiscard]] bool IsSoonEnough(const Gateway& gateway,
                                const RequestRecord& record,
                                const Expectation& expected) {
  return gateway.catalogue == nullptr ||
         expected.start <= Part(record.verdict.objective, kSoonEnough);
}

// A region that serves the request better than an upstream of here that would
// be soon enough.
[[nodiscard]] RemoteChoice BetterRegion(Turn& turn, const RequestRecord& record,
                                        const UpstreamChoice& local) {
  Gateway& gateway = turn.gateway;
  if (gateway.catalogue == nullptr) {
    return {};
  }
  const bool engine = record.arrival.head->prompt.tokens_in > 0;
  const RemoteChoice remote =
      engine ? ChooseKeeper(gateway, record, local, turn.now)
             : DrawRegion(gateway, record, local, turn.now);
  const bool soon =
      remote.peer != nullptr && IsSoonEnough(gateway, record, remote.expected);
  return soon ? remote : RemoteChoice{};
}

}  // namespace

bool MayForward(const RequestRecord& record) noexcept {
  return record.arrival.origin == Origin::kCaller && !record.resuming &&
         !record.keyed && record.passed.size() < kMaxPlaces - 1;
}

bool MayGoTo(const RequestRecord& record, const PeerConfig& peer) {
  const ::mimosagauge::Place place{peer.region, peer.id.value()};
  const bool passed = std::find(record.passed.begin(), record.passed.end(),
                                place) != record.passed.end();
  return !passed && AllowsRegion(record.verdict, peer.region);
}

void StartOnInstance(Turn& turn, RequestRecord& record,
                     const PeerConfig& peer) {
  auto head = std::make_shared<RequestHead>(*record.arrival.head);
  head->path = record.passed;
  head->revision = turn.gateway.catalogue != nullptr
                       ? turn.gateway.catalogue->revision
                       : turn.gateway.rules->revision;
  if (turn.gateway.catalogue != nullptr) {
    head->service = record.verdict.service;
  }
  head->remaining = record.due - turn.now;
  head->runs = record.runs;
  StartLinkAttempt start;
  start.attempt =
      BeginAttempt(turn, record, peer.id, {peer.region, peer.id.value()});
  start.instance = peer.id;
  start.remaining = head->remaining;
  start.head = std::move(head);
  start.body = record.arrival.body;
  start.credit = Window(turn.gateway, record);
  ++MetricsOf(turn.gateway, record).forwarded;
  turn.effects.emplace_back(ForLinks{std::move(start)});
}

void Place(Turn& turn, RequestNumber number) {
  Gateway& gateway = turn.gateway;
  RequestRecord& record = gateway.requests.at(number);
  // Decided anew each time: the rules may have changed while it waited.
  record.verdict = VerdictFor(gateway, record);
  if (record.verdict.service.empty()) {
    return Refuse(turn, record, NoService(*record.arrival.head));
  }
  const RegionId& region = gateway.config.region;
  const UpstreamNeed need = NeedOf(record);
  const bool here = AllowsRegion(record.verdict, region);
  std::optional<UpstreamChoice> local;
  if (here) {
    local = ChooseUpstream(gateway.upstreams, WeighedNeedOf(gateway, record),
                           gateway.config.zone, region, turn.now);
  }
  if (local && IsSoonEnough(gateway, record, local->expected)) {
    const RemoteChoice better = BetterRegion(turn, record, *local);
    return better.peer != nullptr ? StartOnInstance(turn, record, *better.peer)
                                  : StartOnUpstream(turn, record, *local);
  }
  // The product's own rules do not say what waiting costs, so a request leaves
  // its region only when nothing there can serve it.
  if (gateway.catalogue == nullptr && here &&
      CanServe(gateway.upstreams, need, region, turn.now)) {
    return Wait(turn, record);
  }
  const RemoteChoice remote = MayForward(record)
                                  ? ChooseRemote(gateway, record, turn.now)
                                  : RemoteChoice{};
  const bool sooner = remote.peer != nullptr &&
                      (!local || remote.expected.start < local->expected.start);
  if (sooner &&
      (gateway.catalogue == nullptr || FitsIn(turn, record, remote.expected))) {
    return StartOnInstance(turn, record, *remote.peer);
  }
  if (local) {
    return FitsIn(turn, record, local->expected)
               ? StartOnUpstream(turn, record, *local)
               : RefuseOverload(turn, record, local->expected);
  }
  if (here && CanServeLater(gateway.upstreams, need, region)) {
    return Wait(turn, record);
  }
  RefusePlace(turn, record);
}

void Dispatch(Turn& turn) {
  Gateway& gateway = turn.gateway;
  std::set<ServiceId> services = std::exchange(gateway.freed, {});
  if (std::exchange(gateway.all_freed, false)) {
    for (const auto& [service, line] : gateway.waiting.lines) {
      services.insert(service);
    }
  }
  for (const ServiceId& service : services) {
    for (const RequestNumber number :
         First(gateway.waiting, service, kDispatchWidth)) {
      // An earlier one in this loop may have pushed it out.
      if (FindRequest(gateway, number) != nullptr) {
        Place(turn, number);
      }
    }
  }
}

}  // namespace mimosagauge::detail
