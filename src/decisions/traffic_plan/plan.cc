// Balances the work of regions by moving it along chains of regions, one level
// of utilization after another.

#include "mimosagauge/impl/decisions/traffic_plan/plan.h"

#include <algorithm>
#include <array>
#include <optional>
#include <set>
#include <utility>

namespace mimosagauge {
namespace {

// Levels of utilization. Below the first one requests hardly wait, so nothing
// is moved; above 1 a service is overloaded, and the excess is spread.
constexpr std::array<double, 12> kLevels{0.65, 0.8, 0.95, 1.1, 1.25, 1.4,
                                         1.6,  1.8, 2.0,  2.5, 3.0,  4.0};
// Work below this is not moved.
constexpr double kMinWork = 1e-3;
constexpr std::size_t kMaxMovesPerLevel = 64;

// The work of one flow that is placed in each region.
struct PlacedFlow {
  const FlowDemand* demand = nullptr;
  std::map<RegionId, double> work;
};

// The state of planning one service.
struct Balance {
  std::map<RegionId, double> capacity;
  std::map<RegionId, double> load;
  std::vector<PlacedFlow> flows;
};

// A move of work of one flow from one region to another.
struct Move {
  PlacedFlow* flow = nullptr;
  RegionId from;
  RegionId to;
};

[[nodiscard]] bool IsAllowed(const Flow& flow, const RegionId& region) {
  return flow.allowed.empty() ||
         std::binary_search(flow.allowed.begin(), flow.allowed.end(), region);
}

// Places a flow in proportion to the capacity of the regions that may serve it.
void PlaceByCapacity(Balance& balance, PlacedFlow& placed) {
  double sum = 0;
  for (const auto& [region, capacity] : balance.capacity) {
    sum += IsAllowed(placed.demand->flow, region) ? capacity : 0;
  }
  if (sum <= 0) {
    return;
  }
  for (const auto& [region, capacity] : balance.capacity) {
    if (IsAllowed(placed.demand->flow, region) && capacity > 0) {
      placed.work[region] = placed.demand->work * capacity / sum;
    }
  }
}

void PlaceAtStart(Balance& balance) {
  for (PlacedFlow& placed : balance.flows) {
    const Flow& flow = placed.demand->flow;
    if (IsAllowed(flow, flow.origin) &&
        balance.capacity.contains(flow.origin)) {
      placed.work[flow.origin] = placed.demand->work;
    } else {
      PlaceByCapacity(balance, placed);
    }
    for (const auto& [region, work] : placed.work) {
      balance.load[region] += work;
    }
  }
}

// Work of the region beyond the level; negative: room below it.
[[nodiscard]] double Excess(const Balance& balance, const RegionId& region,
                            double level) {
  const auto load = balance.load.find(region);
  return (load == balance.load.end() ? 0 : load->second) -
         balance.capacity.at(region) * level;
}

// Whether moving work of `a` is preferred to moving work of `b`: work that goes
// back to its origin first, then long generations, then larger amounts.
[[nodiscard]] bool IsBetterToMove(const PlacedFlow& a, const PlacedFlow& b,
                                  const RegionId& from, const RegionId& to) {
  const auto rank = [&](const PlacedFlow& placed) {
    const Flow& flow = placed.demand->flow;
    return std::make_tuple(flow.origin == to, flow.size == SizeClass::kLong,
                           placed.work.at(from));
  };
  return rank(a) > rank(b);
}

// The flow whose work is moved from one region to another; null: none may be.
[[nodiscard]] PlacedFlow* FlowToMove(Balance& balance, const RegionId& from,
                                     const RegionId& to) {
  PlacedFlow* best = nullptr;
  for (PlacedFlow& placed : balance.flows) {
    const auto work = placed.work.find(from);
    const bool movable = work != placed.work.end() && work->second > kMinWork &&
                         IsAllowed(placed.demand->flow, to);
    if (movable &&
        (best == nullptr || IsBetterToMove(placed, *best, from, to))) {
      best = &placed;
    }
  }
  return best;
}

// The shortest chain of moves from a region to one with room below the level,
// by breadth-first search; empty: there is none.
[[nodiscard]] std::vector<Move> FindChain(Balance& balance,
                                          const RegionId& start, double level) {
  std::vector<std::vector<Move>> chains{{}};
  std::set<RegionId> reached{start};
  for (std::size_t next = 0; next < chains.size(); ++next) {
    const RegionId from = chains[next].empty() ? start : chains[next].back().to;
    // The region with the most room is tried first.
    std::vector<std::pair<double, RegionId>> targets;
    for (const auto& [region, capacity] : balance.capacity) {
      if (!reached.contains(region) && capacity > 0) {
        targets.emplace_back(Excess(balance, region, level), region);
      }
    }
    std::sort(targets.begin(), targets.end());
    for (const auto& [excess, region] : targets) {
      PlacedFlow* flow = FlowToMove(balance, from, region);
      if (flow == nullptr) {
        continue;
      }
      std::vector<Move> chain = chains[next];
      chain.push_back({flow, from, region});
      if (excess < -kMinWork) {
        return chain;
      }
      reached.insert(region);
      chains.push_back(std::move(chain));
    }
  }
  return {};
}

void Apply(Balance& balance, const std::vector<Move>& chain, double amount) {
  for (const Move& move : chain) {
    move.flow->work[move.from] -= amount;
    move.flow->work[move.to] += amount;
    balance.load[move.from] -= amount;
    balance.load[move.to] += amount;
  }
}

// Moves work out of the region until it is at the level, or no more can be
// moved.
void Relieve(Balance& balance, const RegionId& region, double level) {
  for (std::size_t i = 0; i < kMaxMovesPerLevel; ++i) {
    const double excess = Excess(balance, region, level);
    if (excess <= kMinWork) {
      return;
    }
    const std::vector<Move> chain = FindChain(balance, region, level);
    if (chain.empty()) {
      return;
    }
    double amount = std::min(excess, -Excess(balance, chain.back().to, level));
    for (const Move& move : chain) {
      amount = std::min(amount, move.flow->work.at(move.from));
    }
    Apply(balance, chain, amount);
  }
}

void BalanceRegions(Balance& balance) {
  for (const double level : kLevels) {
    // The region with the highest utilization goes first, so that room is used
    // where it is needed most.
    std::vector<std::pair<double, RegionId>> order;
    for (const auto& [region, capacity] : balance.capacity) {
      const double load = Excess(balance, region, 0);
      order.emplace_back(-load / std::max(capacity, kMinWork), region);
    }
    std::sort(order.begin(), order.end());
    for (const auto& [utilization, region] : order) {
      Relieve(balance, region, level);
    }
  }
}

[[nodiscard]] RegionShares SharesOf(const PlacedFlow& placed) {
  RegionShares shares;
  for (const auto& [region, work] : placed.work) {
    if (work > 0 && placed.demand->work > 0) {
      shares[region] = work / placed.demand->work;
    }
  }
  return shares;
}

}  // namespace

TrafficPlan PlanTraffic(const std::vector<FlowDemand>& demands,
                        const std::vector<ServiceCapacity>& capacities) {
  std::map<ServiceId, Balance> services;
  for (const ServiceCapacity& capacity : capacities) {
    services[capacity.service].capacity[capacity.region] = capacity.work;
  }
  std::map<Flow, const FlowDemand*> sorted;
  for (const FlowDemand& demand : demands) {
    if (demand.work > 0) {
      sorted.emplace(demand.flow, &demand);
    }
  }
  for (const auto& [flow, demand] : sorted) {
    services[flow.service].flows.push_back({demand, {}});
  }
  TrafficPlan plan;
  for (auto& [service, balance] : services) {
    PlaceAtStart(balance);
    BalanceRegions(balance);
    for (const PlacedFlow& placed : balance.flows) {
      RegionShares shares = SharesOf(placed);
      if (!shares.empty()) {
        plan.shares.emplace(placed.demand->flow, std::move(shares));
      }
    }
  }
  return plan;
}

void Approach(TrafficPlan& plan, const TrafficPlan& target, double step) {
  for (const auto& [flow, wanted] : target.shares) {
    const auto [known, added] = plan.shares.try_emplace(flow);
    RegionShares& shares = known->second;
    if (added) {
      if (IsAllowed(flow, flow.origin)) {
        shares[flow.origin] = 1;
      } else {
        shares = wanted;
      }
    }
    for (auto& [region, share] : shares) {
      share *= 1 - step;
    }
    for (const auto& [region, share] : wanted) {
      shares[region] += step * share;
    }
    std::erase_if(shares,
                  [](const auto& entry) { return entry.second < kMinWork; });
  }
  std::erase_if(plan.shares, [&target](const auto& entry) {
    return !target.shares.contains(entry.first);
  });
}

RegionId PlannedRegion(const TrafficPlan& plan, const Flow& flow, double draw) {
  const auto found = plan.shares.find(flow);
  if (found == plan.shares.end() || found->second.empty()) {
    return flow.origin;
  }
  double sum = 0;
  for (const auto& [region, share] : found->second) {
    sum += share;
  }
  double cumulative = 0;
  for (const auto& [region, share] : found->second) {
    cumulative += share;
    if (draw * sum < cumulative) {
      return region;
    }
  }
  return found->second.rbegin()->first;
}

}  // namespace mimosagauge
