// The part of an instance that admits requests against amounts of their
// accounts' allowances that it has borrowed from lenders.

#ifndef MIMOSAGAUGE_IMPL_DECISIONS_ALLOWANCE_BORROWER_H_
#define MIMOSAGAUGE_IMPL_DECISIONS_ALLOWANCE_BORROWER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "mimosagauge/impl/decisions/allowance/lender.h"

namespace mimosagauge {

/// \brief An amount that an admitted request has been charged.
struct AllowanceCharge {
  AccountHash account;
  double units = 0;
  /// When the borrowed amounts that it was taken from expire; a later refund
  /// has no effect.
  TimePoint expires{};
};

/// \brief Whether a request is admitted.
enum class AllowanceVerdict : std::uint8_t {
  kAdmitted,
  kWaiting,   ///< A decision follows within `kMaxHold`.
  kExceeded,  ///< The account is beyond its allowance.
  kNotKnown,  ///< No lender responded, and the reserve does not suffice.
};

/// \brief The decision about one request.
struct AllowanceDecision {
  RequestNumber number;
  AllowanceVerdict verdict = AllowanceVerdict::kAdmitted;
  std::optional<AllowanceCharge> charge;  ///< Set if it was admitted and its
                                          ///< account has an allowance.
  /// Time until the request would be admitted; set if it was refused.
  Duration retry_after{};
};

/// Longest time for which a request is held.
inline constexpr Duration kMaxHold = std::chrono::milliseconds(250);
/// Largest number of requests of one account that are held; further ones are
/// refused.
inline constexpr std::size_t kMaxHeldRequests = 256;

/// \brief A request that is held until its account has a balance.
struct HeldRequest {
  RequestNumber number;
  double units = 0;
  TimePoint deadline{};
  /// The request for an amount made for it; zero: none is outstanding.
  AllowanceNonce nonce;
};

/// \brief The borrower's state of one account.
struct BorrowerAccount {
  std::vector<ExpiringAmount> balance;
  MeasuredRate demand;  ///< Units of the requests that arrived.
  MeasuredRate requests;
  std::deque<HeldRequest> held;
  /// The last refusal of a lender: requests of at least `refused_units` are
  /// refused until `refused_until`, and told to come back at `available_at`.
  double refused_units = 0;
  TimePoint refused_until{};
  TimePoint available_at{};
  AllowanceBucket reserve;
  bool ahead_requested = false;  ///< An amount ahead of demand is outstanding.
};

/// \brief A request for an amount whose response may still be used.
struct OutstandingRequest {
  AccountHash account;
  InstanceId to;
  TimePoint asked_at{};
  bool first_choice = false;  ///< The lender of the own region was asked.
  bool for_held = false;      ///< A held request depends on the response.
  bool acknowledged = false;  ///< The lender waits for other regions.
  bool ahead = false;         ///< An amount ahead of demand was requested.
};

/// \brief Counts for the metrics.
struct BorrowerCounters {
  std::uint64_t admitted = 0;
  std::uint64_t exceeded = 0;
  std::uint64_t not_known = 0;
  std::uint64_t from_reserve = 0;  ///< Of the admitted ones.
  std::uint64_t held = 0;          ///< Requests that had to wait.
  double refunded = 0;             ///< Units returned.
};

/// \brief The state of a borrower.
struct Borrower {
  TimePoint started{};        ///< Start of the process.
  std::size_t instances = 1;  ///< Known instances, which share the reserve.
  std::unordered_map<AccountHash, BorrowerAccount> accounts;
  std::unordered_map<AllowanceNonce, OutstandingRequest> outstanding;
  std::set<AccountHash> with_held;  ///< Accounts with held requests.
  /// Lenders that have not answered in time, and until when they are not asked.
  std::unordered_map<InstanceId, TimePoint> silent;
  AllowanceNonce next_nonce;
  TimePoint next_sweep{};  ///< When idle accounts are forgotten next.
  BorrowerCounters counters;
};

/// \brief Requests for amounts and decisions of a borrower.
struct BorrowerOutput {
  std::vector<std::pair<InstanceId, AllowanceRequest>> requests;
  std::vector<AllowanceDecision> decisions;
};

/// \brief What all functions of a borrower are given.
struct BorrowerContext {
  const AllowanceBook& book;
  /// The lenders that can be reached, in the order in which they are asked.
  const std::vector<InstanceId>& lenders;
  /// The lender of the own region; empty: none is known.
  InstanceId own_lender;
  TimePoint now;
};

/// \brief Admits, holds or refuses a request.
/// \param units Units that the request counts.
/// \returns The decision. If it is `kWaiting`, the final one follows in the
/// output of a later call.
[[nodiscard]] AllowanceDecision AdmitRequest(Borrower& borrower,
                                             const BorrowerContext& context,
                                             AccountHash account, double units,
                                             RequestNumber number,
                                             BorrowerOutput& output);

/// \brief Returns the charge of a request that certainly did not run.
void Refund(Borrower& borrower, const BorrowerContext& context,
            const AllowanceCharge& charge);

/// \brief Removes a held request whose caller has left.
void CancelHeld(Borrower& borrower, AccountHash account, RequestNumber number);

/// \brief Processes the response of a lender.
void HandleGrant(Borrower& borrower, const BorrowerContext& context,
                 const InstanceId& from, const AllowanceGrant& grant,
                 BorrowerOutput& output);

/// \brief Asks other lenders where one is silent, decides about held requests
/// whose time is over, and forgets idle accounts.
void TickBorrower(Borrower& borrower, const BorrowerContext& context,
                  BorrowerOutput& output);

/// \brief Adopts a newer version of the allowances.
void ChangeReserves(Borrower& borrower, const AllowanceBook& old_book,
                    const AllowanceBook& new_book, TimePoint now);

/// \returns The units of all accounts that can be used at `now`.
[[nodiscard]] double UsableUnits(const Borrower& borrower, TimePoint now);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_ALLOWANCE_BORROWER_H_
