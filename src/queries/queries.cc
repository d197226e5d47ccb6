// The list of queries.

#include "mimosagauge/impl/app/subcommands.h"
#include "mimosagauge/impl/queries/checks.h"

namespace mimosagauge {

std::vector<Subcommand> Queries() {
  return {
      {"settings check", "name every fault of a settings file", SettingsCheck},
      {"rules check", "name every fault of a rules file", RulesCheck},
      {"rules explain", "say which rules decide one request", RulesExplain},
  };
}

}  // namespace mimosagauge
