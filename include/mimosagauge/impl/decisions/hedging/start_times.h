// Recent times until responses begin, as a bounded histogram, and their
// percentiles.

#ifndef MIMOSAGAUGE_IMPL_DECISIONS_HEDGING_START_TIMES_H_
#define MIMOSAGAUGE_IMPL_DECISIONS_HEDGING_START_TIMES_H_

#include <array>
#include <cstddef>
#include <optional>

#include "mimosagauge/impl/core/time.h"

namespace mimosagauge {

/// \brief Distribution of the times until responses begin, each divided by the
/// time that its request takes at an idle upstream (the reference). A request
/// with a long prompt is so compared with its own size only.
///
/// The bins are logarithmic, 8 for each factor of 2, so that a percentile is at
/// most 9% too high. Old times lose half of their weight every 15 s.
struct StartTimes {
  static constexpr std::size_t kBins = 128;

  std::array<float, kBins> weights{};  ///< Weight of each bin; at least 0.
  double total = 0;                    ///< Sum of `weights`.
  TimePoint decayed_at{};              ///< When the weights were last halved.
};

/// \brief Adds the time until one response began. For an attempt that was
/// canceled before its response began, the time until then is a lower bound; it
/// is added only if it is above the percentile that is asked for, where it has
/// the same effect as the unknown time.
/// \param reference Time that the request takes at an idle upstream.
/// \param taken Measured time.
void RecordStartTime(StartTimes& times, Duration reference, Duration taken,
                     TimePoint now);

/// \returns The time by which the given part of recent responses to requests of
/// this reference had begun; empty with less than 40 recent responses, of which
/// the 95th percentile has two above it.
/// \param percentile From 0 to 1.
[[nodiscard]] std::optional<Duration> StartTimePercentile(
    const StartTimes& times, double percentile, Duration reference,
    TimePoint now);

/// \brief Classes of requests by size, since queueing adds the same time to
/// short and to long ones, and so has a different ratio to their references.
inline constexpr std::size_t kStartSizeClasses = 3;

/// \returns The class of a request, below `kStartSizeClasses`.
/// \param shortest Reference of the shortest request to the service.
[[nodiscard]] std::size_t StartSizeClass(Duration reference, Duration shortest);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_HEDGING_START_TIMES_H_
