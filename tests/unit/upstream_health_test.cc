// What answers show of an upstream, by the pattern of its failures.

#include "mimosagauge/impl/decisions/upstream_health.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace mimosagauge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(100)};
constexpr Duration kBetween = milliseconds(50);

// Plays outcomes at 20 a second: `.` an answer, `e` an error answer, `x` none.
[[nodiscard]] bool EjectedBy(const std::string& outcomes) {
  UpstreamHealth health;
  TimePoint now = kStart;
  for (const char outcome : outcomes) {
    now += kBetween;
    if (outcome == '.') {
      CountResponse(health, now);
      continue;
    }
    CountFailure(health,
                 outcome == 'e' ? UpstreamFailure::kErrorResponse
                                : UpstreamFailure::kNoAnswer,
                 now);
    if (ShouldEject(health, now)) {
      return true;
    }
  }
  return false;
}

TEST_CASE("an upstream that fails too large a share is ejected") {
  struct Case {
    const char* pattern;
    std::string outcomes;
    bool ejected;
  };
  const Case one = GENERATE(values<Case>({
      {"sound", "..............................", false},
      {"crashed", ".......xxx", true},
      {"fails two of five, its health check is good",
       "x..x.x..x.x..x.x..x.x..x.", true},
      {"the same with answers that say so", "e..e.e..e.e..e.e..e.e..e.", true},
      {"loses one answer of forty",
       "..............x.......................................x........",
       false},
      {"one request of seven is wrong in itself",
       ".e......e.....e.......e.....e......e......e.....e......e.....", false},
      {"three wrong requests in a row", "..........eee..........", false},
  }));
  CAPTURE(one.pattern);
  CHECK(EjectedBy(one.outcomes) == one.ejected);
}

// One instance of 24 sees too few requests of an engine to know.
TEST_CASE("instances know together that an upstream fails a share") {
  const int instances = GENERATE(1, 24);
  UpstreamHealth here;
  for (int i = 0; i < instances; ++i) {
    UpstreamHealth there;
    CountResponse(there, kStart);
    CountFailure(there, UpstreamFailure::kErrorResponse, kStart);
    AddPeerOutcomes(here, TakeUnreportedOutcomes(there, kStart), kStart);
  }
  CHECK(ShouldEject(here, kStart) == (instances == 24));
}

// Some requests are wrong in themselves; each instance sees a few requests.
TEST_CASE("a sound upstream is not ejected by the word of the unlucky") {
  constexpr int kInstances = 24;
  constexpr int kRounds = 12;
  std::vector<UpstreamHealth> region(kInstances);
  TimePoint now = kStart;
  int request = 0;
  for (int round = 0; round < kRounds; ++round) {
    now += milliseconds(500);
    for (UpstreamHealth& health : region) {
      for (int i = 0; i < 2; ++i) {
        // One of ten answers says that the request was wrong.
        if (++request % 10 == 0) {
          CountFailure(health, UpstreamFailure::kErrorResponse, now);
        } else {
          CountResponse(health, now);
        }
      }
    }
    for (int from = 0; from < kInstances; ++from) {
      const UnreportedOutcomes told = TakeUnreportedOutcomes(region[from], now);
      for (int to = 0; to < kInstances; ++to) {
        if (to != from) {
          AddPeerOutcomes(region[to], told, now);
        }
      }
    }
    for (const UpstreamHealth& health : region) {
      CAPTURE(round, health.failed, health.answered);
      CHECK_FALSE(ShouldEject(health, now));
    }
  }
}

TEST_CASE("outcomes are told once, and only while some fail") {
  UpstreamHealth health;
  CountResponse(health, kStart);
  CHECK(TakeUnreportedOutcomes(health, kStart).failed == 0);
  CountFailure(health, UpstreamFailure::kNoAnswer, kStart);
  const UnreportedOutcomes told = TakeUnreportedOutcomes(health, kStart);
  CHECK(told.failed == 1);
  CHECK(told.answered == 1);
  CHECK(TakeUnreportedOutcomes(health, kStart).failed == 0);
}

TEST_CASE("ejections grow and one good answer does not end them") {
  UpstreamHealth health;
  TimePoint now = kStart;
  Duration last{};
  for (int round = 0; round < 3; ++round) {
    for (int i = 0; i < 6; ++i) {
      CountFailure(health, UpstreamFailure::kErrorResponse, now);
    }
    REQUIRE(ShouldEject(health, now));
    Eject(health, now);
    CHECK(health.ejection > last);
    CHECK_FALSE(IsEligible(health, now));
    CHECK_FALSE(ShouldEject(health, now));
    last = health.ejection;
    now = health.ejected_until;
    CHECK(IsEligible(health, now));
    CountResponse(health, now);
  }
  // Long after, it is as good as any.
  now += seconds(30);
  CountResponse(health, now);
  CHECK(health.ejection == Duration::zero());
}

TEST_CASE("a full upstream rests until places are free, and is not ejected") {
  UpstreamHealth health;
  TimePoint now = kStart;
  for (int i = 0; i < 10; ++i) {
    StartOverloadBackoff(health, milliseconds(60), now);
    CHECK_FALSE(IsEligible(health, now));
    CHECK_FALSE(ShouldEject(health, now));
    now = health.overload_backoff_until;
    CHECK(IsEligible(health, now));
  }
  CHECK(health.rest <= milliseconds(250));
  CountResponse(health, now);
  StartOverloadBackoff(health, milliseconds(60), now);
  // Of a full queue a place is free long before a whole request is done.
  CHECK(health.overload_backoff_until < now + milliseconds(60));
}

}  // namespace
}  // namespace mimosagauge
