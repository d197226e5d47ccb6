// Token buckets of the allowances of client accounts, and the share of an
// allowance that one lender or one instance's reserve may use.

#ifndef MIMOSAGAUGE_IMPL_DECISIONS_ALLOWANCE_BUCKET_H_
#define MIMOSAGAUGE_IMPL_DECISIONS_ALLOWANCE_BUCKET_H_

#include <cstddef>
#include <unordered_map>

#include "mimosagauge/impl/core/ids.h"
#include "mimosagauge/impl/core/time.h"
#include "mimosagauge/impl/decisions/accounts/account.h"

namespace mimosagauge {

/// A hash of an account's id, which identifies the account in messages because
/// it is shorter than the id.
using AccountHash = StrongNumber<struct AccountHashTag>;

/// \returns The hash of the account's id; the same on every instance.
[[nodiscard]] AccountHash HashAccountId(const AccountId& account) noexcept;

/// \brief How allowances are enforced; the same on every instance.
struct AllowanceSettings {
  bool enforced = false;
  /// Length of the sliding window in which the requests of an account are
  /// counted.
  Duration window = std::chrono::seconds(8);
  /// Factor by which the requests in a window may exceed the allowance.
  double excess = 1.1;
  /// Tokens allowed in a window in addition to that, for accounts that are
  /// counted in tokens.
  double slack = 190000;
  /// Part of each allowance that no lender lends, from 0 to 1.
  double reserve = 0.05;
  std::size_t regions = 1;  ///< Number of regions; at least 1.
  /// Lifetime of the lease of a registration.
  Duration session = std::chrono::seconds(4);
};

/// \returns The longest time for which a lent amount is valid: 500 ms, or less
/// where the window and the excess leave no room for it.
[[nodiscard]] Duration GrantLifetime(const AllowanceSettings& settings);

/// \brief Rate and capacity of a bucket.
struct BucketTerms {
  double rate = 0;   ///< Units a second.
  double burst = 0;  ///< Units that the bucket holds at most.

  [[nodiscard]] friend bool operator==(const BucketTerms&,
                                       const BucketTerms&) = default;
};

/// \returns The terms of the account's bucket at the lender of one region. Its
/// capacity is the region's share of the burst and a part of the slack, so that
/// requests larger than the region's share can be admitted.
[[nodiscard]] BucketTerms LenderTerms(const Allowance& allowance,
                                      const AllowanceSettings& settings);

/// \returns The terms of the account's reserve at one of `instances` instances.
[[nodiscard]] BucketTerms ReserveTerms(const Allowance& allowance,
                                       const AllowanceSettings& settings,
                                       std::size_t instances);

/// \brief A token bucket. Levels are as of the last call that passed a time.
struct AllowanceBucket {
  BucketTerms terms;
  double level = 0;  ///< Units; from 0 to `terms.burst`.
  TimePoint at{};    ///< Time of `level`.
};

/// \brief Creates a bucket that was empty at `since` and unused until `now`. A
/// bucket that is forgotten only when `IsFull` comes back with the same level.
[[nodiscard]] AllowanceBucket MakeBucket(const BucketTerms& terms,
                                         TimePoint since, TimePoint now);

/// \brief Adds what the time since the last call brings.
void Refill(AllowanceBucket& bucket, TimePoint now);

/// \brief Changes the terms. The level is lowered to the new capacity, and it
/// never rises.
void SetTerms(AllowanceBucket& bucket, const BucketTerms& terms, TimePoint now);

/// \brief Takes up to `amount` units but leaves at least `keep`.
/// \returns The units taken; at least 0.
double TakeUpTo(AllowanceBucket& bucket, double amount, double keep,
                TimePoint now);

/// \returns Whether the bucket is at its capacity.
[[nodiscard]] bool IsFull(AllowanceBucket& bucket, TimePoint now);

/// \brief A rate measured with exponentially decreasing weights.
struct MeasuredRate {
  double per_second = 0;
  TimePoint at{};
};

/// \brief Adds units that were observed at `now`.
void Observe(MeasuredRate& rate, double units, TimePoint now);

/// \returns The rate at `now`, in units a second.
[[nodiscard]] double RateAt(const MeasuredRate& rate, TimePoint now);

/// \returns The duration in seconds.
[[nodiscard]] double Seconds(Duration duration) noexcept;
/// \returns The duration; at most an hour.
[[nodiscard]] Duration FromSeconds(double seconds) noexcept;

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_ALLOWANCE_BUCKET_H_
