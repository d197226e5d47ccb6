// Selection of the instances that a caller is shown.

#include "mimosagauge/impl/decisions/view.h"

#include <algorithm>
#include <iterator>

namespace mimosagauge {
namespace {

// Returns whether all routes of the host allow the region.
[[nodiscard]] bool IsHostAllowedInRegion(const RouteCatalogue& catalogue,
                                         std::string_view host,
                                         const RegionId& region) {
  return std::all_of(catalogue.routes.begin(), catalogue.routes.end(),
                     [&](const Route& route) {
                       return route.host != host || route.regions.empty() ||
                              std::find(route.regions.begin(),
                                        route.regions.end(),
                                        region) != route.regions.end();
                     });
}

template <typename Predicate>
[[nodiscard]] std::vector<EntryInstance> Filter(
    const std::vector<EntryInstance>& entries, Predicate&& matches) {
  std::vector<EntryInstance> selected;
  std::copy_if(entries.begin(), entries.end(), std::back_inserter(selected),
               std::forward<Predicate>(matches));
  return selected;
}

}  // namespace

std::vector<EntryInstance> EntriesFor(const InstanceView& view,
                                      const RegionId& region,
                                      std::string_view host) {
  const auto in_region = [&region](const EntryInstance& entry) {
    return entry.region == region;
  };
  auto entries = Filter(view.entries, in_region);
  if (entries.empty()) {
    entries = Filter(view.leaving_entries, in_region);
  }
  if (entries.empty() && view.catalogue != nullptr) {
    entries = Filter(view.entries, [&](const EntryInstance& entry) {
      return IsHostAllowedInRegion(*view.catalogue, host, entry.region);
    });
  }
  return entries.empty() ? view.entries : entries;
}

}  // namespace mimosagauge
