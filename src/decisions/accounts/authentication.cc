// Lookup of the account of a request, and its effect on the verdict.

#include "mimosagauge/impl/decisions/accounts/authentication.h"

#include <algorithm>
#include <boost/algorithm/string/predicate.hpp>
#include <utility>

namespace mimosagauge {
namespace {

[[nodiscard]] bool IsCredentialField(const Header& header) {
  return boost::iequals(header.name, "authorization");
}

[[nodiscard]] bool HasAccountWithHomes(const Accounts& accounts) {
  return std::any_of(
      accounts.list.begin(), accounts.list.end(),
      [](const Account& account) { return !account.regions.empty(); });
}

}  // namespace

std::string_view ToString(AuthenticationResult result) noexcept {
  switch (result) {
    case AuthenticationResult::kAccepted:
      return "accepted";
    case AuthenticationResult::kMissingKey:
      return "missing-key";
    case AuthenticationResult::kUnknownKey:
      return "unknown-key";
    case AuthenticationResult::kUnconfirmed:
      return "unconfirmed";
    case AuthenticationResult::kAccountGone:
      return "account-gone";
  }
  return "";
}

Authentication AuthenticateCaller(const Accounts& accounts,
                                  std::string_view credential,
                                  const RouteAccess& route, bool confirmed) {
  if (credential.empty() && !route.is_public) {
    return {AuthenticationResult::kMissingKey};
  }
  const Account* account = FindAccountByKey(accounts, credential);
  if (confirmed) {
    const bool accepted = account != nullptr || route.is_public;
    return {accepted ? AuthenticationResult::kAccepted
                     : AuthenticationResult::kUnknownKey,
            account};
  }
  // An unknown key may be new, and a known one may have been revoked. On a
  // public route the request is served without an account, unless home regions
  // would then not bind it: those of the account, of the account that a new key
  // may belong to, or those that the route may have by now.
  const bool homes_bind = !credential.empty() &&
                          (account != nullptr ? !account->regions.empty()
                                              : HasAccountWithHomes(accounts));
  const bool accepted = route.is_public && !route.has_homes && !homes_bind;
  return {accepted ? AuthenticationResult::kAccepted
                   : AuthenticationResult::kUnconfirmed};
}

Authentication AuthenticateForwarded(const Accounts& accounts,
                                     const AccountId& id, bool is_public) {
  if (id.empty()) {
    // A sender without accounts in its configuration requires no key.
    return {is_public ? AuthenticationResult::kAccepted
                      : AuthenticationResult::kAccountGone};
  }
  const Account* account = FindAccount(accounts, id);
  return {account != nullptr ? AuthenticationResult::kAccepted
                             : AuthenticationResult::kAccountGone,
          account};
}

void BindAccount(const Account& account, Verdict& verdict) {
  if (account.priority) {
    verdict.priority = std::min(*account.priority, Verdict::kLowestPriority);
  }
  if (account.regions.empty()) {
    return;
  }
  if (!verdict.regions) {
    verdict.regions = account.regions;
    return;
  }
  std::erase_if(*verdict.regions, [&account](const RegionId& region) {
    return std::find(account.regions.begin(), account.regions.end(), region) ==
           account.regions.end();
  });
}

bool HasCredential(const RequestHead& head) {
  return !head.credential.empty() ||
         std::any_of(head.headers.begin(), head.headers.end(),
                     &IsCredentialField);
}

RequestHead AuthenticatedHead(const RequestHead& head,
                              const AccountId& account) {
  RequestHead authenticated = head;
  authenticated.account = account;
  authenticated.credential.clear();
  std::erase_if(authenticated.headers, &IsCredentialField);
  return authenticated;
}

}  // namespace mimosagauge
