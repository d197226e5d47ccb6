// Load: regions whose demand peaks at different times, with short requests that
// only some regions may serve and long generations that any may serve.

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <random>
#include <string>

#include "mimosagauge/impl/decisions/traffic_plan/plan.h"
#include "mimosagauge/impl/decisions/traffic_plan/region_reports.h"

namespace mimosagauge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const RegionId kWest("west");
const RegionId kEast("east");
const RegionId kIsland("island");
const ServiceId kService("llm");
constexpr TimePoint kStart{seconds(100)};

[[nodiscard]] Flow Short(const RegionId& origin) {
  return {origin, kService, {kEast, kWest}, SizeClass::kShort};
}

[[nodiscard]] Flow Long(const RegionId& origin) {
  return {origin, kService, {}, SizeClass::kLong};
}

[[nodiscard]] std::vector<ServiceCapacity> Capacities(double west, double east,
                                                      double island) {
  std::vector<ServiceCapacity> capacities;
  for (const auto& [region, work] :
       {std::pair(kWest, west), {kEast, east}, {kIsland, island}}) {
    if (work > 0) {
      capacities.push_back({region, kService, work});
    }
  }
  return capacities;
}

[[nodiscard]] std::map<RegionId, double> LoadOf(
    const TrafficPlan& plan, const std::vector<FlowDemand>& demands) {
  std::map<RegionId, double> load;
  for (const FlowDemand& demand : demands) {
    const auto shares = plan.shares.find(demand.flow);
    REQUIRE(shares != plan.shares.end());
    double sum = 0;
    for (const auto& [region, share] : shares->second) {
      load[region] += share * demand.work;
      sum += share;
    }
    CHECK(sum == Approx(1));
  }
  return load;
}

// Guards against refusals in one region while another that may serve the
// request, or may make room for it, is idle.
TEST_CASE("work leaves a region that is full while others have room") {
  struct Case {
    std::string what;
    double west_short, east_short, island_short;
    double long_work;  // In each region.
    double west, east, island;
    double most_utilization;  // Of any region.
  };
  const Case one = GENERATE(values<Case>({
      {"calm", 4, 4, 4, 4, 40, 28, 20, 0.65},
      {"one region at its peak", 35, 4, 4, 7, 40, 28, 20, 0.8},
      {"two regions at their peak", 28, 24, 3, 5, 40, 28, 20, 0.95},
      {"short requests fill both of their regions", 30, 25, 5, 4, 40, 28, 20,
       0.95},
      {"a region lost", 16, 10, 0, 6, 40, 0, 20, 0.8},
      {"overload everywhere", 60, 40, 40, 20, 40, 28, 20, 2.5},
  }));
  CAPTURE(one.what);
  std::vector<FlowDemand> demands{{Short(kWest), one.west_short},
                                  {Short(kEast), one.east_short},
                                  {Long(kWest), one.long_work},
                                  {Long(kEast), one.long_work},
                                  {Long(kIsland), one.long_work}};
  if (one.island_short > 0) {
    demands.push_back({Short(kIsland), one.island_short});
  }
  const auto capacities = Capacities(one.west, one.east, one.island);
  const TrafficPlan plan = PlanTraffic(demands, capacities);
  auto load = LoadOf(plan, demands);
  for (const ServiceCapacity& capacity : capacities) {
    CAPTURE(capacity.region.value());
    CHECK(load[capacity.region] <= capacity.work * one.most_utilization + 0.01);
  }
  for (const auto& [flow, shares] : plan.shares) {
    if (flow.size == SizeClass::kShort) {
      CHECK_FALSE(shares.contains(kIsland));
    }
  }
  std::reverse(demands.begin(), demands.end());
  CHECK(PlanTraffic(demands, capacities).shares == plan.shares);
}

TEST_CASE("short requests stay where they came from while there is room") {
  const std::vector<FlowDemand> demands{{Short(kWest), 10}, {Long(kWest), 5}};
  const TrafficPlan plan = PlanTraffic(demands, Capacities(40, 28, 20));
  CHECK(plan.shares.at(Short(kWest)) == RegionShares{{kWest, 1.0}});
  CHECK(PlannedRegion(plan, Short(kWest), 0.999) == kWest);
  CHECK(PlannedRegion(plan, Short(kIsland), 0.5) == kIsland);
}

