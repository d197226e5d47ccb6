// Bookkeeping of a placement coordinator: engines, grants and their reports.

#include "mimosagauge/impl/decisions/coordination/ledger.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace mimosagauge {
namespace {

// Weight of one request in the smoothed time from a grant to its end.
constexpr int kHoldDivisor = 32;
constexpr Duration kMinHold = std::chrono::milliseconds(20);

// Time for which an engine has to report more requests than are known.
constexpr Duration kUnknownWindow = std::chrono::milliseconds(100);

[[nodiscard]] bool Contains(const std::vector<PlacementNumber>& numbers,
                            PlacementNumber number) {
  return std::find(numbers.begin(), numbers.end(), number) != numbers.end();
}

[[nodiscard]] bool IsReportedRunning(const PlacementMessage& message,
                                     PlacementNumber number) {
  return std::any_of(message.running.begin(), message.running.end(),
                     [number](const PlacementRunning& running) {
                       return running.number == number;
                     });
}

// Returns the keys of an instance for which `matches` returns true, in a map by
// key.
template <typename Map, typename Matches>
[[nodiscard]] std::vector<PlacementKey> KeysOf(const Map& map,
                                               const InstanceId& from,
                                               Matches&& matches) {
  std::vector<PlacementKey> keys;
  for (auto entry = map.lower_bound({from, PlacementNumber{}});
       entry != map.end() && entry->first.first == from; ++entry) {
    if (matches(*entry)) {
      keys.push_back(entry->first);
    }
  }
  return keys;
}

void EndWait(Coordinator& coordinator, const PlacementKey& key) {
  const auto number = coordinator.waiting_numbers.find(key);
  if (number != coordinator.waiting_numbers.end()) {
    detail::RemoveWaitingPlacement(coordinator, number->second);
  }
}

// Ends what the instance has at the coordinator for the services that it
// reports completely, and that its report does not contain.
void EndUnreported(Coordinator& coordinator, const InstanceId& from,
                   const PlacementMessage& message, TimePoint now) {
  const auto is_reported = [&message](const ServiceId& service) {
    return std::find(message.state_of.begin(), message.state_of.end(),
                     service) != message.state_of.end();
  };
  const auto grants = KeysOf(coordinator.grants, from, [&](const auto& entry) {
    const PlacementNumber number = entry.first.second;
    return is_reported(entry.second.service) &&
           !Contains(message.pending, number) &&
           !IsReportedRunning(message, number);
  });
  for (const PlacementKey& key : grants) {
    detail::EndGrant(coordinator, key, now);
  }
  const auto waits =
      KeysOf(coordinator.waiting_numbers, from, [&](const auto& entry) {
        const WaitingPlacement& waiting = coordinator.waiting.at(entry.second);
        return is_reported(waiting.request.service) &&
               !Contains(message.pending, entry.first.second);
      });
  for (const PlacementKey& key : waits) {
    EndWait(coordinator, key);
  }
}

void RecordBegun(Coordinator& coordinator, const PlacementKey& key,
                 Duration taken) {
  const auto found = coordinator.grants.find(key);
  if (found == coordinator.grants.end() || found->second.begun) {
    return;
  }
  PlacementGrant& grant = found->second;
  grant.begun = true;
  const std::uint32_t unread = std::exchange(grant.unread_tokens, 0);
  if (UpstreamState* engine =
          FindUpstream(coordinator.engines, grant.upstream)) {
    engine->load.unread_tokens =
        std::max(0.0, engine->load.unread_tokens - unread);
    engine->health.rest = Duration::zero();
    RecordResponseStart(engine->load, grant.expected_start, taken);
  }
}

// Records an engine's own count of its requests and the pace of its machine.
void RecordLoad(Coordinator& coordinator, const PlacementLoad& load,
                TimePoint now) {
  UpstreamState* engine = FindUpstream(coordinator.engines, load.upstream);
  if (engine == nullptr) {
    return;
  }
  if (load.report.slowdown) {
    RecordPace(engine->pace, coordinator.engines.pace_persistence,
               *load.report.slowdown, now);
  }
  const std::size_t total = load.report.running + load.report.waiting;
  const std::size_t excess = total - std::min(total, engine->in_flight);
  UnknownRequests& unknown = coordinator.unknown[load.upstream];
  if (now - unknown.window_start >= kUnknownWindow) {
    const bool lasted = now - unknown.window_start < 2 * kUnknownWindow;
    unknown = {lasted ? std::min(unknown.lowest, excess) : 0, excess, now};
  } else {
    unknown.lowest = std::min(unknown.lowest, excess);
    unknown.counted = std::min(unknown.counted, excess);
  }
  RecordLoadReport(engine->load, load.report, total - unknown.counted, now);
}

void RecordRunning(Coordinator& coordinator, const InstanceId& from,
                   const PlacementRunning& running, TimePoint now) {
  const PlacementKey key{from, running.number};
  const auto known = coordinator.grants.find(key);
  const bool same = known != coordinator.grants.end() &&
                    known->second.upstream == running.upstream;
  const UpstreamState* engine =
      FindUpstream(coordinator.engines, running.upstream);
  if (same || engine == nullptr) {
    return;
  }
  PlacementGrant grant;
  grant.service = engine->config.service;
  grant.upstream = running.upstream;
  grant.unread_tokens = running.unread_tokens;
  grant.begun = running.unread_tokens == 0;
  grant.granted_at = now;
  grant.expires = now + running.remaining + detail::kGrantGrace;
  detail::AddGrant(coordinator, key, grant, now);
}

// Adds an engine to the coordinator's table, with what the instance already
// knows of its cache and speed.
void InitializeEngine(UpstreamState& engine, const UpstreamState& known) {
  for (auto part = known.cache.lru_parts.rbegin();
       part != known.cache.lru_parts.rend(); ++part) {
    Touch(engine.cache, *part);
  }
  engine.load.slowness = known.load.slowness;
  engine.load.slowness_samples = known.load.slowness_samples;
  engine.pace = known.pace;
}

}  // namespace

