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
  TimePoint cold_until{};  ///< End of the cold period, with a margin.
  /// End of the cold period as the upstream or the store stated it to this
  /// instance; zero if only another instance reported it. It is what this
  /// instance reports to the others, so that no report travels in a circle.
  TimePoint cold_stated_until{};
  double cold_rate = 0;  ///< Requests per second that the cold upstream can
                         ///< handle; zero means that it is not limited.
  NamedLimit named;
  bool owned = false;  ///< Whether this instance is the one that sends
                       ///< requests to the upstream while a limit applies.
  /// Whether this instance's links reach more than half of the instances of its
  /// region. While it is false, the instance does not use the rate of a cold
  /// upstream, because an instance on the other side may be its owner too.
  bool has_majority = true;
  bool reports_cold = false;     ///< Whether this instance is one of those that
                                 ///< report the upstream's cold period.
  TimePoint next_cold_report{};  ///< When it is reported again.
  double tokens = 0;  ///< Requests that may be sent at `last_refill_at`; at
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
  /// The same for a cold upstream. Two instances that both act as owner then
  /// send 2 * (kBurst + 0.75 * rate) in one second, which is within the bound
  /// of 1.5 * rate + 3 for every rate.
  static constexpr double kUsedColdFraction = 0.75;
};

/// \brief Records an upstream's report of the time that its cold period still
/// lasts. A zero or negative time is ignored, and the end of the cold period
/// never moves to an earlier time.
void ExtendColdPeriod(SharedRate& rate, Duration remaining, TimePoint now);

/// \brief The same for a report that came to this instance from the upstream or
/// from the store, which it passes on to other instances.
/// \returns Whether the upstream was not known to be cold until then.
bool RecordColdStatement(SharedRate& rate, Duration remaining, TimePoint now);

/// \returns Whether the upstream is cold and its rate therefore limited.
[[nodiscard]] bool IsCold(const SharedRate& rate, TimePoint now) noexcept;

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
