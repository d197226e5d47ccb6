// Decisions of a placement coordinator alone: what it grants, in which order,
// and what it refuses.

#include <catch2/catch.hpp>
#include <optional>
#include <string>

#include "mimosagauge/impl/decisions/coordination/coordinator.h"
#include "mimosagauge/impl/decisions/coordination/selection.h"
#include "mimosagauge/impl/wire/placement_codec.h"

namespace mimosagauge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const InstanceId kOne{"one"};
const InstanceId kTwo{"two"};

// A coordinator with engines of 12 slots, and one clock.
struct Bench {
  explicit Bench(std::size_t engine_count) {
    for (std::size_t i = 0; i < engine_count; ++i) {
      UpstreamRecord record;
      record.config.id = UpstreamId{"e-" + std::to_string(i)};
      record.config.service = ServiceId{"engines"};
      record.config.concurrency = 12;
      UpstreamParameters parameters;
      parameters.kind = UpstreamKind::kEngine;
      parameters.cache_capacity = 100000;
      UpdateUpstream(upstreams, record, parameters, now);
    }
    AdoptEngines(coordinator, upstreams, now);
  }

  PlacementAnswer Ask(const InstanceId& from, std::uint64_t number,
                      std::uint8_t priority = 0,
                      std::optional<ElsewhereEstimate> elsewhere = {}) {
    PlacementRequest request;
    request.number = PlacementNumber{number};
    request.service = ServiceId{"engines"};
    request.prompt = {383, 50, {}};
    request.priority = priority;
    request.remaining = seconds(4);
    request.start_within = milliseconds(600);
    request.elsewhere = elsewhere;
    return Ask(from, request);
  }
  PlacementAnswer Ask(const InstanceId& from, const PlacementRequest& request) {
    PlacementAnswers answers;
    HandlePlacementRequest(coordinator, now, from, ZoneId{"a"}, request,
                           answers);
    REQUIRE(answers.size() == 1);
    return answers.front().answer;
  }
  void End(const InstanceId& from, std::uint64_t number) {
    PlacementMessage message;
    message.ended = {PlacementNumber{number}};
    HandlePlacementReports(coordinator, now, from, message);
  }
  PlacementAnswers Advance(Duration duration = {}) {
    now += duration;
    PlacementAnswers answers;
    AdvanceCoordinator(coordinator, now, false, answers);
    return answers;
  }
  // Grants all that the engine may be granted, 12 slots and 2 more, some time
  // ago.
  void Fill() {
    for (std::uint64_t number = 1000; number < 1014; ++number) {
      REQUIRE(Ask(kOne, number).decision == PlacementDecision::kGranted);
    }
    now += seconds(2);
  }

  TimePoint now{seconds(100)};
  UpstreamTable upstreams;
  Coordinator coordinator = MakeCoordinator();
};

TEST_CASE("an engine is never granted more than its slots and a short queue") {
  const auto [slots, allowance] =
      GENERATE(table<std::size_t, std::size_t>({{12, 2}, {16, 2}, {64, 8}}));
  CHECK(EngineQueueAllowance(slots) == allowance);
  Bench bench(3);
  std::size_t granted = 0;
  for (std::uint64_t number = 1; number < 100; ++number) {
    granted +=
        bench.Ask(kOne, number).decision == PlacementDecision::kGranted ? 1 : 0;
  }
  CHECK(granted == std::size_t{3} * 14);
  for (const UpstreamState& engine : bench.coordinator.engines.upstreams) {
    CHECK(engine.in_flight == 14);
  }
}

// Guards against a class that passes another one by arriving earlier.
TEST_CASE("freed slots go by priority, then by deadline") {
  Bench bench(1);
  bench.Fill();
  REQUIRE(bench.Ask(kOne, 1, 2).decision == PlacementDecision::kQueued);
  bench.now += milliseconds(10);
  REQUIRE(bench.Ask(kTwo, 2, 0).decision == PlacementDecision::kQueued);
  bench.now += milliseconds(10);
  REQUIRE(bench.Ask(kOne, 3, 0).decision == PlacementDecision::kQueued);
  std::vector<std::uint64_t> order;
  for (std::uint64_t number = 1000; number < 1003; ++number) {
    bench.End(kOne, number);
    for (const AddressedAnswer& one : bench.Advance()) {
      CHECK(one.answer.decision == PlacementDecision::kGranted);
      order.push_back(one.answer.number.value());
    }
  }
  CHECK(order == std::vector<std::uint64_t>{2, 3, 1});
}

