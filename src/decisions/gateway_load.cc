// Gateway state machine: exchange of load digests between instances.

#include <algorithm>
#include <utility>

#include "mimosagauge/impl/decisions/gateway_detail.h"
#include "mimosagauge/impl/decisions/rendezvous.h"

namespace mimosagauge::detail {
namespace {

// Interval between two digests to the instances of this region, multiplied by
// the number of instances that the digest is sent to.
constexpr Duration kDigestIntervalPerPeer = std::chrono::milliseconds(25);
constexpr Duration kMinDigestInterval = std::chrono::milliseconds(100);
constexpr Duration kOffersInterval = std::chrono::milliseconds(300);
// Number of instances of this region that send offers to the same instance of
// another region; two, so that one of them may fail.
constexpr std::size_t kSendersPerPeer = 2;
// A change of the store reaches all instances within this time, unless a watch
// no longer delivers changes.
constexpr Duration kMaxStoreLag = std::chrono::milliseconds(1500);

[[nodiscard]] std::uint32_t ToUint32(double number) {
  return static_cast<std::uint32_t>(std::max(0.0, number));
}

[[nodiscard]] LoadDigest MakeRegionDigest(Gateway& gateway, TimePoint now) {
  LoadDigest digest;
  digest.store_seen = gateway.store_seen;
  for (UpstreamState& upstream : gateway.upstreams.upstreams) {
    EngineLoad& load = upstream.load;
    const double sent = std::exchange(load.unreported_tokens, 0);
    // The coordinator of a service counts the requests at its engines.
    const bool counted = upstream.kind == UpstreamKind::kEngine &&
                         HasActiveCoordinator(gateway, upstream.config.service);
    if (!counted && (upstream.in_flight > 0 || sent > 0)) {
      digest.shares.push_back({HashUpstreamId(upstream.config.id),
                               static_cast<std::uint32_t>(upstream.in_flight),
                               ToUint32(load.unread_tokens), ToUint32(sent)});
    }
    const UnreportedOutcomes outcomes =
        TakeUnreportedOutcomes(upstream.health, now);
    if (outcomes.answered + outcomes.failed > 0) {
      digest.outcomes.push_back({HashUpstreamId(upstream.config.id), outcomes});
    }
  }
  digest.parts = std::exchange(gateway.parts_read, {});
  digest.limits = TakeLimitReports(gateway, now);
  digest.cold = TakeColdReports(gateway, now);
  digest.departures = TakeDepartureReports(gateway, now);
  digest.store_in_contact = gateway.freshness.store_in_contact;
  digest.poison = TakeNews(gateway.poison, gateway.poison.news_for_region, now);
  return digest;
}

[[nodiscard]] LoadDigest MakeOffersDigest(Gateway& gateway, TimePoint now) {
  LoadDigest digest;
  digest.poison =
      TakeNews(gateway.poison, gateway.poison.news_for_other_regions, now);
  for (const auto& [service, offer] : gateway.own_offers) {
    digest.offers.push_back(offer);
  }
  return digest;
}

// Returns whether this instance is one of those of its region that send offers
// to the peer, chosen by rendezvous hashing.
[[nodiscard]] bool IsSenderTo(const Gateway& gateway, const PeerState& peer) {
  const auto weight = [&peer](const InstanceId& sender) {
    return RendezvousWeight(RendezvousWeight(0, peer.config.id.value()),
                            sender.value());
  };
  const std::uint64_t own = weight(gateway.config.instance);
  const auto higher_ranked = std::count_if(
      gateway.peers.begin(), gateway.peers.end(), [&](const PeerState& other) {
        return other.up && IsInOwnRegion(gateway, other) &&
               weight(other.config.id) > own;
      });
  return static_cast<std::size_t>(higher_ranked) < kSendersPerPeer;
}

void SendDigestsInRegion(StepContext& context) {
  Gateway& gateway = context.gateway;
  const auto digest = std::make_shared<const LoadDigest>(
      MakeRegionDigest(gateway, context.now));
  std::size_t recipients = 0;
  for (const PeerState& peer : gateway.peers) {
    if (peer.up && IsInOwnRegion(gateway, peer)) {
      context.effects.emplace_back(ForLinks{SendLoad{peer.config.id, digest}});
      ++recipients;
    }
  }
  gateway.next_digest_at =
      context.now + std::max(kMinDigestInterval,
                             Duration(kDigestIntervalPerPeer *
                                      static_cast<Duration::rep>(recipients)));
}

void SendOffersToOtherRegions(StepContext& context) {
  Gateway& gateway = context.gateway;
  gateway.next_offers_at = context.now + kOffersInterval;
  gateway.own_offers.clear();
  for (const auto& [service, upstreams] : gateway.upstreams.services) {
    gateway.own_offers.emplace(
        service, MakeServiceOffer(gateway.upstreams, service, context.now));
  }
  // News about crashes come from the instance that saw them alone.
  const bool has_news = !gateway.poison.news_for_other_regions.news.empty();
  std::shared_ptr<const LoadDigest> digest;
  for (const PeerState& peer : gateway.peers) {
    if (!peer.up || IsInOwnRegion(gateway, peer) ||
        !(has_news || IsSenderTo(gateway, peer))) {
      continue;
    }
    if (digest == nullptr) {
      digest = std::make_shared<const LoadDigest>(
          MakeOffersDigest(gateway, context.now));
    }
    context.effects.emplace_back(ForLinks{SendLoad{peer.config.id, digest}});
  }
}

// Applies the digest of an instance of this region: its share of the load on
// each upstream, the results of its attempts and the prompt parts read.
void ApplyRegionDigest(StepContext& context, const InstanceId& from,
                       const LoadDigest& digest) {
  Gateway& gateway = context.gateway;
  const TimePoint now = context.now;
  for (UpstreamState& upstream : gateway.upstreams.upstreams) {
    upstream.load.foreign.erase(from);
  }
  for (const UpstreamShare& share : digest.shares) {
    UpstreamState* upstream = FindUpstream(gateway.upstreams, share.upstream);
    if (upstream != nullptr) {
      RecordPeerLoad(
          upstream->load, from,
          {share.in_flight, static_cast<double>(share.unread_tokens), now},
          share.sent_tokens, now);
    }
  }
  for (const UpstreamOutcomes& reported : digest.outcomes) {
    UpstreamState* upstream =
        FindUpstream(gateway.upstreams, reported.upstream);
    if (upstream != nullptr &&
        CountPeerOutcomesAndEject(gateway.upstreams, *upstream,
                                  reported.outcomes, now)) {
      LogEjection(context, *upstream, from.value());
    }
  }
  ApplyLimitReports(context, from, digest.limits);
  ApplyFreshness(context, from, digest);
  for (const PartRead& read : digest.parts) {
    UpstreamState* upstream = FindUpstream(gateway.upstreams, read.upstream);
    if (upstream != nullptr) {
      Touch(upstream->cache, read.part);
    }
  }
}

// Reopens the watch on the store if another instance has had a newer change
// than this one for longer than the longest lag: the watch no longer delivers
// changes.
void CheckStoreLag(StepContext& context, const StorePosition& of_peer) {
  Gateway& gateway = context.gateway;
  if (!(gateway.store_seen < of_peer)) {
    return;
  }
  if (!gateway.store_behind_since) {
    gateway.store_behind_since = context.now;
  } else if (context.now - *gateway.store_behind_since > kMaxStoreLag) {
    gateway.store_behind_since.reset();
    context.effects.emplace_back(
        WriteLog{log_events::kWatchSilent,
                 {{"seen", std::to_string(gateway.store_seen.revision)},
                  {"others", std::to_string(of_peer.revision)},
                  {"era", std::to_string(gateway.store_seen.era)},
                  {"others_era", std::to_string(of_peer.era)}}});
    context.effects.emplace_back(ForPlatform{ReopenWatch{}});
  }
}

}  // namespace

void SendLoadDigests(StepContext& context) {
  Gateway& gateway = context.gateway;
  if (gateway.catalogue == nullptr) {
    return;
  }
  if (context.now >= gateway.next_digest_at) {
    SendDigestsInRegion(context);
  }
  if (context.now >= gateway.next_offers_at) {
    SendOffersToOtherRegions(context);
  }
}

void Handle(StepContext& context, StoreRevisionSeen&& event) {
  context.gateway.store_seen =
      std::max(context.gateway.store_seen, event.position);
  context.gateway.store_behind_since.reset();
}

void Handle(StepContext& context, LoadReceived&& event) {
  Gateway& gateway = context.gateway;
  const PeerState* peer = FindPeer(gateway, event.from);
  if (peer == nullptr) {
    return;  // Its next digest is applied once the peer is known.
  }
  ApplyPoisonNews(context, *peer, event.digest.poison);
  if (IsInOwnRegion(gateway, *peer)) {
    ApplyRegionDigest(context, event.from, event.digest);
    CheckStoreLag(context, event.digest.store_seen);
    return;
  }
  RegionOffers& offers = gateway.offers[peer->config.region];
  offers.received_at = context.now;
  offers.services.clear();
  for (ServiceOffer& offer : event.digest.offers) {
    offers.services.insert_or_assign(offer.service, offer);
  }
}

}  // namespace mimosagauge::detail
