// What changes around an instance while it runs: the operators' configuration,
// upstreams and other instances.

#include <algorithm>
#include <map>
#include <utility>

#include "mimosagauge/impl/decisions/gateway_detail.h"
#include "mimosagauge/impl/decisions/rendezvous.h"

namespace mimosagauge::detail {
namespace {

// An engine queues requests by priority better than an instance could, for
// only the engine knows what the others have sent.
constexpr std::size_t kEngineQueueFactor = 2;
// A plain service refuses what it cannot queue.
constexpr std::size_t kPlainQueueFactor = 3;
// Links to each other region; each of its instances could take what is passed
// on, so more would only cost bytes.
constexpr std::size_t kFarLinks = 4;
// Part of an engine's memory that shared parts fill beside running requests.
constexpr double kSharedMemoryPart = 0.7;

[[nodiscard]] UpstreamTerms TermsOf(const Gateway& gateway,
                                    const UpstreamRecord& record) {
  UpstreamTerms terms;
  terms.limit = record.config.concurrency * kPlainQueueFactor;
  const ServiceProfile* profile =
      gateway.catalogue == nullptr
          ? nullptr
          : FindService(*gateway.catalogue, record.config.service);
  if (profile == nullptr) {
    return terms;
  }
  terms.cold_rate = profile->cold_rate;
  if (profile->engine) {
    terms.kind = UpstreamKind::kEngine;
    terms.limit = record.config.concurrency * kEngineQueueFactor;
    constexpr double kBitsPerByte = 8;
    constexpr double kMillisecondsPerSecond = 1000;
    const auto width = static_cast<double>(profile->engine->copy_width.count());
    if (width > 0) {
      terms.copy_ms_per_token =
          static_cast<double>(profile->engine->token_bytes) * kBitsPerByte /
          width * kMillisecondsPerSecond;
    }
    terms.cache_capacity = static_cast<std::uint64_t>(
        kSharedMemoryPart *
        static_cast<double>(profile->engine->memory_tokens));
  }
  return terms;
}

// Upstreams that are cold belong to one instance of their region.
void ShareColdUpstreams(Gateway& gateway) {
  std::vector<InstanceId> owners;
  if (!gateway.drain_began) {
    owners.push_back(gateway.config.instance);
  }
  for (const PeerState& peer : gateway.peers) {
    if (peer.up && peer.config.region == gateway.config.region) {
      owners.push_back(peer.config.id);
    }
  }
  for (UpstreamState& upstream : gateway.upstreams.upstreams) {
    const std::uint64_t subject =
        RendezvousWeight(0, upstream.config.id.value());
    upstream.cold.owned =
        Rendezvous(subject, owners) == gateway.config.instance;
  }
}

void TakeIn(Turn& turn, const UpstreamRecord& record) {
  Gateway& gateway = turn.gateway;
  const UpstreamTerms terms = TermsOf(gateway, record);
  LearnUpstream(gateway.upstreams, record, terms, turn.now);
  if (UpstreamState* state =
          FindUpstream(gateway.upstreams, record.config.id)) {
    state->evacuated = gateway.evacuated.contains(record.config.zone);
  }
  turn.effects.emplace_back(
      ForUpstreams{UseUpstream{record.config, terms.kind}});
}

}  // namespace

void KeepLinks(Turn& turn) {
  Gateway& gateway = turn.gateway;
  std::map<RegionId, std::vector<PeerState*>> far;
  const auto keep = [&turn](PeerState& peer) {
    if (!peer.linked) {
      peer.linked = true;
      turn.effects.emplace_back(ForLinks{UseInstance{peer.config}});
    }
  };
  for (PeerState& peer : gateway.peers) {
    if (peer.config.region == gateway.config.region) {
      keep(peer);
    } else {
      far[peer.config.region].push_back(&peer);
    }
  }
  const std::uint64_t subject =
      RendezvousWeight(0, gateway.config.instance.value());
  for (auto& [region, peers] : far) {
    std::sort(peers.begin(), peers.end(),
              [subject](const PeerState* a, const PeerState* b) {
                return RendezvousWeight(subject, a->config.id.value()) >
                       RendezvousWeight(subject, b->config.id.value());
              });
    std::size_t usable = 0;
    for (PeerState* peer : peers) {
      if (usable == kFarLinks) {
        break;
      }
      // One that is being connected counts; one that is lost does not.
      usable += peer->up || !peer->linked ? 1 : 0;
      keep(*peer);
    }
  }
}

void ShareOut(Gateway& gateway) {
  ShareColdUpstreams(gateway);
  if (gateway.catalogue == nullptr) {
    return;
  }
  // Those whose links are down may be spending too.
  const std::size_t instances = gateway.peers.size() + 1;
  const GatewayLimits& limits = gateway.config.limits;
  for (auto& [service, budget] : gateway.budgets) {
    ShareBudget(budget, {limits.retry_ratio, limits.retry_slack}, instances);
  }
}

void Handle(Turn& turn, CatalogueArrived&& event) {
  Gateway& gateway = turn.gateway;
  const bool newer = gateway.catalogue == nullptr ||
                     gateway.catalogue->revision < event.catalogue->revision;
  if (!newer) {
    return;
  }
  gateway.catalogue = std::move(event.catalogue);
  gateway.last_view = TimePoint{};
  gateway.all_freed = true;
  for (const auto& [service, profile] : gateway.catalogue->services) {
    gateway.budgets.try_emplace(service);
  }
  for (auto& [id, record] : gateway.records) {
    record.cold_left = Duration::zero();  // Counted when it arrived.
    TakeIn(turn, record);
  }
  ShareOut(gateway);
  turn.effects.emplace_back(WriteLog{
      log_events::kConfigurationAdopted,
      {{"version", std::to_string(gateway.catalogue->revision.value())},
       {"routes", std::to_string(gateway.catalogue->routes.size())}}});
}

void Handle(Turn& turn, UpstreamLearned&& event) {
  Gateway& gateway = turn.gateway;
  const UpstreamRecord& record = event.record;
  const UpstreamState* before =
      FindUpstream(gateway.upstreams, record.config.id);
  const bool news = before == nullptr || before->leaving != record.leaving ||
                    before->config.incarnation != record.config.incarnation ||
                    before->config.endpoint != record.config.endpoint ||
                    record.cold_left > Duration::zero();
  TakeIn(turn, record);
  ShareColdUpstreams(gateway);
  if (news) {
    turn.effects.emplace_back(
        WriteLog{log_events::kUpstreamLearned,
                 {{"upstream", record.config.id.value()},
                  {"service", record.config.service.value()},
                  {"zone", record.config.zone.value()},
                  {"address", ToString(record.config.endpoint)},
                  {"state", record.leaving ? "leaving" : "ready"},
                  {"cold_ms", Milliseconds(record.cold_left)}}});
  }
  gateway.freed.insert(record.config.service);
  const UpstreamId id = record.config.id;
  gateway.records.insert_or_assign(id, std::move(event.record));
}

void Handle(Turn& turn, UpstreamRemoved&& event) {
  turn.gateway.records.erase(event.id);
  if (!ForgetUpstream(turn.gateway.upstreams, event.id)) {
    return;
  }
  turn.effects.emplace_back(
      WriteLog{log_events::kUpstreamGone, {{"upstream", event.id.value()}}});
  turn.effects.emplace_back(ForUpstreams{DropUpstream{std::move(event.id)}});
  turn.gateway.all_freed = true;
}

void Handle(Turn& turn, ZoneEvacuated&& event) {
  Gateway& gateway = turn.gateway;
  const bool changed = event.on ? gateway.evacuated.insert(event.zone).second
                                : gateway.evacuated.erase(event.zone) > 0;
  if (!changed) {
    return;
  }
  Evacuate(gateway.upstreams, event.zone, event.on);
  if (!event.on && gateway.catalogue != nullptr) {
    // They may have gone cold meanwhile without a word.
    for (UpstreamState& upstream : gateway.upstreams.upstreams) {
      const ServiceProfile* profile =
          FindService(*gateway.catalogue, upstream.config.service);
      if (upstream.config.zone == event.zone && profile != nullptr) {
        LearnCold(upstream.cold, profile->cold, turn.now);
      }
    }
  }
  gateway.all_freed = true;
  turn.effects.emplace_back(WriteLog{
      log_events::kZoneEvacuated,
      {{"zone", event.zone.value()}, {"evacuated", event.on ? "yes" : "no"}}});
}

void Handle(Turn& turn, InstanceLearned&& event) {
  Gateway& gateway = turn.gateway;
  if (event.peer.id == gateway.config.instance) {
    return;
  }
  PeerState* known = FindPeer(gateway, event.peer.id);
  if (known == nullptr) {
    known = &gateway.peers.emplace_back();
  }
  known->config = event.peer;
  known->listed = true;
  turn.effects.emplace_back(WriteLog{log_events::kInstanceLearned,
                                     {{"peer", event.peer.id.value()},
                                      {"zone", event.peer.zone.value()},
                                      {"address", ToString(event.peer.link)}}});
  if (known->linked) {
    // Its address may have changed.
    turn.effects.emplace_back(ForLinks{UseInstance{known->config}});
  }
  KeepLinks(turn);
  ShareOut(gateway);
}

void Handle(Turn& turn, InstanceRemoved&& event) {
  Gateway& gateway = turn.gateway;
  PeerState* known = FindPeer(gateway, event.id);
  if (known == nullptr) {
    return;
  }
  if (known->up || known->leaving) {
    // Its registration ended, and it lives: the link knows better.
    known->listed = false;
    return;
  }
  std::erase_if(gateway.peers, [&event](const PeerState& peer) {
    return peer.config.id == event.id;
  });
  Apply(turn, ChangeMember(gateway.spread, event.id, false));
  turn.effects.emplace_back(
      WriteLog{log_events::kInstanceGone, {{"peer", event.id.value()}}});
  turn.effects.emplace_back(ForLinks{DropInstance{std::move(event.id)}});
  KeepLinks(turn);
  ShareOut(gateway);
}

}  // namespace mimosagauge::detail
