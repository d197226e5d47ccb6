// Hedged requests: whether and when a second attempt of a request starts at
// another upstream because the response of the first one is late, and the
// budget that bounds how many do.

#ifndef MIMOSAGAUGE_IMPL_DECISIONS_HEDGING_HEDGING_H_
#define MIMOSAGAUGE_IMPL_DECISIONS_HEDGING_HEDGING_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "mimosagauge/impl/core/ids.h"
#include "mimosagauge/impl/core/time.h"
#include "mimosagauge/impl/decisions/hedging/start_times.h"

namespace mimosagauge {

/// \brief Settings of hedging, the same on all instances.
struct HedgingConfig {
  /// Second attempts for each first attempt of a service, over all instances;
  /// zero: no hedging.
  double limit = 0;
  /// A second attempt starts when the response has not begun by the time by
  /// which this part of recent responses had, from 0 to 1.
  double percentile = 0.95;
  /// A second attempt never starts earlier than this after the first one. A
  /// response that begins within 50 ms meets any latency objective in use.
  Duration min_delay = std::chrono::milliseconds(50);
};

/// \brief Token bucket of one instance for the second attempts at one service.
///
/// It starts empty, so that the second attempts of all instances since their
/// starts are within the limit of their first attempts, however often instances
/// start; in any window they exceed it by at most the buckets' sizes.
struct HedgeBudget {
  double tokens = 0;  ///< From 0 to the size that the last credit gave.

  /// Sum of the sizes of all instances' buckets, unless that leaves less than
  /// one token each.
  static constexpr double kBurst = 10;
};

/// \brief Adds the part of a token that one first attempt gives.
/// \param instances Number of instances that share the limit.
void CreditHedge(HedgeBudget& budget, const HedgingConfig& config,
                 std::size_t instances) noexcept;

/// \returns Whether a second attempt is within the budget.
[[nodiscard]] bool HasHedgeToken(const HedgeBudget& budget) noexcept;

/// \brief Takes the token for one second attempt; there must be one.
void SpendHedgeToken(HedgeBudget& budget) noexcept;

/// \brief State of hedging at one service.
struct ServiceHedging {
  std::array<StartTimes, kStartSizeClasses> times;  ///< By size class.
  HedgeBudget budget;
};

/// \brief State of hedging of one instance.
struct HedgingState {
  /// Only services to which this instance has sent requests itself.
  std::unordered_map<ServiceId, ServiceHedging> services;
  /// When requests are checked for a second attempt; at most one entry for each
  /// request in progress.
  std::set<std::pair<TimePoint, RequestNumber>> checks;
  /// First attempts that lost to a second one at another upstream, since the
  /// upstream's last response. Upstreams without a loss have no entry.
  std::unordered_map<UpstreamId, std::size_t> losses;
};

/// \brief Why a second attempt is not started.
enum class HedgeBlock : std::uint8_t {
  kNone,           ///< It may be started.
  kNotRepeatable,  ///< The request may run only once.
  kRoute,          ///< The route allows no further attempt.
  kNoEstimate,     ///< Too few responses to know which time is late.
  kLeaving,        ///< This instance is shutting down.
  kSuspected,      ///< The request's content crashes upstreams.
  kAccount,        ///< The account's allowance does not permit it.
  kNoTime,         ///< It is not expected to begin before the request is due.
  kNotLate,        ///< The response is not late yet.
  kServiceFull,    ///< Requests wait for the service, or no other upstream
                   ///< that may get the request has a free slot.
  kLimit,          ///< The limit on second attempts is reached.
  kRetryBudget,    ///< The retry budget of the service is used up.
};

/// \returns A short name for metrics, such as `service_full`.
[[nodiscard]] std::string_view ToString(HedgeBlock block) noexcept;

/// \returns Whether the reason may pass while the first attempt runs, so that
/// the request is to be checked again.
[[nodiscard]] bool IsTemporary(HedgeBlock block) noexcept;

/// \brief What the decision about a second attempt depends on.
struct HedgeQuery {
  /// Idempotent, or a stream that may be resumed and has not begun; without an
  /// idempotency key, and not already continued on another upstream.
  bool repeatable = false;
  std::size_t attempts_left = 0;  ///< Attempts that the route allows beyond the
                                  ///< running one.
  std::optional<Duration> late_after;  ///< From `LateAfter`.
  bool leaving = false;
  bool suspected = false;
  bool allowed_by_account = false;
  Duration running{};             ///< Time since the first attempt started.
  Duration remaining{};           ///< Time until the request is due.
  bool requests_waiting = false;  ///< Requests wait for the service here.
  /// Expected time until the response begins at the best upstream that has a
  /// free slot, full speed and was not tried; empty: there is none.
  std::optional<Duration> expected_start;
  bool has_hedge_token = false;
  bool has_retry_token = false;
};

/// \returns `kNone` if a second attempt may start now, else the first reason
/// against it in the order of `HedgeBlock`.
[[nodiscard]] HedgeBlock DecideHedge(const HedgeQuery& query) noexcept;

/// \returns The time after which the response of an attempt is late; empty
/// while too few responses are known.
/// \param reference Time that the request takes at an idle upstream.
/// \param shortest The same for the service's shortest request.
[[nodiscard]] std::optional<Duration> LateAfter(const ServiceHedging& service,
                                                const HedgingConfig& config,
                                                Duration reference,
                                                Duration shortest,
                                                TimePoint now);

/// \brief Counts a first attempt at the upstream that lost to a second one.
/// \returns Whether it counts as a failure of the upstream: it has lost several
/// in a row and begun no response in between. An attempt that lost is canceled
/// before it is overdue, so an upstream that never responds would not be
/// ejected otherwise.
[[nodiscard]] bool CountHedgeLoss(HedgingState& state, const UpstreamId& id);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_HEDGING_HEDGING_H_
