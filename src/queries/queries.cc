// The list of queries.

#include "mimosagauge/impl/app/subcommands.h"

namespace mimosagauge {

std::vector<Subcommand> Queries() { return {}; }

}  // namespace mimosagauge
