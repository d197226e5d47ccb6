// Gateway state machine: changes at run time of the operators' configuration,
// the upstreams, the evacuated zones and the other instances.

#include <algorithm>
#include <map>
#include <utility>

#include "mimosagauge/impl/decisions/gateway_detail.h"
#include "mimosagauge/impl/decisions/rendezvous.h"

namespace mimosagauge::detail {
namespace {

// Own attempts allowed on an engine, as a multiple of its concurrency. An
// engine queues requests by priority better than an instance can, because only
// the engine has the requests of all instances.
constexpr std::size_t kEngineQueueFactor = 2;
// The same for a plain service, which refuses requests that it cannot queue.
constexpr std::size_t kPlainQueueFactor = 3;
// Number of links to each other region. Any instance there can serve forwarded
// requests, so more links would only cost traffic.
constexpr std::size_t kLinksPerRemoteRegion = 4;
// Fraction of an engine's KV cache memory that shared prompt parts fill beside
// running requests.
constexpr double kSharedMemoryFraction = 0.7;

// Shortest time for which a rate limit stays unconfirmed before an instance
// that does not own the upstream sends it a request. The longest is twice this
// time.
constexpr Duration kMinConfirmationTimeout = std::chrono::seconds(10);
constexpr std::uint64_t kTimeoutSteps = 1000;

[[nodiscard]] UpstreamParameters TermsOf(const Gateway& gateway,
                                         const UpstreamRecord& record) {
  UpstreamParameters terms;
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
    const auto width =
        static_cast<double>(profile->engine->copy_bandwidth.count());
    if (width > 0) {
      terms.copy_ms_per_token =
          static_cast<double>(profile->engine->token_bytes) * kBitsPerByte /
          width * kMillisecondsPerSecond;
    }
    terms.cache_capacity = static_cast<std::uint64_t>(
        kSharedMemoryFraction *
        static_cast<double>(profile->engine->memory_tokens));
  }
  return terms;
}

// Number of instances that report an upstream's cold period to the others: the
// owner and those that would be next, since some of them may be out of contact
// with the store.
constexpr std::size_t kColdReporters = 3;

// Assigns each upstream to the instance of its region that sends it requests
// while their rate is limited, by rendezvous hashing.
void AssignUpstreamOwners(Gateway& gateway) {
  const bool has_majority = ReachOfRegion(gateway).has_majority;
  std::vector<InstanceId> owners;
  if (!gateway.drain_started) {
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
    const auto preferred = [&](const InstanceId& a, const InstanceId& b) {
      const std::uint64_t weight = RendezvousWeight(subject, a.value());
      const std::uint64_t other = RendezvousWeight(subject, b.value());
      return weight > other || (weight == other && a < b);
    };
    const auto rank = std::count_if(
        owners.begin(), owners.end(), [&](const InstanceId& owner) {
          return preferred(owner, gateway.config.instance);
        });
    upstream.rate.owned = !gateway.drain_started && rank == 0;
    upstream.rate.has_majority = has_majority;
    upstream.rate.reports_cold =
        static_cast<std::size_t>(rank) < kColdReporters;
    upstream.rate.confirmation_timeout =
        kMinConfirmationTimeout +
        kMinConfirmationTimeout / kTimeoutSteps *
            static_cast<Duration::rep>(
                RendezvousWeight(subject, gateway.config.instance.value()) %
                kTimeoutSteps);
  }
}

// Time until a cold period that the store has just reported is sent to the
// other instances.
constexpr Duration kColdReportDelay = std::chrono::milliseconds(20);

// Sends the next digest soon if it has a cold period to report that was not
// known before: the regular interval is 1.75 s in a region of 71 instances.
void ExpediteColdReport(StepContext& context, const UpstreamState& upstream) {
  const SharedRate& rate = upstream.rate;
  if (rate.reports_cold && rate.cold_stated_until > context.now &&
      rate.next_cold_report == context.now) {
    context.gateway.next_digest_at = std::min(context.gateway.next_digest_at,
                                              context.now + kColdReportDelay);
  }
}

// Returns how many of the routes, or of the accounts, have home regions.
template <typename Element>
[[nodiscard]] std::ptrdiff_t CountWithHomes(const std::vector<Element>& list) {
  return std::count_if(list.begin(), list.end(), [](const Element& element) {
    return !element.regions.empty();
  });
}

void UpdateRetryShare(const Gateway& gateway, RetryBudget& budget) {
  // Instances whose links are down are counted too, because they may be using
  // their share of the budget.
  const GatewayLimits& limits = gateway.config.limits;
  SetInstanceShare(budget, {limits.retry_ratio, limits.retry_slack},
                   gateway.peers.size() + 1);
}

void AddOrUpdateUpstream(StepContext& context, const UpstreamRecord& record) {
  Gateway& gateway = context.gateway;
  const UpstreamParameters terms = TermsOf(gateway, record);
  UpdateUpstream(gateway.upstreams, record, terms, context.now);
  RecordSoftware(gateway.streams.history, record.config.id,
                 record.config.service, record.config.software, context.now);
  context.effects.emplace_back(
      ForUpstreams{AddUpstream{record.config, terms.kind}});
  if (UpstreamState* state =
          FindUpstream(gateway.upstreams, record.config.id)) {
    state->evacuated = gateway.evacuated_zones.contains(record.config.zone);
    ApplyDeparture(context, *state);
  }
}

}  // namespace

