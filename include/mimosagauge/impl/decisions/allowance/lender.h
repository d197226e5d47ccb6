// The lender of a region: lends amounts of the accounts' allowances to
// instances, and takes amounts from the lenders of other regions.

#ifndef MIMOSAGAUGE_IMPL_DECISIONS_ALLOWANCE_LENDER_H_
#define MIMOSAGAUGE_IMPL_DECISIONS_ALLOWANCE_LENDER_H_

#include <cstdint>
#include <deque>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "mimosagauge/impl/decisions/allowance/bucket.h"
#include "mimosagauge/impl/decisions/allowance/messages.h"

namespace mimosagauge {

/// \brief The allowances of one version of the configuration.
struct AllowanceBook {
  AllowanceSettings settings;
  /// Accounts with an allowance. Accounts without one are not limited.
  std::unordered_map<AccountHash, Allowance> limits;
};

/// \brief An amount that is valid until a time.
struct ExpiringAmount {
  double units = 0;
  TimePoint expires{};
};

/// \brief What a lender last heard of the lender of another region.
struct OtherLender {
  double spare = 0;  ///< Units that it could spare at `heard_at`.
  TimePoint heard_at{};
  bool answered = false;  ///< Whether `spare` is known.
  /// Nonce of the request that it has not answered yet; zero: none.
  AllowanceNonce pending_nonce;
  TimePoint asked_at{};
};

/// \brief A request for an amount that waits for amounts from other regions.
struct PendingRequest {
  InstanceId from;
  AllowanceRequest request;
  TimePoint deadline{};
};

/// \brief The lender's state of one account.
struct LenderAccount {
  AllowanceBucket bucket;
  /// Amounts taken from lenders of other regions.
  std::vector<ExpiringAmount> transferred;
  MeasuredRate demand;  ///< Units requested by instances of this region.
  std::unordered_map<InstanceId, OtherLender> others;
  std::deque<PendingRequest> pending;  ///< At most `kMaxPendingRequests`.
  TimePoint
      next_transfer{};  ///< No amount is requested ahead before this time.
};

inline constexpr std::size_t kMaxPendingRequests = 256;

/// \brief Counts for the metrics.
struct LenderCounters {
  std::uint64_t granted = 0;   ///< Requests for amounts that got the need.
  std::uint64_t exceeded = 0;  ///< Requests refused.
  /// Requests refused although the bucket's level was above zero.
  std::uint64_t exceeded_above_zero = 0;
  std::uint64_t transfers = 0;  ///< Requests sent to other lenders.
};

/// \brief The state of a lender.
///
/// Invariant: in each region, the bucket of an account at its lenders, one
/// after the other, never gives more than its terms allow, because a new lender
/// starts with empty buckets.
struct Lender {
  TimePoint since{};  ///< When this instance began to lend.
  /// Lenders of the other regions.
  std::vector<InstanceId> other_lenders;
  std::unordered_map<AccountHash, LenderAccount> accounts;
  std::set<AccountHash> with_pending;  ///< Accounts with pending requests.
  AllowanceNonce next_nonce;
  TimePoint next_sweep{};  ///< When idle accounts are forgotten next.
  LenderCounters counters;
};

/// \brief Messages of a lender, with their receivers.
struct LenderOutput {
  std::vector<std::pair<InstanceId, AllowanceGrant>> grants;
  std::vector<std::pair<InstanceId, AllowanceRequest>> requests;
};

/// \brief Starts to lend at `now`, with empty buckets.
void StartLending(Lender& lender, TimePoint now);

/// \brief Processes a request for an amount.
/// \param lends_until End of the time in which this instance certainly is the
/// lender; later than `now`.
void HandleRequest(Lender& lender, const AllowanceBook& book,
                   TimePoint lends_until, const InstanceId& from,
                   const AllowanceRequest& request, TimePoint now,
                   LenderOutput& output);

/// \brief Processes the response of another region's lender.
/// \returns Whether the lender was waiting for it.
bool HandleTransfer(Lender& lender, const AllowanceBook& book,
                    TimePoint lends_until, const InstanceId& from,
                    const AllowanceGrant& grant, TimePoint now,
                    LenderOutput& output);

/// \brief Refuses pending requests whose time is over, and forgets accounts
/// that are idle and whose bucket is full.
void TickLender(Lender& lender, const AllowanceBook& book,
                TimePoint lends_until, TimePoint now, LenderOutput& output);

/// \brief Adopts a newer version of the allowances. Buckets of new accounts and
/// of changed ones get no more than they had.
void ChangeAllowances(Lender& lender, const AllowanceBook& old_book,
                      const AllowanceBook& new_book, TimePoint now);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_ALLOWANCE_LENDER_H_
