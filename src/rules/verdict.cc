// Queries on a verdict.

#include "mimosagauge/impl/rules/verdict.h"

#include <algorithm>

namespace mimosagauge {

bool AllowsRegion(const Verdict& verdict, const RegionId& region) noexcept {
  if (!verdict.regions) {
    return true;
  }
  return std::find(verdict.regions->begin(), verdict.regions->end(), region) !=
         verdict.regions->end();
}

}  // namespace mimosagauge
