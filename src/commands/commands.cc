// The list of commands.

#include "mimosagauge/impl/app/operator_commands.h"
#include "mimosagauge/impl/app/serve.h"
#include "mimosagauge/impl/app/subcommands.h"

namespace mimosagauge {

std::vector<Subcommand> Commands() {
  return {
      {"serve", "run one instance", Serve},
      {"rules apply", "put a file in place of the rules", RulesApply},
      {"rules add", "add one line to the rules", RulesAdd},
      {"rules remove", "remove one line from the rules", RulesRemove},
      {"drain", "make an instance shut down gracefully", Drain},
  };
}

}  // namespace mimosagauge
