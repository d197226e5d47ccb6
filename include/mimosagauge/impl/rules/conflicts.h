// Detection of rules that contradict, repeat or hide each other.

#ifndef MIMOSAGAUGE_IMPL_RULES_CONFLICTS_H_
#define MIMOSAGAUGE_IMPL_RULES_CONFLICTS_H_

#include <vector>

#include "mimosagauge/impl/rules/rule_set.h"

namespace mimosagauge {

/// \returns Whether the conditions of `wide` match every request that the
/// conditions of `narrow` match.
[[nodiscard]] bool ConditionsCover(const Rule& wide, const Rule& narrow);

/// \brief Finds the rules that can never apply, because an earlier rule of the
/// same kind matches all their requests.
/// \param rules The rules; their index must be set.
/// \param faults Receives one fault for each such rule. The fault names the
/// earlier line and states whether the two lines contradict or repeat each
/// other.
void FindConflicts(const RuleSet& rules, std::vector<RuleFault>& faults);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_RULES_CONFLICTS_H_
