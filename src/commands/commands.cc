// The list of commands.

#include "mimosagauge/impl/app/subcommands.h"

namespace mimosagauge {

std::vector<Subcommand> Commands() { return {}; }

}  // namespace mimosagauge
