// Time as the decisions see it: a monotonic reading that is handed in, never
// read from a clock.

#ifndef MIMOSAGAUGE_IMPL_CORE_TIME_H_
#define MIMOSAGAUGE_IMPL_CORE_TIME_H_

#include <chrono>

namespace mimosagauge {

using Duration = std::chrono::nanoseconds;

/// \brief Names the monotonic time line of one process.
///
/// It has no `now()`: only the duties read a clock, and they pass the reading
/// on as an argument.
struct MonotonicTimeline {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<MonotonicTimeline>;
  static constexpr bool is_steady = true;
};

using TimePoint = MonotonicTimeline::time_point;

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_CORE_TIME_H_
