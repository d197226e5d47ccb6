// Decisions of a placement coordinator: grant, queue, refuse or elsewhere.

#include "mimosagauge/impl/decisions/coordination/coordinator.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <optional>
#include <utility>

#include "mimosagauge/impl/decisions/coordination/ledger.h"
#include "mimosagauge/impl/decisions/rendezvous.h"

namespace mimosagauge {
namespace {

using detail::AddGrant;

// Requests that wait at once; each takes about 300 bytes.
constexpr std::size_t kQueueCapacity = 4096;
// Waiting requests that are tried in one round, and how many of them may find
// no engine before the rest is left waiting: a request that needs a certain
// model or engine does not hold up those behind it.
constexpr std::size_t kRound = 64;
constexpr std::size_t kMisfits = 3;
// Costs that differ by less than this are equal; then the less loaded engine is
// chosen.
constexpr Duration kCostTolerance = std::chrono::milliseconds(5);
// Fraction of its objective for which a request may wait here, less the time
// that an idle engine needs to begin the response.
constexpr double kWaitFraction = 0.6;
// The same without an objective, as a fraction of the time until it is due.
constexpr double kWaitFractionOfDue = 0.4;
constexpr Duration kMinWait = std::chrono::milliseconds(20);
// A request stays in its region if its response is expected to begin within
// this fraction of the time left for that.
constexpr double kStayFraction = 0.5;
// Factor by which an expected start may be wrong.
constexpr double kEstimateErrorFactor = 1.3;
// Time constant of the arrival rates. Peaks rise within one second.
constexpr Duration kArrivalWindow = std::chrono::milliseconds(300);
// Smallest fraction of the capacity that a priority is expected to get while
// more urgent requests take the rest.
constexpr double kMinCapacityFraction = 0.05;
// Fraction of the capacity that refused requests are spread over when they
// return.
constexpr double kReturnFraction = 0.5;
// Callers with little time do not come back after a longer wait.
constexpr Duration kMaxReturn = std::chrono::seconds(1);
constexpr Duration kMinReturn = std::chrono::milliseconds(50);

[[nodiscard]] double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

[[nodiscard]] Duration FromSeconds(double seconds) {
  constexpr double kLongest = 3600;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::min(seconds, kLongest)));
}

[[nodiscard]] std::size_t PriorityIndex(std::uint8_t priority) {
  return std::min<std::size_t>(priority, Verdict::kLowestPriority);
}

void DecayArrivals(ServicePace& pace, TimePoint now) {
  const double factor =
      std::exp(-Seconds(now - pace.decayed_at) / Seconds(kArrivalWindow));
  for (double& count : pace.arrivals) {
    count *= factor;
  }
  pace.decayed_at = now;
}

// Returns the requests per second that the usable engines of a service end.
[[nodiscard]] double CapacityRate(const Coordinator& coordinator,
                                  const ServiceId& service,
                                  const ServicePace& pace, TimePoint now) {
  const auto found = coordinator.engines.services.find(service);
  if (found == coordinator.engines.services.end()) {
    return 0;
  }
  std::size_t slots = 0;
  for (const std::size_t position : found->second.all) {
    const UpstreamState& engine = coordinator.engines.upstreams[position];
    const bool usable =
        !engine.leaving && !engine.evacuated && IsEligible(engine.health, now);
    slots += usable ? engine.config.concurrency : 0;
  }
  return static_cast<double>(slots) / Seconds(pace.hold);
}

// Requests that wait for the service, and those of them that come before an
// entry.
struct Line {
  std::size_t length = 0;
  std::size_t ahead = 0;
};

[[nodiscard]] Line LineBefore(const Coordinator& coordinator,
                              const QueuedRequest& position) {
  const auto line = coordinator.queue.lines.find(position.service);
  if (line == coordinator.queue.lines.end()) {
    return {};
  }
  const auto ahead = std::distance(line->second.begin(),
                                   line->second.lower_bound(position.entry));
  return {line->second.size(), static_cast<std::size_t>(ahead)};
}

