// The rules as the key-value service holds them: the text, its revision and
// which changes led to it.

#ifndef MIMOSAGAUGE_IMPL_PLATFORM_RULES_RECORD_H_
#define MIMOSAGAUGE_IMPL_PLATFORM_RULES_RECORD_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "mimosagauge/impl/core/error.h"
#include "mimosagauge/impl/core/ids.h"

namespace mimosagauge {

/// Longest rules text that is accepted.
inline constexpr std::size_t kMaxRulesBytes = 256U * 1024;
/// Changes that a record remembers; older texts are dropped from the store.
inline constexpr std::size_t kRememberedChanges = 32;

/// \brief A change that was accepted, and the revision it made.
struct AcceptedChange {
  ChangeId change;
  Revision revision;

  [[nodiscard]] friend bool operator==(const AcceptedChange&,
                                       const AcceptedChange&) = default;
};

/// \brief What the rules key holds.
struct RulesRecord {
  Revision revision;  ///< Zero: the key does not exist.
  /// Newest first, at most `kRememberedChanges`; the first made `revision`.
  std::vector<AcceptedChange> changes;
  std::string text;

  [[nodiscard]] friend bool operator==(const RulesRecord&,
                                       const RulesRecord&) = default;
};

/// \returns The key of the record.
[[nodiscard]] std::string RulesKey(const std::string& prefix);
/// \returns The key of the text of one revision.
[[nodiscard]] std::string RulesTextKey(const std::string& prefix,
                                       Revision revision);

/// \returns The record as a value of the store.
[[nodiscard]] std::string EncodeRulesRecord(const RulesRecord& record);
/// \returns The record, or `kInvalidInput`.
[[nodiscard]] Result<RulesRecord> DecodeRulesRecord(std::string_view value);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_PLATFORM_RULES_RECORD_H_
