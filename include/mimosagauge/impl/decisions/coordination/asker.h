// State of an instance that asks placement coordinators, and of the coordinator
// that it is itself.

#ifndef MIMOSAGAUGE_IMPL_DECISIONS_COORDINATION_ASKER_H_
#define MIMOSAGAUGE_IMPL_DECISIONS_COORDINATION_ASKER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "mimosagauge/impl/core/ids.h"
#include "mimosagauge/impl/core/time.h"
#include "mimosagauge/impl/decisions/coordination/coordinator.h"
#include "mimosagauge/impl/decisions/coordination/messages.h"

namespace mimosagauge {

/// \brief How far the placement of one attempt of a request has come.
enum class PlacementPhase : std::uint8_t {
  kNone,     ///< Its coordinator has not been asked.
  kAsked,    ///< The coordinator has not answered yet.
  kQueued,   ///< The request waits at the coordinator.
  kLocal,    ///< This instance decides alone.
  kStarted,  ///< The attempt at an engine has started.
};

/// \brief Placement of one request's current attempt at an engine.
struct RequestPlacement {
  PlacementPhase phase = PlacementPhase::kNone;
  PlacementNumber number;    ///< Set unless the phase is kNone or kLocal.
  InstanceId coordinator;    ///< Where the number is known; empty: nowhere.
  TimePoint asked_at{};      ///< When the coordinator was asked.
  TimePoint queued_until{};  ///< When a queued request has an answer at the
                             ///< latest.
  /// Engines that were granted but cannot be used from here.
  std::vector<UpstreamHash> unusable;
  bool refused_by_engine = false;  ///< The engine was full.
};

/// \brief What this instance knows of another one (or itself) as a coordinator,
/// and what it has to tell it.
struct CoordinatorContact {
  std::size_t misses = 0;   ///< Requests without an answer in time, since the
                            ///< last one with an answer.
  TimePoint heard_at{};     ///< When its last message was received.
  TimePoint probed_at{};    ///< When it was last asked whether it responds.
  bool waiting = false;     ///< Requests wait there, as it last reported.
  TimePoint told_at{};      ///< When the last message was sent to it.
  PlacementMessage outbox;  ///< What will be sent next.
  /// When `outbox` is sent at the latest; `TimePoint::max()`: it is empty.
  TimePoint send_by = TimePoint::max();
};

/// \brief Counters of one service.
struct PlacementMetrics {
  std::uint64_t granted = 0;    ///< Starts that a coordinator granted.
  std::uint64_t queued = 0;     ///< Requests that waited at a coordinator.
  std::uint64_t refused = 0;    ///< Requests that a coordinator refused.
  std::uint64_t elsewhere = 0;  ///< Requests sent to another region.
  std::uint64_t timed_out = 0;  ///< Placed locally without an answer in time.
  std::uint64_t unusable = 0;   ///< Placed locally because the granted engine
                                ///< could not be used.
  std::uint64_t unused = 0;     ///< Grants returned without a start.
  std::uint64_t engine_refusals = 0;  ///< Attempts that full engines refused.
};

/// \brief Coordinated placement at one instance.
struct PlacementState {
  PlacementNumber last_number;  ///< Starts at random, so that the numbers of
                                ///< two processes of an instance differ.
  /// Requests that wait for an answer, by the number of the start.
  std::unordered_map<PlacementNumber, RequestNumber> asked;
  /// When each of them is placed locally unless it is answered or the
  /// coordinator is heard of.
  std::set<std::pair<TimePoint, RequestNumber>> deadlines;
  std::unordered_map<InstanceId, CoordinatorContact> contacts;
  /// The coordinator of each service; a service without one is missing.
  std::map<ServiceId, InstanceId> coordinators;
  bool selection_stale = true;  ///< `coordinators` has to be computed again.
  bool engines_stale = true;    ///< `own` has to adopt the upstreams again.
  /// Links that came up since the last selection: the instance may have lost
  /// what it was told.
  std::set<InstanceId> returned;
  Coordinator own = MakeCoordinator();  ///< In use if this instance is asked.
  bool own_in_use = false;
  TimePoint own_used_at{};  ///< When it was last told something.
  TimePoint last_retry{};   ///< When all waiting requests were last tried.
  std::map<ServiceId, PlacementMetrics> metrics;
};

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_COORDINATION_ASKER_H_
