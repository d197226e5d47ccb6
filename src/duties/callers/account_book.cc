// Lookup of accounts by the digests of their tokens.

#include "mimosagauge/impl/duties/callers/account_book.h"

#include <openssl/crypto.h>

#include "mimosagauge/impl/duties/common/http_fields.h"

namespace mimosagauge {
namespace {

constexpr std::string_view kScheme = "Bearer ";

}  // namespace

AccountRegistry::AccountRegistry(const std::vector<AccountSettings>& accounts) {
  for (const AccountSettings& account : accounts) {
    accounts_by_digest_.emplace_back(
        Sha256(account.token), AccountSettings{account.id, "", account.home});
  }
}

const AccountSettings* AccountRegistry::Find(
    std::string_view authorization) const {
  if (authorization.size() <= kScheme.size() ||
      !EqualsIgnoringCase(authorization.substr(0, kScheme.size()), kScheme)) {
    return nullptr;
  }
  const Sha256Digest digest = Sha256(authorization.substr(kScheme.size()));
  const AccountSettings* found = nullptr;
  // All entries are compared even after a match, so that the time
  // does not show which one matched.
  for (const auto& [known_digest, account] : accounts_by_digest_) {
    if (CRYPTO_memcmp(known_digest.data(), digest.data(), digest.size()) == 0) {
      found = &account;
    }
  }
  return found;
}

}  // namespace mimosagauge
