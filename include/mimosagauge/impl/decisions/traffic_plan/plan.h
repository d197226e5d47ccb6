// Plan for the traffic between regions: which share of each flow of requests is
// served in which region, from the demand of all regions and the capacity of
// their upstreams. Flows that may leave a region make room for flows that may
// not.

#ifndef MIMOSAGAUGE_IMPL_DECISIONS_TRAFFIC_PLAN_PLAN_H_
#define MIMOSAGAUGE_IMPL_DECISIONS_TRAFFIC_PLAN_PLAN_H_

#include <compare>
#include <cstdint>
#include <map>
#include <vector>

#include "mimosagauge/impl/core/ids.h"

namespace mimosagauge {

/// \brief Size class of requests. Long generations bear a hop between regions
/// better than short ones, because it is a smaller part of their time.
enum class SizeClass : std::uint8_t { kShort, kLong };

/// \brief Requests that are planned together.
struct Flow {
  RegionId origin;  ///< Region in which callers send them.
  ServiceId service;
  std::vector<RegionId> allowed;  ///< Regions that may serve them, sorted;
                                  ///< empty: any region.
  SizeClass size = SizeClass::kShort;
  // NOLINTNEXTLINE(modernize-use-nullptr): false alarm on defaulted operators.
  [[nodiscard]] friend auto operator<=>(const Flow&, const Flow&) = default;
};

/// \brief The demand of one flow.
struct FlowDemand {
  Flow flow;
  /// Work that arrives each second, in seconds of an upstream of usual speed.
  double work = 0;
};

/// \brief What the upstreams of a region can do for a service.
struct ServiceCapacity {
  RegionId region;
  ServiceId service;
  /// Work done each second, in seconds of an upstream of usual speed; zero:
  /// requests of other regions are not sent there.
  double work = 0;
};

/// \brief Shares of one flow by region; they add up to 1.
using RegionShares = std::map<RegionId, double>;

/// \brief A plan: the shares of each flow.
struct TrafficPlan {
  std::map<Flow, RegionShares> shares;
};

/// \brief Plans the traffic. The same input gives the same plan, in any order.
///
/// Each flow starts in its origin, or in its allowed regions by capacity if it
/// may not be served there. Then work is moved
/// out of regions whose utilization is above a level to regions below it,
/// directly or over a chain of regions each of which passes on other work; long
/// generations move first. Levels rise until no region is above the last one
/// that can be reached. \param capacities Of all regions that may serve
/// requests now.
[[nodiscard]] TrafficPlan PlanTraffic(
    const std::vector<FlowDemand>& demands,
    const std::vector<ServiceCapacity>& capacities);

/// \brief Moves the shares of a plan in force a step towards a newer one, so
/// that a late or wrong report does not move all requests at once. A flow that
/// is new in `target` starts in its origin, or as planned if it may not be
/// served there.
/// \param step From 0 (no change) to 1 (all at once).
void Approach(TrafficPlan& plan, const TrafficPlan& target, double step);

/// \returns The region that serves a request of the flow; the origin for a flow
/// without a plan.
/// \param draw Random number from 0 to 1.
[[nodiscard]] RegionId PlannedRegion(const TrafficPlan& plan, const Flow& flow,
                                     double draw);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_TRAFFIC_PLAN_PLAN_H_
