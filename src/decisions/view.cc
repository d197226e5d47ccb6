// Selection of the instances that a caller is shown.

#include "mimosagauge/impl/decisions/view.h"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <map>
#include <utility>

namespace mimosagauge {
namespace {

// Returns how many of the host's routes with homes have the region as a home.
[[nodiscard]] std::ptrdiff_t CountHomeRoutes(const RouteCatalogue& catalogue,
                                             std::string_view host,
                                             const RegionId& region) {
  return std::count_if(catalogue.routes.begin(), catalogue.routes.end(),
                       [&](const Route& route) {
                         return route.host == host &&
                                std::find(route.regions.begin(),
                                          route.regions.end(),
                                          region) != route.regions.end();
                       });
}

// Keeps the instances of the regions that are homes of the most routes of the
// host: its routes may have different homes, so that no region suits them all.
[[nodiscard]] std::vector<EntryInstance> KeepBestHomes(
    std::vector<EntryInstance> entries, const RouteCatalogue& catalogue,
    std::string_view host) {
  std::map<RegionId, std::ptrdiff_t> counts;
  std::ptrdiff_t most = 0;
  for (const EntryInstance& entry : entries) {
    const auto [count, added] = counts.try_emplace(entry.region, 0);
    if (added) {
      count->second = CountHomeRoutes(catalogue, host, entry.region);
      most = std::max(most, count->second);
    }
  }
  std::erase_if(entries, [&](const EntryInstance& entry) {
    return counts.at(entry.region) < most;
  });
  return entries;
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
  if (!entries.empty()) {
    return entries;
  }
  return view.catalogue == nullptr
             ? view.entries
             : KeepBestHomes(view.entries, *view.catalogue, host);
}

}  // namespace mimosagauge
