// State and decisions of a placement coordinator: which engine starts which
// request of any instance of the region, and in which order requests wait.

#ifndef MIMOSAGAUGE_IMPL_DECISIONS_COORDINATION_COORDINATOR_H_
#define MIMOSAGAUGE_IMPL_DECISIONS_COORDINATION_COORDINATOR_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "mimosagauge/impl/core/ids.h"
#include "mimosagauge/impl/core/time.h"
#include "mimosagauge/impl/decisions/coordination/messages.h"
#include "mimosagauge/impl/decisions/upstream_table.h"
#include "mimosagauge/impl/decisions/waiting_queue.h"

namespace mimosagauge {

/// \brief A request that was granted to an instance, or that an instance has
/// started without a grant, and that has not ended.
struct PlacementGrant {
  ServiceId service;
  UpstreamHash upstream;
  std::uint32_t unread_tokens = 0;  ///< Zero once its response has begun.
  Duration expected_start{};  ///< Estimate when it was granted; zero: it was
                              ///< not granted here.
  bool begun = false;         ///< Its response has begun.
  TimePoint granted_at{};
  TimePoint expires{};  ///< It counts as ended then, without a report.
};

/// \brief A request that waits at the coordinator.
struct WaitingPlacement {
  InstanceId from;
  ZoneId zone;  ///< Availability zone of that instance.
  PlacementRequest request;
  TimePoint due;
  TimePoint start_by;  ///< When its response should begin; the due time when it
                       ///< has no objective.
  TimePoint hold_until;  ///< Until then it waits for a full engine that caches
                         ///< its shared parts rather than let another one read
                         ///< them.
  TimePoint give_up;     ///< When it is refused if it still waits.
  QueuedRequest position;  ///< In `Coordinator::waiting`.
};

/// \brief Recent speed of one service, from which waiting times are estimated.
struct ServicePace {
  /// Requests of each priority that arrived, with exponential decay.
  std::array<double, Verdict::kLowestPriority + 1> arrivals{};
  TimePoint decayed_at{};  ///< Time at which `arrivals` was last updated.
  /// Smoothed time from a grant to its end.
  Duration hold = std::chrono::milliseconds(400);
  /// Earliest time that the next refused request is asked to return at.
  TimePoint next_return{};
};

/// \brief Requests that an engine reports beyond those that the coordinator
/// knows. A load report is up to 20 ms and one hop older than the reports of
/// ends, so that only an excess which lasts is one.
struct UnknownRequests {
  std::size_t counted = 0;  ///< Shown by all reports for at least one window.
  std::size_t lowest = 0;   ///< Of the reports since `window_start`.
  TimePoint window_start{};
};

/// \brief A granted request is known by its instance and number.
using PlacementKey = std::pair<InstanceId, PlacementNumber>;

/// \brief The complete state of the coordinator of one instance, for all
/// services that it is asked for. It is advisory: two coordinators of a service
/// place requests worse than one, but a request is never started by a
/// coordinator, only by the instance that asked.
struct Coordinator {
  /// The engines. `in_flight` and `load.unread_tokens` count exactly what was
  /// granted and not yet reported as ended; `limit` is the largest number of
  /// grants.
  UpstreamTable engines;
  std::map<PlacementKey, PlacementGrant> grants;
  /// When each grant expires.
  std::set<std::pair<TimePoint, PlacementKey>> expiries;
  WaitingQueue queue;
  std::unordered_map<RequestNumber, WaitingPlacement> waiting;
  /// Number of each waiting request in `queue`.
  std::map<PlacementKey, RequestNumber> waiting_numbers;
  /// When each waiting request is refused.
  std::set<std::pair<TimePoint, RequestNumber>> give_ups;
  std::map<ServiceId, ServicePace> paces;
  std::unordered_map<UpstreamHash, UnknownRequests> unknown;
  std::set<ServiceId> freed;  ///< Services with new capacity.
  RequestNumber last_waiting;
  std::uint64_t draws = 0;  ///< Draws for Retry-After made so far.
};

/// \brief An answer and the instance that it is for.
struct AddressedAnswer {
  InstanceId to;
  PlacementAnswer answer;
};
using PlacementAnswers = std::vector<AddressedAnswer>;

/// \returns The requests that may be granted at an engine beyond its slots.
///
/// They cover the time from the end of a request until the next one starts: end
/// and grant each cross the region, as do the instance's request and response.
[[nodiscard]] std::size_t EngineQueueAllowance(std::size_t slots) noexcept;

/// \returns A coordinator without requests.
[[nodiscard]] Coordinator MakeCoordinator();

/// \brief Adopts the engines of the instance's table: adds, updates and removes
/// them. To be called after each change of their records.
void AdoptEngines(Coordinator& coordinator, const UpstreamTable& upstreams,
                  TimePoint now);

/// \brief Adopts which engines may receive requests. To be called before
/// decisions; cheaper than `AdoptEngines`.
void AdoptEngineHealth(Coordinator& coordinator, const UpstreamTable& upstreams,
                       TimePoint now);

/// \brief Decides about a request: grants it, queues it, or refuses it when it
/// is not expected to start in time. A repeated request is answered like
/// before.
void HandlePlacementRequest(Coordinator& coordinator, TimePoint now,
                            const InstanceId& from, const ZoneId& zone,
                            const PlacementRequest& request,
                            PlacementAnswers& answers);

/// \brief Records what an instance reports about its requests.
void HandlePlacementReports(Coordinator& coordinator, TimePoint now,
                            const InstanceId& from,
                            const PlacementMessage& message);

/// \brief Ends all grants and waiting requests of an instance whose process has
/// ended.
void RemoveInstancePlacements(Coordinator& coordinator, const InstanceId& from);

/// \brief Ends grants and waits whose time is over, and grants waiting requests
/// where capacity was freed.
/// \param retry_all Whether all services are tried, because an engine may have
/// become usable without an event.
void AdvanceCoordinator(Coordinator& coordinator, TimePoint now, bool retry_all,
                        PlacementAnswers& answers);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_COORDINATION_COORDINATOR_H_
