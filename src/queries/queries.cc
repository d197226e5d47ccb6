// The list of queries.

#include "mimosagauge/impl/app/subcommands.h"
#include "mimosagauge/impl/queries/checks.h"
#include "mimosagauge/impl/queries/live.h"

namespace mimosagauge {

std::vector<Subcommand> Queries() {
  return {
      {"settings check", "name every fault of a settings file", SettingsCheck},
      {"rules check", "name every fault of a rules file", RulesCheck},
      {"rules show", "print the rules in force", RulesShow},
      {"rules status", "print which revision is in force where", RulesStatus},
      {"instances", "print the instances that callers may use", Instances},
      {"upstreams", "print the upstreams of an instance", Upstreams},
      {"rules explain", "say which rules decide one request", RulesExplain},
  };
}

}  // namespace mimosagauge