// Expected time until a request at this position is granted, and until the
// whole line is.
struct WaitEstimate {
  Duration own{};
  Duration line{};
  double rate = 0;  // Requests per second that the service can start.
};

[[nodiscard]] WaitEstimate EstimateWait(Coordinator& coordinator,
                                        const QueuedRequest& position,
                                        TimePoint now) {
  ServicePace& pace = coordinator.paces[position.service];
  DecayArrivals(pace, now);
  WaitEstimate estimate;
  estimate.rate = CapacityRate(coordinator, position.service, pace, now);
  if (estimate.rate <= 0) {
    return {kMaxReturn, kMaxReturn, 0};
  }
  // More urgent requests that arrive meanwhile are started first.
  double more_urgent = 0;
  for (std::size_t i = 0; i < PriorityIndex(position.entry.priority); ++i) {
    more_urgent += pace.arrivals.at(i);
  }
  more_urgent /= Seconds(kArrivalWindow);
  const double own_rate = std::max(estimate.rate - more_urgent,
                                   estimate.rate * kMinCapacityFraction);
  const Line line = LineBefore(coordinator, position);
  estimate.own = FromSeconds(static_cast<double>(line.ahead + 1) / own_rate);
  estimate.line = FromSeconds(static_cast<double>(line.length + 1) / own_rate);
  return estimate;
}

// Returns the Retry-After of a refused request: when the line is expected to be
// served, and each request a little later than the one before, so that those
// that return find capacity and do not meet.
[[nodiscard]] Duration ReturnTime(Coordinator& coordinator,
                                  const QueuedRequest& position,
                                  TimePoint now) {
  const WaitEstimate estimate = EstimateWait(coordinator, position, now);
  ServicePace& pace = coordinator.paces[position.service];
  const TimePoint earliest =
      now + std::clamp(estimate.line, kMinReturn, kMaxReturn);
  const TimePoint next = std::max(earliest, pace.next_return);
  constexpr double kSlowest = 10;
  pace.next_return =
      next +
      FromSeconds(1 / std::max(kSlowest, estimate.rate * kReturnFraction));
  const Duration time = next - now;
  if (time <= kMaxReturn) {
    return time;
  }
  // Too many to give each a time of its own.
  pace.next_return = now + kMaxReturn;
  constexpr std::uint64_t kSteps = 1000;
  const std::uint64_t draw =
      RendezvousWeight(++coordinator.draws, position.service.value()) % kSteps;
  return kMaxReturn / 2 +
         kMaxReturn / 2 / kSteps * static_cast<Duration::rep>(draw);
}

void Refuse(Coordinator& coordinator, const WaitingPlacement& waiting,
            TimePoint now, PlacementAnswers& answers) {
  PlacementAnswer answer;
  answer.number = waiting.request.number;
  answer.decision = PlacementDecision::kRefused;
  answer.time = ReturnTime(coordinator, waiting.position, now);
  answers.push_back({waiting.from, answer});
}

void SendElsewhere(const WaitingPlacement& waiting, PlacementAnswers& answers) {
  PlacementAnswer answer;
  answer.number = waiting.request.number;
  answer.decision = PlacementDecision::kElsewhere;
  answers.push_back({waiting.from, answer});
}

[[nodiscard]] UpstreamHash SourceOf(const Coordinator& coordinator,
                                    const UpstreamChoice& choice) {
  if (choice.cache_source) {
    for (const UpstreamState& engine : coordinator.engines.upstreams) {
      if (engine.config.endpoint == *choice.cache_source) {
        return HashUpstreamId(engine.config.id);
      }
    }
  }
  return {};
}

