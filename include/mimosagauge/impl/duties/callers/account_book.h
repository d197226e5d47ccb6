// Lookup of an instance's client accounts by bearer token.

#ifndef MIMOSAGAUGE_IMPL_DUTIES_CALLERS_ACCOUNT_BOOK_H_
#define MIMOSAGAUGE_IMPL_DUTIES_CALLERS_ACCOUNT_BOOK_H_

#include <string_view>
#include <utility>
#include <vector>

#include "mimosagauge/impl/duties/callers/digest.h"
#include "mimosagauge/impl/settings/settings.h"

namespace mimosagauge {

/// \brief Maps bearer tokens to client accounts. Only SHA-256 digests of the
/// tokens are stored, and the time of a lookup does not depend on their values,
/// so that it reveals nothing about the tokens.
class AccountRegistry {
 public:
  explicit AccountRegistry(const std::vector<AccountSettings>& accounts);

  /// \param authorization The value of the `Authorization` field.
  /// \returns The account, with its token left empty, or null when the field
  /// carries no bearer token of an account. The pointer is valid for the
  /// lifetime of this object.
  [[nodiscard]] const AccountSettings* Find(
      std::string_view authorization) const;

 private:
  std::vector<std::pair<Sha256Digest, AccountSettings>> accounts_by_digest_;
};

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DUTIES_CALLERS_ACCOUNT_BOOK_H_
