// Lines of a rules text that stand in each other's way.

#ifndef MIMOSAGAUGE_IMPL_RULES_CONFLICTS_H_
#define MIMOSAGAUGE_IMPL_RULES_CONFLICTS_H_

#include <vector>

#include "mimosagauge/impl/rules/rule_set.h"

namespace mimosagauge {

/// \returns Whether `wide` holds for every request that `narrow` holds for.
[[nodiscard]] bool ConditionsCover(const Rule& wide, const Rule& narrow);

/// \brief Finds the rules that can never decide, because an earlier one of the
/// same kind matches all their requests.
/// \param rules With their index.
/// \param faults One is appended for each such rule; it names the earlier line
/// and says whether the two contradict or repeat each other.
void FindConflicts(const RuleSet& rules, std::vector<RuleFault>& faults);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_RULES_CONFLICTS_H_
