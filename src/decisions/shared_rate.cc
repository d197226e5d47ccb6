// Token bucket that limits the request rate of an upstream.

#include "mimosagauge/impl/decisions/shared_rate.h"

#include <algorithm>
#include <chrono>
#include <limits>

namespace mimosagauge {
namespace {

// The remaining cold time that an upstream reports is up to this much out of
// date when it arrives.
constexpr Duration kReportDelayMargin = std::chrono::milliseconds(300);

// An upstream that accepts no requests gets one at this rate, to learn when
// that ends.
constexpr double kMinRate = 1.0 / 60;

// Requests per second that all instances together may send.
[[nodiscard]] double CurrentRate(const SharedRate& rate,
                                 TimePoint now) noexcept {
  const double cold_rate = IsCold(rate, now)
                               ? rate.cold_rate
                               : std::numeric_limits<double>::infinity();
  const double named_rate = rate.named.requests_per_second.value_or(cold_rate);
  return std::max(kMinRate, std::min(cold_rate, named_rate));
}

// Requests per second that this instance sends at most, if it may use the rate.
[[nodiscard]] double UsedRate(const SharedRate& rate, TimePoint now) noexcept {
  return CurrentRate(rate, now) * (IsCold(rate, now)
                                       ? SharedRate::kUsedColdFraction
                                       : SharedRate::kUsedRateFraction);
}

// Tokens available at `now`, including those added since the last refill.
[[nodiscard]] double TokensAt(const SharedRate& rate, TimePoint now) noexcept {
  const std::chrono::duration<double> elapsed = now - rate.last_refill_at;
  return std::min(SharedRate::kBurst,
                  rate.tokens + elapsed.count() * UsedRate(rate, now));
}

// Fills the bucket when a limit begins to apply.
void StartLimit(SharedRate& rate, TimePoint now) {
  rate.tokens = SharedRate::kBurst;
  rate.last_refill_at = now;
}

// Whether this instance may send requests at the limited rate.
[[nodiscard]] bool MayUseRate(const SharedRate& rate, TimePoint now) noexcept {
  const bool unconfirmed =
      rate.named.requests_per_second.has_value() &&
      now - rate.named.heard_at > rate.confirmation_timeout;
  const bool may_own = rate.owned && (rate.has_majority || !IsCold(rate, now));
  return may_own || unconfirmed;
}

}  // namespace

bool IsCold(const SharedRate& rate, TimePoint now) noexcept {
  return rate.cold_rate > 0 && now < rate.cold_until;
}

void ExtendColdPeriod(SharedRate& rate, Duration remaining, TimePoint now) {
  if (remaining <= Duration::zero()) {
    return;
  }
  if (!IsRateLimited(rate, now)) {
    StartLimit(rate, now);
  }
  rate.cold_until =
      std::max(rate.cold_until, now + remaining + kReportDelayMargin);
}

bool RecordColdStatement(SharedRate& rate, Duration remaining, TimePoint now) {
  if (remaining <= Duration::zero()) {
    return false;
  }
  const bool changed = !IsCold(rate, now);
  ExtendColdPeriod(rate, remaining, now);
  rate.cold_stated_until = std::max(rate.cold_stated_until, now + remaining);
  if (changed) {
    rate.next_cold_report = now;
  }
  return changed;
}

bool RecordNamedLimit(SharedRate& rate, const NamedLimit& named,
                      TimePoint now) {
  if (named.heard_at < rate.named.heard_at) {
    return false;
  }
  const bool changed =
      rate.named.requests_per_second != named.requests_per_second;
  if (!IsRateLimited(rate, now)) {
    StartLimit(rate, now);
  } else if (changed) {
    rate.tokens = TokensAt(rate, now);
    rate.last_refill_at = now;
  }
  rate.named = named;
  return changed;
}

bool IsRateLimited(const SharedRate& rate, TimePoint now) noexcept {
  return IsCold(rate, now) || rate.named.requests_per_second.has_value();
}

Duration TimeToRequest(const SharedRate& rate, TimePoint now) noexcept {
  if (AllowsRequest(rate, now)) {
    return Duration::zero();
  }
  if (!MayUseRate(rate, now)) {
    return IsCold(rate, now) && !rate.named.requests_per_second
               ? rate.cold_until - now
               : Duration::max();
  }
  const std::chrono::duration<double> wait((1 - TokensAt(rate, now)) /
                                           UsedRate(rate, now));
  return std::chrono::duration_cast<Duration>(wait);
}

bool AllowsRequest(const SharedRate& rate, TimePoint now) noexcept {
  return !IsRateLimited(rate, now) ||
         (MayUseRate(rate, now) && TokensAt(rate, now) >= 1);
}

void ConsumeRequestToken(SharedRate& rate, TimePoint now) noexcept {
  if (!IsRateLimited(rate, now)) {
    return;
  }
  rate.tokens = TokensAt(rate, now) - 1;
  rate.last_refill_at = now;
}

}  // namespace mimosagauge
