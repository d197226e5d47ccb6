// What instances tell each other of their load.

#include <algorithm>
#include <utility>

#include "mimosagauge/impl/decisions/gateway_detail.h"
#include "mimosagauge/impl/decisions/rendezvous.h"

namespace mimosagauge::detail {
namespace {

// Between two digests to the instances of this region, for each of them; to
// other regions, for each instance told there.
constexpr Duration kDigestInterval = std::chrono::milliseconds(25);
constexpr Duration kShortestDigest = std::chrono::milliseconds(100);
constexpr Duration kOffersInterval = std::chrono::milliseconds(300);
// Instances of this region that tell one of another region; two, so that one
// may be lost.
constexpr std::size_t kTellers = 2;
// A change of the store reaches all instances within this, unless a watch has
// gone silent.
constexpr Duration kStoreLag = std::chrono::milliseconds(1500);

[[nodiscard]] std::uint32_t Whole(double number) {
  return static_cast<std::uint32_t>(std::max(0.0, number));
}

[[nodiscard]] LoadDigest NearDigest(Gateway& gateway, TimePoint now) {
  LoadDigest digest;
  digest.store_seen = gateway.store_seen;
  for (UpstreamState& upstream : gateway.upstreams.upstreams) {
    EngineLoad& load = upstream.load;
    const double sent = std::exchange(load.untold_tokens, 0);
    if (upstream.in_flight > 0 || sent > 0) {
      digest.shares.push_back({MarkOf(upstream.config.id),
                               static_cast<std::uint32_t>(upstream.in_flight),
                               Whole(load.unread_tokens), Whole(sent)});
    }
    const UntoldOutcomes outcomes = TakeUntold(upstream.health, now);
    if (outcomes.answered + outcomes.failed > 0) {
      digest.outcomes.push_back({MarkOf(upstream.config.id), outcomes});
    }
  }
  digest.parts = std::exchange(gateway.parts_read, {});
  return digest;
}

[[nodiscard]] LoadDigest FarDigest(const Gateway& gateway) {
  LoadDigest digest;
  for (const auto& [service, offer] : gateway.own_offers) {
    digest.offers.push_back(offer);
  }
  return digest;
}

// Whether this instance is one of those of its region that tell the peer.
[[nodiscard]] bool Tells(const Gateway& gateway, const PeerState& peer) {
  const auto weight = [&peer](const InstanceId& teller) {
    return RendezvousWeight(RendezvousWeight(0, peer.config.id.value()),
                            teller.value());
  };
  const std::uint64_t own = weight(gateway.config.instance);
  const auto before = std::count_if(
      gateway.peers.begin(), gateway.peers.end(), [&](const PeerState& other) {
        return other.up && IsNear(gateway, other) &&
               weight(other.config.id) > own;
      });
  return static_cast<std::size_t>(before) < kTellers;
}

void TellNear(Turn& turn) {
  Gateway& gateway = turn.gateway;
  const auto digest =
      std::make_shared<const LoadDigest>(NearDigest(gateway, turn.now));
  std::size_t told = 0;
  for (const PeerState& peer : gateway.peers) {
    if (peer.up && IsNear(gateway, peer)) {
      turn.effects.emplace_back(ForLinks{SendLoad{peer.config.id, digest}});
      ++told;
    }
  }
  gateway.next_digest =
      turn.now +
      std::max(kShortestDigest,
               Duration(kDigestInterval * static_cast<Duration::rep>(told)));
}

void TellFar(Turn& turn) {
  Gateway& gateway = turn.gateway;
  gateway.next_offers = turn.now + kOffersInterval;
  gateway.own_offers.clear();
  for (const auto& [service, upstreams] : gateway.upstreams.services) {
    gateway.own_offers.emplace(service,
                               OfferOf(gateway.upstreams, service, turn.now));
  }
  std::shared_ptr<const LoadDigest> digest;
  for (const PeerState& peer : gateway.peers) {
    if (!peer.up || IsNear(gateway, peer) || !Tells(gateway, peer)) {
      continue;
    }
    if (digest == nullptr) {
      digest = std::make_shared<const LoadDigest>(FarDigest(gateway));
    }
    turn.effects.emplace_back(ForLinks{SendLoad{peer.config.id, digest}});
  }
}

// The peer's part of what its region's upstreams have.
void LearnShares(Turn& turn, const InstanceId& from, const LoadDigest& digest) {
  Gateway& gateway = turn.gateway;
  const TimePoint now = turn.now;
  for (UpstreamState& upstream : gateway.upstreams.upstreams) {
    upstream.load.foreign.erase(from);
  }
  for (const UpstreamShare& share : digest.shares) {
    UpstreamState* upstream = FindUpstream(gateway.upstreams, share.upstream);
    if (upstream != nullptr) {
      LearnForeign(
          upstream->load, from,
          {share.in_flight, static_cast<double>(share.unread_tokens), now},
          share.sent_tokens, now);
    }
  }
  for (const UpstreamOutcomes& told : digest.outcomes) {
    UpstreamState* upstream = FindUpstream(gateway.upstreams, told.upstream);
    if (upstream != nullptr &&
        LearnOutcomes(gateway.upstreams, *upstream, told.outcomes, now)) {
      LogEjection(turn, *upstream, from.value());
    }
  }
  for (const PartRead& read : digest.parts) {
    UpstreamState* upstream = FindUpstream(gateway.upstreams, read.upstream);
    if (upstream != nullptr) {
      Touch(upstream->cache, read.part);
    }
  }
}

// Others were told of a change that has not come here for long: the watch is
// silent.
void CompareStore(Turn& turn, std::uint64_t seen) {
  Gateway& gateway = turn.gateway;
  if (seen <= gateway.store_seen) {
    return;
  }
  if (!gateway.store_behind) {
    gateway.store_behind = turn.now;
  } else if (turn.now - *gateway.store_behind > kStoreLag) {
    gateway.store_behind.reset();
    turn.effects.emplace_back(
        WriteLog{log_events::kWatchSilent,
                 {{"seen", std::to_string(gateway.store_seen)},
                  {"others", std::to_string(seen)}}});
    turn.effects.emplace_back(ForPlatform{ReopenWatch{}});
  }
}

}  // namespace

void TellLoad(Turn& turn) {
  Gateway& gateway = turn.gateway;
  if (gateway.catalogue == nullptr) {
    return;
  }
  if (turn.now >= gateway.next_digest) {
    TellNear(turn);
  }
  if (turn.now >= gateway.next_offers) {
    TellFar(turn);
  }
}

void Handle(Turn& turn, StoreSeen&& event) {
  turn.gateway.store_seen = std::max(turn.gateway.store_seen, event.revision);
  turn.gateway.store_behind.reset();
}

void Handle(Turn& turn, LoadTold&& event) {
  Gateway& gateway = turn.gateway;
  const PeerState* peer = FindPeer(gateway, event.from);
  if (peer == nullptr) {
    return;  // It comes with the next one, once the instance is known.
  }
  if (IsNear(gateway, *peer)) {
    LearnShares(turn, event.from, event.digest);
    CompareStore(turn, event.digest.store_seen);
    return;
  }
  RegionOffers& offers = gateway.offers[peer->config.region];
  offers.told_at = turn.now;
  offers.services.clear();
  for (ServiceOffer& offer : event.digest.offers) {
    offers.services.insert_or_assign(offer.service, offer);
  }
}

}  // namespace mimosagauge::detail
