// Counts of responses and failures of upstreams, and the ejections and backoffs
// that result from them.

#include "mimosagauge/impl/decisions/upstream_health.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace mimosagauge {
namespace {

// Number of consecutive failures, seen by this instance, that causes an
// ejection.
constexpr std::size_t kEjectionConsecutiveFailures = 3;
// Time constant of the decay of the counts. It is long enough to combine the
// reports of several instances.
constexpr Duration kCountDecayTime = std::chrono::seconds(3);
// With fewer failures, the share of failures is not evaluated: other instances
// may not have reported their responses from the same time yet.
constexpr double kMinFailuresForShare = 6;
// Share of failures that causes an ejection. Routes that return errors in
// normal operation stay below this share.
constexpr double kEjectionFailureShare = 0.3;
constexpr Duration kMinEjection = std::chrono::seconds(1);
constexpr Duration kMaxEjection = std::chrono::seconds(30);
constexpr Duration kMinBackoff = std::chrono::milliseconds(20);
constexpr Duration kMaxBackoff = std::chrono::milliseconds(250);
// First backoff after a refusal when the service time is unknown.
constexpr Duration kDefaultBackoff = std::chrono::milliseconds(50);
// The first backoff is the service time divided by this number: by then, a full
// queue usually has room for another request.
constexpr int kBackoffDivisor = 4;

// Applies the exponential decay of the counts up to `now`.
void DecayCounts(UpstreamHealth& health, TimePoint now) {
  const std::chrono::duration<double> elapsed = now - health.decayed_at;
  const std::chrono::duration<double> window = kCountDecayTime;
  const double factor = std::exp(-elapsed.count() / window.count());
  for (double* count :
       {&health.answered, &health.failed, &health.unreported_answered,
        &health.unreported_failed}) {
    *count *= factor;
  }
  health.decayed_at = now;
}

[[nodiscard]] bool ExceedsFailureShare(const UpstreamHealth& health) {
  return health.failed >=
         kEjectionFailureShare * (health.failed + health.answered);
}

}  // namespace

bool IsEligible(const UpstreamHealth& health, TimePoint now) noexcept {
  return health.ejected_until <= now && health.overload_backoff_until <= now &&
         health.paused_until <= now;
}

bool Pause(UpstreamHealth& health, Duration pause, TimePoint now) {
  if (pause < Duration::zero() || pause > UpstreamHealth::kMaxPause) {
    return false;
  }
  health.paused_until = std::max(health.paused_until, now + pause);
  return true;
}

void CountResponse(UpstreamHealth& health, TimePoint now) {
  DecayCounts(health, now);
  ++health.answered;
  ++health.unreported_answered;
  health.failures = 0;
  health.rest = Duration::zero();
  // A single response does not reset the ejection time of an upstream that
  // fails every other request.
  if (!ExceedsFailureShare(health)) {
    health.ejection = Duration::zero();
  }
}

void CountFailure(UpstreamHealth& health, UpstreamFailure failure,
                  TimePoint now) {
  DecayCounts(health, now);
  ++health.failed;
  ++health.unreported_failed;
  health.failures += failure == UpstreamFailure::kNoAnswer ? 1 : 0;
}

UnreportedOutcomes TakeUnreportedOutcomes(UpstreamHealth& health,
                                          TimePoint now) {
  DecayCounts(health, now);
  // The smallest count that is rounded to 1.
  constexpr double kRoundsToOne = 0.5;
  // When any instance sees failures, all instances report their responses too.
  // If only the instances with failures reported, the share of failures would
  // be overestimated.
  const bool failure_seen = health.failed >= kRoundsToOne &&
                            health.unreported_answered >= kRoundsToOne;
  if (health.unreported_failed < kRoundsToOne && !failure_seen) {
    return {};
  }
  const UnreportedOutcomes unreported{
      static_cast<std::uint32_t>(std::lround(health.unreported_answered)),
      static_cast<std::uint32_t>(std::lround(health.unreported_failed))};
  health.unreported_answered = 0;
  health.unreported_failed = 0;
  return unreported;
}

void AddPeerOutcomes(UpstreamHealth& health, const UnreportedOutcomes& outcomes,
                     TimePoint now) {
  DecayCounts(health, now);
  health.answered += outcomes.answered;
  health.failed += outcomes.failed;
}

bool ShouldEject(const UpstreamHealth& health, TimePoint now) {
  if (health.ejected_until > now) {
    return false;
  }
  return health.failures >= kEjectionConsecutiveFailures ||
         (health.failed >= kMinFailuresForShare && ExceedsFailureShare(health));
}

void Eject(UpstreamHealth& health, TimePoint now) {
  health.ejection = std::clamp(health.ejection * 2, kMinEjection, kMaxEjection);
  health.ejected_until = now + health.ejection;
}

void StartOverloadBackoff(UpstreamHealth& health, Duration service_time,
                          TimePoint now) {
  const Duration first = service_time == Duration::zero()
                             ? kDefaultBackoff
                             : service_time / kBackoffDivisor;
  health.rest =
      std::clamp(std::max(first, health.rest * 2), kMinBackoff, kMaxBackoff);
  health.overload_backoff_until = now + health.rest;
}

}  // namespace mimosagauge
