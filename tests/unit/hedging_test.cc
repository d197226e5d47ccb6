// The module of hedged requests alone: percentiles, budget and decision.

#include "mimosagauge/impl/decisions/hedging/hedging.h"

#include <catch2/catch.hpp>
#include <random>
#include <string>
#include <vector>

namespace mimosagauge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(100)};

// Guards against: a percentile below the real one, by which sound requests are
// hedged, or one that grows with the number of times.
TEST_CASE("the percentile of start times is at most a tenth too high") {
  const double percentile = GENERATE(0.5, 0.95, 0.99);
  const int count = GENERATE(100, 1000, 5000);
  StartTimes times;
  for (int i = 1; i <= count; ++i) {
    RecordStartTime(times, milliseconds(40),
                    milliseconds(40) + milliseconds(400) * i / count, kStart);
  }
  const auto found =
      StartTimePercentile(times, percentile, milliseconds(40), kStart);
  REQUIRE(found);
  const Duration exact =
      milliseconds(40) +
      std::chrono::duration_cast<Duration>(milliseconds(400) * percentile);
  CHECK(*found >= exact);
  CHECK(*found <= exact * 11 / 10 + milliseconds(1));
}

// Guards against: one hedge for each request of a service that became faster,
// or none for a long time after it became slower.
TEST_CASE("old start times lose their weight") {
  StartTimes times;
  const auto add = [&times](Duration taken, TimePoint at) {
    for (int i = 0; i < 200; ++i) {
      RecordStartTime(times, milliseconds(40), taken, at);
    }
  };
  add(milliseconds(800), kStart);
  const TimePoint later = kStart + seconds(90);
  add(milliseconds(40), later);
  const auto found = StartTimePercentile(times, 0.95, milliseconds(40), later);
  REQUIRE(found);
  CHECK(*found < milliseconds(60));
  // After a time without responses nothing is known.
  CHECK_FALSE(
      StartTimePercentile(times, 0.95, milliseconds(40), later + seconds(60)));
}

// Guards against: a long prompt is hedged because short ones are fast.
TEST_CASE("requests are compared with those of their size") {
  const Duration shortest = milliseconds(15);
  ServiceHedging service;
  const auto add = [&](Duration reference, Duration taken) {
    for (int i = 0; i < 100; ++i) {
      RecordStartTime(service.times.at(StartSizeClass(reference, shortest)),
                      reference, taken, kStart);
    }
  };
  add(milliseconds(20), milliseconds(100));
  add(milliseconds(300), milliseconds(400));
  const HedgingConfig config{0.05, 0.95, milliseconds(50)};
  const auto [reference, least, most] =
      GENERATE(table<Duration, Duration, Duration>({
          {milliseconds(20), milliseconds(100), milliseconds(110)},
          {milliseconds(300), milliseconds(400), milliseconds(440)},
          {milliseconds(150), milliseconds(200), milliseconds(220)},
      }));
  const auto late = LateAfter(service, config, reference, shortest, kStart);
  REQUIRE(late);
  CHECK(*late >= least);
  CHECK(*late <= most);
}

TEST_CASE("a second attempt never starts before the least delay") {
  ServiceHedging service;
  for (int i = 0; i < 100; ++i) {
    RecordStartTime(service.times[0], milliseconds(15), milliseconds(10),
                    kStart);
  }
  CHECK(LateAfter(service, {0.05, 0.95, milliseconds(50)}, milliseconds(15),
                  milliseconds(15), kStart) == Duration(milliseconds(50)));
}

[[nodiscard]] HedgeQuery Allowed() {
  HedgeQuery query;
  query.repeatable = true;
  query.attempts_left = 1;
  query.late_after = milliseconds(100);
  query.allowed_by_account = true;
  query.running = milliseconds(100);
  query.remaining = seconds(1);
  query.expected_start = milliseconds(50);
  query.has_hedge_token = true;
  query.has_retry_token = true;
  return query;
}

