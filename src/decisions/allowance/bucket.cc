// Token buckets of the allowances of client accounts.

#include "mimosagauge/impl/decisions/allowance/bucket.h"

#include <algorithm>
#include <cmath>

#include "mimosagauge/impl/decisions/rendezvous.h"

namespace mimosagauge {
namespace {

constexpr Duration kMaxGrantLifetime = std::chrono::milliseconds(500);
// Part of the time that the excess of a window covers (its excess times its
// length) for which a lent amount is valid. The rest covers the time that an
// admitted request waits for an upstream.
constexpr double kLifetimeFraction = 0.625;
// Part of the slack by which the buckets of all lenders together are larger
// than the burst; the rest covers the time that admitted requests wait for an
// upstream.
constexpr double kSlackFraction = 0.5;
// Time constant of measured rates. A shorter one does not see the next request
// of an account with one request a second.
constexpr double kRateSeconds = 1;

}  // namespace

AccountHash HashAccountId(const AccountId& account) noexcept {
  return AccountHash{RendezvousWeight(0, account.value())};
}

double Seconds(Duration duration) noexcept {
  return std::chrono::duration<double>(duration).count();
}

Duration FromSeconds(double seconds) noexcept {
  constexpr double kMaxSeconds = 3600;
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
      std::clamp(seconds, -kMaxSeconds, kMaxSeconds)));
}

Duration GrantLifetime(const AllowanceSettings& settings) {
  const double covered = Seconds(settings.window) * (settings.excess - 1);
  return std::min(kMaxGrantLifetime, FromSeconds(covered * kLifetimeFraction));
}

BucketTerms LenderTerms(const Allowance& allowance,
                        const AllowanceSettings& settings) {
  const double regions =
      static_cast<double>(std::max<std::size_t>(1, settings.regions));
  const double share = (1 - settings.reserve) / regions;
  const double burst = allowance.burst * share;
  if (allowance.unit == AllowanceUnit::kRequests) {
    return {allowance.per_second * share, std::max(1.0, burst)};
  }
  return {allowance.per_second * share,
          burst + settings.slack * kSlackFraction / regions};
}

BucketTerms ReserveTerms(const Allowance& allowance,
                         const AllowanceSettings& settings,
                         std::size_t instances) {
  const double share = settings.reserve /
                       static_cast<double>(std::max<std::size_t>(1, instances));
  return {allowance.per_second * share, allowance.burst * share};
}

AllowanceBucket MakeBucket(const BucketTerms& terms, TimePoint since,
                           TimePoint now) {
  AllowanceBucket bucket{terms, 0, since};
  Refill(bucket, now);
  return bucket;
}

void Refill(AllowanceBucket& bucket, TimePoint now) {
  if (now <= bucket.at) {
    return;
  }
  bucket.level =
      std::min(bucket.terms.burst,
               bucket.level + bucket.terms.rate * Seconds(now - bucket.at));
  bucket.at = now;
}

void SetTerms(AllowanceBucket& bucket, const BucketTerms& terms,
              TimePoint now) {
  Refill(bucket, now);
  bucket.terms = terms;
  bucket.level = std::min(bucket.level, terms.burst);
}

double TakeUpTo(AllowanceBucket& bucket, double amount, double keep,
                TimePoint now) {
  Refill(bucket, now);
  const double taken = std::min(amount, bucket.level - std::max(0.0, keep));
  if (taken <= 0) {
    return 0;
  }
  bucket.level -= taken;
  return taken;
}

bool IsFull(AllowanceBucket& bucket, TimePoint now) {
  Refill(bucket, now);
  return bucket.level >= bucket.terms.burst;
}

void Observe(MeasuredRate& rate, double units, TimePoint now) {
  rate.per_second = RateAt(rate, now) + units / kRateSeconds;
  rate.at = now;
}

double RateAt(const MeasuredRate& rate, TimePoint now) {
  return rate.per_second * std::exp(-Seconds(now - rate.at) / kRateSeconds);
}

}  // namespace mimosagauge