TEST_CASE("a request that cannot start in time is refused at once") {
  Bench bench(1);
  bench.Fill();
  std::vector<Duration> times;
  std::size_t queued = 0;
  for (std::uint64_t number = 1; number < 60; ++number) {
    const PlacementAnswer answer = bench.Ask(kTwo, number);
    queued += answer.decision == PlacementDecision::kQueued ? 1 : 0;
    if (answer.decision == PlacementDecision::kRefused) {
      times.push_back(answer.time);
    }
  }
  // 12 slots held for 400 ms each start 30 requests a second.
  CHECK(queued > 5);
  CHECK(queued < 15);
  // Callers that are refused together do not return together.
  REQUIRE(times.size() > 10);
  for (std::size_t i = 1; i < 8; ++i) {
    CHECK(times[i] > times[i - 1]);
  }
  CHECK(times.front() >= milliseconds(50));
  CHECK(times.back() <= seconds(1));
}

TEST_CASE("a waiting request is refused when its wait is over") {
  Bench bench(1);
  bench.Fill();
  const PlacementAnswer queued = bench.Ask(kTwo, 1);
  REQUIRE(queued.decision == PlacementDecision::kQueued);
  CHECK(bench.Advance(queued.time - milliseconds(1)).empty());
  const PlacementAnswers answers = bench.Advance(milliseconds(1));
  REQUIRE(answers.size() == 1);
  CHECK(answers.front().answer.decision == PlacementDecision::kRefused);
  CHECK(bench.coordinator.waiting.empty());
}

TEST_CASE("a request that another region serves sooner leaves") {
  Bench bench(1);
  bench.Fill();
  const Duration start = GENERATE(milliseconds(5), milliseconds(500));
  const auto decision =
      bench.Ask(kTwo, 1, 0, ElsewhereEstimate{start, 383, false}).decision;
  CHECK(decision == (start == milliseconds(5) ? PlacementDecision::kElsewhere
                                              : PlacementDecision::kQueued));
}

// Guards against grants that are counted for ever after a lost report.
TEST_CASE("what ends a grant frees its slot once") {
  enum class End { kReport, kRefusal, kState, kTime, kInstance };
  const End end = GENERATE(End::kReport, End::kRefusal, End::kState, End::kTime,
                           End::kInstance);
  CAPTURE(static_cast<int>(end));
  Bench bench(1);
  REQUIRE(bench.Ask(kOne, 1).decision == PlacementDecision::kGranted);
  REQUIRE(bench.Ask(kTwo, 1).decision == PlacementDecision::kGranted);
  PlacementMessage message;
  message.ended = {PlacementNumber{1}};
  if (end == End::kRefusal) {
    std::swap(message.ended, message.refused);
  } else if (end == End::kState) {
    message.ended.clear();
    message.state_of = {ServiceId{"engines"}};
  }
  if (end == End::kTime) {
    static_cast<void>(bench.Advance(seconds(3)));
    CHECK(bench.coordinator.grants.size() == 2);
    static_cast<void>(bench.Advance(seconds(2)));
    CHECK(bench.coordinator.grants.empty());
    CHECK(bench.coordinator.engines.upstreams.front().in_flight == 0);
    return;
  }
  for (int twice = 0; twice < 2; ++twice) {
    if (end == End::kInstance) {
      RemoveInstancePlacements(bench.coordinator, kOne);
    } else {
      HandlePlacementReports(bench.coordinator, bench.now, kOne, message);
    }
  }
  const UpstreamState& engine = bench.coordinator.engines.upstreams.front();
  CHECK(bench.coordinator.grants.size() == 1);
  CHECK(engine.in_flight == 1);
  CHECK(engine.load.unread_tokens == 383);
  CHECK(bench.coordinator.expiries.size() == 1);
}

