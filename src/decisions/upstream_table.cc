// State of upstreams, and the choice of an upstream for a request.

#include "mimosagauge/impl/decisions/upstream_table.h"

#include <algorithm>
#include <cstdint>

#include "mimosagauge/impl/decisions/rendezvous.h"

namespace mimosagauge {
namespace {

// Calls `visit` with each upstream that offers the service and model, until
// `visit` returns true.
// \returns Whether `visit` returned true.
template <typename Visit>
bool AnyUpstreamOffering(const UpstreamTable& table, const UpstreamNeed& need,
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

// Whether the request has already been sent to this upstream.
[[nodiscard]] bool WasTried(const UpstreamNeed& need, const RegionId& region,
                            const UpstreamId& id) {
  return std::any_of(
      need.avoid.begin(), need.avoid.end(), [&](const Place& place) {
        return place.region == region && place.name == id.value();
      });
}

// Whether the upstream can serve the request, apart from a temporary ejection,
// backoff or cold period.
[[nodiscard]] bool MeetsRequirements(const UpstreamState& upstream,
                                     const UpstreamNeed& need,
                                     const RegionId& region) {
  return !upstream.leaving && !upstream.evacuated &&
         (!need.resume || upstream.config.honours_resume) &&
         (need.software.empty() || need.software == upstream.config.software) &&
         !WasTried(need, region, upstream.config.id);
}

[[nodiscard]] bool IsUsableNow(const UpstreamState& upstream,
                               const UpstreamNeed& need, const RegionId& region,
                               TimePoint now) {
  return IsEligible(upstream.health, now) &&
         AllowsRequest(upstream.rate, now) &&
         MeetsRequirements(upstream, need, region);
}

// Compares a.in_flight / a.limit with b.in_flight / b.limit.
[[nodiscard]] bool LessLoaded(const UpstreamState& a, const UpstreamState& b) {
  return a.in_flight * b.limit < b.in_flight * a.limit;
}

// Compares two upstreams of equal cost: the less loaded one is preferred, then
// the one in this availability zone.
[[nodiscard]] bool IsLessLoadedOrNearer(const UpstreamState& a,
                                        const UpstreamState& b,
                                        const ZoneId& zone) {
  const bool a_in_zone = a.config.zone == zone;
  const bool b_in_zone = b.config.zone == zone;
  if (LessLoaded(a, b) || LessLoaded(b, a)) {
    return LessLoaded(a, b);
  }
  return a_in_zone && !b_in_zone;
}

// Whether the upstream can receive requests at all; the requirements of a
// particular request are not checked.
[[nodiscard]] bool AcceptsRequests(const UpstreamState& upstream,
                                   TimePoint now) {
  return !upstream.leaving && !upstream.evacuated &&
         IsEligible(upstream.health, now) && !IsRateLimited(upstream.rate, now);
}

// A usable upstream with its cost for the request.
struct Candidate {
  const UpstreamState* upstream = nullptr;
  LatencyEstimate expected;
  Duration cost{};                             // See `PlacementCost`.
  const UpstreamState* copy_source = nullptr;  // Engine to copy shared parts
                                               // from; null when the upstream
                                               // prefills them.
  double prompt_tokens = 0;
};

// Weight of the prefill time in the cost, in addition to the time of this
// request: prefill delays the other requests in the batch and evicts cached
// parts that they could use.
constexpr double kPrefillCostFactor = 2;
// Fraction of the shared parts that is assumed to be cached on the upstream
// that all instances prefer for them, because another instance has probably
// sent them there.
constexpr double kAssumedCachedFraction = 0.5;

// Tokens of the prompt's tracked shared parts that are not cached, where
// `uncached` of all its tokens are not.
[[nodiscard]] std::uint32_t MissingSharedTokens(const Prompt& prompt,
                                                std::uint32_t uncached) {
  const std::uint32_t own_tokens =
      prompt.tokens_in - std::min(prompt.tokens_in, SharedTokens(prompt));
  return uncached - std::min(uncached, own_tokens);
}

// Whether the upstream has all shared parts of the prompt in its cache. False
// for a prompt without such parts.
[[nodiscard]] bool HasSharedPartsCached(const UpstreamState& upstream,
                                        const Prompt& prompt) {
  return MostSpecificSharedPart(prompt) != nullptr &&
         MissingSharedTokens(prompt, UncachedTokens(upstream.cache, prompt)) ==
             0;
}

[[nodiscard]] LatencyQuery LoadQuestionFor(const UpstreamTable& table,
                                           const UpstreamState& upstream,
                                           TimePoint now) {
  LatencyQuery question;
  question.slowdown =
      ExpectedSlowdown(upstream.pace, table.pace_persistence, now);
  question.engine = upstream.kind == UpstreamKind::kEngine;
  question.in_flight = upstream.in_flight;
  question.slots = upstream.config.concurrency;
  return question;
}

// An engine that has all shared parts of the prompt in its cache, from which
// other engines can copy them; null when there is none.
[[nodiscard]] const UpstreamState* FindCopySource(const UpstreamTable& table,
                                                  const UpstreamNeed& need,
                                                  TimePoint now) {
  if (need.prompt == nullptr ||
      MostSpecificSharedPart(*need.prompt) == nullptr) {
    return nullptr;
  }
  const UpstreamState* copy_source = nullptr;
  AnyUpstreamOffering(table, need, [&](const UpstreamState& upstream) {
    const bool is_cached = AcceptsRequests(upstream, now) &&
                           HasSharedPartsCached(upstream, *need.prompt);
    copy_source = is_cached ? &upstream : nullptr;
    return is_cached;
  });
  return copy_source;
}

// Time to copy `tokens` of KV cache, expressed as the number of prompt tokens
// that the engine could prefill in that time. Empty when the upstream cannot
// copy, or when copying is not faster than prefill.
[[nodiscard]] std::optional<double> CopyCostInTokens(
    const UpstreamTable& table, const UpstreamState& upstream, double tokens) {
  const double cost =
      tokens * upstream.copy_ms_per_token * table.speeds.prompt_tokens_per_ms;
  const bool faster = upstream.copy_ms_per_token > 0 && cost < tokens;
  return faster ? std::optional(cost) : std::nullopt;
}

[[nodiscard]] Candidate EvaluateCandidate(const UpstreamTable& table,
                                          const UpstreamState& upstream,
                                          const UpstreamNeed& need,
                                          bool preferred,
                                          const UpstreamState* copy_source,
                                          TimePoint now) {
  Candidate candidate;
  candidate.upstream = &upstream;
  LatencyQuery question = LoadQuestionFor(table, upstream, now);
  if (question.engine && need.prompt != nullptr) {
    const std::uint32_t uncached = UncachedTokens(upstream.cache, *need.prompt);
    const std::uint32_t missing = MissingSharedTokens(*need.prompt, uncached);
    question.prompt_tokens =
        uncached - (preferred ? kAssumedCachedFraction * missing : 0);
    question.output_tokens = need.prompt->tokens_out;
    if (missing > 0 && copy_source != nullptr && copy_source != &upstream) {
      if (const auto copy_cost = CopyCostInTokens(table, upstream, missing)) {
        question.prompt_tokens = uncached - missing + *copy_cost;
        candidate.copy_source = copy_source;
      }
    }
  }
  candidate.prompt_tokens = question.prompt_tokens;
  candidate.expected = Expect(upstream.load, question, table.speeds, now);
  candidate.cost =
      PlacementCost(candidate.expected, question.prompt_tokens, table.speeds);
  return candidate;
}

// Whether the attempts of all instances at the upstream are below its limit.
[[nodiscard]] bool IsBelowLimit(const UpstreamState& upstream, TimePoint now) {
  return upstream.in_flight +
             LoadOfOtherInstances(upstream.load,
                                  upstream.kind == UpstreamKind::kEngine, now)
                 .in_flight <
         upstream.limit;
}

// Whether the upstream can run another request at once and at full speed, as
// far as its last report and the digests of the other instances show.
[[nodiscard]] bool HasSpareSlot(const UpstreamState& upstream, TimePoint now) {
  const LoadReport& report = upstream.load.report;
  const bool reports_full =
      HasRecentReport(upstream.load, now) &&
      (report.waiting > 0 ||
       (report.slots > 0 && report.running >= report.slots));
  const std::size_t others =
      LoadOfOtherInstances(upstream.load,
                           upstream.kind == UpstreamKind::kEngine, now)
          .in_flight;
  return !reports_full && !IsRateLimited(upstream.rate, now) &&
         upstream.in_flight + others < upstream.config.concurrency;
}

// The upstream that every instance prefers for the most specific shared part of
// a prompt, by rendezvous hashing; null when the prompt has no such part.
[[nodiscard]] const UpstreamState* FindPreferred(
    const std::vector<const UpstreamState*>& usable, const Prompt* prompt) {
  const PromptPart* part = prompt ? MostSpecificSharedPart(*prompt) : nullptr;
  if (part == nullptr) {
    return nullptr;
  }
  const auto weight = [part](const UpstreamState* upstream) {
    return RendezvousWeight(part->id, upstream->config.id.value());
  };
  return *std::max_element(
      usable.begin(), usable.end(),
      [&weight](const UpstreamState* a, const UpstreamState* b) {
        return weight(a) < weight(b);
      });
}

// Whether candidate `a` is preferred to candidate `b`. Candidates whose costs
// differ by no more than the tolerance of the request are compared by
// rendezvous weight, or by load and availability zone when the tolerance is
// zero.
[[nodiscard]] bool IsPreferredTo(const Candidate& a, const Candidate& b,
                                 const UpstreamNeed& need, const ZoneId& zone) {
  const Duration difference =
      a.cost > b.cost ? a.cost - b.cost : b.cost - a.cost;
  if (difference > need.spread) {
    return a.cost < b.cost;
  }
  if (need.balance || need.spread == Duration::zero()) {
    return IsLessLoadedOrNearer(*a.upstream, *b.upstream, zone);
  }
  return RendezvousWeight(need.draw, a.upstream->config.id.value()) >
         RendezvousWeight(need.draw, b.upstream->config.id.value());
}

// Rebuilds all indexes from `table.upstreams`.
void RebuildIndex(UpstreamTable& table) {
  table.index.clear();
  table.index_by_hash.clear();
  table.services.clear();
  for (std::size_t position = 0; position < table.upstreams.size();
       ++position) {
    const UpstreamConfig& config = table.upstreams[position].config;
    table.index.emplace(config.id, position);
    table.index_by_hash.emplace(HashUpstreamId(config.id), position);
    ServiceUpstreams& service = table.services[config.service];
    service.all.push_back(position);
    for (const ModelId& model : config.models) {
      service.by_model[model].push_back(position);
    }
    if (config.models.empty()) {
      service.without_models.push_back(position);
    }
  }
}

void DecrementIfPositive(std::size_t& count) { count -= count > 0 ? 1 : 0; }

// Whether the upstream may be ejected: ejections never cover more than half of
// a service's upstreams.
[[nodiscard]] bool IsEjectionAllowed(const UpstreamTable& table,
                                     const UpstreamState& candidate,
                                     TimePoint now) {
  std::size_t all = 0;
  std::size_t ejected = 0;
  for (const std::size_t position :
       table.services.at(candidate.config.service).all) {
    ++all;
    ejected += table.upstreams[position].health.ejected_until > now ? 1 : 0;
  }
  return (ejected + 1) * 2 <= all;
}

// \returns Whether the upstream was ejected.
bool EjectIfNeeded(const UpstreamTable& table, UpstreamState& upstream,
                   TimePoint now) {
  if (!ShouldEject(upstream.health, now) ||
      !IsEjectionAllowed(table, upstream, now)) {
    return false;
  }
  Eject(upstream.health, now);
  return true;
}

}  // namespace

UpstreamTable MakeUpstreamTable(const std::vector<UpstreamConfig>& configs) {
  UpstreamTable table;
  for (const UpstreamConfig& config : configs) {
    UpstreamState state;
    state.config = config;
    state.limit = std::max<std::size_t>(1, config.concurrency);
    table.upstreams.push_back(std::move(state));
  }
  RebuildIndex(table);
  return table;
}

UpstreamState* FindUpstream(UpstreamTable& table,
                            const UpstreamId& id) noexcept {
  const auto found = table.index.find(id);
  return found == table.index.end() ? nullptr : &table.upstreams[found->second];
}

UpstreamState* FindUpstream(UpstreamTable& table, UpstreamHash hash) noexcept {
  const auto found = table.index_by_hash.find(hash);
  return found == table.index_by_hash.end() ? nullptr
                                            : &table.upstreams[found->second];
}

std::optional<UpstreamChoice> ChooseUpstream(const UpstreamTable& table,
                                             const UpstreamNeed& need,
                                             const ZoneId& zone,
                                             const RegionId& region,
                                             TimePoint now) {
  std::vector<const UpstreamState*> usable;
  AnyUpstreamOffering(table, need, [&](const UpstreamState& upstream) {
    if (IsBelowLimit(upstream, now) &&
        IsUsableNow(upstream, need, region, now) &&
        (!need.only_spare || HasSpareSlot(upstream, now))) {
      usable.push_back(&upstream);
    }
    return false;
  });
  if (usable.empty()) {
    return std::nullopt;
  }
  const UpstreamState* preferred = FindPreferred(usable, need.prompt);
  const UpstreamState* copy_source = FindCopySource(table, need, now);
  std::optional<Candidate> best;
  for (const UpstreamState* upstream : usable) {
    const Candidate candidate = EvaluateCandidate(
        table, *upstream, need, upstream == preferred, copy_source, now);
    if (!best || IsPreferredTo(candidate, *best, need, zone)) {
      best = candidate;
    }
  }
  UpstreamChoice choice;
  choice.id = best->upstream->config.id;
  choice.expected = best->expected;
  choice.prompt_tokens = best->prompt_tokens;
  choice.part_cached = best->copy_source != nullptr ||
                       (need.prompt != nullptr &&
                        HasSharedPartsCached(*best->upstream, *need.prompt));
  if (best->copy_source != nullptr) {
    choice.cache_source = best->copy_source->config.endpoint;
  }
  return choice;
}

Duration PlacementCost(const LatencyEstimate& expected, double prompt_tokens,
                       const EngineSpeeds& speeds) {
  return expected.start +
         PrefillTime(prompt_tokens * kPrefillCostFactor, speeds);
}

void UpdateUpstream(UpstreamTable& table, const UpstreamRecord& record,
                    const UpstreamParameters& terms, TimePoint now) {
  UpstreamState* state = FindUpstream(table, record.config.id);
  if (state == nullptr) {
    table.upstreams.emplace_back().config.id = record.config.id;
    state = &table.upstreams.back();
  }
  const bool index_unchanged = state->config.service == record.config.service &&
                               state->config.models == record.config.models;
  const bool restarted =
      state->config.incarnation != record.config.incarnation ||
      state->config.endpoint != record.config.endpoint;
  if (restarted) {
    state->leaving = false;
    state->health = UpstreamHealth{};
    state->load = EngineLoad{};
    state->pace = MachinePace{};
    state->rate.named = {};
    state->rate.cold_stated_until = {};
    Clear(state->cache);
  }
  state->config = record.config;
  state->kind = terms.kind;
  state->limit = std::max<std::size_t>(1, terms.limit);
  state->cache.capacity = terms.cache_capacity;
  state->copy_ms_per_token = terms.copy_ms_per_token;
  state->leaving = state->leaving || record.leaving;
  state->rate.cold_rate = terms.cold_rate;
  RecordColdStatement(state->rate, record.cold_remaining, now);
  // Most records change only the state of an upstream, which needs no new
  // index.
  if (!index_unchanged) {
    RebuildIndex(table);
  }
}

bool EraseUpstream(UpstreamTable& table, const UpstreamId& id) {
  const auto erased =
      std::erase_if(table.upstreams, [&id](const UpstreamState& upstream) {
        return upstream.config.id == id;
      });
  if (erased > 0) {
    RebuildIndex(table);
  }
  return erased > 0;
}

void Evacuate(UpstreamTable& table, const ZoneId& zone, bool on) {
  for (UpstreamState& upstream : table.upstreams) {
    if (upstream.config.zone == zone) {
      upstream.evacuated = on;
    }
  }
}

double EngineCapacity(const UpstreamTable& table, const ServiceId& service,
                      TimePoint now) {
  const auto found = table.services.find(service);
  if (found == table.services.end()) {
    return 0;
  }
  double capacity = 0;
  for (const std::size_t position : found->second.all) {
    const UpstreamState& upstream = table.upstreams[position];
    capacity += AcceptsRequests(upstream, now) ? 1 / upstream.load.slowness : 0;
  }
  return capacity;
}

ServiceOffer MakeServiceOffer(const UpstreamTable& table,
                              const ServiceId& service, TimePoint now) {
  ServiceOffer offer;
  offer.service = service;
  const auto found = table.services.find(service);
  if (found == table.services.end()) {
    return offer;
  }
  for (const std::size_t position : found->second.all) {
    const UpstreamState& upstream = table.upstreams[position];
    if (!AcceptsRequests(upstream, now) || !IsBelowLimit(upstream, now)) {
      continue;
    }
    const LatencyEstimate expected =
        Expect(upstream.load, LoadQuestionFor(table, upstream, now),
               table.speeds, now);
    const bool is_first = offer.usable++ == 0;
    offer.start =
        is_first ? expected.start : std::min(offer.start, expected.start);
    offer.reading += expected.reading;
  }
  offer.reading /= std::max<std::uint32_t>(1, offer.usable);
  return offer;
}

bool CanServe(const UpstreamTable& table, const UpstreamNeed& need,
              const RegionId& region, TimePoint now) {
  return AnyUpstreamOffering(table, need, [&](const UpstreamState& upstream) {
    return IsUsableNow(upstream, need, region, now);
  });
}

bool CanEventuallyServe(const UpstreamTable& table, const UpstreamNeed& need,
                        const RegionId& region, Duration longest_wait,
                        TimePoint now) {
  return AnyUpstreamOffering(table, need, [&](const UpstreamState& upstream) {
    const bool within_limit = !upstream.rate.named.requests_per_second ||
                              TimeToRequest(upstream.rate, now) <= longest_wait;
    const bool is_back = upstream.health.paused_until <= now + longest_wait;
    return within_limit && is_back && MeetsRequirements(upstream, need, region);
  });
}

std::optional<Duration> TimeToFirstPauseEnd(const UpstreamTable& table,
                                            const UpstreamNeed& need,
                                            const RegionId& region,
                                            TimePoint now) {
  std::optional<Duration> first;
  AnyUpstreamOffering(table, need, [&](const UpstreamState& upstream) {
    const Duration left = upstream.health.paused_until - now;
    if (left > Duration::zero() && MeetsRequirements(upstream, need, region)) {
      first = first ? std::min(*first, left) : left;
    }
    return false;
  });
  return first;
}

void CountAttemptStart(UpstreamTable& table, const UpstreamId& id) {
  if (UpstreamState* upstream = FindUpstream(table, id)) {
    ++upstream->in_flight;
  }
}

void CountAttemptAnswered(UpstreamTable& table, const UpstreamId& id,
                          TimePoint now) {
  UpstreamState* upstream = FindUpstream(table, id);
  if (upstream == nullptr) {
    return;
  }
  DecrementIfPositive(upstream->in_flight);
  CountResponse(upstream->health, now);
}

void CountAttemptCanceled(UpstreamTable& table, const UpstreamId& id) {
  if (UpstreamState* upstream = FindUpstream(table, id)) {
    DecrementIfPositive(upstream->in_flight);
  }
}

bool CountAttemptFailed(UpstreamTable& table, const UpstreamId& id,
                        UpstreamFailure failure, TimePoint now) {
  UpstreamState* upstream = FindUpstream(table, id);
  if (upstream == nullptr) {
    return false;
  }
  DecrementIfPositive(upstream->in_flight);
  CountFailure(upstream->health, failure, now);
  return EjectIfNeeded(table, *upstream, now);
}

void CountAttemptRefused(UpstreamTable& table, const UpstreamId& id,
                         TimePoint now) {
  if (UpstreamState* upstream = FindUpstream(table, id)) {
    DecrementIfPositive(upstream->in_flight);
    StartOverloadBackoff(upstream->health, upstream->load.service_time, now);
  }
}

bool CountPeerOutcomesAndEject(UpstreamTable& table, UpstreamState& upstream,
                               const UnreportedOutcomes& outcomes,
                               TimePoint now) {
  AddPeerOutcomes(upstream.health, outcomes, now);
  return EjectIfNeeded(table, upstream, now);
}

}  // namespace mimosagauge
