// What callers in one place are shown of the instances.

#include "mimosagauge/impl/decisions/view.h"

#include <algorithm>
#include <iterator>

namespace mimosagauge {
namespace {

// Whether every request of the host may be served in the region.
[[nodiscard]] bool IsHome(const RouteCatalogue& catalogue,
                          std::string_view host, const RegionId& region) {
  return std::all_of(catalogue.routes.begin(), catalogue.routes.end(),
                     [&](const Route& route) {
                       return route.host != host || route.regions.empty() ||
                              std::find(route.regions.begin(),
                                        route.regions.end(),
                                        region) != route.regions.end();
                     });
}

template <typename Wanted>
[[nodiscard]] std::vector<EntryInstance> Pick(
    const std::vector<EntryInstance>& entries, Wanted&& wanted) {
  std::vector<EntryInstance> picked;
  std::copy_if(entries.begin(), entries.end(), std::back_inserter(picked),
               std::forward<Wanted>(wanted));
  return picked;
}

}  // namespace

std::vector<EntryInstance> EntriesFor(const InstanceView& view,
                                      const RegionId& region,
                                      std::string_view host) {
  const auto is_near = [&region](const EntryInstance& entry) {
    return entry.region == region;
  };
  auto entries = Pick(view.entries, is_near);
  if (entries.empty()) {
    entries = Pick(view.leaving_entries, is_near);
  }
  if (entries.empty() && view.catalogue != nullptr) {
    entries = Pick(view.entries, [&](const EntryInstance& entry) {
      return IsHome(*view.catalogue, host, entry.region);
    });
  }
  return entries.empty() ? view.entries : entries;
}

}  // namespace mimosagauge
