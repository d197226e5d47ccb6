// The operators' configuration from the platform's store: which requests are
// sent to which service, and how they may be retried, resumed and limited. If
// the operators keep a configuration there, it is used instead of a rules file.

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
#include "mimosagauge/impl/decisions/accounts/account.h"
#include "mimosagauge/impl/decisions/request.h"
#include "mimosagauge/impl/rules/verdict.h"

namespace mimosagauge {

/// \brief A service of a route, and the share of the route's requests that it
/// receives.
struct WeightedService {
  ServiceId service;
  double weight = 0;  ///< Relative to the sum of the route's weights; at
                      ///< least 0.
};

/// \brief Handling of the requests to one host with one path prefix.
struct Route {
  RouteId id;
  std::string host;
  std::string prefix;                     ///< Begins and ends with a slash.
  std::vector<WeightedService> services;  ///< Possible services; never empty.
  bool idempotent = false;   ///< Whether a request may be retried from
                             ///< the start after it was sent.
  bool stream = false;       ///< Whether the response is a stream of events.
  bool resumable = false;    ///< Whether a stream that broke off may be
                             ///< continued by another upstream.
  std::size_t attempts = 1;  ///< Largest number of upstreams that one
                             ///< request is sent to.
  Duration timeout{};        ///< Time from arrival to the deadline of the
                             ///< response; zero means the default.
  Duration objective{};      ///< Latency objective.
  /// Objective for the longest time between two events of a stream; zero means
  /// that none is configured.
  Duration max_event_gap{};
  /// Priority of the requests; a smaller number is served first.
  std::uint8_t priority = Verdict::kDefaultPriority;
  std::vector<RegionId> regions;  ///< Regions in which the requests may be
                                  ///< served; empty means any region.
  bool is_public = false;  ///< Whether requests need no key of an account.
};

/// \brief Properties that all engines of a service share.
struct EngineProfile {
  std::size_t slots = 0;  ///< Requests that an engine runs concurrently.
  std::uint64_t memory_tokens = 0;  ///< Capacity of the KV cache, in tokens.
  std::uint64_t token_bytes = 0;    ///< Bytes of KV cache per token.
  BitsPerSecond copy_bandwidth;     ///< Bandwidth for copying KV cache between
                                 ///< engines; zero means that they cannot copy.
};

/// \brief Properties that all upstreams of a service share.
struct ServiceProfile {
  ServiceId id;
  std::string health_path;      ///< Path of the health check.
  std::size_t connections = 0;  ///< Connections that one upstream accepts from
                                ///< all instances together.
  Duration cold{};  ///< Time for which an upstream is cold after its
                    ///< start.
  /// Requests per second that a cold upstream can handle, counted over all
  /// instances; zero means that the rate is not limited.
  double cold_rate = 0;
  std::optional<EngineProfile> engine;  ///< Empty for a plain service.
};

/// \brief Limits for the requests of callers.
struct CallerLimits {
  Bytes header;               ///< Largest size of a request's header.
  Bytes body;                 ///< Largest size of a request's body.
  Duration header_timeout{};  ///< Time allowed for receiving a header.
  Duration idle_timeout{};  ///< Time after which an idle connection is closed.
};

/// \brief One version of the operators' configuration.
struct RouteCatalogue {
  Revision revision;  ///< Version; newer configurations have larger numbers.
  std::vector<Route> routes;
  std::unordered_map<ServiceId, ServiceProfile> services;
  CallerLimits limits;
  Accounts accounts;
  /// Position of each route in `routes` by host and prefix; built by
  /// `IndexRoutes`.
  std::unordered_map<std::string, std::size_t> index;
};

/// \brief Rebuilds the index of routes. If two routes have the same host and
/// prefix, the first one is used.
void IndexRoutes(RouteCatalogue& catalogue);

/// \param path Path of the request without its query.
/// \returns The route of the host whose prefix is the longest one that matches
/// the path, or null when no route matches. Points into `catalogue`.
[[nodiscard]] const Route* FindRoute(const RouteCatalogue& catalogue,
                                     std::string_view host,
                                     std::string_view path);

/// \brief Builds the verdict on one request from its route.
/// \param head Head of the request. If it already names a service and the route
/// has this service with a weight above 0, the service is kept.
/// \param draw Random number from 0 to 1 that selects one of the route's
/// services by weight.
/// \returns The verdict, with the service and the limits for the request.
[[nodiscard]] Verdict MakeVerdict(const Route& route, const RequestHead& head,
                                  double draw);

/// \returns The profile of the service, or null when the configuration does not
/// contain the service. Points into `catalogue`.
[[nodiscard]] const ServiceProfile* FindService(
    const RouteCatalogue& catalogue, const ServiceId& service) noexcept;

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_ROUTES_H_
