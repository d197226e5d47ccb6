// Edits of the rules: what one makes of the rules that the store holds now.
// Pure; the writer in the platform duty carries it out.

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

/// \brief Puts a whole text in place of the rules.
struct ReplaceRules {
  std::string text;
  std::optional<Revision> base =
      std::nullopt;        ///< Revision that the text was made from.
  bool overwrite = false;  ///< Whatever others changed since is lost.
};
/// \brief Adds one line, at the end or before all others.
struct AddRule {
  std::string line;
  bool first = false;
};
/// \brief Removes the lines that read the same.
struct RemoveRule {
  std::string line;
};

/// \brief One operator's edit.
struct RulesEdit {
  ChangeId change;  ///< Unique; the same when the edit is sent again.
  std::variant<ReplaceRules, AddRule, RemoveRule> edit;
};

/// \brief The edit took effect.
struct RulesAccepted {
  Revision revision;
  std::string text;
  bool merged = false;   ///< With changes that others made meanwhile.
  bool written = false;  ///< Else the rules read so already.
};

/// \brief The edit took no effect, or (`kUnknownOutcome`) may not have.
struct RulesRefused {
  Error error;
  std::vector<RuleFault> faults;
  std::vector<MergeConflict> conflicts;
};

using RulesOutcome = std::variant<RulesAccepted, RulesRefused>;

/// \brief What to write, by compare-and-swap.
struct WriteRules {
  RulesHead head;
  std::string text;
  std::vector<Revision> forgotten;  ///< Their texts are no longer kept.
  bool merged = false;
};
/// \brief The text of this revision is needed to merge.
struct ReadBaseText {
  Revision base;
};
using RulesPlan =
    std::variant<WriteRules, ReadBaseText, RulesAccepted, RulesRefused>;

/// \brief Checks what can be checked without the store.
/// \returns The refusal, or none.
[[nodiscard]] std::optional<RulesRefused> CheckEdit(const RulesEdit& edit);

/// \returns Whether the edit needs none of what the store holds.
[[nodiscard]] bool Overwrites(const RulesEdit& edit);

/// \brief Says what to do next for an edit.
/// \param stored What the store holds.
/// \param base_text Text of the edit's base revision, once it has been read.
/// \param floor The new revision is greater than this.
[[nodiscard]] RulesPlan PlanEdit(const StoredRules& stored,
                                 const std::optional<std::string>& base_text,
                                 const RulesEdit& edit, Revision floor);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_STORE_RULES_CHANGE_H_