namespace detail {

void AddGrant(Coordinator& coordinator, const PlacementKey& key,
              const PlacementGrant& grant, TimePoint now) {
  EndGrant(coordinator, key, now);
  if (UpstreamState* engine =
          FindUpstream(coordinator.engines, grant.upstream)) {
    ++engine->in_flight;
    RecordPromptSent(engine->load, grant.unread_tokens, now);
  }
  coordinator.expiries.emplace(grant.expires, key);
  coordinator.grants.emplace(key, grant);
}

void EndGrant(Coordinator& coordinator, const PlacementKey& key,
              TimePoint now) {
  const auto found = coordinator.grants.find(key);
  if (found == coordinator.grants.end()) {
    return;
  }
  const PlacementGrant grant = found->second;
  coordinator.expiries.erase({grant.expires, key});
  coordinator.grants.erase(found);
  if (UpstreamState* engine =
          FindUpstream(coordinator.engines, grant.upstream)) {
    engine->in_flight -= engine->in_flight > 0 ? 1 : 0;
    engine->load.unread_tokens =
        std::max(0.0, engine->load.unread_tokens - grant.unread_tokens);
  }
  if (grant.begun && grant.expected_start > Duration::zero()) {
    ServicePace& pace = coordinator.paces[grant.service];
    pace.hold += (now - grant.granted_at - pace.hold) / kHoldDivisor;
    pace.hold = std::max(pace.hold, kMinHold);
  }
  coordinator.freed.insert(grant.service);
}

void RemoveWaitingPlacement(Coordinator& coordinator, RequestNumber number) {
  const auto found = coordinator.waiting.find(number);
  if (found == coordinator.waiting.end()) {
    return;
  }
  const WaitingPlacement& waiting = found->second;
  RemoveWaiting(coordinator.queue, waiting.position);
  coordinator.give_ups.erase({waiting.give_up, number});
  coordinator.waiting_numbers.erase({waiting.from, waiting.request.number});
  coordinator.waiting.erase(found);
}

}  // namespace detail

