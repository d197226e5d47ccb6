// Lookup of the route of a request, and the verdict that it gives.

#include "mimosagauge/impl/decisions/routes.h"

#include <algorithm>
#include <numeric>

namespace mimosagauge {
namespace {

// Key of a route in the index. A host contains no slash and a prefix begins
// with one, so the keys are unambiguous.
[[nodiscard]] std::string IndexKey(std::string_view host,
                                   std::string_view prefix) {
  std::string key(host);
  key += prefix;
  return key;
}

// Selects a service by weight; `draw` is a random number from 0 to 1.
[[nodiscard]] const ServiceId& DrawService(const Route& route, double draw) {
  const double sum =
      std::accumulate(route.services.begin(), route.services.end(), 0.0,
                      [](double total, const WeightedService& share) {
                        return total + share.weight;
                      });
  double cumulative_weight = 0;
  for (const WeightedService& share : route.services) {
    cumulative_weight += share.weight;
    if (draw * sum < cumulative_weight) {
      return share.service;
    }
  }
  return route.services.back().service;
}

[[nodiscard]] bool HasService(const Route& route, const ServiceId& service) {
  return std::any_of(route.services.begin(), route.services.end(),
                     [&service](const WeightedService& share) {
                       return share.service == service && share.weight > 0;
                     });
}

}  // namespace

void IndexRoutes(RouteCatalogue& catalogue) {
  catalogue.index.clear();
  for (std::size_t i = 0; i < catalogue.routes.size(); ++i) {
    const Route& route = catalogue.routes[i];
    catalogue.index.emplace(IndexKey(route.host, route.prefix), i);
  }
}

const Route* FindRoute(const RouteCatalogue& catalogue, std::string_view host,
                       std::string_view path) {
  std::string key = IndexKey(host, path);
  while (key.size() > host.size()) {
    const std::size_t slash = key.rfind('/');
    if (slash == std::string::npos || slash < host.size()) {
      return nullptr;
    }
    key.resize(slash + 1);
    const auto found = catalogue.index.find(key);
    if (found != catalogue.index.end()) {
      return &catalogue.routes[found->second];
    }
    key.resize(slash);
  }
  return nullptr;
}

Verdict MakeVerdict(const Route& route, const RequestHead& head, double draw) {
  Verdict verdict;
  verdict.service =
      HasService(route, head.service) ? head.service : DrawService(route, draw);
  if (!route.regions.empty()) {
    verdict.regions = route.regions;
  }
  verdict.priority = std::min(route.priority, Verdict::kLowestPriority);
  verdict.idempotent = route.idempotent || (route.stream && route.resumable);
  verdict.resumable = route.resumable;
  verdict.attempts = std::max<std::size_t>(1, route.attempts);
  verdict.objective = route.objective;
  if (route.timeout > Duration::zero()) {
    verdict.due = route.timeout;
  }
  return verdict;
}

const ServiceProfile* FindService(const RouteCatalogue& catalogue,
                                  const ServiceId& service) noexcept {
  const auto found = catalogue.services.find(service);
  return found == catalogue.services.end() ? nullptr : &found->second;
}

}  // namespace mimosagauge