RegionReach ReachOfRegion(const Gateway& gateway) {
  RegionReach reach;
  bool reaches_first = true;
  InstanceId first = gateway.config.instance;
  for (const PeerState& peer : gateway.peers) {
    // One that leaves owns nothing, and one whose registration and link have
    // ended has stopped.
    const bool has_left = !peer.up && (peer.leaving_since || !peer.listed);
    if (!IsInOwnRegion(gateway, peer) || has_left) {
      continue;
    }
    ++reach.known;
    reach.reached += peer.up ? 1 : 0;
    if (peer.config.id < first) {
      first = peer.config.id;
      reaches_first = peer.up;
    }
  }
  reach.has_majority = 2 * reach.reached > reach.known ||
                       (2 * reach.reached == reach.known && reaches_first);
  return reach;
}

void MaintainLinks(StepContext& context) {
  Gateway& gateway = context.gateway;
  std::map<RegionId, std::vector<PeerState*>> remote_peers;
  const auto ensure_link = [&context](PeerState& peer) {
    if (!peer.link_requested) {
      peer.link_requested = true;
      context.effects.emplace_back(ForLinks{ConnectInstance{peer.config}});
    }
  };
  for (PeerState& peer : gateway.peers) {
    if (peer.config.region == gateway.config.region) {
      ensure_link(peer);
    } else {
      remote_peers[peer.config.region].push_back(&peer);
    }
  }
  const std::uint64_t subject =
      RendezvousWeight(0, gateway.config.instance.value());
  for (auto& [region, peers] : remote_peers) {
    std::sort(peers.begin(), peers.end(),
              [subject](const PeerState* a, const PeerState* b) {
                return RendezvousWeight(subject, a->config.id.value()) >
                       RendezvousWeight(subject, b->config.id.value());
              });
    std::size_t usable = 0;
    for (PeerState* peer : peers) {
      if (usable == kLinksPerRemoteRegion) {
        break;
      }
      // A link that is not connected yet counts as usable, a lost link does
      // not.
      usable += peer->up || !peer->link_requested ? 1 : 0;
      ensure_link(*peer);
      peer->only_for_allowances = false;
    }
  }
}

RetryBudget& RetryBudgetOf(Gateway& gateway, const ServiceId& service) {
  const auto [entry, created] = gateway.budgets.try_emplace(service);
  if (created && gateway.catalogue != nullptr) {
    entry->second.tokens = 0;
    UpdateRetryShare(gateway, entry->second);
  }
  return entry->second;
}

void UpdateInstanceShares(Gateway& gateway) {
  AssignUpstreamOwners(gateway);
  if (gateway.catalogue == nullptr) {
    return;
  }
  for (auto& [service, budget] : gateway.budgets) {
    UpdateRetryShare(gateway, budget);
  }
}

void Handle(StepContext& context, CatalogueReceived&& event) {
  Gateway& gateway = context.gateway;
  const bool newer = gateway.catalogue == nullptr ||
                     gateway.catalogue->revision < event.catalogue->revision;
  if (!newer) {
    return;
  }
  gateway.catalogue = std::move(event.catalogue);
  RemoveCredentials(gateway);
  gateway.last_view_at = TimePoint{};
  gateway.all_services_freed = true;
  for (const auto& [service, profile] : gateway.catalogue->services) {
    static_cast<void>(RetryBudgetOf(gateway, service));
  }
  for (auto& [id, record] : gateway.upstream_records) {
    record.cold_remaining =
        Duration::zero();  // Was applied when the record was received.
    AddOrUpdateUpstream(context, record);
  }
  UpdateInstanceShares(gateway);
  UpdateCoordinators(gateway, {});
  AdoptAllowances(context);
  context.effects.emplace_back(WriteLog{
      log_events::kConfigurationAdopted,
      {{"version", std::to_string(gateway.catalogue->revision.value())},
       {"routes", std::to_string(gateway.catalogue->routes.size())},
       {"routes_with_homes",
        std::to_string(CountWithHomes(gateway.catalogue->routes))},
       {"accounts_with_homes",
        std::to_string(CountWithHomes(gateway.catalogue->accounts.list))}}});
}

