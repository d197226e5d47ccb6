// The choice among regions: which would serve a request soonest, and which
// keeps the shared part of its prompt.

#include <algorithm>
#include <chrono>
#include <cmath>
#include <random>
#include <vector>

#include "mimosagauge/impl/decisions/gateway_detail.h"
#include "mimosagauge/impl/decisions/part_home.h"

namespace mimosagauge::detail {
namespace {

// An offer says nothing after this long.
constexpr Duration kOfferLife = std::chrono::seconds(2);
// There and back between regions, with what the other instance adds.
constexpr Duration kHop = std::chrono::milliseconds(130);
// An instance that has told nothing yet is taken for this busy.
constexpr Duration kUntoldStart = std::chrono::milliseconds(300);
// A plain service that answers this soon has nothing to spare others.
constexpr Duration kIdleStart = std::chrono::milliseconds(20);
// At 4 an idle upstream here is left for one across the hop once in a hundred
// times, and one that takes half as long again six times in seven.
constexpr double kSteepness = 4;
// Choices this close to the best are left to chance, so that instances do not
// all choose the same one.
constexpr Duration kNearlyBest = std::chrono::milliseconds(20);

[[nodiscard]] const RegionOffers* FreshOffers(const Gateway& gateway,
                                              const RegionId& region,
                                              TimePoint now) {
  const auto found = gateway.offers.find(region);
  const bool fresh = found != gateway.offers.end() &&
                     now - found->second.told_at <= kOfferLife;
  return fresh ? &found->second : nullptr;
}

// What a request would find at another region's instance.
[[nodiscard]] Expectation ExpectAt(const Gateway& gateway,
                                   const PeerState& peer,
                                   const RequestRecord& record,
                                   double prompt_tokens, TimePoint now) {
  Expectation expected;
  expected.start = kHop + kUntoldStart;
  if (const RegionOffers* told =
          FreshOffers(gateway, peer.config.region, now)) {
    const auto offer = told->services.find(record.verdict.service);
    if (offer != told->services.end()) {
      expected.start = kHop + offer->second.start;
      expected.reading = offer->second.reading;
    }
  }
  const Prompt& prompt = record.arrival.head->prompt;
  LoadQuestion question;
  question.engine = prompt.tokens_in > 0;
  question.prompt_tokens = prompt_tokens;
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

// Upstreams of the service that other regions' instances say may get work.
[[nodiscard]] double CapacityOf(
    const std::unordered_map<ServiceId, ServiceOffer>& offers,
    const ServiceId& service) {
  const auto offer = offers.find(service);
  return offer == offers.end() ? 0 : offer->second.usable;
}

[[nodiscard]] bool Serves(const Gateway& gateway, const RegionId& region,
                          const ServiceId& service, TimePoint now) {
  const RegionOffers* told = FreshOffers(gateway, region, now);
  if (told == nullptr) {
    return true;  // Nothing is known against it.
  }
  const auto offer = told->services.find(service);
  return offer != told->services.end() && offer->second.usable > 0;
}

// Of the regions that may serve the request now; empty: it shares no part, or
// nothing is known of any region.
[[nodiscard]] RegionId KeepingRegionOf(const Gateway& gateway,
                                       const RequestRecord& record,
                                       TimePoint now) {
  const PromptPart* part = LeadingPart(record.arrival.head->prompt);
  if (part == nullptr) {
    return {};
  }
  const ServiceId& service = record.verdict.service;
  std::vector<RegionCapacity> regions;
  if (AllowsRegion(record.verdict, gateway.config.region)) {
    regions.push_back(
        {gateway.config.region, CapacityOf(gateway.own_offers, service)});
  }
  for (const auto& [region, offers] : gateway.offers) {
    const RegionOffers* fresh = FreshOffers(gateway, region, now);
    if (fresh != nullptr && AllowsRegion(record.verdict, region)) {
      regions.push_back({region, CapacityOf(fresh->services, service)});
    }
  }
  return KeepingRegion(part->id, regions);
}

// Tokens that a region would have to read: where the part is kept, only what
// follows it.
[[nodiscard]] double TokensAt(const RegionId& region, const RegionId& keeper,
                              const Prompt& prompt) {
  const PromptPart* part = LeadingPart(prompt);
  const bool kept = part != nullptr && region == keeper;
  const std::uint32_t spared =
      kept ? std::min(part->tokens, prompt.tokens_in) : 0;
  return prompt.tokens_in - spared;
}

}  // namespace

RemoteChoice ChooseRemote(Gateway& gateway, const RequestRecord& record,
                          TimePoint now) {
  const RegionId keeper = KeepingRegionOf(gateway, record, now);
  std::vector<RemoteChoice> candidates;
  Duration best = Duration::max();
  for (const PeerState& peer : gateway.peers) {
    const bool may =
        !IsNear(gateway, peer) && peer.up && MayGoTo(record, peer.config) &&
        Serves(gateway, peer.config.region, record.verdict.service, now);
    if (!may) {
      continue;
    }
    const double tokens =
        TokensAt(peer.config.region, keeper, record.arrival.head->prompt);
    candidates.push_back({&peer.config,
                          ExpectAt(gateway, peer, record, tokens, now), tokens,
                          peer.config.region == keeper});
    best = std::min(best, candidates.back().expected.start);
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

// Pattern: a plain service with a few upstreams in each region, one region at
// its peak. What is known of the others' load is older than a request takes, so
// instances that all went where it was least would take turns at overloading
// each region. A draw lets part of them go, the more the greater the
// difference.
RemoteChoice DrawRegion(Gateway& gateway, const RequestRecord& record,
                        const UpstreamChoice& local, TimePoint now) {
  if (local.expected.start < kIdleStart || !MayForward(record)) {
    return {};
  }
  const RemoteChoice remote = ChooseRemote(gateway, record, now);
  if (remote.peer == nullptr) {
    return {};
  }
  const Duration service = local.expected.end - local.expected.start;
  const std::chrono::duration<double> here = local.expected.end;
  const std::chrono::duration<double> there = remote.expected.start + service;
  const double odds = std::pow(here / there, kSteepness);
  const bool goes = std::uniform_real_distribution<double>()(gateway.random) <
                    odds / (1 + odds);
  return goes ? remote : RemoteChoice{};
}

RemoteChoice ChooseKeeper(Gateway& gateway, const RequestRecord& record,
                          const UpstreamChoice& local, TimePoint now) {
  if (local.keeps_part || !MayForward(record)) {
    return {};
  }
  const RemoteChoice remote = ChooseRemote(gateway, record, now);
  if (remote.peer == nullptr || !remote.keeps_part) {
    return {};
  }
  const EngineSpeeds& speeds = gateway.upstreams.speeds;
  const bool cheaper =
      PlacementCost(remote.expected, remote.prompt_tokens, speeds) <
      PlacementCost(local.expected, local.prompt_tokens, speeds);
  return cheaper ? remote : RemoteChoice{};
}

}  // namespace mimosagauge::detail
