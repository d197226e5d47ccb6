// Choice among regions: which one is expected to serve a request soonest, and
// which one caches the shared part of its prompt.

#include <algorithm>
#include <chrono>
#include <cmath>
#include <random>
#include <vector>

#include "mimosagauge/impl/decisions/gateway_detail.h"
#include "mimosagauge/impl/decisions/part_home.h"

namespace mimosagauge::detail {
namespace {

// Age at which an offer is too old to be used.
constexpr Duration kOfferLifetime = std::chrono::seconds(2);
// Round trip time between regions, including the time that the other instance
// adds.
constexpr Duration kRegionRoundTrip = std::chrono::milliseconds(130);
// Expected time until an answer begins at an instance without an offer.
constexpr Duration kDefaultStart = std::chrono::milliseconds(300);
// A plain service whose answer is expected to begin this soon is idle, so its
// requests are not sent to other regions.
constexpr Duration kIdleStart = std::chrono::milliseconds(20);
// Exponent of the ratio of local to remote time in the random choice of a
// region. With 4, a request leaves an idle local upstream for one in another
// region once in a hundred times, and one that takes half as long again six
// times in seven.
constexpr double kDrawExponent = 4;
// Among candidates within this time of the best one the choice is random, so
// that the instances do not all choose the same one.
constexpr Duration kTieMargin = std::chrono::milliseconds(20);

[[nodiscard]] const RegionOffers* FreshOffers(const Gateway& gateway,
                                              const RegionId& region,
                                              TimePoint now) {
  const auto found = gateway.offers.find(region);
  const bool fresh = found != gateway.offers.end() &&
                     now - found->second.received_at <= kOfferLifetime;
  return fresh ? &found->second : nullptr;
}

// Returns the estimate for a request at an instance of another region.
[[nodiscard]] LatencyEstimate ExpectationAt(const Gateway& gateway,
                                            const PeerState& peer,
                                            const RequestRecord& record,
                                            double prompt_tokens,
                                            TimePoint now) {
  LatencyEstimate expected;
  expected.start = kRegionRoundTrip + kDefaultStart;
  if (const RegionOffers* fresh_offers =
          FreshOffers(gateway, peer.config.region, now)) {
    const auto offer = fresh_offers->services.find(record.verdict.service);
    if (offer != fresh_offers->services.end()) {
      expected.start = kRegionRoundTrip + offer->second.start;
      expected.reading = offer->second.reading;
    }
  }
  const Prompt& prompt = record.arrival.head->prompt;
  LatencyQuery question;
  question.engine = prompt.tokens_in > 0;
  question.prompt_tokens = prompt_tokens;
  question.output_tokens = prompt.tokens_out;
  question.slots = 1;
  if (!question.engine) {
    expected.end = expected.start;
    return expected;
  }
  // Reading and generating are expected to take as long as at an idle upstream
  // of this region with the same number of prompt tokens to read.
  const EngineLoad empty;
  const LatencyEstimate on_idle_engine =
      Expect(empty, question, gateway.upstreams.speeds, now);
  expected.start += on_idle_engine.start;
  expected.end = expected.start + (on_idle_engine.end - on_idle_engine.start);
  return expected;
}

// Returns the number of usable upstreams of the service in the offers; zero if
// the service is not offered.
[[nodiscard]] double UsableUpstreams(
    const std::unordered_map<ServiceId, ServiceOffer>& offers,
    const ServiceId& service) {
  const auto offer = offers.find(service);
  return offer == offers.end() ? 0 : offer->second.usable;
}

[[nodiscard]] bool CanRegionServe(const Gateway& gateway,
                                  const RegionId& region,
                                  const ServiceId& service, TimePoint now) {
  const RegionOffers* fresh_offers = FreshOffers(gateway, region, now);
  if (fresh_offers == nullptr) {
    return true;  // Without fresh offers the region is assumed to serve it.
  }
  const auto offer = fresh_offers->services.find(service);
  return offer != fresh_offers->services.end() && offer->second.usable > 0;
}

// Returns the region that caches the shared parts of the request's prompt, out
// of the regions that may serve the request now. Returns an empty id if the
// prompt has no shared part or no region is known.
[[nodiscard]] RegionId CachingRegionOf(const Gateway& gateway,
                                       const RequestRecord& record,
                                       TimePoint now) {
  const PromptPart* part = MostSpecificSharedPart(record.arrival.head->prompt);
  if (part == nullptr) {
    return {};
  }
  const ServiceId& service = record.verdict.service;
  std::vector<RegionCapacity> regions;
  if (AllowsRegion(record.verdict, gateway.config.region)) {
    regions.push_back(
        {gateway.config.region, UsableUpstreams(gateway.own_offers, service)});
  }
  for (const auto& [region, offers] : gateway.offers) {
    const RegionOffers* fresh = FreshOffers(gateway, region, now);
    if (fresh != nullptr && AllowsRegion(record.verdict, region)) {
      regions.push_back({region, UsableUpstreams(fresh->services, service)});
    }
  }
  return CacheRegionForPart(part->id, regions);
}

// Returns the number of prompt tokens that the region would have to read: those
// outside the shared parts if it caches these, else all.
[[nodiscard]] double PromptTokensToRead(const RegionId& region,
                                        const RegionId& caching_region,
                                        const Prompt& prompt) {
  const std::uint32_t cached_tokens =
      region == caching_region
          ? std::min(SharedTokens(prompt), prompt.tokens_in)
          : 0;
  return prompt.tokens_in - cached_tokens;
}

}  // namespace

RemoteChoice ChooseRemote(Gateway& gateway, const RequestRecord& record,
                          TimePoint now) {
  const RegionId caching_region = CachingRegionOf(gateway, record, now);
  std::vector<RemoteChoice> candidates;
  Duration best = Duration::max();
  for (const PeerState& peer : gateway.peers) {
    const bool eligible = !IsInOwnRegion(gateway, peer) && peer.up &&
                          !peer.only_for_allowances &&
                          IsPeerAllowed(record, peer.config) &&
                          CanRegionServe(gateway, peer.config.region,
                                         record.verdict.service, now);
    if (!eligible) {
      continue;
    }
    const double tokens = PromptTokensToRead(peer.config.region, caching_region,
                                             record.arrival.head->prompt);
    candidates.push_back({&peer.config,
                          ExpectationAt(gateway, peer, record, tokens, now),
                          tokens, peer.config.region == caching_region});
    best = std::min(best, candidates.back().expected.start);
  }
  std::erase_if(candidates, [best](const RemoteChoice& choice) {
    return choice.expected.start > best + kTieMargin;
  });
  if (candidates.empty()) {
    return {};
  }
  std::uniform_int_distribution<std::size_t> pick(0, candidates.size() - 1);
  return candidates[pick(gateway.random)];
}

// Example: a plain service has a few upstreams in each region, and one region
// is at its peak. The offers of the other regions are older than a request
// takes. If all instances sent their requests to the least loaded region, they
// would overload one region after another. With a random choice only a part of
// the requests goes there, and the part grows with the difference in load.
RemoteChoice SampleRegionByLatency(Gateway& gateway,
                                   const RequestRecord& record,
                                   const UpstreamChoice& local, TimePoint now) {
  if (local.expected.start < kIdleStart || !IsForwardingAllowed(record)) {
    return {};
  }
  const RemoteChoice remote = ChooseRemote(gateway, record, now);
  if (remote.peer == nullptr) {
    return {};
  }
  const Duration service = local.expected.end - local.expected.start;
  const std::chrono::duration<double> local_time = local.expected.end;
  const std::chrono::duration<double> remote_time =
      remote.expected.start + service;
  const double odds = std::pow(local_time / remote_time, kDrawExponent);
  const bool use_remote = std::uniform_real_distribution<double>()(
                              gateway.random) < odds / (1 + odds);
  return use_remote ? remote : RemoteChoice{};
}

RemoteChoice ChooseCachingRegion(Gateway& gateway, const RequestRecord& record,
                                 const UpstreamChoice& local, TimePoint now) {
  if (local.part_cached || !IsForwardingAllowed(record)) {
    return {};
  }
  const RemoteChoice remote = ChooseRemote(gateway, record, now);
  if (remote.peer == nullptr || !remote.part_cached) {
    return {};
  }
  const EngineSpeeds& speeds = gateway.upstreams.speeds;
  const bool cheaper =
      PlacementCost(remote.expected, remote.prompt_tokens, speeds) <
      PlacementCost(local.expected, local.prompt_tokens, speeds);
  return cheaper ? remote : RemoteChoice{};
}

}  // namespace mimosagauge::detail