void Handle(StepContext& context, UpstreamUpdated&& event) {
  Gateway& gateway = context.gateway;
  const UpstreamRecord& record = event.record;
  const UpstreamState* previous =
      FindUpstream(gateway.upstreams, record.config.id);
  const bool log_change =
      previous == nullptr || previous->leaving != record.leaving ||
      previous->config.incarnation != record.config.incarnation ||
      previous->config.endpoint != record.config.endpoint ||
      record.cold_remaining > Duration::zero();
  if (previous != nullptr &&
      previous->config.incarnation != record.config.incarnation) {
    ConfirmLoss(context, record.config.id);
  }
  AddOrUpdateUpstream(context, record);
  AssignUpstreamOwners(gateway);
  UpdateCoordinators(gateway, {});
  if (const UpstreamState* state =
          FindUpstream(gateway.upstreams, record.config.id)) {
    ExpediteColdReport(context, *state);
  }
  if (log_change) {
    context.effects.emplace_back(
        WriteLog{log_events::kUpstreamLearned,
                 {{"upstream", record.config.id.value()},
                  {"service", record.config.service.value()},
                  {"zone", record.config.zone.value()},
                  {"address", ToString(record.config.endpoint)},
                  {"state", record.leaving ? "leaving" : "ready"},
                  {"cold_ms", Milliseconds(record.cold_remaining)}}});
  }
  gateway.freed_services.insert(record.config.service);
  const UpstreamId id = record.config.id;
  gateway.upstream_records.insert_or_assign(id, std::move(event.record));
}

void Handle(StepContext& context, UpstreamRemoved&& event) {
  context.gateway.upstream_records.erase(event.id);
  RemoveSoftware(context.gateway.streams.history, event.id, context.now);
  ConfirmLoss(context, event.id);
  if (!EraseUpstream(context.gateway.upstreams, event.id)) {
    return;
  }
  context.effects.emplace_back(
      WriteLog{log_events::kUpstreamGone, {{"upstream", event.id.value()}}});
  context.effects.emplace_back(
      ForUpstreams{RemoveUpstream{std::move(event.id)}});
  UpdateCoordinators(context.gateway, {});
  context.gateway.all_services_freed = true;
}

void Handle(StepContext& context, ZoneEvacuated&& event) {
  Gateway& gateway = context.gateway;
  const bool changed = event.on
                           ? gateway.evacuated_zones.insert(event.zone).second
                           : gateway.evacuated_zones.erase(event.zone) > 0;
  if (!changed) {
    return;
  }
  Evacuate(gateway.upstreams, event.zone, event.on);
  if (!event.on && gateway.catalogue != nullptr) {
    // The upstreams may have gone cold during the evacuation without a report.
    for (UpstreamState& upstream : gateway.upstreams.upstreams) {
      const ServiceProfile* profile =
          FindService(*gateway.catalogue, upstream.config.service);
      if (upstream.config.zone == event.zone && profile != nullptr) {
        RecordColdStatement(upstream.rate, profile->cold, context.now);
        ExpediteColdReport(context, upstream);
      }
    }
  }
  gateway.all_services_freed = true;
  context.effects.emplace_back(WriteLog{
      log_events::kZoneEvacuated,
      {{"zone", event.zone.value()}, {"evacuated", event.on ? "yes" : "no"}}});
}

void Handle(StepContext& context, InstanceUpdated&& event) {
  Gateway& gateway = context.gateway;
  if (event.peer.id == gateway.config.instance) {
    return;
  }
  PeerState* known = FindPeer(gateway, event.peer.id);
  if (known == nullptr) {
    known = &gateway.peers.emplace_back();
  }
  known->config = event.peer;
  known->listed = true;
  context.effects.emplace_back(
      WriteLog{log_events::kInstanceLearned,
               {{"peer", event.peer.id.value()},
                {"zone", event.peer.zone.value()},
                {"address", ToString(event.peer.link)}}});
  if (known->link_requested) {
    // The address of the instance may have changed.
    context.effects.emplace_back(ForLinks{ConnectInstance{known->config}});
  }
  MaintainLinks(context);
  UpdateInstanceShares(gateway);
  UpdateCoordinators(gateway, {});
}

void Handle(StepContext& context, InstanceRemoved&& event) {
  Gateway& gateway = context.gateway;
  PeerState* known = FindPeer(gateway, event.id);
  if (known == nullptr) {
    return;
  }
  if (known->up || known->leaving_since) {
    // The registration has ended, but the link or the announced leave shows
    // that the instance still runs. It is removed when its link is lost.
    known->listed = false;
    return;
  }
  std::erase_if(gateway.peers, [&event](const PeerState& peer) {
    return peer.config.id == event.id;
  });
  Apply(context, SetMemberReachable(gateway.spread, event.id, false));
  RemoveInstancePlacements(gateway.placement.own, event.id);
  context.effects.emplace_back(
      WriteLog{log_events::kInstanceGone, {{"peer", event.id.value()}}});
  context.effects.emplace_back(
      ForLinks{DisconnectInstance{std::move(event.id)}});
  MaintainLinks(context);
  UpdateInstanceShares(gateway);
  UpdateCoordinators(gateway, {});
}

}  // namespace mimosagauge::detail