void Grant(Coordinator& coordinator, const WaitingPlacement& waiting,
           const UpstreamChoice& choice, TimePoint now,
           PlacementAnswers& answers) {
  UpstreamState& engine = *FindUpstream(coordinator.engines, choice.id);
  PlacementAnswer answer;
  answer.number = waiting.request.number;
  answer.decision = PlacementDecision::kGranted;
  answer.upstream = HashUpstreamId(choice.id);
  answer.cache_source = SourceOf(coordinator, choice);
  answer.start = choice.expected.start;
  // The choice assumes that the preferred engine caches a part; here it is
  // known whether it does.
  answer.prompt_tokens =
      choice.cache_source || waiting.request.prompt.tokens_in == 0
          ? static_cast<std::uint32_t>(choice.prompt_tokens)
          : UncachedTokens(engine.cache, waiting.request.prompt);
  Touch(engine.cache, waiting.request.prompt);
  PlacementGrant grant;
  grant.service = waiting.request.service;
  grant.upstream = answer.upstream;
  grant.unread_tokens = answer.prompt_tokens;
  grant.expected_start = choice.expected.start;
  grant.granted_at = now;
  grant.expires = waiting.due + detail::kGrantGrace;
  AddGrant(coordinator, {waiting.from, waiting.request.number}, grant, now);
  answers.push_back({waiting.from, answer});
}

[[nodiscard]] bool IsBetterElsewhere(const Coordinator& coordinator,
                                     const WaitingPlacement& waiting,
                                     const UpstreamChoice& choice,
                                     TimePoint now) {
  const auto& elsewhere = waiting.request.elsewhere;
  if (!elsewhere) {
    return false;
  }
  const Duration left = waiting.start_by - now;
  if (choice.expected.start > left * kStayFraction &&
      elsewhere->start < choice.expected.start) {
    return true;
  }
  const EngineSpeeds& speeds = coordinator.engines.speeds;
  LatencyEstimate there;
  there.start = elsewhere->start;
  return elsewhere->part_cached && !choice.part_cached &&
         elsewhere->start <= left * kStayFraction &&
         PlacementCost(there, elsewhere->prompt_tokens, speeds) <
             PlacementCost(choice.expected, choice.prompt_tokens, speeds);
}

// Returns whether a response at the chosen engine would begin too late because
// of other requests there. An idle engine is never refused: its estimate could
// then not be corrected.
[[nodiscard]] bool IsTooLate(Coordinator& coordinator,
                             const WaitingPlacement& waiting,
                             const UpstreamChoice& choice, TimePoint now) {
  const UpstreamState& engine = *FindUpstream(coordinator.engines, choice.id);
  const bool busy = engine.load.unread_tokens > 0 ||
                    engine.in_flight >= engine.config.concurrency;
  const Duration left = waiting.start_by - now;
  return busy && choice.expected.start / kEstimateErrorFactor > left;
}

// Returns whether an engine without room caches the shared parts of the prompt,
// which the chosen engine would have to read.
[[nodiscard]] bool IsCachedAtFullEngine(const Coordinator& coordinator,
                                        const WaitingPlacement& waiting,
                                        TimePoint now) {
  const Prompt& prompt = waiting.request.prompt;
  const auto service =
      coordinator.engines.services.find(waiting.request.service);
  if (MostSpecificSharedPart(prompt) == nullptr ||
      service == coordinator.engines.services.end()) {
    return false;
  }
  const std::uint32_t own_tokens =
      prompt.tokens_in - std::min(prompt.tokens_in, SharedTokens(prompt));
  return std::any_of(
      service->second.all.begin(), service->second.all.end(),
      [&](std::size_t position) {
        const UpstreamState& engine = coordinator.engines.upstreams[position];
        return !engine.leaving && !engine.evacuated &&
               IsEligible(engine.health, now) &&
               engine.in_flight >= engine.limit &&
               UncachedTokens(engine.cache, prompt) == own_tokens;
      });
}

enum class Attempted : std::uint8_t {
  kDecided,  // Granted, refused or sent elsewhere.
  kNoRoom,
  kHeld,  // An engine has room, but a better one is expected to have it soon.
};