void AdoptEngines(Coordinator& coordinator, const UpstreamTable& upstreams,
                  TimePoint now) {
  coordinator.engines.speeds = upstreams.speeds;
  if (coordinator.engines.upstreams.empty()) {
    coordinator.engines.pace_persistence = upstreams.pace_persistence;
  }
  std::vector<UpstreamId> gone;
  for (const UpstreamState& engine : coordinator.engines.upstreams) {
    const auto found = upstreams.index.find(engine.config.id);
    if (found == upstreams.index.end() ||
        upstreams.upstreams[found->second].kind != UpstreamKind::kEngine) {
      gone.push_back(engine.config.id);
    }
  }
  for (const UpstreamId& id : gone) {
    EraseUpstream(coordinator.engines, id);
    coordinator.unknown.erase(HashUpstreamId(id));
  }
  for (const UpstreamState& known : upstreams.upstreams) {
    if (known.kind != UpstreamKind::kEngine) {
      continue;
    }
    const bool is_new =
        FindUpstream(coordinator.engines, known.config.id) == nullptr;
    UpstreamParameters parameters;
    parameters.kind = known.kind;
    parameters.limit = known.config.concurrency +
                       EngineQueueAllowance(known.config.concurrency);
    parameters.cache_capacity = known.cache.capacity;
    parameters.copy_ms_per_token = known.copy_ms_per_token;
    UpdateUpstream(coordinator.engines, {known.config, known.leaving, {}},
                   parameters, now);
    if (is_new) {
      InitializeEngine(*FindUpstream(coordinator.engines, known.config.id),
                       known);
    }
    coordinator.freed.insert(known.config.service);
  }
}

void AdoptEngineHealth(Coordinator& coordinator, const UpstreamTable& upstreams,
                       TimePoint now) {
  for (UpstreamState& engine : coordinator.engines.upstreams) {
    const auto found = upstreams.index.find(engine.config.id);
    if (found == upstreams.index.end()) {
      continue;
    }
    const UpstreamState& known = upstreams.upstreams[found->second];
    engine.leaving = known.leaving;
    // Only the owner of an upstream with a rate limit sends it requests.
    engine.evacuated = known.evacuated || IsRateLimited(known.rate, now);
    // The refusals of full engines are reported to the coordinator by all
    // instances, so the backoff here is its own.
    engine.health.ejected_until = known.health.ejected_until;
  }
}

void HandlePlacementReports(Coordinator& coordinator, TimePoint now,
                            const InstanceId& from,
                            const PlacementMessage& message) {
  if (!message.state_of.empty()) {
    EndUnreported(coordinator, from, message, now);
  }
  for (const PlacementRunning& running : message.running) {
    RecordRunning(coordinator, from, running, now);
  }
  for (const PlacementBegun& begun : message.begun) {
    RecordBegun(coordinator, {from, begun.number}, begun.taken);
  }
  for (const PlacementNumber number : message.refused) {
    const auto grant = coordinator.grants.find({from, number});
    UpstreamState* engine =
        grant == coordinator.grants.end()
            ? nullptr
            : FindUpstream(coordinator.engines, grant->second.upstream);
    if (engine != nullptr) {
      StartOverloadBackoff(engine->health, Duration::zero(), now);
    }
    detail::EndGrant(coordinator, {from, number}, now);
  }
  for (const PlacementNumber number : message.ended) {
    EndWait(coordinator, {from, number});
    detail::EndGrant(coordinator, {from, number}, now);
  }
  for (const PlacementLoad& load : message.loads) {
    RecordLoad(coordinator, load, now);
  }
}

void RemoveInstancePlacements(Coordinator& coordinator,
                              const InstanceId& from) {
  const auto all = [](const auto& /*entry*/) { return true; };
  for (const PlacementKey& key :
       KeysOf(coordinator.waiting_numbers, from, all)) {
    EndWait(coordinator, key);
  }
  for (const PlacementKey& key : KeysOf(coordinator.grants, from, all)) {
    // The time of the requests is not known, so it does not count.
    coordinator.grants.at(key).begun = false;
    detail::EndGrant(coordinator, key, TimePoint{});
  }
}

}  // namespace mimosagauge
