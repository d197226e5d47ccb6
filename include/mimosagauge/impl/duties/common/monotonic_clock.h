// The one reading of the monotonic clock for the decisions.

#ifndef MIMOSAGAUGE_IMPL_DUTIES_COMMON_MONOTONIC_CLOCK_H_
#define MIMOSAGAUGE_IMPL_DUTIES_COMMON_MONOTONIC_CLOCK_H_

#include <time.h>

#include <chrono>

#include "mimosagauge/impl/core/time.h"

namespace mimosagauge {

/// \returns The present on this process's monotonic time line.
[[nodiscard]] inline TimePoint MonotonicNow() noexcept {
  timespec reading{};
  // Unlike CLOCK_MONOTONIC it goes on while the machine is suspended.
  clock_gettime(CLOCK_BOOTTIME, &reading);
  return TimePoint{std::chrono::seconds(reading.tv_sec) +
                   std::chrono::nanoseconds(reading.tv_nsec)};
}

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DUTIES_COMMON_MONOTONIC_CLOCK_H_
