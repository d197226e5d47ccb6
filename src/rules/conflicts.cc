// Finds unreachable, repeated and contradictory rules.

#include "mimosagauge/impl/rules/conflicts.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstddef>

#include "mimosagauge/impl/rules/pattern.h"
#include "mimosagauge/impl/rules/rule_text.h"

namespace mimosagauge {
namespace {

[[nodiscard]] const RuleCondition* FindCondition(const Rule& rule,
                                                 RuleCondition::Trait trait) {
  for (const RuleCondition& condition : rule.conditions) {
    if (condition.trait == trait) {
      return &condition;
    }
  }
  return nullptr;
}

[[nodiscard]] RuleFault ConflictFault(const Rule& earlier, const Rule& later) {
  const bool same_action = ToString(earlier.action) == ToString(later.action);
  const bool same_conditions = ConditionsCover(later, earlier);
  RuleFault fault{later.line, 1, "", ""};
  if (same_conditions && same_action) {
    fault.message = fmt::format("the line repeats line {}", earlier.line);
    fault.remedy = "remove one of the two";
  } else if (same_conditions) {
    fault.message = fmt::format(
        "the line contradicts line {}, which says '{} {}' of the same requests "
        "and was asked for by {}",
        earlier.line, ToString(KindOf(earlier)), ToString(earlier.action),
        earlier.asked_by);
    fault.remedy = "settle it with who asked and remove one of the two";
  } else {
    fault.message =
        fmt::format("the line never decides: line {} matches all its requests",
                    earlier.line);
    fault.remedy =
        fmt::format("move it above line {} or remove it", earlier.line);
  }
  return fault;
}

}  // namespace

bool ConditionsCover(const Rule& wide, const Rule& narrow) {
  return std::all_of(wide.conditions.begin(), wide.conditions.end(),
                     [&narrow](const RuleCondition& condition) {
                       const RuleCondition* other =
                           FindCondition(narrow, condition.trait);
                       return other != nullptr &&
                              PatternCovers(condition.pattern, other->pattern);
                     });
}

void FindConflicts(const std::vector<Rule>& rules,
                   std::vector<RuleFault>& faults) {
  for (std::size_t later = 0; later < rules.size(); ++later) {
    for (std::size_t earlier = 0; earlier < later; ++earlier) {
      if (rules[earlier].action.index() == rules[later].action.index() &&
          ConditionsCover(rules[earlier], rules[later])) {
        faults.push_back(ConflictFault(rules[earlier], rules[later]));
        break;
      }
    }
  }
}

}  // namespace mimosagauge
