// Tracks the outcomes of requests to one upstream and decides for how long the
// upstream receives no new requests.
//
// Three failure patterns are handled: an upstream that fails all requests is
// ejected after several consecutive failures; an upstream that fails some
// requests while its health check passes is ejected by its share of failures,
// as observed by all instances of the region; an upstream that refuses requests
// because it is full gets a short backoff, which does not count as a failure.

#ifndef MIMOSAGAUGE_IMPL_DECISIONS_UPSTREAM_HEALTH_H_
#define MIMOSAGAUGE_IMPL_DECISIONS_UPSTREAM_HEALTH_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "mimosagauge/impl/core/time.h"

namespace mimosagauge {

/// \brief Health of one upstream, derived from the outcomes of requests.
struct UpstreamHealth {
  /// Consecutive requests of this instance that got no response.
  std::size_t failures = 0;
  /// Requests of all instances with a response, with exponential decay.
  double answered = 0;
  /// Requests of all instances that failed, with exponential decay.
  double failed = 0;
  /// This instance's requests with a response that no digest has reported yet,
  /// with exponential decay.
  double unreported_answered = 0;
  /// This instance's failed requests that no digest has reported yet, with
  /// exponential decay.
  double unreported_failed = 0;
  /// Time at which the four decaying counts were last updated.
  TimePoint decayed_at{};
  /// Duration of the last ejection; zero when there was none, or when responses
  /// have reset it.
  Duration ejection{};
  /// End of the last ejection; the upstream receives no new requests before it.
  TimePoint ejected_until{};
  /// Duration of the last backoff after a refusal by a full upstream; zero when
  /// there was none, or when a response has reset it.
  Duration rest{};
  /// End of that backoff; the upstream receives no new requests before it.
  TimePoint overload_backoff_until{};
  /// End of the pause that the upstream asked for; it receives no requests
  /// before it.
  TimePoint paused_until{};
  /// Whether an invalid pause of this process was logged.
  bool invalid_pause_logged = false;

  /// Longest pause that is accepted. A longer one is a planned removal, which
  /// the upstream states as its leaving or in the store; after a wrong value
  /// the service would miss the upstream for too long.
  static constexpr Duration kMaxPause = std::chrono::minutes(5);
};

/// \brief How a request failed because of its upstream.
enum class UpstreamFailure : std::uint8_t {
  /// No complete response: the connection was reset or timed out, the response
  /// was truncated, or it was not HTTP.
  kNoAnswer,
  /// A response that reports an error. It counts only in the share of failures,
  /// not as a consecutive failure, because some requests are themselves
  /// invalid.
  kErrorResponse,
};

/// \returns Whether the upstream may receive new requests, that is, it is
/// neither ejected nor in backoff nor paused.
[[nodiscard]] bool IsEligible(const UpstreamHealth& health,
                              TimePoint now) noexcept;

/// \brief Pauses the upstream; a pause never ends earlier than stated before.
/// \returns Whether the pause is accepted: it is from zero to `kMaxPause`.
bool Pause(UpstreamHealth& health, Duration pause, TimePoint now);

/// \brief Counts a request that got a response from the upstream. Resets the
/// consecutive failures and the backoff, and also the length of the next
/// ejection unless the share of failures is too high.
void CountResponse(UpstreamHealth& health, TimePoint now);

/// \brief Counts a request that failed because of the upstream.
void CountFailure(UpstreamHealth& health, UpstreamFailure failure,
                  TimePoint now);

/// \brief Outcomes of one instance's requests to one upstream since its
/// previous report to the other instances of the region.
struct UnreportedOutcomes {
  std::uint32_t answered = 0;  ///< Requests with a response.
  std::uint32_t failed = 0;    ///< Requests that failed.
};
/// \returns The outcomes that this instance has not reported yet, and resets
/// their counts. Both counts are zero, and nothing is reset, while no instance
/// has observed a failure of the upstream or when there is nothing to report.
[[nodiscard]] UnreportedOutcomes TakeUnreportedOutcomes(UpstreamHealth& health,
                                                        TimePoint now);

/// \brief Adds the outcomes that another instance of the region has observed
/// since its previous report.
void AddPeerOutcomes(UpstreamHealth& health, const UnreportedOutcomes& outcomes,
                     TimePoint now);

/// \returns Whether the observed failures are sufficient to eject the upstream;
/// false while it is already ejected.
[[nodiscard]] bool ShouldEject(const UpstreamHealth& health, TimePoint now);

/// \brief Ejects the upstream, for twice as long as the last time but from 1 to
/// 30 seconds.
void Eject(UpstreamHealth& health, TimePoint now);

/// \brief Starts a backoff after the upstream refused a request because it is
/// full. The upstream receives no new requests until some of its slots are
/// expected to be free. The backoff doubles with each consecutive refusal.
/// \param service_time Service time of one request; zero means unknown.
void StartOverloadBackoff(UpstreamHealth& health, Duration service_time,
                          TimePoint now);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_UPSTREAM_HEALTH_H_
