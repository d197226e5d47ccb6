// Pace of the machines that upstreams run on. An upstream that shares its
// machine reports how long work takes there at the moment. The value changes
// within some hundred milliseconds, so a report is worth less the older it is.
// How much of it is left after a time is learned from successive reports.

#ifndef MIMOSAGAUGE_IMPL_DECISIONS_PACE_MACHINE_PACE_H_
#define MIMOSAGAUGE_IMPL_DECISIONS_PACE_MACHINE_PACE_H_

#include <array>
#include <cstddef>

#include "mimosagauge/impl/core/time.h"

namespace mimosagauge {

/// \brief The last report of one upstream.
struct MachinePace {
  double slowdown = 1;      ///< How much longer than usual work takes, as a
                            ///< factor; from `kMinSlowdown` to `kMaxSlowdown`.
  TimePoint reported_at{};  ///< The default value means that there is none.

  static constexpr double kMinSlowdown = 0.1;
  static constexpr double kMaxSlowdown = 10;
};

/// \brief How much of a deviation from the usual pace is left after a time, by
/// age of the report, over all upstreams. Each entry is a regression through
/// the origin of a later deviation on an earlier one, with exponential decay.
struct PacePersistence {
  /// \brief Sums over pairs of reports whose distance is in one range of ages.
  struct AgeRange {
    double products = 0;  ///< Of the earlier and the later deviation.
    double squares = 0;   ///< Of the earlier deviation; not negative.
  };
  /// Upper bounds of the ranges. A report that is older than the last one is
  /// not used.
  static constexpr std::array<Duration, 6> kAgeBounds{
      std::chrono::milliseconds(50),  std::chrono::milliseconds(100),
      std::chrono::milliseconds(200), std::chrono::milliseconds(400),
      std::chrono::milliseconds(800), std::chrono::milliseconds(1600)};
  std::array<AgeRange, kAgeBounds.size()> ranges{};
};

/// \brief Records a report, and learns from the one before it.
/// \param slowdown How much longer than usual work takes, as a factor.
void RecordPace(MachinePace& pace, PacePersistence& persistence,
                double slowdown, TimePoint now);

/// \returns The share of a deviation that is left after `age`, from 0 to 1.
/// Until enough reports were compared it is an assumed one.
[[nodiscard]] double RemainingDeviation(const PacePersistence& persistence,
                                        Duration age);

/// \returns The expected slowdown at `now`, as a factor; 1 without a report.
[[nodiscard]] double ExpectedSlowdown(const MachinePace& pace,
                                      const PacePersistence& persistence,
                                      TimePoint now);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_PACE_MACHINE_PACE_H_
