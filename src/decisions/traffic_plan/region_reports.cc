// Collection of region reports, and the steps of the plan.

#include "mimosagauge/impl/decisions/traffic_plan/region_reports.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace mimosagauge {
namespace {

// Part of the way to a newer plan that one step takes. With a step each 250 ms
// a plan is followed to nine tenths within 1.5 s.
constexpr double kStep = 0.35;

[[nodiscard]] bool IsFresh(const RegionTraffic::KnownReport& known,
                           TimePoint now) {
  return now - known.made_at <= RegionTraffic::kReportLifetime;
}

// Share of its capacity that a region is given.
[[nodiscard]] double RampFactor(const RegionTraffic::KnownReport& known,
                                TimePoint now) {
  using Seconds = std::chrono::duration<double>;
  const double part =
      Seconds(now - known.known_since) / Seconds(RegionTraffic::kRampTime);
  return std::clamp(part, 0.0, 1.0);
}

}  // namespace

void RecordInstanceDemand(RegionTraffic& traffic, const InstanceId& instance,
                          std::vector<FlowDemand> demands, TimePoint now) {
  traffic.instances.insert_or_assign(
      instance, RegionTraffic::InstanceDemand{std::move(demands), now});
}

bool RecordRegionReport(RegionTraffic& traffic, RegionReport report,
                        bool direct, TimePoint now) {
  const TimePoint made_at = now - report.age;
  const auto known = traffic.reports.find(report.region);
  TimePoint known_since = now;
  if (known != traffic.reports.end()) {
    if (made_at <= known->second.made_at) {
      return false;
    }
    if (IsFresh(known->second, now)) {
      known_since = known->second.known_since;
    }
  }
  const RegionId region = report.region;
  traffic.reports.insert_or_assign(
      region, RegionTraffic::KnownReport{std::move(report), made_at,
                                         known_since, direct});
  return true;
}

void MakeOwnReport(RegionTraffic& traffic, const RegionId& region,
                   std::vector<ServiceCapacity> capacities, TimePoint now) {
  std::erase_if(traffic.instances, [now](const auto& entry) {
    return now - entry.second.received_at > RegionTraffic::kReportLifetime;
  });
  std::vector<FlowDemand> demands = TakeDemands(traffic.own, now);
  for (const auto& [instance, known] : traffic.instances) {
    demands.insert(demands.end(), known.demands.begin(), known.demands.end());
  }
  RecordRegionReport(traffic,
                     {region, {}, SumDemands(demands), std::move(capacities)},
                     false, now);
}

std::vector<RegionReport> FreshReports(const RegionTraffic& traffic,
                                       TimePoint now) {
  std::vector<RegionReport> reports;
  for (const auto& [region, known] : traffic.reports) {
    if (IsFresh(known, now)) {
      reports.push_back(known.report);
      reports.back().age = now - known.made_at;
    }
  }
  return reports;
}

std::vector<RegionReport> TakeDirectReports(RegionTraffic& traffic,
                                            TimePoint now) {
  std::vector<RegionReport> reports;
  for (auto& [region, known] : traffic.reports) {
    if (std::exchange(known.direct, false) && IsFresh(known, now)) {
      reports.push_back(known.report);
      reports.back().age = now - known.made_at;
    }
  }
  return reports;
}

void UpdatePlan(RegionTraffic& traffic, const RegionId& own_region,
                const std::set<RegionId>& reachable, TimePoint now) {
  traffic.planned_at = now;
  std::vector<FlowDemand> demands;
  std::vector<ServiceCapacity> capacities;
  bool own_known = false;
  for (const auto& [region, known] : traffic.reports) {
    if (!IsFresh(known, now)) {
      continue;
    }
    own_known = own_known || region == own_region;
    demands.insert(demands.end(), known.report.demands.begin(),
                   known.report.demands.end());
    const bool usable = region == own_region || reachable.contains(region);
    for (const ServiceCapacity& capacity : known.report.capacities) {
      const double factor =
          region == own_region ? 1 : RampFactor(known, now) * (usable ? 1 : 0);
      capacities.push_back({region, capacity.service, capacity.work * factor});
    }
  }
  if (!own_known) {
    traffic.plan = {};
    traffic.planned_demands.clear();
    return;
  }
  Approach(traffic.plan, PlanTraffic(demands, capacities), kStep);
  traffic.planned_demands = std::move(demands);
}

}  // namespace mimosagauge
