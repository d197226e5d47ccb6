// Finds rules that are unreachable, repeated or contradictory.

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

[[nodiscard]] RuleFault MakeConflictFault(const Rule& earlier,
                                          const Rule& later) {
  const bool same_action = ToString(earlier.action) == ToString(later.action);
  const bool same_conditions = ConditionsCover(later, earlier);
  RuleFault fault{later.line, 1, "", ""};
  if (same_conditions && same_action) {
    fault.message = fmt::format("the line repeats line {}", earlier.line);
    fault.remedy = "remove one of the two lines";
  } else if (same_conditions) {
    fault.message = fmt::format(
        "the line contradicts line {}, which sets '{} {}' for the same "
        "requests and was asked for by {}",
        earlier.line, ToString(KindOf(earlier)), ToString(earlier.action),
        earlier.asked_by);
    fault.remedy =
        "agree on one of them with who asked for it and remove the other";
  } else {
    fault.message =
        fmt::format("the line never decides: line {} matches all its requests",
                    earlier.line);
    fault.remedy =
        fmt::format("move it above line {} or remove it", earlier.line);
  }
  return fault;
}

/// \returns The buckets that contain all rules that may cover `rule`.
[[nodiscard]] BucketList CandidateBuckets(const RuleIndex& index,
                                          const Rule& rule) {
  BucketList buckets;
  buckets.push_back(&index.unkeyed);
  for (const RuleCondition& condition : rule.conditions) {
    AppendCandidateBuckets(
        index.traits[static_cast<std::size_t>(condition.trait)],
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
      faults.push_back(MakeConflictFault(rules.rules[earlier], rule));
    }
  }
}

}  // namespace mimosagauge
