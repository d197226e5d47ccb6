// What instances tell each other of their load, and the choice of a region.

#include <algorithm>
#include <random>
#include <utility>

#include "mimosagauge/impl/decisions/gateway_detail.h"

namespace mimosagauge::detail {
namespace {

// Between two digests to the instances of this region, and to others, while
// there are few of them; the more there are, the longer it is.
constexpr Duration kDigestInterval = std::chrono::milliseconds(100);
constexpr Duration kOffersInterval = std::chrono::milliseconds(300);
constexpr std::size_t kFewPeers = 8;
// An offer says nothing after this long.
constexpr Duration kOfferLife = std::chrono::seconds(2);
// There and back between regions, with what the other instance adds.
constexpr Duration kHop = std::chrono::milliseconds(130);
// An instance that has told nothing yet is taken for this busy.
constexpr Duration kUntoldStart = std::chrono::milliseconds(300);
// Choices this close to the best are left to chance, so that instances do not
// all choose the same one.
constexpr Duration kNearlyBest = std::chrono::milliseconds(20);

[[nodiscard]] bool IsNear(const Gateway& gateway, const PeerState& peer) {
  return peer.config.region == gateway.config.region;
}

[[nodiscard]] bool TakesWord(const PeerState& peer) { return peer.up; }

[[nodiscard]] std::uint32_t Whole(double number) {
  return static_cast<std::uint32_t>(std::max(0.0, number));
}

[[nodiscard]] LoadDigest NearDigest(Gateway& gateway) {
  LoadDigest digest;
  for (UpstreamState& upstream : gateway.upstreams.upstreams) {
    EngineLoad& load = upstream.load;
    digest.shares.push_back({upstream.config.id,
                             static_cast<std::uint32_t>(upstream.in_flight),
                             Whole(load.unread_tokens),
                             Whole(std::exchange(load.untold_tokens, 0))});
  }
  digest.parts = std::exchange(gateway.parts_read, {});
  return digest;
}

[[nodiscard]] LoadDigest FarDigest(const Gateway& gateway, TimePoint now) {
  LoadDigest digest;
  for (const auto& [service, upstreams] : gateway.upstreams.services) {
    digest.offers.push_back(OfferOf(gateway.upstreams, service, now));
  }
  return digest;
}

[[nodiscard]] Duration Stretched(Duration interval, std::size_t peers) {
  return interval * std::max<std::size_t>(1, peers / kFewPeers);
}

void Send(Turn& turn, bool near, LoadDigest digest) {
  const auto shared = std::make_shared<const LoadDigest>(std::move(digest));
  for (const PeerState& peer : turn.gateway.peers) {
    if (TakesWord(peer) && IsNear(turn.gateway, peer) == near) {
      turn.effects.emplace_back(ForLinks{SendLoad{peer.config.id, shared}});
    }
  }
}

[[nodiscard]] std::size_t CountPeers(const Gateway& gateway, bool near) {
  return static_cast<std::size_t>(std::count_if(
      gateway.peers.begin(), gateway.peers.end(), [&](const PeerState& peer) {
        return TakesWord(peer) && IsNear(gateway, peer) == near;
      }));
}

[[nodiscard]] bool HasFreshOffers(const PeerState& peer, TimePoint now) {
  return peer.offered_at && now - *peer.offered_at <= kOfferLife;
}

// What a request would find at another region's instance.
[[nodiscard]] Expectation ExpectAt(const Gateway& gateway,
                                   const PeerState& peer,
                                   const RequestRecord& record, TimePoint now) {
  Expectation expected;
  expected.start = kHop + kUntoldStart;
  const auto offer = peer.offers.find(record.verdict.service);
  const bool told = offer != peer.offers.end() && HasFreshOffers(peer, now);
  if (told) {
    expected.start = kHop + offer->second.start;
    expected.reading = offer->second.reading;
  }
  const Prompt& prompt = record.arrival.head->prompt;
  LoadQuestion question;
  question.engine = prompt.tokens_in > 0;
  question.prompt_tokens = prompt.tokens_in;
  question.output_tokens = prompt.tokens_out;
  question.slots = 1;
  if (!question.engine) {
    expected.end = expected.start;
    return expected;
  }
  // As at an upstream of here that has as much to read.
  const EngineLoad empty;
  const Expectation alone =
      Expect(empty, question, gateway.upstreams.speeds, now);
  expected.start += alone.start;
  expected.end = expected.start + (alone.end - alone.start);
  return expected;
}

[[nodiscard]] bool Serves(const PeerState& peer, const ServiceId& service,
                          TimePoint now) {
  if (!HasFreshOffers(peer, now)) {
    return true;  // Nothing is known against it.
  }
  const auto offer = peer.offers.find(service);
  return offer != peer.offers.end() && offer->second.usable > 0;
}

}  // namespace

void TellLoad(Turn& turn) {
  Gateway& gateway = turn.gateway;
  if (gateway.catalogue == nullptr) {
    return;
  }
  if (turn.now >= gateway.next_digest) {
    const std::size_t near = CountPeers(gateway, true);
    gateway.next_digest = turn.now + Stretched(kDigestInterval, near);
    if (near > 0) {
      Send(turn, true, NearDigest(gateway));
    }
    gateway.parts_read.clear();
  }
  if (turn.now >= gateway.next_offers) {
    const std::size_t far = CountPeers(gateway, false);
    gateway.next_offers = turn.now + Stretched(kOffersInterval, far);
    if (far > 0) {
      Send(turn, false, FarDigest(gateway, turn.now));
    }
  }
}

void Handle(Turn& turn, LoadTold&& event) {
  Gateway& gateway = turn.gateway;
  for (const UpstreamShare& share : event.digest.shares) {
    UpstreamState* upstream = FindUpstream(gateway.upstreams, share.upstream);
    if (upstream != nullptr) {
      LearnForeign(
          upstream->load, event.from,
          {share.in_flight, static_cast<double>(share.unread_tokens), turn.now},
          share.sent_tokens, turn.now);
    }
  }
  for (const PartRead& read : event.digest.parts) {
    UpstreamState* upstream = FindUpstream(gateway.upstreams, read.upstream);
    if (upstream != nullptr) {
      Touch(upstream->cache, read.part);
    }
  }
  if (event.digest.offers.empty()) {
    return;
  }
  for (PeerState& peer : gateway.peers) {
    if (peer.config.id == event.from) {
      peer.offers.clear();
      peer.offered_at = turn.now;
      for (ServiceOffer& offer : event.digest.offers) {
        peer.offers.insert_or_assign(offer.service, offer);
      }
    }
  }
}

RemoteChoice ChooseRemote(Gateway& gateway, const RequestRecord& record,
                          TimePoint now) {
  std::vector<RemoteChoice> candidates;
  Duration best = Duration::max();
  for (const PeerState& peer : gateway.peers) {
    const bool may = !IsNear(gateway, peer) && TakesWord(peer) &&
                     MayGoTo(record, peer.config) &&
                     Serves(peer, record.verdict.service, now);
    if (may) {
      candidates.push_back(
          {&peer.config, ExpectAt(gateway, peer, record, now)});
      best = std::min(best, candidates.back().expected.start);
    }
  }
  std::erase_if(candidates, [best](const RemoteChoice& choice) {
    return choice.expected.start > best + kNearlyBest;
  });
  if (candidates.empty()) {
    return {};
  }
  std::uniform_int_distribution<std::size_t> pick(0, candidates.size() - 1);
  return candidates[pick(gateway.random)];
}

}  // namespace mimosagauge::detail
