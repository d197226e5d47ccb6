// Demand of callers by flow, as smoothed rates of work.

#ifndef MIMOSAGAUGE_IMPL_DECISIONS_TRAFFIC_PLAN_DEMAND_H_
#define MIMOSAGAUGE_IMPL_DECISIONS_TRAFFIC_PLAN_DEMAND_H_

#include <cstddef>
#include <map>
#include <vector>

#include "mimosagauge/impl/core/time.h"
#include "mimosagauge/impl/decisions/traffic_plan/plan.h"

namespace mimosagauge {

/// \brief Rates of work that arrives, with exponential decay.
struct DemandMeter {
  struct Entry {
    double work = 0;  ///< Work that arrived, decayed to `updated_at`.
    TimePoint updated_at{};
  };
  std::map<Flow, Entry> flows;  ///< At most `kMaxFlows`.

  static constexpr std::size_t kMaxFlows = 256;
  /// Time constant of the rates. A region reaches its peak within a second.
  static constexpr Duration kTimeConstant = std::chrono::seconds(1);
};

/// \brief Records a request that a caller sent. A flow beyond the largest
/// number of flows is not recorded.
/// \param work In seconds of an upstream of usual speed.
void RecordDemand(DemandMeter& meter, const Flow& flow, double work,
                  TimePoint now);

/// \brief Removes flows without demand.
/// \returns The rates of the others, in seconds of work each second.
[[nodiscard]] std::vector<FlowDemand> TakeDemands(DemandMeter& meter,
                                                  TimePoint now);

/// \returns The sum by flow.
[[nodiscard]] std::vector<FlowDemand> SumDemands(
    const std::vector<FlowDemand>& demands);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_TRAFFIC_PLAN_DEMAND_H_
