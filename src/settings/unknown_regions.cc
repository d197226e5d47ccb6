// Rules compared with the settings of the instances they are for.

#include "mimosagauge/impl/settings/unknown_regions.h"

#include <fmt/format.h>

#include <algorithm>
#include <string_view>
#include <variant>

#include "mimosagauge/impl/rules/pattern.h"

namespace mimosagauge {
namespace {

[[nodiscard]] bool AnyRegionMatches(const Settings& settings,
                                    std::string_view pattern) {
  return std::any_of(settings.regions.begin(), settings.regions.end(),
                     [pattern](const RegionSettings& region) {
                       return PatternMatches(pattern, region.id.value());
                     });
}

void AddUnknown(const Rule& rule, std::string_view region,
                std::vector<RuleFault>& faults) {
  faults.push_back({rule.line, 1,
                    fmt::format("region '{}' is not in the settings", region),
                    "correct the name or add the region to the settings"});
}

}  // namespace

void FindUnknownRegions(const RuleSet& rules, const Settings& settings,
                        std::vector<RuleFault>& faults) {
  for (const Rule& rule : rules.rules) {
    if (const auto* stay = std::get_if<StayAction>(&rule.action)) {
      for (const RegionId& region : stay->regions) {
        if (!AnyRegionMatches(settings, region.value())) {
          AddUnknown(rule, region.value(), faults);
        }
      }
    }
    for (const RuleCondition& condition : rule.conditions) {
      if (condition.trait == RuleCondition::Trait::kRegion &&
          !AnyRegionMatches(settings, condition.pattern)) {
        AddUnknown(rule, condition.pattern, faults);
      }
    }
  }
}

}  // namespace mimosagauge
