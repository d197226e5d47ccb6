// Rate limit for upstreams that have just started. A cold upstream can handle
// only a few requests per second, counted over all instances. One instance of
// its region owns it while it is cold and enforces the rate; the other
// instances send it no requests.

#ifndef MIMOSAGAUGE_IMPL_DECISIONS_COLD_START_H_
#define MIMOSAGAUGE_IMPL_DECISIONS_COLD_START_H_

#include "mimosagauge/impl/core/time.h"

namespace mimosagauge {

/// \brief Token bucket of the requests that one instance may send to a cold
/// upstream.
struct ColdStart {
  TimePoint ends_at{};  ///< End of the cold period.
  bool owned = false;   ///< Whether this instance is the one that sends
                        ///< requests to the upstream while it is cold.
  double rate = 0;      ///< Requests per second that the cold upstream can
                        ///< handle; zero means that it is not limited.
  double tokens = 0;    ///< Requests that may be sent at `last_refill_at`; at
                        ///< most `kBurst`. Negative after requests that were
                        ///< sent without a token.
  TimePoint last_refill_at{};  ///< Time at which `tokens` was last updated.

  /// Requests that may be sent at once after an idle period. The value is 1 so
  /// that the upstream is not overloaded when two instances both act as owner
  /// during a change of ownership.
  static constexpr double kBurst = 1;
  /// Fraction of the rate that is used. The rest is a reserve because requests
  /// bunch up in transit.
  static constexpr double kUsedRateFraction = 0.8;
};

/// \brief Records an upstream's report of the time that its cold period still
/// lasts. A zero or negative time is ignored, and the end of the cold period
/// never moves to an earlier time. The bucket is full at the start of a cold
/// period.
void ExtendColdPeriod(ColdStart& cold, Duration remaining, TimePoint now);

/// \returns Whether the upstream is cold and its request rate is limited.
[[nodiscard]] bool IsCold(const ColdStart& cold, TimePoint now) noexcept;

/// \returns Whether this instance may send the upstream a request now: it is
/// not cold, or this instance owns it and a token is left.
[[nodiscard]] bool AllowsRequest(const ColdStart& cold, TimePoint now) noexcept;

/// \brief Takes one token for a request that is sent; has no effect when the
/// upstream is not cold.
void ConsumeRequestToken(ColdStart& cold, TimePoint now) noexcept;

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_COLD_START_H_
