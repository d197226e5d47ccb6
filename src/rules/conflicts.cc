// Finds unreachable, repeated and contradictory rules.

#include "mimosagauge/impl/rules/conflicts.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstddef>

#include "mimosagauge/impl/rules/pattern.h"
#include "mimosagauge/impl/rules/rule_index.h"
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

/// \returns The buckets of all rules that may cover `rule`.
[[nodiscard]] BucketList CandidateBuckets(const RuleIndex& index,
                                          const Rule& rule) {
  BucketList buckets;
  buckets.push_back(&index.rest);
  for (const RuleCondition& condition : rule.conditions) {
    AppendBuckets(index.traits[static_cast<std::size_t>(condition.trait)],
                  condition.pattern, buckets);
  }
  return buckets;
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

void FindConflicts(const RuleSet& rules, std::vector<RuleFault>& faults) {
  for (std::uint32_t later = 0; later < rules.rules.size(); ++later) {
    const Rule& rule = rules.rules[later];
    const BucketList buckets = CandidateBuckets(*rules.index, rule);
    const std::uint32_t earlier = FindFirstRule(
        buckets, KindOf(rule), later, [&rules, &rule](std::uint32_t position) {
          return ConditionsCover(rules.rules[position], rule);
        });
    if (earlier != kNoRule) {
      faults.push_back(ConflictFault(rules.rules[earlier], rule));
    }
  }
}

}  // namespace mimosagauge
