// Edits of the rules, and pure functions that compute the next step of an edit
// from the rules in the store. The writer in the platform duty executes the
// steps.

#ifndef MIMOSAGAUGE_IMPL_STORE_RULES_CHANGE_H_
#define MIMOSAGAUGE_IMPL_STORE_RULES_CHANGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "mimosagauge/impl/core/error.h"
#include "mimosagauge/impl/core/ids.h"
#include "mimosagauge/impl/rules/merge.h"
#include "mimosagauge/impl/rules/rule_set.h"
#include "mimosagauge/impl/store/rules_record.h"

namespace mimosagauge {

/// \brief Replaces all rules by a text.
struct ReplaceRules {
  std::string text;
  /// Revision that the text is based on; none: not given.
  std::optional<Revision> base = std::nullopt;
  /// Discards the changes that others made since `base`.
  bool overwrite = false;
};
/// \brief Adds one line, at the end or before all others.
struct AddRule {
  std::string line;
  bool first = false;  ///< Adds the line before all others.
};
/// \brief Removes all lines that equal `line` apart from blanks at their ends.
struct RemoveRule {
  std::string line;
};

/// \brief One operator's edit.
struct RulesEdit {
  ChangeId change;  ///< Unique id; a repeated edit has the same one.
  std::variant<ReplaceRules, AddRule, RemoveRule> edit;
};

/// \brief The edit took effect.
struct RulesAccepted {
  Revision revision;
  std::string text;
  /// The text was merged with changes that others made since its base.
  bool merged = false;
  /// The edit was written; false: the rules already had this text.
  bool written = false;
};

/// \brief The edit took no effect. With `kUnknownOutcome` it may have taken
/// effect.
struct RulesRefused {
  Error error;
  std::vector<RuleFault> faults;         ///< Invalid lines of the rules.
  std::vector<MergeConflict> conflicts;  ///< Lines that could not be merged.
};

using RulesOutcome = std::variant<RulesAccepted, RulesRefused>;

/// \brief Next step: write this head and text by compare-and-swap.
struct WriteRules {
  RulesHead head;
  std::string text;
  std::vector<Revision> forgotten;  ///< Revisions whose texts are deleted.
  bool merged = false;              ///< As in `RulesAccepted`.
};
/// \brief Next step: read the text of this revision, which is needed to merge.
struct ReadBaseText {
  Revision base;
};
/// The next step of an edit, or its outcome.
using RulesPlan =
    std::variant<WriteRules, ReadBaseText, RulesAccepted, RulesRefused>;

/// \brief Checks the parts of an edit that can be checked without the store.
/// \returns The refusal with `kInvalidInput` or `kInvalidRules`, or none.
[[nodiscard]] std::optional<RulesRefused> CheckEdit(const RulesEdit& edit);

/// \returns Whether the edit replaces the rules whatever the store holds.
[[nodiscard]] bool IsOverwrite(const RulesEdit& edit);

/// \brief Computes the next step of an edit.
/// \param stored The rules that the store holds.
/// \param base_text Text of the edit's base revision; none: not read yet.
/// \param revision_floor The new revision is greater than this one.
/// \returns What to write or read next, or the outcome.
[[nodiscard]] RulesPlan PlanEdit(const StoredRules& stored,
                                 const std::optional<std::string>& base_text,
                                 const RulesEdit& edit,
                                 Revision revision_floor);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_STORE_RULES_CHANGE_H_
