// Expectations of an upstream follow what is known of its queue.

#include "mimosagauge/impl/decisions/engine_load.h"

#include <catch2/catch.hpp>

#include "mimosagauge/impl/decisions/shared_rate.h"

namespace mimosagauge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(100)};

[[nodiscard]] LatencyQuery Generation(double prompt, double output) {
  return {true, prompt, output, 0, 64};
}

// Its requests end sooner than the instances' words about them go round.
TEST_CASE("a plain service's own new report counts before others' words") {
  struct Case {
    Duration age;
    std::size_t in_flight;
  };
  const Case one =
      GENERATE(values<Case>({{milliseconds(100), 20}, {milliseconds(600), 3}}));
  EngineLoad load;
  RecordLoadReport(load, {6, 14, 6}, 0, kStart);
  RecordPeerLoad(load, InstanceId{"other"}, {3, 0, kStart}, 0, kStart);
  CHECK(LoadOfOtherInstances(load, false, kStart + one.age).in_flight ==
        one.in_flight);
  CHECK(LoadOfOtherInstances(load, true, kStart + one.age).in_flight == 3);
}

TEST_CASE("time in a plain service's queue is not taken for its work") {
  EngineLoad load;
  RecordLoadReport(load, {6, 12, 6}, 0, kStart);
  RecordServiceTime(load, milliseconds(180));
  CHECK(load.service_time == milliseconds(60));
}

TEST_CASE("the more there is to read, the later an answer begins") {
  const EngineSpeeds speeds;
  EngineLoad load;
  const Duration alone =
      Expect(load, Generation(5000, 100), speeds, kStart).start;
  CHECK(alone == speeds.first_token + milliseconds(100));
  RecordPromptSent(load, 50000, kStart);
  CHECK(Expect(load, Generation(5000, 100), speeds, kStart).start ==
        alone + seconds(1));
}

TEST_CASE("reading slows the answers of the whole batch") {
  const EngineSpeeds speeds;
  EngineLoad idle;
  EngineLoad busy;
  RecordPromptSent(busy, 75000, kStart);  // 1.5 s of reading.
  const auto generation = [&](const EngineLoad& load) {
    const LatencyEstimate expected =
        Expect(load, Generation(0, 120), speeds, kStart);
    return expected.end - expected.start;
  };
  CHECK(generation(idle) == 120 * speeds.step);
  CHECK(generation(busy) > 8 * generation(idle));
  SECTION("and that fades once nothing more comes") {
    const LatencyEstimate later =
        Expect(busy, Generation(0, 120), speeds, kStart + seconds(30));
    CHECK(later.reading < 0.01);
  }
}

TEST_CASE("a plain service's queue counts in rounds of its slots") {
  const EngineSpeeds speeds;
  EngineLoad load;
  RecordServiceTime(load, milliseconds(30));
  const auto [in_flight, rounds] = GENERATE(table<std::size_t, double>(
      {{0, 0}, {5, 0}, {6, 1.0 / 6}, {11, 1}, {17, 2}}));
  CAPTURE(in_flight);
  const LatencyQuery question{false, 0, 0, in_flight, 6};
  const LatencyEstimate expected = Expect(load, question, speeds, kStart);
  const double share = static_cast<double>(in_flight) / 36;
  const auto wanted = std::chrono::duration_cast<Duration>(
      Duration(milliseconds(30)) * (rounds + share));
  CHECK(expected.start - wanted < milliseconds(1));
  CHECK(wanted - expected.start < milliseconds(1));
}

TEST_CASE("without another instance's word the upstream's own report counts") {
  EngineLoad load;
  RecordLoadReport(load, {20, 10, 64}, 12, kStart);
  CHECK(LoadOfOtherInstances(load, true, kStart).in_flight == 18);
  CHECK(LoadOfOtherInstances(load, true, kStart).unread_tokens > 0);
  RecordPeerLoad(load, InstanceId{"other"}, {5, 100, kStart}, 0, kStart);
  CHECK(LoadOfOtherInstances(load, true, kStart).in_flight == 5);
  CHECK(LoadOfOtherInstances(load, true, kStart + seconds(60)).in_flight == 0);
}

TEST_CASE("an upstream that is slower than expected is expected to be slow") {
  EngineLoad load;
  for (int i = 0; i < 100; ++i) {
    RecordResponseStart(load, milliseconds(100), milliseconds(200));
  }
  CHECK(load.slowness > 1.8);
  for (int i = 0; i < 1000; ++i) {
    RecordResponseStart(load, milliseconds(100), seconds(1000));
  }
  CHECK(load.slowness <= 8);
}

TEST_CASE("a cold upstream gets its rate from its owner, and nothing else") {
  SharedRate cold;
  cold.cold_rate = 4.5;
  ExtendColdPeriod(cold, seconds(3), kStart);
  CHECK_FALSE(AllowsRequest(cold, kStart));
  cold.owned = true;
  // Over any second at most the rate and one more, whatever is asked for.
  int sent = 0;
  for (int ms = 0; ms < 3000; ms += 10) {
    const TimePoint now = kStart + milliseconds(ms);
    if (AllowsRequest(cold, now)) {
      ConsumeRequestToken(cold, now);
      ++sent;
    }
  }
  CHECK(sent >= 9);
  CHECK(sent <= 3 * 4.5 + 1);
  CHECK_FALSE(IsRateLimited(cold, kStart + seconds(4)));
  CHECK(AllowsRequest(cold, kStart + seconds(4)));
}

TEST_CASE("a rate of zero means that coldness does not matter") {
  SharedRate cold;
  ExtendColdPeriod(cold, seconds(3), kStart);
  CHECK(AllowsRequest(cold, kStart));
}

}  // namespace
}  // namespace mimosagauge
