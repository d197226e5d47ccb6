// What callers in one place are shown of the instances.

#include "mimosagauge/impl/decisions/view.h"

#include <algorithm>
#include <iterator>

namespace mimosagauge {

std::vector<EntryInstance> EntriesFor(const InstanceView& view,
                                      const RegionId& region) {
  std::vector<EntryInstance> near;
  std::copy_if(view.entries.begin(), view.entries.end(),
               std::back_inserter(near), [&region](const EntryInstance& entry) {
                 return entry.region == region;
               });
  return near.empty() ? view.entries : near;
}

}  // namespace mimosagauge