// Decides about a request if an engine has room for it.
[[nodiscard]] Attempted TryDecide(Coordinator& coordinator,
                                  const WaitingPlacement& waiting,
                                  TimePoint now, PlacementAnswers& answers) {
  UpstreamNeed need;
  need.service = waiting.request.service;
  need.model = waiting.request.model;
  need.resume = waiting.request.resume;
  for (const UpstreamHash tried : waiting.request.tried) {
    if (const UpstreamState* engine =
            FindUpstream(coordinator.engines, tried)) {
      need.avoid.push_back({RegionId{}, engine->config.id.value()});
    }
  }
  const bool sized = waiting.request.prompt.tokens_in > 0;
  need.prompt = sized ? &waiting.request.prompt : nullptr;
  need.spread = kCostTolerance;
  need.balance = true;
  const std::optional<UpstreamChoice> choice =
      ChooseUpstream(coordinator.engines, need, waiting.zone, RegionId{}, now);
  if (!choice) {
    return Attempted::kNoRoom;
  }
  if (!choice->part_cached && now < waiting.hold_until &&
      IsCachedAtFullEngine(coordinator, waiting, now)) {
    return Attempted::kHeld;
  }
  if (IsBetterElsewhere(coordinator, waiting, *choice, now)) {
    SendElsewhere(waiting, answers);
  } else if (IsTooLate(coordinator, waiting, *choice, now)) {
    Refuse(coordinator, waiting, now, answers);
  } else {
    Grant(coordinator, waiting, *choice, now, answers);
  }
  return Attempted::kDecided;
}

[[nodiscard]] WaitingPlacement MakeWaiting(Coordinator& coordinator,
                                           const InstanceId& from,
                                           const ZoneId& zone,
                                           const PlacementRequest& request,
                                           TimePoint now) {
  WaitingPlacement waiting;
  waiting.from = from;
  waiting.zone = zone;
  waiting.request = request;
  waiting.due = now + request.remaining;
  const bool has_objective = request.start_within > Duration::zero();
  waiting.start_by = has_objective
                         ? std::min(now + request.start_within, waiting.due)
                         : waiting.due;
  const EngineSpeeds& speeds = coordinator.engines.speeds;
  const std::uint32_t own_tokens =
      request.prompt.tokens_in -
      std::min(request.prompt.tokens_in, SharedTokens(request.prompt));
  const Duration patience =
      std::chrono::duration_cast<Duration>(
          (waiting.start_by - now) *
          (has_objective ? kWaitFraction : kWaitFractionOfDue)) -
      speeds.first_token - PrefillTime(own_tokens, speeds);
  // No longer than reading the parts would take.
  waiting.hold_until =
      now + std::min(PrefillTime(request.prompt.tokens_in - own_tokens, speeds),
                     patience / 2);
  waiting.give_up =
      now + std::min(request.remaining, std::max(patience, kMinWait));
  coordinator.last_waiting = coordinator.last_waiting.next();
  waiting.position = {
      request.service,
      {request.priority, waiting.due, coordinator.last_waiting}};
  return waiting;
}

void RemoveWaitingPlacement(Coordinator& coordinator, RequestNumber number) {
  detail::RemoveWaitingPlacement(coordinator, number);
}

void QueuePlacement(Coordinator& coordinator, WaitingPlacement&& waiting,
                    TimePoint now, PlacementAnswers& answers) {
  PlacementAnswer answer;
  answer.number = waiting.request.number;
  answer.decision = PlacementDecision::kQueued;
  answer.time = waiting.give_up - now;
  answers.push_back({waiting.from, answer});
  const RequestNumber number = waiting.position.entry.number;
  coordinator.waiting_numbers.emplace(
      PlacementKey{waiting.from, waiting.request.number}, number);
  coordinator.give_ups.emplace(waiting.give_up, number);
  const auto displaced = Enqueue(coordinator.queue, waiting.position);
  coordinator.freed.insert(waiting.request.service);
  coordinator.waiting.emplace(number, std::move(waiting));
  if (displaced) {
    const WaitingPlacement last = coordinator.waiting.at(*displaced);
    RemoveWaitingPlacement(coordinator, *displaced);
    Refuse(coordinator, last, now, answers);
  }
}

