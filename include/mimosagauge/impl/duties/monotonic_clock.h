// The one reading of the monotonic clock for the decisions.

#ifndef MIMOSAGAUGE_IMPL_DUTIES_MONOTONIC_CLOCK_H_
#define MIMOSAGAUGE_IMPL_DUTIES_MONOTONIC_CLOCK_H_

#include <chrono>

#include "mimosagauge/impl/core/time.h"

namespace mimosagauge {

/// \returns The present on this process's monotonic time line.
[[nodiscard]] inline TimePoint MonotonicNow() noexcept {
  const auto since_epoch = std::chrono::steady_clock::now().time_since_epoch();
  return TimePoint{std::chrono::duration_cast<Duration>(since_epoch)};
}

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DUTIES_MONOTONIC_CLOCK_H_
