// Expected pace of a machine from reports of different ages.

#include "mimosagauge/impl/decisions/pace/machine_pace.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace mimosagauge {
namespace {

// Time constant that is assumed until the reports show another one.
constexpr std::chrono::duration<double> kAssumedTimeConstant(0.3);
// Weight of the assumed value, as a sum of squared deviations: some ten reports
// of work that takes twice as long.
constexpr double kAssumedWeight = 10;
// Sums are halved beyond this, so that the estimate follows changes.
constexpr double kMaxWeight = 1000;

// Returns the position of the range that contains the age; the number of ranges
// if the age is beyond the last one.
[[nodiscard]] std::size_t RangeOf(Duration age) {
  const auto& bounds = PacePersistence::kAgeBounds;
  return static_cast<std::size_t>(
      std::lower_bound(bounds.begin(), bounds.end(), age) - bounds.begin());
}

}  // namespace

void RecordPace(MachinePace& pace, PacePersistence& persistence,
                double slowdown, TimePoint now) {
  const double bounded = std::clamp(slowdown, MachinePace::kMinSlowdown,
                                    MachinePace::kMaxSlowdown);
  const std::size_t position = RangeOf(now - pace.reported_at);
  if (pace.reported_at != TimePoint{} && position < persistence.ranges.size()) {
    PacePersistence::AgeRange& range = persistence.ranges[position];
    const double earlier = pace.slowdown - 1;
    range.products += earlier * (bounded - 1);
    range.squares += earlier * earlier;
    if (range.squares > kMaxWeight) {
      range.products /= 2;
      range.squares /= 2;
    }
  }
  pace = {bounded, now};
}

double RemainingDeviation(const PacePersistence& persistence, Duration age) {
  const std::size_t position = RangeOf(age);
  if (position == persistence.ranges.size()) {
    return 0;
  }
  const std::chrono::duration<double> seconds = age;
  const double assumed = std::exp(-seconds / kAssumedTimeConstant);
  const PacePersistence::AgeRange& range = persistence.ranges[position];
  return std::clamp((assumed * kAssumedWeight + range.products) /
                        (kAssumedWeight + range.squares),
                    0.0, 1.0);
}

double ExpectedSlowdown(const MachinePace& pace,
                        const PacePersistence& persistence, TimePoint now) {
  if (pace.reported_at == TimePoint{}) {
    return 1;
  }
  return 1 + (pace.slowdown - 1) *
                 RemainingDeviation(persistence, now - pace.reported_at);
}

}  // namespace mimosagauge
