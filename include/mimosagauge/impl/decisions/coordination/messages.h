// Messages between the instances of a region and the placement coordinator of
// a service.

#ifndef MIMOSAGAUGE_IMPL_DECISIONS_COORDINATION_MESSAGES_H_
#define MIMOSAGAUGE_IMPL_DECISIONS_COORDINATION_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "mimosagauge/impl/core/ids.h"
#include "mimosagauge/impl/core/time.h"
#include "mimosagauge/impl/decisions/engine_load.h"
#include "mimosagauge/impl/decisions/request.h"
#include "mimosagauge/impl/rules/verdict.h"

namespace mimosagauge {

/// A start of a request that an instance asks the coordinator for; unique among
/// those of all starts of the instance.
using PlacementNumber = StrongNumber<struct PlacementNumberTag>;

/// \brief What a request could expect in another region that may serve it.
struct ElsewhereEstimate {
  Duration start{};                 ///< Time until its response begins there.
  std::uint32_t prompt_tokens = 0;  ///< Prompt tokens that the region would
                                    ///< have to prefill.
  bool part_cached = false;  ///< The region caches the prompt's shared part.
};

/// \brief A request that an instance wants to start at an engine.
struct PlacementRequest {
  PlacementNumber number;
  ServiceId service;
  ModelId model;  ///< Empty: any model.
  Prompt prompt;  ///< Tracked shared parts, and one last part of no tokens.
  std::uint8_t priority = Verdict::kDefaultPriority;
  bool resume = false;      ///< It continues a stream that broke off.
  Duration remaining{};     ///< Time until the response is due.
  Duration start_within{};  ///< Time until the response should have begun;
                            ///< zero: there is no objective, or it was missed.
  std::vector<UpstreamHash> tried;  ///< Engines that it must not get.
  /// Empty: the request cannot be served in another region.
  std::optional<ElsewhereEstimate> elsewhere;
};

/// \brief What a coordinator decides about a request.
enum class PlacementDecision : std::uint8_t {
  kGranted = 1,    ///< The request may start at `upstream` now.
  kQueued = 2,     ///< Another answer follows within `time`.
  kRefused = 3,    ///< It cannot start in time; `time` is the Retry-After.
  kElsewhere = 4,  ///< Another region is expected to serve it sooner.
};

/// \brief Answer of the coordinator to a `PlacementRequest`.
struct PlacementAnswer {
  PlacementNumber number;
  PlacementDecision decision = PlacementDecision::kRefused;
  UpstreamHash upstream;
  UpstreamHash cache_source;  ///< Engine to copy cached parts from; zero: none.
  Duration start{};           ///< Expected time until the response begins.
  std::uint32_t prompt_tokens = 0;  ///< Tokens that the engine has to prefill.
  Duration time{};
};

/// \brief A granted request whose response has begun.
struct PlacementBegun {
  PlacementNumber number;
  Duration taken{};  ///< Time from the start of the attempt.
};

/// \brief An attempt that an instance has at an engine.
struct PlacementRunning {
  PlacementNumber number;
  UpstreamHash upstream;
  std::uint32_t unread_tokens = 0;  ///< Zero once the response has begun.
  Duration remaining{};             ///< Time until the response is due.
};

/// \brief The load that an engine reported with a response.
struct PlacementLoad {
  UpstreamHash upstream;
  LoadReport report;
};

/// \brief All that one instance has to tell another one about placement.
struct PlacementMessage {
  std::vector<PlacementRequest> requests;
  std::vector<PlacementAnswer> answers;
  std::vector<PlacementBegun> begun;
  /// Starts that have ended, were not used or are not wanted any more.
  std::vector<PlacementNumber> ended;
  /// Starts that the engine refused because it was full; they have ended.
  std::vector<PlacementNumber> refused;
  /// Attempts that the coordinator has not granted.
  std::vector<PlacementRunning> running;
  /// Services of which `running` and `pending` are all that the sender has at
  /// the coordinator; what it does not contain has ended.
  std::vector<ServiceId> state_of;
  std::vector<PlacementNumber> pending;  ///< Requests without a final answer.
  std::vector<PlacementLoad> loads;      ///< At most one of each engine.
  bool probe = false;    ///< The receiver shall respond with `alive`.
  bool alive = false;    ///< The sender responds.
  bool waiting = false;  ///< Requests wait at the sender, so that ends of
                         ///< requests should be reported at once.
};

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_COORDINATION_MESSAGES_H_
