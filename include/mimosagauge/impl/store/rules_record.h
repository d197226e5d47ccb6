// Representation of the rules in the key-value service. One small key, the
// head, contains the revision in force and the changes that led to it. The text
// of each revision has a key of its own and never changes.

#ifndef MIMOSAGAUGE_IMPL_STORE_RULES_RECORD_H_
#define MIMOSAGAUGE_IMPL_STORE_RULES_RECORD_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "mimosagauge/impl/core/error.h"
#include "mimosagauge/impl/core/ids.h"

namespace mimosagauge {

/// Most changes recorded in the head, and most revisions whose texts are kept.
inline constexpr std::size_t kMaxRecordedChanges = 32;

/// \brief A change that was accepted, and the revision that it created.
struct AcceptedChange {
  ChangeId change;
  Revision revision;

  [[nodiscard]] friend bool operator==(const AcceptedChange&,
                                       const AcceptedChange&) = default;
};

/// \brief Value of the rules key.
struct RulesHead {
  Revision revision;  ///< Revision in force; zero: none was accepted yet.
  /// Changes, newest first, at most `kMaxRecordedChanges`. The first one
  /// created `revision`.
  std::vector<AcceptedChange> changes;

  [[nodiscard]] friend bool operator==(const RulesHead&,
                                       const RulesHead&) = default;
};

/// \brief The head and the text of its revision.
struct StoredRules {
  RulesHead head;
  std::string text;
};

/// \returns The key of the head.
[[nodiscard]] std::string RulesHeadKey(const std::string& prefix);
/// \returns The key of the text of one revision.
[[nodiscard]] std::string RulesTextKey(const std::string& prefix,
                                       Revision revision);

/// \returns The head encoded as a JSON value for the store.
[[nodiscard]] std::string EncodeRulesHead(const RulesHead& head);
/// \returns The head, or `kInvalidInput` when the value is not a valid head.
[[nodiscard]] Result<RulesHead> DecodeRulesHead(std::string_view value);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_STORE_RULES_RECORD_H_