TEST_CASE("a state report keeps what it names and adds what is missing") {
  Bench bench(1);
  REQUIRE(bench.Ask(kOne, 1).decision == PlacementDecision::kGranted);
  REQUIRE(bench.Ask(kOne, 2).decision == PlacementDecision::kGranted);
  REQUIRE(bench.Ask(kOne, 3).decision == PlacementDecision::kGranted);
  PlacementMessage message;
  message.state_of = {ServiceId{"engines"}};
  message.pending = {PlacementNumber{1}};  // Its grant is on the way.
  const UpstreamHash engine = HashUpstreamId(UpstreamId{"e-0"});
  message.running = {{PlacementNumber{2}, engine, 0, seconds(1)},
                     {PlacementNumber{9}, engine, 100, seconds(1)}};
  HandlePlacementReports(bench.coordinator, bench.now, kOne, message);
  std::vector<std::uint64_t> numbers;
  for (const auto& [key, grant] : bench.coordinator.grants) {
    numbers.push_back(key.second.value());
  }
  CHECK(numbers == std::vector<std::uint64_t>{1, 2, 9});
}

// Guards against reading a part again because its engine is full for a moment.
TEST_CASE("a request waits a while for the full engine that has its parts") {
  Bench bench(2);
  PlacementRequest request;
  request.service = ServiceId{"engines"};
  request.prompt = {17020, 120, {{7, 13300}, {}}};
  request.remaining = seconds(6);
  request.start_within = milliseconds(800);
  request.number = PlacementNumber{1};
  const UpstreamHash home = bench.Ask(kOne, request).upstream;
  for (std::uint64_t number = 2; number < 15; ++number) {
    request.number = PlacementNumber{number};
    REQUIRE(bench.Ask(kOne, request).upstream == home);
    PlacementMessage begun;
    begun.begun = {{request.number, milliseconds(50)}};
    HandlePlacementReports(bench.coordinator, bench.now, kOne, begun);
  }
  request.number = PlacementNumber{15};
  REQUIRE(bench.Ask(kOne, request).decision == PlacementDecision::kQueued);
  const bool freed = GENERATE(true, false);
  if (freed) {
    bench.End(kOne, 3);
  }
  CHECK(bench.Advance(milliseconds(10)).size() == (freed ? 1 : 0));
  bench.coordinator.freed.insert(request.service);
  const PlacementAnswers later = bench.Advance(milliseconds(300));
  CHECK(later.size() == (freed ? 0 : 1));
  if (!freed) {
    CHECK(later.front().answer.upstream != home);
  }
}

// Guards against placement by the paces that only the coordinator's own
// requests have shown.
TEST_CASE("load reports of other instances give the pace of engines") {
  Bench bench(2);
  const UpstreamHash slow = HashUpstreamId(UpstreamId{"e-0"});
  PlacementMessage sent;
  sent.loads = {{slow, {3, 1, 12, 4.0}}};
  const PlacementMessage message =
      DecodePlacementMessage(EncodePlacementMessage(sent)).value();
  HandlePlacementReports(bench.coordinator, bench.now, kTwo, message);
  const UpstreamState& engine = *FindUpstream(bench.coordinator.engines, slow);
  CHECK(engine.pace.slowdown == Approx(4));
  CHECK(engine.load.report.running == 3);
  CHECK(engine.load.report.waiting == 1);
  for (std::uint64_t number = 1; number < 5; ++number) {
    CHECK(bench.Ask(kOne, number).upstream != slow);
  }
}

// Guards against grants at an engine whose slots others use, and against
// requests that have just ended being taken for such others.
TEST_CASE("requests that an engine reports and nobody knows take its slots") {
  const auto [reports, unknown] = GENERATE(
      table<std::size_t, std::size_t>({{1, 0}, {2, 0}, {12, 13}, {24, 13}}));
  CAPTURE(reports);
  Bench bench(1);
  const UpstreamHash hash = HashUpstreamId(UpstreamId{"e-0"});
  PlacementMessage message;
  message.loads = {{hash, {12, 1, 12, {}}}};
  for (std::size_t i = 0; i < reports; ++i) {
    HandlePlacementReports(bench.coordinator, bench.now, kTwo, message);
    bench.now += milliseconds(10);
  }
  const UpstreamState& engine = *FindUpstream(bench.coordinator.engines, hash);
  CHECK(LoadOfOtherInstances(engine.load, true, bench.now).in_flight ==
        unknown);
  message.loads.front().report.running = 0;
  message.loads.front().report.waiting = 0;
  HandlePlacementReports(bench.coordinator, bench.now, kTwo, message);
  CHECK(LoadOfOtherInstances(engine.load, true, bench.now).in_flight == 0);
}

