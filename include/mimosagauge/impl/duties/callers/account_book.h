// The client accounts of an instance, found by token.

#ifndef MIMOSAGAUGE_IMPL_DUTIES_CALLERS_ACCOUNT_BOOK_H_
#define MIMOSAGAUGE_IMPL_DUTIES_CALLERS_ACCOUNT_BOOK_H_

#include <string_view>
#include <utility>
#include <vector>

#include "mimosagauge/impl/duties/callers/digest.h"
#include "mimosagauge/impl/settings/settings.h"

namespace mimosagauge {

/// \brief Finds the account that a token names. It keeps digests of the
/// tokens only, and the time a search takes says nothing about them.
class AccountBook {
 public:
  explicit AccountBook(const std::vector<AccountSettings>& accounts);

  /// \param authorization The value of the `Authorization` field.
  /// \returns The account, its token left out, or null. Valid as long as the
  /// book.
  [[nodiscard]] const AccountSettings* Find(
      std::string_view authorization) const;

 private:
  std::vector<std::pair<Sha256Digest, AccountSettings>> entries_;
};

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DUTIES_CALLERS_ACCOUNT_BOOK_H_
