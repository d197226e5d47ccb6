// Smoothed rates of work.

#include "mimosagauge/impl/decisions/traffic_plan/demand.h"

#include <chrono>
#include <cmath>

namespace mimosagauge {
namespace {

using Seconds = std::chrono::duration<double>;

// Rates below this are dropped, in seconds of work each second.
constexpr double kMinRate = 1e-4;

[[nodiscard]] double DecayedWork(const DemandMeter::Entry& entry,
                                 TimePoint now) {
  return entry.work * std::exp(-(Seconds(now - entry.updated_at) /
                                 Seconds(DemandMeter::kTimeConstant)));
}

}  // namespace

void RecordDemand(DemandMeter& meter, const Flow& flow, double work,
                  TimePoint now) {
  auto found = meter.flows.find(flow);
  if (found == meter.flows.end()) {
    if (meter.flows.size() >= DemandMeter::kMaxFlows) {
      return;
    }
    found = meter.flows.emplace(flow, DemandMeter::Entry{}).first;
  }
  DemandMeter::Entry& entry = found->second;
  entry.work = DecayedWork(entry, now) + work;
  entry.updated_at = now;
}

std::vector<FlowDemand> TakeDemands(DemandMeter& meter, TimePoint now) {
  std::vector<FlowDemand> demands;
  const double seconds = Seconds(DemandMeter::kTimeConstant).count();
  for (auto entry = meter.flows.begin(); entry != meter.flows.end();) {
    const double rate = DecayedWork(entry->second, now) / seconds;
    if (rate < kMinRate) {
      entry = meter.flows.erase(entry);
      continue;
    }
    demands.push_back({entry->first, rate});
    ++entry;
  }
  return demands;
}

std::vector<FlowDemand> SumDemands(const std::vector<FlowDemand>& demands) {
  std::map<Flow, double> sums;
  for (const FlowDemand& demand : demands) {
    sums[demand.flow] += demand.work;
  }
  std::vector<FlowDemand> result;
  result.reserve(sums.size());
  for (const auto& [flow, work] : sums) {
    result.push_back({flow, work});
  }
  return result;
}

}  // namespace mimosagauge
