// Search for accounts by the digest of their tokens.

#include "mimosagauge/impl/duties/callers/account_book.h"

#include <openssl/crypto.h>

#include "mimosagauge/impl/duties/common/http_fields.h"

namespace mimosagauge {
namespace {

constexpr std::string_view kScheme = "Bearer ";

}  // namespace

AccountBook::AccountBook(const std::vector<AccountSettings>& accounts) {
  for (const AccountSettings& account : accounts) {
    entries_.emplace_back(Sha256(account.token),
                          AccountSettings{account.id, "", account.home});
  }
}

const AccountSettings* AccountBook::Find(std::string_view authorization) const {
  if (authorization.size() <= kScheme.size() ||
      !EqualsIgnoringCase(authorization.substr(0, kScheme.size()), kScheme)) {
    return nullptr;
  }
  const Sha256Digest digest = Sha256(authorization.substr(kScheme.size()));
  const AccountSettings* found = nullptr;
  // Every entry is compared, whichever matches.
  for (const auto& [known, account] : entries_) {
    if (CRYPTO_memcmp(known.data(), digest.data(), digest.size()) == 0) {
      found = &account;
    }
  }
  return found;
}

}  // namespace mimosagauge
