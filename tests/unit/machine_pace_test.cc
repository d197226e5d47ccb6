// Load: upstreams on shared machines, where work takes 2.5 times as long for
// some hundred milliseconds at a time.

#include "mimosagauge/impl/decisions/pace/machine_pace.h"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <cmath>
#include <random>
#include <vector>

namespace mimosagauge {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::seconds(100)};
constexpr double kSlow = 2.5;

// A machine that is slow for a quarter of the time. A deviation is left after
// `age` with exp(-age / kTimeConstant).
struct SharedMachine {
  static constexpr milliseconds kTimeConstant{150};
  bool slow = false;

  void Advance(milliseconds step, std::mt19937& random) {
    const double change =
        1 - std::exp(-static_cast<double>(step.count()) /
                     static_cast<double>(kTimeConstant.count()));
    std::bernoulli_distribution redraw(change);
    std::bernoulli_distribution becomes_slow(0.25);
    if (redraw(random)) {
      slow = becomes_slow(random);
    }
  }
  [[nodiscard]] double Slowdown() const { return slow ? kSlow : 1; }
};

TEST_CASE("a report of the pace counts less the older it is") {
  struct Case {
    milliseconds age;
    double least;
    double most;
  };
  const Case one = GENERATE(values<Case>({{milliseconds(0), 2.4, 2.5},
                                          {milliseconds(100), 1.9, 2.2},
                                          {milliseconds(400), 1.3, 1.5},
                                          {milliseconds(1700), 1, 1}}));
  MachinePace pace;
  PacePersistence persistence;
  CHECK(ExpectedSlowdown(pace, persistence, kStart) == 1);
  RecordPace(pace, persistence, kSlow, kStart);
  const double expected = ExpectedSlowdown(pace, persistence, kStart + one.age);
  CHECK(expected >= one.least);
  CHECK(expected <= one.most);
}

// Guards against placement by reports that no longer apply, and against
// ignoring those that do.
TEST_CASE("the worth of a report is learned from the reports") {
  std::mt19937 random(20261206);
  SharedMachine machine;
  MachinePace pace;
  PacePersistence persistence;
  TimePoint now = kStart;
  std::uniform_int_distribution<int> pause(5, 500);
  for (int i = 0; i < 20000; ++i) {
    const milliseconds step(pause(random));
    machine.Advance(step, random);
    now += step;
    RecordPace(pace, persistence, machine.Slowdown(), now);
  }
  // A slow report is followed by a usual pace or by the mean of the machine,
  // 1.375, so a quarter of the deviation stays at any age.
  CHECK(RemainingDeviation(persistence, milliseconds(75)) ==
        Approx(0.25 + 0.75 * std::exp(-0.5)).margin(0.1));
  CHECK(RemainingDeviation(persistence, milliseconds(350)) ==
        Approx(0.25 + 0.75 * std::exp(-2.0)).margin(0.1));
}

TEST_CASE("choice by the expected pace avoids slow machines") {
  struct Case {
    milliseconds report_interval;
    double most_share_of_slow;  // Of the requests; a quarter without reports.
  };
  const Case one = GENERATE(
      values<Case>({{milliseconds(20), 0.05}, {milliseconds(100), 0.12}}));
  std::mt19937 random(20261206);
  std::array<SharedMachine, 4> machines;
  std::array<MachinePace, 4> paces;
  PacePersistence persistence;
  TimePoint now = kStart;
  constexpr milliseconds kStep(10);
  int slow = 0;
  constexpr int kRequests = 20000;
  for (int i = 0; i < kRequests; ++i) {
    now += kStep;
    for (std::size_t m = 0; m < machines.size(); ++m) {
      machines[m].Advance(kStep, random);
      const auto due = now - paces[m].reported_at >= one.report_interval;
      if (due) {
        RecordPace(paces[m], persistence, machines[m].Slowdown(), now);
      }
    }
    const auto best =
        std::min_element(paces.begin(), paces.end(),
                         [&](const MachinePace& a, const MachinePace& b) {
                           return ExpectedSlowdown(a, persistence, now) <
                                  ExpectedSlowdown(b, persistence, now);
                         });
    slow += machines[static_cast<std::size_t>(best - paces.begin())].slow;
  }
  CHECK(slow < one.most_share_of_slow * kRequests);
}

TEST_CASE("a report out of range is bounded") {
  MachinePace pace;
  PacePersistence persistence;
  RecordPace(pace, persistence, 1e9, kStart);
  CHECK(pace.slowdown == MachinePace::kMaxSlowdown);
  RecordPace(pace, persistence, 1e-9, kStart);
  CHECK(pace.slowdown == MachinePace::kMinSlowdown);
}

}  // namespace
}  // namespace mimosagauge
