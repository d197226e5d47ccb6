// Everything that one instance decides about allowances: whether it lends, from
// whom it borrows, and which requests it admits.

#ifndef MIMOSAGAUGE_IMPL_DECISIONS_ALLOWANCE_ALLOWANCES_H_
#define MIMOSAGAUGE_IMPL_DECISIONS_ALLOWANCE_ALLOWANCES_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "mimosagauge/impl/decisions/allowance/borrower.h"
#include "mimosagauge/impl/decisions/allowance/lender.h"
#include "mimosagauge/impl/decisions/allowance/messages.h"
#include "mimosagauge/impl/decisions/allowance/seniority.h"

namespace mimosagauge {

/// \brief The state of one instance.
struct Allowances {
  InstanceId self;
  RegionId region;
  AllowanceBook book;
  SeniorityFacts facts;
  LenderTenure tenure;
  bool has_accounts = false;           ///< A configuration has been received.
  std::vector<InstanceId> candidates;  ///< From `facts.registrations`.
  InstanceId own_lender;           ///< The candidate of the own region, if any.
  std::set<InstanceId> reachable;  ///< Instances whose links are up.
  Borrower borrower;
  Lender lender;
};

/// \brief What a call led to.
struct AllowanceOutput {
  /// Messages to other instances, each of at most `kMaxAllowanceEntries`.
  std::vector<std::pair<InstanceId, AllowanceMessage>> messages;
  /// Decisions about requests that were held.
  std::vector<AllowanceDecision> decisions;
  /// Set if this instance began or ceased to lend.
  std::optional<bool> lends;
};

/// \param first_nonce A random number.
[[nodiscard]] Allowances MakeAllowances(const InstanceId& self,
                                        const RegionId& region,
                                        const AllowanceSettings& settings,
                                        TimePoint now,
                                        std::uint64_t first_nonce);

/// \brief Adopts the allowances of a newer version of the configuration.
void SetAccounts(Allowances& state, const Accounts& accounts, TimePoint now);

/// \brief Replaces the known registrations.
void SetRegistrations(Allowances& state, RegistrationTable table);

/// \returns Lenders of other regions, to which a link is needed so that they
/// can be asked as soon as the own one does not answer.
[[nodiscard]] const std::vector<InstanceId>& NeededLinks(
    const Allowances& state);

/// \returns Whether the account has an allowance.
[[nodiscard]] bool HasAllowance(const Allowances& state, AccountHash account);

/// \brief Admits, holds or refuses a request.
[[nodiscard]] AllowanceDecision Admit(Allowances& state, AccountHash account,
                                      double units, RequestNumber number,
                                      TimePoint now, AllowanceOutput& output);

/// \brief Returns the charge of a request that certainly did not run.
void ReturnCharge(Allowances& state, const AllowanceCharge& charge,
                  TimePoint now);

/// \brief Processes a message of another instance.
void HandleMessage(Allowances& state, const InstanceId& from,
                   const AllowanceMessage& message, TimePoint now,
                   AllowanceOutput& output);

/// \brief Does what is due at `now`; to be called every few milliseconds.
void DoDueWork(Allowances& state, TimePoint now, AllowanceOutput& output);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_ALLOWANCE_ALLOWANCES_H_
