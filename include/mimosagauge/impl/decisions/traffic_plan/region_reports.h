// Reports of the demand and capacity of regions, and the plan in force. Two
// instances of each region, its reporters, sum up the demand of its instances;
// their reports reach all instances of all regions.

#ifndef MIMOSAGAUGE_IMPL_DECISIONS_TRAFFIC_PLAN_REGION_REPORTS_H_
#define MIMOSAGAUGE_IMPL_DECISIONS_TRAFFIC_PLAN_REGION_REPORTS_H_

#include <map>
#include <set>
#include <vector>

#include "mimosagauge/impl/core/time.h"
#include "mimosagauge/impl/decisions/traffic_plan/demand.h"
#include "mimosagauge/impl/decisions/traffic_plan/plan.h"

namespace mimosagauge {

/// \brief Demand and capacity of one region.
struct RegionReport {
  RegionId region;
  Duration age{};  ///< Time since it was made, without the time in transit.
  std::vector<FlowDemand> demands;  ///< Flows that originate there.
  std::vector<ServiceCapacity> capacities;
};

/// \brief A control message about traffic.
struct TrafficMessage {
  /// Demand of the sending instance; sent to the reporters of its region.
  std::vector<FlowDemand> demands;
  std::vector<RegionReport> reports;
};

/// \brief What an instance knows of the traffic, and its plan.
struct RegionTraffic {
  struct InstanceDemand {
    std::vector<FlowDemand> demands;
    TimePoint received_at{};
  };
  struct KnownReport {
    RegionReport report;
    TimePoint made_at{};      ///< On this instance's clock; not later than the
                              ///< report was made.
    TimePoint known_since{};  ///< Start of the time without a gap in reports.
    bool direct = false;  ///< Received from another region, and not yet passed
                          ///< on to the reporters of this one.
  };
  DemandMeter own;
  std::map<InstanceId, InstanceDemand> instances;  ///< Of this region.
  std::map<RegionId, KnownReport> reports;
  TrafficPlan plan;
  std::vector<FlowDemand> planned_demands;  ///< Input of the last plan.
  TimePoint planned_at{};
  TimePoint next_message_at{};

  /// Age at which a report or an instance's demand no longer counts.
  static constexpr Duration kReportLifetime = std::chrono::milliseconds(2500);
  /// Time over which a region that is new, or back, is given its full share,
  /// because its caches are cold.
  static constexpr Duration kRampTime = std::chrono::seconds(5);
  static constexpr Duration kInterval = std::chrono::milliseconds(250);
};

/// \brief Records the demand of another instance of this region.
void RecordInstanceDemand(RegionTraffic& traffic, const InstanceId& instance,
                          std::vector<FlowDemand> demands, TimePoint now);

/// \brief Records a report, unless a newer one of the region is known.
/// \param direct Whether it came from another region.
/// \returns Whether it was recorded.
bool RecordRegionReport(RegionTraffic& traffic, RegionReport report,
                        bool direct, TimePoint now);

/// \brief Makes the report of this region from the demand of its instances, and
/// records it.
void MakeOwnReport(RegionTraffic& traffic, const RegionId& region,
                   std::vector<ServiceCapacity> capacities, TimePoint now);

/// \returns The fresh reports with their ages at `now`.
[[nodiscard]] std::vector<RegionReport> FreshReports(
    const RegionTraffic& traffic, TimePoint now);

/// \returns The reports that came from other regions since the last call.
[[nodiscard]] std::vector<RegionReport> TakeDirectReports(
    RegionTraffic& traffic, TimePoint now);

/// \brief Moves the plan a step towards the one that the fresh reports give.
/// Without a fresh report of this region there is no plan.
/// \param reachable Other regions that requests can be sent to now.
void UpdatePlan(RegionTraffic& traffic, const RegionId& own_region,
                const std::set<RegionId>& reachable, TimePoint now);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_TRAFFIC_PLAN_REGION_REPORTS_H_