TEST_CASE("the slowness of engines is learned from all instances") {
  Bench bench(1);
  const PlacementAnswer answer = bench.Ask(kTwo, 1);
  PlacementMessage message;
  message.begun = {{PlacementNumber{1}, answer.start * 3}};
  HandlePlacementReports(bench.coordinator, bench.now, kTwo, message);
  CHECK(bench.coordinator.engines.upstreams.front().load.slowness == Approx(2));
}

TEST_CASE("a repeated request has one grant") {
  Bench bench(2);
  const PlacementAnswer first = bench.Ask(kOne, 1);
  const PlacementAnswer again = bench.Ask(kOne, 1);
  CHECK(again.decision == PlacementDecision::kGranted);
  CHECK(again.upstream == first.upstream);
  CHECK(bench.coordinator.grants.size() == 1);
}

TEST_CASE("engines that may not be used are not granted") {
  enum class Why { kLeaving, kEvacuated, kEjected, kCold, kTried, kGone };
  const Why why = GENERATE(Why::kLeaving, Why::kEvacuated, Why::kEjected,
                           Why::kCold, Why::kTried, Why::kGone);
  CAPTURE(static_cast<int>(why));
  Bench bench(2);
  PlacementRequest request;
  request.number = PlacementNumber{1};
  request.service = ServiceId{"engines"};
  request.remaining = seconds(1);
  UpstreamState& first = bench.upstreams.upstreams.front();
  first.leaving = why == Why::kLeaving;
  first.evacuated = why == Why::kEvacuated;
  first.health.ejected_until =
      bench.now + seconds(why == Why::kEjected ? 1 : 0);
  first.rate.cold_rate = 4;
  first.rate.cold_until = bench.now + seconds(why == Why::kCold ? 1 : 0);
  if (why == Why::kTried) {
    request.tried = {HashUpstreamId(first.config.id)};
  }
  if (why == Why::kGone) {
    EraseUpstream(bench.upstreams, UpstreamId{"e-0"});
    AdoptEngines(bench.coordinator, bench.upstreams, bench.now);
  }
  AdoptEngineHealth(bench.coordinator, bench.upstreams, bench.now);
  const PlacementAnswer answer = bench.Ask(kOne, request);
  REQUIRE(answer.decision == PlacementDecision::kGranted);
  CHECK(answer.upstream == HashUpstreamId(UpstreamId{"e-1"}));
}

TEST_CASE("coordinators are ranked by memory and move only with losses") {
  std::vector<CoordinatorCandidate> candidates;
  candidates.reserve(10);
  for (int i = 0; i < 10; ++i) {
    candidates.push_back({InstanceId{"i" + std::to_string(i)},
                          Kibibytes(i == 0 ? 512 * 1024 : 128 * 1024)});
  }
  std::size_t large = 0;
  constexpr std::size_t kServices = 2000;
  for (std::size_t s = 0; s < kServices; ++s) {
    const ServiceId service{"s" + std::to_string(s)};
    const auto ranked = RankCoordinators(service, candidates);
    large += ranked.front() == candidates.front().id ? 1 : 0;
    std::vector<CoordinatorCandidate> fewer(candidates.begin(),
                                            candidates.end() - 1);
    const auto without = RankCoordinators(service, fewer);
    const bool lost = ranked.front() == candidates.back().id;
    CHECK(without.front() == (lost ? ranked.at(1) : ranked.front()));
  }
  // 512 of 1,664 MiB.
  CHECK(large > kServices * 27 / 100);
  CHECK(large < kServices * 35 / 100);
}

}  // namespace
}  // namespace mimosagauge
