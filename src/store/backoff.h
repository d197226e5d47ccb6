// Exponential backoff with jitter.

#ifndef MIMOSAGAUGE_SRC_STORE_BACKOFF_H_
#define MIMOSAGAUGE_SRC_STORE_BACKOFF_H_

#include <algorithm>
#include <random>

#include "mimosagauge/impl/core/time.h"

namespace mimosagauge::detail {

/// \brief Computes delays between attempts. Their upper limit doubles from
/// `initial` to `maximum`. Each delay is drawn uniformly from the upper half of
/// the range below the limit, so that instances do not retry at the same time.
class Backoff {
 public:
  Backoff(Duration initial, Duration maximum) noexcept
      : initial_(initial), maximum_(maximum), limit_(initial) {}

  /// \returns The delay before the next attempt.
  template <typename Random>
  [[nodiscard]] Duration NextDelay(Random& random) {
    const Duration limit = limit_;
    limit_ = std::min(limit_ * 2, maximum_);
    std::uniform_int_distribution<Duration::rep> distribution(limit.count() / 2,
                                                              limit.count());
    return Duration(distribution(random));
  }

  /// \brief Starts again at the initial limit.
  void Reset() noexcept { limit_ = initial_; }

 private:
  Duration initial_;
  Duration maximum_;
  Duration limit_;
};

}  // namespace mimosagauge::detail

#endif  // MIMOSAGAUGE_SRC_STORE_BACKOFF_H_