// Answers a request that was decided before and not ended since.
// \returns Whether there is such a decision.
[[nodiscard]] bool RepeatAnswer(Coordinator& coordinator, TimePoint now,
                                const PlacementKey& key,
                                PlacementAnswers& answers) {
  PlacementAnswer answer;
  answer.number = key.second;
  if (const auto grant = coordinator.grants.find(key);
      grant != coordinator.grants.end()) {
    answer.decision = PlacementDecision::kGranted;
    answer.upstream = grant->second.upstream;
    answer.start = grant->second.expected_start;
    answer.prompt_tokens = grant->second.unread_tokens;
    answers.push_back({key.first, answer});
    return true;
  }
  if (const auto number = coordinator.waiting_numbers.find(key);
      number != coordinator.waiting_numbers.end()) {
    answer.decision = PlacementDecision::kQueued;
    answer.time = coordinator.waiting.at(number->second).give_up - now;
    answers.push_back({key.first, answer});
    return true;
  }
  return false;
}

// Decides about the first waiting requests of a service.
void DispatchService(Coordinator& coordinator, const ServiceId& service,
                     TimePoint now, PlacementAnswers& answers) {
  bool progress = true;
  while (progress) {
    progress = false;
    std::size_t misfits = 0;
    for (const RequestNumber number :
         First(coordinator.queue, service, kRound)) {
      const Attempted result =
          TryDecide(coordinator, coordinator.waiting.at(number), now, answers);
      if (result == Attempted::kDecided) {
        RemoveWaitingPlacement(coordinator, number);
        progress = true;
      } else if (result == Attempted::kNoRoom && ++misfits == kMisfits) {
        return;
      }
    }
  }
}

}  // namespace

std::size_t EngineQueueAllowance(std::size_t slots) noexcept {
  // At 12 slots held for 200 ms each, 1.3 requests end in the 21.6 ms of four
  // hops between zones 5.4 ms apart.
  constexpr std::size_t kMinimum = 2;
  constexpr std::size_t kSlotsPerRequest = 8;
  return std::max(kMinimum, slots / kSlotsPerRequest);
}

Coordinator MakeCoordinator() {
  Coordinator coordinator;
  coordinator.queue.capacity = kQueueCapacity;
  return coordinator;
}

void HandlePlacementRequest(Coordinator& coordinator, TimePoint now,
                            const InstanceId& from, const ZoneId& zone,
                            const PlacementRequest& request,
                            PlacementAnswers& answers) {
  if (RepeatAnswer(coordinator, now, {from, request.number}, answers)) {
    return;
  }
  ServicePace& pace = coordinator.paces[request.service];
  DecayArrivals(pace, now);
  ++pace.arrivals.at(PriorityIndex(request.priority));
  WaitingPlacement waiting = MakeWaiting(coordinator, from, zone, request, now);
  if (LineBefore(coordinator, waiting.position).ahead == 0 &&
      TryDecide(coordinator, waiting, now, answers) == Attempted::kDecided) {
    return;
  }
  const WaitEstimate estimate =
      EstimateWait(coordinator, waiting.position, now);
  if (request.elsewhere && request.elsewhere->start < estimate.own) {
    return SendElsewhere(waiting, answers);
  }
  if (now + estimate.own > waiting.give_up) {
    return Refuse(coordinator, waiting, now, answers);
  }
  QueuePlacement(coordinator, std::move(waiting), now, answers);
}

void AdvanceCoordinator(Coordinator& coordinator, TimePoint now, bool retry_all,
                        PlacementAnswers& answers) {
  while (!coordinator.expiries.empty() &&
         coordinator.expiries.begin()->first <= now) {
    const PlacementKey key = coordinator.expiries.begin()->second;
    detail::EndGrant(coordinator, key, now);
  }
  while (!coordinator.give_ups.empty() &&
         coordinator.give_ups.begin()->first <= now) {
    const RequestNumber number = coordinator.give_ups.begin()->second;
    const WaitingPlacement waiting = coordinator.waiting.at(number);
    RemoveWaitingPlacement(coordinator, number);
    Refuse(coordinator, waiting, now, answers);
  }
  std::set<ServiceId> services = std::exchange(coordinator.freed, {});
  if (retry_all) {
    for (const auto& [service, line] : coordinator.queue.lines) {
      services.insert(service);
    }
  }
  for (const ServiceId& service : services) {
    DispatchService(coordinator, service, now, answers);
  }
}

}  // namespace mimosagauge
