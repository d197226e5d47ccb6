// Monotonic clock whose readings are passed to the gateway state machine.

#ifndef MIMOSAGAUGE_IMPL_DUTIES_COMMON_MONOTONIC_CLOCK_H_
#define MIMOSAGAUGE_IMPL_DUTIES_COMMON_MONOTONIC_CLOCK_H_

#include <time.h>

#include <chrono>

#include "mimosagauge/impl/core/time.h"

namespace mimosagauge {

/// \returns The current monotonic time, comparable only with other readings of
/// this process.
[[nodiscard]] inline TimePoint MonotonicNow() noexcept {
  timespec reading{};
  // Unlike CLOCK_MONOTONIC, this clock also advances while the machine is
  // suspended.
  clock_gettime(CLOCK_BOOTTIME, &reading);
  return TimePoint{std::chrono::seconds(reading.tv_sec) +
                   std::chrono::nanoseconds(reading.tv_nsec)};
}

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DUTIES_COMMON_MONOTONIC_CLOCK_H_
