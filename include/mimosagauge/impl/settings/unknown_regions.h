// Rules compared with the settings of the instances they are for.

#ifndef MIMOSAGAUGE_IMPL_SETTINGS_UNKNOWN_REGIONS_H_
#define MIMOSAGAUGE_IMPL_SETTINGS_UNKNOWN_REGIONS_H_

#include <vector>

#include "mimosagauge/impl/rules/rule_set.h"
#include "mimosagauge/impl/settings/settings.h"

namespace mimosagauge {

/// \brief Finds regions in the rules that the system does not have; requests
/// that must stay there would always be refused.
/// \param faults One is appended for each.
void FindUnknownRegions(const RuleSet& rules, const Settings& settings,
                        std::vector<RuleFault>& faults);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_SETTINGS_UNKNOWN_REGIONS_H_
