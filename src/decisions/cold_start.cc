// Token bucket that limits the request rate of a cold upstream.

#include "mimosagauge/impl/decisions/cold_start.h"

#include <algorithm>
#include <chrono>

namespace mimosagauge {
namespace {

// The remaining cold time that an upstream reports is up to this much out of
// date when it arrives.
constexpr Duration kReportDelayMargin = std::chrono::milliseconds(300);

// Tokens available at `now`, including those added since the last refill.
[[nodiscard]] double TokensAt(const ColdStart& cold, TimePoint now) noexcept {
  const std::chrono::duration<double> elapsed = now - cold.last_refill_at;
  return std::min(
      ColdStart::kBurst,
      cold.tokens + elapsed.count() * cold.rate * ColdStart::kUsedRateFraction);
}

}  // namespace

void ExtendColdPeriod(ColdStart& cold, Duration remaining, TimePoint now) {
  if (remaining <= Duration::zero()) {
    return;
  }
  if (!IsCold(cold, now)) {
    cold.tokens = ColdStart::kBurst;
    cold.last_refill_at = now;
  }
  cold.ends_at = std::max(cold.ends_at, now + remaining + kReportDelayMargin);
}

bool IsCold(const ColdStart& cold, TimePoint now) noexcept {
  return cold.rate > 0 && now < cold.ends_at;
}

bool AllowsRequest(const ColdStart& cold, TimePoint now) noexcept {
  return !IsCold(cold, now) || (cold.owned && TokensAt(cold, now) >= 1);
}

void ConsumeRequestToken(ColdStart& cold, TimePoint now) noexcept {
  if (!IsCold(cold, now)) {
    return;
  }
  cold.tokens = TokensAt(cold, now) - 1;
  cold.last_refill_at = now;
}

}  // namespace mimosagauge
