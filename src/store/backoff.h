// Growing waits between tries, with jitter.

#ifndef MIMOSAGAUGE_SRC_STORE_BACKOFF_H_
#define MIMOSAGAUGE_SRC_STORE_BACKOFF_H_

#include <algorithm>
#include <random>

#include "mimosagauge/impl/core/time.h"

namespace mimosagauge::detail {

/// \brief Doubles from `first` to `longest`; each wait is drawn evenly from
/// the upper half, so that instances do not try again at the same moment.
class Backoff {
 public:
  Backoff(Duration first, Duration longest) noexcept
      : first_(first), longest_(longest), next_(first) {}

  /// \returns The next wait.
  template <typename Random>
  [[nodiscard]] Duration Next(Random& random) {
    const Duration whole = next_;
    next_ = std::min(next_ * 2, longest_);
    std::uniform_int_distribution<Duration::rep> wait(whole.count() / 2,
                                                      whole.count());
    return Duration(wait(random));
  }

  void Reset() noexcept { next_ = first_; }

 private:
  Duration first_;
  Duration longest_;
  Duration next_;
};

}  // namespace mimosagauge::detail

#endif  // MIMOSAGAUGE_SRC_STORE_BACKOFF_H_
