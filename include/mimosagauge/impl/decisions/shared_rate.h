// Limits on the rate of requests to an upstream that count over all instances:
// while it is cold, and while it names a limit in its answers. One instance of
// its region owns the upstream meanwhile and enforces the rate; the other
// instances send it no requests.

#ifndef MIMOSAGAUGE_IMPL_DECISIONS_SHARED_RATE_H_
#define MIMOSAGAUGE_IMPL_DECISIONS_SHARED_RATE_H_

#include <optional>

#include "mimosagauge/impl/core/time.h"

namespace mimosagauge {

/// \brief The limit that an upstream last named in an answer.
struct NamedLimit {
  /// Requests per second that it accepts from all instances together; empty: it
  /// named no limit.
  std::optional<double> requests_per_second;
  TimePoint
      heard_at{};  ///< When an instance of the region received the answer.
};

/// \brief Rate limits of one upstream, and the token bucket of the requests
/// that this instance may send to it while a limit applies.
struct SharedRate {
  TimePoint cold_until{};  ///< End of the cold period.
  double cold_rate = 0;    ///< Requests per second that the cold upstream can
                           ///< handle; zero means that it is not limited.
  NamedLimit named;
  bool owned = false;  ///< Whether this instance is the one that sends
                       ///< requests to the upstream while a limit applies.
  double tokens = 0;   ///< Requests that may be sent at `last_refill_at`; at
                       ///< most `kBurst`. Negative after requests that were
                       ///< sent without a token.
  TimePoint last_refill_at{};  ///< Time at which `tokens` was last updated.
  /// How long a named limit stays unconfirmed until this instance may send a
  /// request although it is not the owner. It differs between instances, so
  /// that the answer to the first one confirms the limit for the others.
  Duration confirmation_timeout{};

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
/// never moves to an earlier time.
void ExtendColdPeriod(SharedRate& rate, Duration remaining, TimePoint now);

/// \brief Records the limit of an answer, unless a later answer is known.
/// \returns Whether the limit changed.
bool RecordNamedLimit(SharedRate& rate, const NamedLimit& named, TimePoint now);

/// \returns Whether the rate of requests to the upstream is limited now.
[[nodiscard]] bool IsRateLimited(const SharedRate& rate,
                                 TimePoint now) noexcept;

/// \returns Whether this instance may send the upstream a request now: its rate
/// is not limited, or this instance may use the rate and a token is left.
[[nodiscard]] bool AllowsRequest(const SharedRate& rate,
                                 TimePoint now) noexcept;

/// \returns The time until this instance may send the upstream a request;
/// the longest duration while that is up to another instance.
[[nodiscard]] Duration TimeToRequest(const SharedRate& rate,
                                     TimePoint now) noexcept;

/// \brief Takes one token for a request that is sent; has no effect when the
/// rate is not limited.
void ConsumeRequestToken(SharedRate& rate, TimePoint now) noexcept;

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_SHARED_RATE_H_
