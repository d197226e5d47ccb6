// An upstream that has just started bears few requests a second, of all
// instances together. One instance of its region owns it while it is cold and
// keeps its rate; the others send it nothing.

#ifndef MIMOSAGAUGE_IMPL_DECISIONS_COLD_START_H_
#define MIMOSAGAUGE_IMPL_DECISIONS_COLD_START_H_

#include "mimosagauge/impl/core/time.h"

namespace mimosagauge {

/// \brief What one instance may send to a cold upstream.
struct ColdStart {
  TimePoint until{};      ///< Cold before it.
  bool owned = false;     ///< This instance sends to it while it is cold.
  double rate = 0;        ///< Requests a second it bears; zero: any number.
  double tokens = 0;      ///< Requests that may be sent now; at most `kBurst`.
  TimePoint filled_at{};  ///< When `tokens` was last brought up to date.

  /// Requests sent at once after a pause. One, so that two owners during a
  /// change of ownership stay within what is borne.
  static constexpr double kBurst = 1;
  /// Part of the rate that is used, for requests bunch up on their way.
  static constexpr double kUsedShare = 0.8;
};

/// \brief The upstream says how much longer it is cold.
void LearnCold(ColdStart& cold, Duration left, TimePoint now);

/// \returns Whether it is cold and its rate matters.
[[nodiscard]] bool IsCold(const ColdStart& cold, TimePoint now) noexcept;

/// \returns Whether this instance may send it a request now.
[[nodiscard]] bool MayGetRequest(const ColdStart& cold, TimePoint now) noexcept;

/// \brief A request is sent.
void CountRequest(ColdStart& cold, TimePoint now) noexcept;

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_COLD_START_H_
