// Lookup of client accounts by key and by id.

#include "mimosagauge/impl/decisions/accounts/account.h"

namespace mimosagauge {

void IndexAccounts(Accounts& accounts) {
  accounts.by_key.clear();
  accounts.by_id.clear();
  for (std::size_t i = 0; i < accounts.list.size(); ++i) {
    const Account& account = accounts.list[i];
    accounts.by_id.emplace(account.id, i);
    for (const std::string& key : account.keys) {
      accounts.by_key.emplace(key, i);
    }
  }
}

const Account* FindAccountByKey(const Accounts& accounts,
                                std::string_view key) {
  const auto found = accounts.by_key.find(std::string(key));
  return found == accounts.by_key.end() ? nullptr
                                        : &accounts.list[found->second];
}

const Account* FindAccount(const Accounts& accounts, const AccountId& id) {
  const auto found = accounts.by_id.find(id);
  return found == accounts.by_id.end() ? nullptr
                                       : &accounts.list[found->second];
}

}  // namespace mimosagauge
