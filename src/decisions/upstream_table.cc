// Bookkeeping of upstreams and the choice among them.

#include "mimosagauge/impl/decisions/upstream_table.h"

#include <algorithm>
#include <cstdint>

namespace mimosagauge {
namespace {

constexpr std::size_t kFailuresBeforeEjection = 3;
constexpr Duration kFirstEjection = std::chrono::seconds(1);
constexpr Duration kLongestEjection = std::chrono::seconds(30);

[[nodiscard]] bool Offers(const UpstreamConfig& config,
                          const UpstreamNeed& need) {
  if (config.service != need.service) {
    return false;
  }
  if (need.resume && !config.honours_resume) {
    return false;
  }
  if (need.model.empty() || config.models.empty()) {
    return true;
  }
  return std::find(config.models.begin(), config.models.end(), need.model) !=
         config.models.end();
}

[[nodiscard]] bool Passed(const UpstreamNeed& need, const RegionId& region,
                          const UpstreamId& id) {
  return std::any_of(
      need.avoid.begin(), need.avoid.end(), [&](const Place& place) {
        return place.region == region && place.name == id.value();
      });
}

[[nodiscard]] bool Suits(const UpstreamState& upstream,
                         const UpstreamNeed& need, const RegionId& region) {
  return !upstream.leaving && Offers(upstream.config, need) &&
         !Passed(need, region, upstream.config.id);
}

[[nodiscard]] bool Usable(const UpstreamState& upstream,
                          const UpstreamNeed& need, const RegionId& region,
                          TimePoint now) {
  return upstream.ejected_until <= now && Suits(upstream, need, region);
}

// Compares a.in_flight / a.limit with b.in_flight / b.limit.
[[nodiscard]] bool LessLoaded(const UpstreamState& a, const UpstreamState& b) {
  return a.in_flight * b.limit < b.in_flight * a.limit;
}

[[nodiscard]] bool Better(const UpstreamState& a, const UpstreamState& b,
                          const ZoneId& zone) {
  const bool a_near = a.config.zone == zone;
  const bool b_near = b.config.zone == zone;
  if (LessLoaded(a, b) || LessLoaded(b, a)) {
    return LessLoaded(a, b);
  }
  return a_near && !b_near;
}

// An ejection never takes the last half of a service's upstreams away.
[[nodiscard]] bool MayEject(const UpstreamTable& table,
                            const UpstreamState& candidate, TimePoint now) {
  std::size_t all = 0;
  std::size_t ejected = 0;
  for (const UpstreamState& upstream : table.upstreams) {
    if (upstream.config.service != candidate.config.service) {
      continue;
    }
    ++all;
    ejected += upstream.ejected_until > now ? 1 : 0;
  }
  return (ejected + 1) * 2 <= all;
}

}  // namespace

UpstreamTable MakeUpstreamTable(const std::vector<UpstreamConfig>& configs) {
  UpstreamTable table;
  for (const UpstreamConfig& config : configs) {
    UpstreamState state;
    state.config = config;
    state.limit = std::max<std::size_t>(1, config.concurrency);
    table.index.emplace(config.id, table.upstreams.size());
    table.upstreams.push_back(std::move(state));
  }
  return table;
}

UpstreamState* FindUpstream(UpstreamTable& table,
                            const UpstreamId& id) noexcept {
  const auto found = table.index.find(id);
  return found == table.index.end() ? nullptr : &table.upstreams[found->second];
}

std::optional<UpstreamId> ChooseUpstream(const UpstreamTable& table,
                                         const UpstreamNeed& need,
                                         const ZoneId& zone,
                                         const RegionId& region,
                                         TimePoint now) {
  const UpstreamState* best = nullptr;
  for (const UpstreamState& upstream : table.upstreams) {
    if (upstream.in_flight >= upstream.limit ||
        !Usable(upstream, need, region, now)) {
      continue;
    }
    if (best == nullptr || Better(upstream, *best, zone)) {
      best = &upstream;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  return best->config.id;
}

bool CanServe(const UpstreamTable& table, const UpstreamNeed& need,
              const RegionId& region, TimePoint now) {
  return std::any_of(table.upstreams.begin(), table.upstreams.end(),
                     [&](const UpstreamState& upstream) {
                       return Usable(upstream, need, region, now);
                     });
}

bool CanServeLater(const UpstreamTable& table, const UpstreamNeed& need,
                   const RegionId& region) {
  return std::any_of(table.upstreams.begin(), table.upstreams.end(),
                     [&](const UpstreamState& upstream) {
                       return Suits(upstream, need, region);
                     });
}

void BeginWork(UpstreamTable& table, const UpstreamId& id) {
  if (UpstreamState* upstream = FindUpstream(table, id)) {
    ++upstream->in_flight;
  }
}

void EndWork(UpstreamTable& table, const UpstreamId& id) {
  UpstreamState* upstream = FindUpstream(table, id);
  if (upstream == nullptr) {
    return;
  }
  --upstream->in_flight;
  upstream->failures = 0;
  upstream->ejection = Duration::zero();
}

void DropWork(UpstreamTable& table, const UpstreamId& id) {
  if (UpstreamState* upstream = FindUpstream(table, id)) {
    --upstream->in_flight;
  }
}

bool FailWork(UpstreamTable& table, const UpstreamId& id, TimePoint now) {
  UpstreamState* upstream = FindUpstream(table, id);
  if (upstream == nullptr) {
    return false;
  }
  --upstream->in_flight;
  ++upstream->failures;
  if (upstream->failures < kFailuresBeforeEjection ||
      upstream->ejected_until > now || !MayEject(table, *upstream, now)) {
    return false;
  }
  upstream->ejection =
      std::clamp(upstream->ejection * 2, kFirstEjection, kLongestEjection);
  upstream->ejected_until = now + upstream->ejection;
  return true;
}

}  // namespace mimosagauge
