// Authentication of requests: which account a request belongs to, and what the
// account changes about its handling.

#ifndef MIMOSAGAUGE_IMPL_DECISIONS_ACCOUNTS_AUTHENTICATION_H_
#define MIMOSAGAUGE_IMPL_DECISIONS_ACCOUNTS_AUTHENTICATION_H_

#include <cstdint>
#include <string_view>

#include "mimosagauge/impl/decisions/accounts/account.h"
#include "mimosagauge/impl/decisions/request.h"
#include "mimosagauge/impl/rules/verdict.h"

namespace mimosagauge {

/// \brief The result of the authentication of one request.
enum class AuthenticationResult : std::uint8_t {
  kAccepted,
  kMissingKey,   ///< The request has no key and its route is not public.
  kUnknownKey,   ///< No account has the key, and the route is not public.
  kUnconfirmed,  ///< The configuration may be too old to accept or deny keys.
  kAccountGone,  ///< Another instance forwarded the request for an account that
                 ///< the configuration here does not contain.
};

/// \returns The result as a label of metrics and log entries.
[[nodiscard]] std::string_view ToString(AuthenticationResult result) noexcept;

/// \brief The account of a request, or why the request is refused.
struct Authentication {
  AuthenticationResult result = AuthenticationResult::kAccepted;
  /// Account of an accepted request; null: it is served without an account, on
  /// a public route. Points into the accounts that were searched.
  const Account* account = nullptr;
};

/// \brief What the route of a request requires of its caller.
struct RouteAccess {
  bool is_public = false;  ///< Requests need no key.
  bool has_homes = false;  ///< Requests may be served only in some regions.
};

/// \brief Authenticates a request that was received from a caller. Without a
/// confirmed configuration, requests are accepted only on public routes, and
/// only if no home regions that a newer configuration may have moved bind them.
/// \param credential The key as the caller sent it; empty: none.
/// \param confirmed Whether the configuration is known to be recent enough to
/// accept keys.
[[nodiscard]] Authentication AuthenticateCaller(const Accounts& accounts,
                                                std::string_view credential,
                                                const RouteAccess& route,
                                                bool confirmed);

/// \brief Authenticates a request that another instance forwarded and has
/// authenticated, by the name of its account.
/// \param id The account; empty: none.
/// \param is_public Whether the request's route needs no key.
[[nodiscard]] Authentication AuthenticateForwarded(const Accounts& accounts,
                                                   const AccountId& id,
                                                   bool is_public);

/// \brief Applies the account's priority and home regions to the verdict of its
/// request. The priority replaces that of the route. The request may then be
/// served only in regions that are homes of both the route and the account; if
/// there is none, the verdict's list of regions is empty.
void BindAccount(const Account& account, Verdict& verdict);

/// \returns Whether the head contains a key, as a credential or as a header
/// field.
[[nodiscard]] bool HasCredential(const RequestHead& head);

/// \returns A copy of the head without the caller's key, for the account.
/// \param account The account of the request; empty: none.
[[nodiscard]] RequestHead AuthenticatedHead(const RequestHead& head,
                                            const AccountId& account);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_ACCOUNTS_AUTHENTICATION_H_