// Guards against: each of the page's conditions being left out.
TEST_CASE("every condition of a second attempt is checked") {
  struct Case {
    HedgeBlock block;
    void (*change)(HedgeQuery&);
  };
  const Case one = GENERATE(values<Case>({
      {HedgeBlock::kNone, [](HedgeQuery&) {}},
      {HedgeBlock::kNotRepeatable,
       [](HedgeQuery& query) { query.repeatable = false; }},
      {HedgeBlock::kRoute, [](HedgeQuery& query) { query.attempts_left = 0; }},
      {HedgeBlock::kNoEstimate,
       [](HedgeQuery& query) { query.late_after.reset(); }},
      {HedgeBlock::kLeaving, [](HedgeQuery& query) { query.leaving = true; }},
      {HedgeBlock::kSuspected,
       [](HedgeQuery& query) { query.suspected = true; }},
      {HedgeBlock::kAccount,
       [](HedgeQuery& query) { query.allowed_by_account = false; }},
      {HedgeBlock::kNoTime,
       [](HedgeQuery& query) { query.remaining = milliseconds(50); }},
      {HedgeBlock::kNotLate,
       [](HedgeQuery& query) { query.running = milliseconds(99); }},
      {HedgeBlock::kServiceFull,
       [](HedgeQuery& query) { query.requests_waiting = true; }},
      {HedgeBlock::kServiceFull,
       [](HedgeQuery& query) { query.expected_start.reset(); }},
      {HedgeBlock::kLimit,
       [](HedgeQuery& query) { query.has_hedge_token = false; }},
      {HedgeBlock::kRetryBudget,
       [](HedgeQuery& query) { query.has_retry_token = false; }},
  }));
  HedgeQuery query = Allowed();
  one.change(query);
  CHECK(ToString(DecideHedge(query)) == ToString(one.block));
}

// Guards against: a limit that each instance applies on its own, so that
// starts, bursts or many instances exceed it together.
TEST_CASE("second attempts of all instances stay within the limit") {
  const std::size_t instances = GENERATE(1U, 6U, 90U, 370U);
  const double limit = GENERATE(0.01, 0.05, 0.1);
  const HedgingConfig config{limit, 0.95, milliseconds(50)};
  std::mt19937 random(11);
  std::vector<HedgeBudget> budgets(instances);
  std::size_t first_attempts = 0;
  std::size_t hedges = 0;
  for (int i = 0; i < 50000; ++i) {
    // Nine of ten requests arrive at a tenth of the instances.
    const std::size_t range =
        random() % 10 == 0 ? instances : instances / 10 + 1;
    HedgeBudget& budget = budgets[random() % range];
    if (random() % 5000 == 0) {
      budget = {};  // The instance starts again.
    }
    CreditHedge(budget, config, instances);
    ++first_attempts;
    if (HasHedgeToken(budget) && random() % 2 == 0) {
      SpendHedgeToken(budget);
      ++hedges;
    }
    REQUIRE(static_cast<double>(hedges) <=
            limit * static_cast<double>(first_attempts) + 1e-6);
  }
  CHECK(hedges > 0);
}

// Guards against: tokens saved up in a quiet hour are spent within one second.
TEST_CASE("saved tokens are bounded") {
  const auto [instances, most] = GENERATE(
      table<std::size_t, int>({{1, 10}, {3, 3}, {10, 1}, {90, 1}, {370, 1}}));
  HedgeBudget budget;
  for (int i = 0; i < 100000; ++i) {
    CreditHedge(budget, {0.05, 0.95, milliseconds(50)}, instances);
  }
  int spent = 0;
  for (; HasHedgeToken(budget); ++spent) {
    SpendHedgeToken(budget);
  }
  CHECK(spent == most);
}

// Guards against: an upstream that never responds is not ejected, because its
// attempts are canceled before they are overdue.
TEST_CASE("losses in a row without a response count as failures") {
  HedgingState state;
  const UpstreamId id{"desk-1"};
  const int since_response = GENERATE(1, 3, 4, 6);
  static_cast<void>(CountHedgeLoss(state, id));
  state.losses.erase(id);  // A response.
  bool failed = false;
  for (int i = 0; i < since_response; ++i) {
    failed = CountHedgeLoss(state, id);
  }
  CHECK(failed == (since_response > 3));
}

}  // namespace
}  // namespace mimosagauge
