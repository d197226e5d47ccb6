// Bookkeeping of upstreams and the choice among them.

#include "mimosagauge/impl/decisions/upstream_table.h"

#include <algorithm>
#include <cstdint>

#include "mimosagauge/impl/decisions/rendezvous.h"

namespace mimosagauge {
namespace {

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
  return !upstream.leaving && !upstream.evacuated &&
         (!need.resume || upstream.config.honours_resume) &&
         !Passed(need, region, upstream.config.id);
}

[[nodiscard]] bool Usable(const UpstreamState& upstream,
                          const UpstreamNeed& need, const RegionId& region,
                          TimePoint now) {
  return MayWork(upstream.health, now) && MayGetRequest(upstream.cold, now) &&
         Suits(upstream, need, region);
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

// Whether it serves requests of any kind; what it must offer is not looked at.
[[nodiscard]] bool Serves(const UpstreamState& upstream, TimePoint now) {
  return !upstream.leaving && !upstream.evacuated &&
         MayWork(upstream.health, now) && !IsCold(upstream.cold, now);
}

// One of the usable upstreams and how it compares.
struct Candidate {
  const UpstreamState* upstream = nullptr;
  Expectation expected;
  Duration cost{};  // The start, and what the choice costs others.
  const UpstreamState* keeper = nullptr;  // To copy from; null: it reads.
  double prompt_tokens = 0;
};

// What reading tokens anew costs beyond the time of this request: it holds up
// the others in the batch and pushes out what they could use.
constexpr double kReadingCost = 2;
// An upstream that others would choose for a prompt has probably read it.
constexpr double kPreferredDiscount = 0.5;

// Tokens of the prompt that the upstream would probably have to read.
[[nodiscard]] double ExpectedTokens(const UpstreamState& upstream,
                                    const Prompt& prompt, bool preferred) {
  const double whole = prompt.tokens_in;
  const double unread = TokensToRead(upstream.cache, prompt);
  const PromptPart* leading = LeadingPart(prompt);
  if (!preferred || leading == nullptr || unread < whole) {
    return unread;
  }
  return unread - kPreferredDiscount * std::min<double>(leading->tokens, whole);
}

[[nodiscard]] bool Keeps(const UpstreamState& upstream, const Prompt& prompt) {
  const PromptPart* part = LeadingPart(prompt);
  return part != nullptr && upstream.cache.index.count(part->id) != 0;
}

[[nodiscard]] LoadQuestion QuestionFor(const UpstreamState& upstream) {
  LoadQuestion question;
  question.engine = upstream.kind == UpstreamKind::kEngine;
  question.in_flight = upstream.in_flight;
  question.slots = upstream.config.concurrency;
  return question;
}

// An engine that may be asked for its copy of a part.
[[nodiscard]] const UpstreamState* KeeperOf(const UpstreamTable& table,
                                            const UpstreamNeed& need,
                                            TimePoint now) {
  const PromptPart* part = need.prompt ? LeadingPart(*need.prompt) : nullptr;
  const UpstreamState* keeper = nullptr;
  if (part != nullptr) {
    AnyOffering(table, need, [&](const UpstreamState& upstream) {
      const bool keeps = Serves(upstream, now) && Keeps(upstream, *need.prompt);
      keeper = keeps ? &upstream : nullptr;
      return keeps;
    });
  }
  return keeper;
}

// Tokens that a copy of the leading part takes the time of; none where it
// would take as long as reading.
[[nodiscard]] std::optional<double> CopyInTokens(const UpstreamTable& table,
                                                 const UpstreamState& upstream,
                                                 const PromptPart& part) {
  const double tokens = part.tokens * upstream.copy_ms_per_token *
                        table.speeds.prompt_tokens_per_ms;
  const bool faster = upstream.copy_ms_per_token > 0 && tokens < part.tokens;
  return faster ? std::optional(tokens) : std::nullopt;
}

[[nodiscard]] Candidate Weigh(const UpstreamTable& table,
                              const UpstreamState& upstream,
                              const UpstreamNeed& need, bool preferred,
                              const UpstreamState* keeper, TimePoint now) {
  Candidate candidate;
  candidate.upstream = &upstream;
  LoadQuestion question = QuestionFor(upstream);
  if (question.engine && need.prompt != nullptr) {
    question.prompt_tokens = ExpectedTokens(upstream, *need.prompt, preferred);
    question.output_tokens = need.prompt->tokens_out;
    const PromptPart* part = LeadingPart(*need.prompt);
    const bool missing = part != nullptr && !Keeps(upstream, *need.prompt);
    if (missing && keeper != nullptr && keeper != &upstream) {
      if (const auto copy = CopyInTokens(table, upstream, *part)) {
        question.prompt_tokens =
            need.prompt->tokens_in -
            std::min<double>(need.prompt->tokens_in, part->tokens) + *copy;
        candidate.keeper = keeper;
      }
    }
  }
  candidate.prompt_tokens = question.prompt_tokens;
  candidate.expected = Expect(upstream.load, question, table.speeds, now);
  candidate.cost =
      PlacementCost(candidate.expected, question.prompt_tokens, table.speeds);
  return candidate;
}

[[nodiscard]] bool HasRoom(const UpstreamState& upstream, TimePoint now) {
  return upstream.in_flight +
             Others(upstream.load, upstream.kind == UpstreamKind::kEngine, now)
                 .in_flight <
         upstream.limit;
}

// The upstream that every instance prefers for a prompt.
[[nodiscard]] const UpstreamState* Preferred(
    const std::vector<const UpstreamState*>& usable, const Prompt* prompt) {
  const PromptPart* leading = prompt ? LeadingPart(*prompt) : nullptr;
  if (leading == nullptr) {
    return nullptr;
  }
  const auto weight = [leading](const UpstreamState* upstream) {
    return RendezvousWeight(leading->id, upstream->config.id.value());
  };
  return *std::max_element(
      usable.begin(), usable.end(),
      [&weight](const UpstreamState* a, const UpstreamState* b) {
        return weight(a) < weight(b);
      });
}

[[nodiscard]] bool Beats(const Candidate& a, const Candidate& b,
                         const UpstreamNeed& need, const ZoneId& zone) {
  const Duration difference =
      a.cost > b.cost ? a.cost - b.cost : b.cost - a.cost;
  if (difference > need.spread) {
    return a.cost < b.cost;
  }
  if (need.spread == Duration::zero()) {
    return Better(*a.upstream, *b.upstream, zone);
  }
  return RendezvousWeight(need.draw, a.upstream->config.id.value()) >
         RendezvousWeight(need.draw, b.upstream->config.id.value());
}

void Reindex(UpstreamTable& table) {
  table.index.clear();
  table.marks.clear();
  table.services.clear();
  for (std::size_t position = 0; position < table.upstreams.size();
       ++position) {
    const UpstreamConfig& config = table.upstreams[position].config;
    table.index.emplace(config.id, position);
    table.marks.emplace(MarkOf(config.id), position);
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

void Decrement(std::size_t& count) { count -= count > 0 ? 1 : 0; }

// An ejection never takes the last half of a service's upstreams away.
[[nodiscard]] bool MayEject(const UpstreamTable& table,
                            const UpstreamState& candidate, TimePoint now) {
  std::size_t all = 0;
  std::size_t ejected = 0;
  for (const std::size_t position :
       table.services.at(candidate.config.service).all) {
    ++all;
    ejected += table.upstreams[position].health.ejected_until > now ? 1 : 0;
  }
  return (ejected + 1) * 2 <= all;
}

bool EjectIfDeserved(const UpstreamTable& table, UpstreamState& upstream,
                     TimePoint now) {
  if (!DeservesEjection(upstream.health, now) ||
      !MayEject(table, upstream, now)) {
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
  Reindex(table);
  return table;
}

UpstreamState* FindUpstream(UpstreamTable& table,
                            const UpstreamId& id) noexcept {
  const auto found = table.index.find(id);
  return found == table.index.end() ? nullptr : &table.upstreams[found->second];
}

UpstreamState* FindUpstream(UpstreamTable& table, UpstreamMark mark) noexcept {
  const auto found = table.marks.find(mark);
  return found == table.marks.end() ? nullptr : &table.upstreams[found->second];
}

std::optional<UpstreamChoice> ChooseUpstream(const UpstreamTable& table,
                                             const UpstreamNeed& need,
                                             const ZoneId& zone,
                                             const RegionId& region,
                                             TimePoint now) {
  std::vector<const UpstreamState*> usable;
  AnyOffering(table, need, [&](const UpstreamState& upstream) {
    if (HasRoom(upstream, now) && Usable(upstream, need, region, now)) {
      usable.push_back(&upstream);
    }
    return false;
  });
  if (usable.empty()) {
    return std::nullopt;
  }
  const UpstreamState* preferred = Preferred(usable, need.prompt);
  const UpstreamState* keeper = KeeperOf(table, need, now);
  std::optional<Candidate> best;
  for (const UpstreamState* upstream : usable) {
    const Candidate candidate =
        Weigh(table, *upstream, need, upstream == preferred, keeper, now);
    if (!best || Beats(candidate, *best, need, zone)) {
      best = candidate;
    }
  }
  UpstreamChoice choice;
  choice.id = best->upstream->config.id;
  choice.expected = best->expected;
  choice.prompt_tokens = best->prompt_tokens;
  choice.keeps_part =
      best->keeper != nullptr ||
      (need.prompt != nullptr && Keeps(*best->upstream, *need.prompt));
  if (best->keeper != nullptr) {
    choice.cache_source = best->keeper->config.endpoint;
  }
  return choice;
}

Duration PlacementCost(const Expectation& expected, double prompt_tokens,
                       const EngineSpeeds& speeds) {
  return expected.start + ReadingTime(prompt_tokens * kReadingCost, speeds);
}

void LearnUpstream(UpstreamTable& table, const UpstreamRecord& record,
                   const UpstreamTerms& terms, TimePoint now) {
  UpstreamState* known = FindUpstream(table, record.config.id);
  if (known == nullptr) {
    table.upstreams.emplace_back().config.id = record.config.id;
    known = &table.upstreams.back();
  }
  const bool same_offer = known->config.service == record.config.service &&
                          known->config.models == record.config.models;
  const bool restarted =
      known->config.incarnation != record.config.incarnation ||
      known->config.endpoint != record.config.endpoint;
  if (restarted) {
    known->leaving = false;
    known->health = UpstreamHealth{};
    known->load = EngineLoad{};
    Clear(known->cache);
  }
  known->config = record.config;
  known->kind = terms.kind;
  known->limit = std::max<std::size_t>(1, terms.limit);
  known->cache.capacity = terms.cache_capacity;
  known->copy_ms_per_token = terms.copy_ms_per_token;
  known->leaving = known->leaving || record.leaving;
  known->cold.rate = terms.cold_rate;
  LearnCold(known->cold, record.cold_left, now);
  // Most records repeat what is known but for its state.
  if (!same_offer) {
    Reindex(table);
  }
}

bool ForgetUpstream(UpstreamTable& table, const UpstreamId& id) {
  const auto erased =
      std::erase_if(table.upstreams, [&id](const UpstreamState& upstream) {
        return upstream.config.id == id;
      });
  if (erased > 0) {
    Reindex(table);
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

ServiceOffer OfferOf(const UpstreamTable& table, const ServiceId& service,
                     TimePoint now) {
  ServiceOffer offer;
  offer.service = service;
  const auto found = table.services.find(service);
  if (found == table.services.end()) {
    return offer;
  }
  for (const std::size_t position : found->second.all) {
    const UpstreamState& upstream = table.upstreams[position];
    if (!Serves(upstream, now) || !HasRoom(upstream, now)) {
      continue;
    }
    const Expectation expected =
        Expect(upstream.load, QuestionFor(upstream), table.speeds, now);
    const bool first = offer.usable++ == 0;
    offer.start =
        first ? expected.start : std::min(offer.start, expected.start);
    offer.reading += expected.reading;
  }
  offer.reading /= std::max<std::uint32_t>(1, offer.usable);
  return offer;
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

void EndWork(UpstreamTable& table, const UpstreamId& id, TimePoint now) {
  UpstreamState* upstream = FindUpstream(table, id);
  if (upstream == nullptr) {
    return;
  }
  Decrement(upstream->in_flight);
  CountAnswer(upstream->health, now);
}

void DropWork(UpstreamTable& table, const UpstreamId& id) {
  if (UpstreamState* upstream = FindUpstream(table, id)) {
    Decrement(upstream->in_flight);
  }
}

bool FailWork(UpstreamTable& table, const UpstreamId& id,
              UpstreamFailure failure, TimePoint now) {
  UpstreamState* upstream = FindUpstream(table, id);
  if (upstream == nullptr) {
    return false;
  }
  Decrement(upstream->in_flight);
  CountFailure(upstream->health, failure, now);
  return EjectIfDeserved(table, *upstream, now);
}

void RefuseWork(UpstreamTable& table, const UpstreamId& id, TimePoint now) {
  if (UpstreamState* upstream = FindUpstream(table, id)) {
    Decrement(upstream->in_flight);
    Rest(upstream->health, upstream->load.service_time, now);
  }
}

bool LearnOutcomes(UpstreamTable& table, UpstreamState& upstream,
                   const UntoldOutcomes& told, TimePoint now) {
  CountToldOutcomes(upstream.health, told, now);
  return EjectIfDeserved(table, upstream, now);
}

}  // namespace mimosagauge
