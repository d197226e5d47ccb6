// Client accounts of the operators' configuration: their keys, priority, home
// regions and allowances.

#ifndef MIMOSAGAUGE_IMPL_DECISIONS_ACCOUNTS_ACCOUNT_H_
#define MIMOSAGAUGE_IMPL_DECISIONS_ACCOUNTS_ACCOUNT_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "mimosagauge/impl/core/ids.h"

namespace mimosagauge {

/// \brief What an allowance counts.
enum class AllowanceUnit : std::uint8_t {
  kRequests,
  kTokens,  ///< Prompt tokens plus the largest number of output tokens.
};

/// \brief What the requests of an account may use, over all instances.
struct Allowance {
  AllowanceUnit unit = AllowanceUnit::kRequests;
  double per_second = 0;  ///< Units a second; zero: not limited.
  double burst = 0;       ///< Units beyond that at once; at least 0.
  /// Tokens counted for a request that does not state its size.
  double default_tokens = 0;
};

/// \brief One client account.
struct Account {
  AccountId id;
  std::vector<std::string> keys;  ///< Secrets; never logged or forwarded.
  /// Priority of its requests, in place of the route's; empty: the route's.
  std::optional<std::uint8_t> priority;
  std::vector<RegionId> regions;  ///< Regions in which its requests may be
                                  ///< served; empty: any region.
  Allowance allowance;
};

/// \brief All accounts of one configuration.
struct Accounts {
  /// Whether requests need a key. True also where the list of accounts is
  /// empty but present.
  bool required = false;
  std::vector<Account> list;
  /// Position in `list` by key and by id; built by `IndexAccounts`.
  std::unordered_map<std::string, std::size_t> by_key;
  std::unordered_map<AccountId, std::size_t> by_id;
};

/// \brief Rebuilds the indexes. A key that several accounts list belongs to the
/// first one.
void IndexAccounts(Accounts& accounts);

/// \returns The account that holds the key, or null. Points into `accounts`.
[[nodiscard]] const Account* FindAccountByKey(const Accounts& accounts,
                                              std::string_view key);

/// \returns The account with this id, or null. Points into `accounts`.
[[nodiscard]] const Account* FindAccount(const Accounts& accounts,
                                         const AccountId& id);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_ACCOUNTS_ACCOUNT_H_
