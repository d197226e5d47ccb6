// The rules as the key-value service holds them. One small key names the
// revision in force and the changes that led to it; the text of each revision
// has a key of its own and never changes.

#ifndef MIMOSAGAUGE_IMPL_STORE_RULES_RECORD_H_
#define MIMOSAGAUGE_IMPL_STORE_RULES_RECORD_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "mimosagauge/impl/core/error.h"
#include "mimosagauge/impl/core/ids.h"

namespace mimosagauge {

/// Changes that the head remembers, and revisions whose texts are kept.
inline constexpr std::size_t kRememberedChanges = 32;

/// \brief A change that was accepted, and the revision it made.
struct AcceptedChange {
  ChangeId change;
  Revision revision;

  [[nodiscard]] friend bool operator==(const AcceptedChange&,
                                       const AcceptedChange&) = default;
};

/// \brief What the rules key holds.
struct RulesHead {
  Revision revision;  ///< Zero: no rules have been accepted.
  /// Newest first, at most `kRememberedChanges`; the first made `revision`.
  std::vector<AcceptedChange> changes;

  [[nodiscard]] friend bool operator==(const RulesHead&,
                                       const RulesHead&) = default;
};

/// \brief Head and text together.
struct StoredRules {
  RulesHead head;
  std::string text;
};

/// \returns The key of the head.
[[nodiscard]] std::string RulesKey(const std::string& prefix);
/// \returns The key of the text of one revision.
[[nodiscard]] std::string RulesTextKey(const std::string& prefix,
                                       Revision revision);

/// \returns The head as a value of the store.
[[nodiscard]] std::string EncodeRulesHead(const RulesHead& head);
/// \returns The head, or `kInvalidInput`.
[[nodiscard]] Result<RulesHead> DecodeRulesHead(std::string_view value);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_STORE_RULES_RECORD_H_
