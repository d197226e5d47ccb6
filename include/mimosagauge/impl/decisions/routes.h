// The operators' configuration as the platform's store holds it: which
// requests go to which service, and what may be done with them. It takes the
// place of a rules file where the operators keep one there.

#ifndef MIMOSAGAUGE_IMPL_DECISIONS_ROUTES_H_
#define MIMOSAGAUGE_IMPL_DECISIONS_ROUTES_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "mimosagauge/impl/core/ids.h"
#include "mimosagauge/impl/core/time.h"
#include "mimosagauge/impl/core/units.h"
#include "mimosagauge/impl/decisions/request.h"
#include "mimosagauge/impl/rules/verdict.h"

namespace mimosagauge {

/// \brief A service's part of a route's requests.
struct ServiceShare {
  ServiceId service;
  double weight = 0;  ///< Against the sum of all; at least 0.
};

/// \brief What happens to the requests of one host below one path.
struct Route {
  RouteId id;
  std::string host;
  std::string prefix;                  ///< Begins and ends with a slash.
  std::vector<ServiceShare> services;  ///< Never empty.
  bool idempotent = false;             ///< May be run again from the start.
  bool stream = false;
  bool resumable = false;    ///< A broken stream may go on elsewhere.
  std::size_t attempts = 1;  ///< Upstreams that may be given one request.
  Duration timeout{};        ///< From arrival until it must be answered.
  Duration objective{};      ///< Latency wanted.
  Duration longest_pause{};  ///< Wanted between events; zero: none named.
  std::uint8_t priority = Verdict::kDefaultPriority;  ///< Smaller first.
  std::vector<RegionId> regions;  ///< The only ones allowed; empty: any.
};

/// \brief What the engines of a service have in common.
struct EngineProfile {
  std::size_t slots = 0;            ///< Requests that run at once.
  std::uint64_t memory_tokens = 0;  ///< Of KV cache.
  std::uint64_t token_bytes = 0;    ///< Of KV cache, for each token.
  BitsPerSecond copy_width;         ///< Between engines, for KV cache.
};

/// \brief What the upstreams of a service have in common.
struct ServiceProfile {
  ServiceId id;
  std::string health_path;
  std::size_t connections = 0;  ///< One upstream takes, of all instances.
  Duration cold{};              ///< How long one is cold after its start.
  double cold_rate = 0;  ///< Requests a second that a cold one bears; 0: all.
  std::optional<EngineProfile> engine;  ///< None: a plain service.
};

/// \brief Bounds on what callers may send.
struct CallerLimits {
  Bytes header;
  Bytes body;
  Duration header_timeout{};
  Duration idle_timeout{};
};

/// \brief One version of the configuration.
struct RouteCatalogue {
  Revision revision;  ///< Only rises.
  std::vector<Route> routes;
  std::unordered_map<ServiceId, ServiceProfile> services;
  CallerLimits limits;
  /// Position of each route by host and prefix; made by `IndexRoutes`.
  std::unordered_map<std::string, std::size_t> index;
};

/// \brief Makes the index; where two routes have one host and prefix the
/// first one holds.
void IndexRoutes(RouteCatalogue& catalogue);

/// \param path Without query.
/// \returns The route with the longest prefix of the path, or null.
[[nodiscard]] const Route* FindRoute(const RouteCatalogue& catalogue,
                                     std::string_view host,
                                     std::string_view path);

/// \brief Decides about one request.
/// \param draw From 0 to 1, to choose among a route's services. A service
/// that the head names already is kept when the route has it.
[[nodiscard]] Verdict VerdictOf(const Route& route, const RequestHead& head,
                                double draw);

/// \returns The profile, or null when the configuration names no such service.
[[nodiscard]] const ServiceProfile* FindService(
    const RouteCatalogue& catalogue, const ServiceId& service) noexcept;

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_ROUTES_H_
