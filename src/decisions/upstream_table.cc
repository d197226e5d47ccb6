// Bookkeeping of upstreams and the choice among them.

#include "mimosagauge/impl/decisions/upstream_table.h"

#include <algorithm>
#include <cstdint>

namespace mimosagauge {
namespace {

constexpr std::size_t kFailuresBeforeEjection = 3;
constexpr Duration kFirstEjection = std::chrono::seconds(1);
constexpr Duration kLongestEjection = std::chrono::seconds(30);

// Calls `visit` with each upstream that offers the service and model, until
// it returns true.
// \returns Whether it did.
template <typename Visit>
bool AnyOffering(const UpstreamTable& table, const UpstreamNeed& need,
                 Visit&& visit) {
  const auto service = table.services.find(need.service);
  if (service == table.services.end()) {
    return false;
  }
  const auto any_of = [&](const std::vector<std::size_t>& positions) {
    return std::any_of(
        positions.begin(), positions.end(),
        [&](std::size_t position) { return visit(table.upstreams[position]); });
  };
  if (need.model.empty()) {
    return any_of(service->second.all);
  }
  const auto model = service->second.by_model.find(need.model);
  const bool found = model != service->second.by_model.end();
  return (found && any_of(model->second)) ||
         any_of(service->second.without_models);
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
  return !upstream.leaving &&
         (!need.resume || upstream.config.honours_resume) &&
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
  for (const std::size_t position :
       table.services.at(candidate.config.service).all) {
    ++all;
    ejected += table.upstreams[position].ejected_until > now ? 1 : 0;
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
    const std::size_t position = table.upstreams.size();
    table.index.emplace(config.id, position);
    ServiceUpstreams& service = table.services[config.service];
    service.all.push_back(position);
    for (const ModelId& model : config.models) {
      service.by_model[model].push_back(position);
    }
    if (config.models.empty()) {
      service.without_models.push_back(position);
    }
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
  AnyOffering(table, need, [&](const UpstreamState& upstream) {
    const bool free = upstream.in_flight < upstream.limit &&
                      Usable(upstream, need, region, now);
    if (free && (best == nullptr || Better(upstream, *best, zone))) {
      best = &upstream;
    }
    return false;
  });
  if (best == nullptr) {
    return std::nullopt;
  }
  return best->config.id;
}

bool CanServe(const UpstreamTable& table, const UpstreamNeed& need,
              const RegionId& region, TimePoint now) {
  return AnyOffering(table, need, [&](const UpstreamState& upstream) {
    return Usable(upstream, need, region, now);
  });
}

bool CanServeLater(const UpstreamTable& table, const UpstreamNeed& need,
                   const RegionId& region) {
  return AnyOffering(table, need, [&](const UpstreamState& upstream) {
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