// Guards against shares that swing because reports are late: 0.8 s pass until a
// change of demand is known elsewhere.
TEST_CASE("the plan follows a peak without swinging") {
  RegionTraffic traffic;
  const std::set<RegionId> reachable{kEast, kIsland};
  struct Pending {
    TimePoint arrives;
    RegionReport report;
  };
  std::deque<Pending> pending;
  TimePoint now = kStart;
  double last_share = 0;
  int turns = 0;
  int direction = 0;
  for (int tick = 0; tick < 80; ++tick, now += RegionTraffic::kInterval) {
    // West peaks at 2.8 times its mean from second 8, and drops at second 14.
    const bool peak = now >= kStart + seconds(8) && now < kStart + seconds(14);
    const double west = peak ? 35 : 12;
    RecordRegionReport(traffic,
                       {kWest,
                        {},
                        {{Short(kWest), west}, {Long(kWest), 7}},
                        {{kWest, kService, 40}}},
                       false, now);
    for (const auto& [region, work] :
         {std::pair(kEast, 28.0), std::pair(kIsland, 20.0)}) {
      pending.push_back({now + milliseconds(800),
                         {region,
                          milliseconds(800),
                          {{Long(region), 6}},
                          {{region, kService, work}}}});
    }
    while (!pending.empty() && pending.front().arrives <= now) {
      RecordRegionReport(traffic, pending.front().report, true, now);
      pending.pop_front();
    }
    UpdatePlan(traffic, kWest, reachable, now);
    const auto shares = traffic.plan.shares.find(Short(kWest));
    REQUIRE(shares != traffic.plan.shares.end());
    const double share =
        shares->second.contains(kWest) ? shares->second.at(kWest) : 0;
    const int step = share > last_share + 0.02   ? 1
                     : share < last_share - 0.02 ? -1
                                                 : 0;
    turns += step != 0 && direction != 0 && step != direction ? 1 : 0;
    direction = step != 0 ? step : direction;
    last_share = share;
    if (now == kStart + seconds(10)) {
      auto load = LoadOf(traffic.plan, traffic.planned_demands);
      CHECK(load[kWest] <= 40 * 0.85);
    }
  }
  CHECK(turns <= 2);
  CHECK(last_share == Approx(1).margin(0.02));
}

TEST_CASE("regions are used as far as they are known") {
  struct Case {
    std::string what;
    milliseconds known_for;   // Time since the first report of island.
    milliseconds silent_for;  // Time since its last report.
    bool reachable;
    double least, most;  // Share of the long generations of west there.
  };
  const Case one = GENERATE(values<Case>({
      {"known for long", milliseconds(20000), milliseconds(100), true, 0.3, 1},
      {"back a second ago", milliseconds(1000), milliseconds(0), true, 0.01,
       0.2},
      {"silent", milliseconds(20000), milliseconds(3000), true, 0, 0.001},
      {"links down", milliseconds(20000), milliseconds(100), false, 0, 0.001},
  }));
  CAPTURE(one.what);
  RegionTraffic traffic;
  const TimePoint now = kStart + seconds(60);
  for (TimePoint at = now - one.known_for; at <= now - one.silent_for;
       at += RegionTraffic::kInterval) {
    RecordRegionReport(traffic, {kIsland, {}, {}, {{kIsland, kService, 20}}},
                       true, at);
  }
  for (int i = 0; i < 40; ++i) {
    const TimePoint at = now + RegionTraffic::kInterval * i / 1000;
    RecordRegionReport(
        traffic, {kWest, {}, {{Long(kWest), 20}}, {{kWest, kService, 20}}},
        false, at);
    UpdatePlan(
        traffic, kWest,
        one.reachable ? std::set<RegionId>{kIsland} : std::set<RegionId>{}, at);
  }
  const RegionShares& shares = traffic.plan.shares.at(Long(kWest));
  const double share = shares.contains(kIsland) ? shares.at(kIsland) : 0;
  CHECK(share >= one.least);
  CHECK(share <= one.most);
}

TEST_CASE("without a report of its own region an instance has no plan") {
  RegionTraffic traffic;
  RecordRegionReport(traffic, {kIsland, {}, {}, {{kIsland, kService, 20}}},
                     true, kStart);
  UpdatePlan(traffic, kWest, {kIsland}, kStart);
  CHECK(traffic.plan.shares.empty());
}

TEST_CASE("an older report does not replace a newer one") {
  RegionTraffic traffic;
  CHECK(RecordRegionReport(traffic, {kIsland, milliseconds(100), {}, {}}, true,
                           kStart));
  CHECK_FALSE(RecordRegionReport(traffic, {kIsland, milliseconds(900), {}, {}},
                                 true, kStart + milliseconds(300)));
}

TEST_CASE("demand decays, and its flows are bounded") {
  DemandMeter meter;
  RecordDemand(meter, Short(kWest), 2, kStart);
  CHECK(TakeDemands(meter, kStart).front().work == Approx(2));
  CHECK(TakeDemands(meter, kStart + seconds(1)).front().work ==
        Approx(2 / std::exp(1.0)));
  for (std::size_t i = 0; i < 2 * DemandMeter::kMaxFlows; ++i) {
    RecordDemand(meter, {RegionId("r" + std::to_string(i)), kService, {}, {}},
                 1, kStart);
  }
  CHECK(meter.flows.size() == DemandMeter::kMaxFlows);
  CHECK(TakeDemands(meter, kStart + seconds(60)).empty());
  CHECK(meter.flows.empty());
}

}  // namespace
}  // namespace mimosagauge
