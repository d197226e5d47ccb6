// Counting what upstreams answer, and the ejections and rests that follow.

#include "mimosagauge/impl/decisions/upstream_health.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace mimosagauge {
namespace {

// Own failures in a row from which on an upstream is taken for broken.
constexpr std::size_t kFailuresInARow = 3;
// Counts fade over this time: long enough for several instances' words.
constexpr Duration kShareWindow = std::chrono::seconds(3);
// Failures below this number are no share: the answers beside them may not have
// been told yet.
constexpr double kLeastFailures = 6;
// Routes whose own errors are part of their answers stay below this share.
constexpr double kFailingShare = 0.3;
constexpr Duration kFirstEjection = std::chrono::seconds(1);
constexpr Duration kLongestEjection = std::chrono::seconds(30);
constexpr Duration kShortestRest = std::chrono::milliseconds(20);
constexpr Duration kLongestRest = std::chrono::milliseconds(250);
// The rest after a refusal where nothing is known of the service's times.
constexpr Duration kUsualRest = std::chrono::milliseconds(50);
// A full queue has shrunk enough to take one more after this part of a request.
constexpr int kRestPart = 4;

void Fade(UpstreamHealth& health, TimePoint now) {
  const std::chrono::duration<double> passed = now - health.faded_at;
  const std::chrono::duration<double> window = kShareWindow;
  const double factor = std::exp(-passed.count() / window.count());
  for (double* count : {&health.answered, &health.failed,
                        &health.untold_answered, &health.untold_failed}) {
    *count *= factor;
  }
  health.faded_at = now;
}

[[nodiscard]] bool HasFailingShare(const UpstreamHealth& health) {
  return health.failed >= kFailingShare * (health.failed + health.answered);
}

}  // namespace

bool MayWork(const UpstreamHealth& health, TimePoint now) noexcept {
  return health.ejected_until <= now && health.rests_until <= now;
}

void CountAnswer(UpstreamHealth& health, TimePoint now) {
  Fade(health, now);
  ++health.answered;
  ++health.untold_answered;
  health.failures = 0;
  health.rest = Duration::zero();
  // One good answer does not clear an upstream that fails every other one.
  if (!HasFailingShare(health)) {
    health.ejection = Duration::zero();
  }
}

void CountFailure(UpstreamHealth& health, UpstreamFailure failure,
                  TimePoint now) {
  Fade(health, now);
  ++health.failed;
  ++health.untold_failed;
  health.failures += failure == UpstreamFailure::kNoAnswer ? 1 : 0;
}

UntoldOutcomes TakeUntold(UpstreamHealth& health, TimePoint now) {
  Fade(health, now);
  constexpr double kOne = 0.5;  // Rounded.
  // Where anyone sees failures, all tell their answers too: told by the unlucky
  // alone, a share of failures would seem greater than it is.
  const bool heard = health.failed >= kOne && health.untold_answered >= kOne;
  if (health.untold_failed < kOne && !heard) {
    return {};
  }
  const UntoldOutcomes untold{
      static_cast<std::uint32_t>(std::lround(health.untold_answered)),
      static_cast<std::uint32_t>(std::lround(health.untold_failed))};
  health.untold_answered = 0;
  health.untold_failed = 0;
  return untold;
}

void CountToldOutcomes(UpstreamHealth& health, const UntoldOutcomes& told,
                       TimePoint now) {
  Fade(health, now);
  health.answered += told.answered;
  health.failed += told.failed;
}

bool DeservesEjection(const UpstreamHealth& health, TimePoint now) {
  if (health.ejected_until > now) {
    return false;
  }
  return health.failures >= kFailuresInARow ||
         (health.failed >= kLeastFailures && HasFailingShare(health));
}

void Eject(UpstreamHealth& health, TimePoint now) {
  health.ejection =
      std::clamp(health.ejection * 2, kFirstEjection, kLongestEjection);
  health.ejected_until = now + health.ejection;
}

void Rest(UpstreamHealth& health, Duration service, TimePoint now) {
  const Duration first =
      service == Duration::zero() ? kUsualRest : service / kRestPart;
  health.rest =
      std::clamp(std::max(first, health.rest * 2), kShortestRest, kLongestRest);
  health.rests_until = now + health.rest;
}

}  // namespace mimosagauge
