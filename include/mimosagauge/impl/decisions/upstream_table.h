// What is known of the upstreams of this region, and the choice among them.

#ifndef MIMOSAGAUGE_IMPL_DECISIONS_UPSTREAM_TABLE_H_
#define MIMOSAGAUGE_IMPL_DECISIONS_UPSTREAM_TABLE_H_

#include <cstddef>
#include <optional>
#include <unordered_map>
#include <vector>

#include "mimosagauge/impl/core/time.h"
#include "mimosagauge/impl/decisions/cold_start.h"
#include "mimosagauge/impl/decisions/config.h"
#include "mimosagauge/impl/decisions/engine_load.h"
#include "mimosagauge/impl/decisions/load_digest.h"
#include "mimosagauge/impl/decisions/prefix_cache.h"
#include "mimosagauge/impl/decisions/request.h"
#include "mimosagauge/impl/decisions/upstream_health.h"

namespace mimosagauge {

/// \brief One upstream as this instance sees it.
struct UpstreamState {
  UpstreamConfig config;
  std::size_t in_flight = 0;  ///< Own attempts running; at most the limit.
  std::size_t limit = 0;      ///< Own attempts it may run at once.
  bool leaving = false;       ///< Gets no new work.
  UpstreamHealth health;
  UpstreamKind kind = UpstreamKind::kPlain;
  bool evacuated = false;  ///< Its zone is to get nothing.
  ColdStart cold;
  EngineLoad load;
  PrefixCache cache;             ///< Of an engine.
  double copy_ms_per_token = 0;  ///< From another engine; zero: it cannot.
};

/// \brief The upstreams of one service, by what they offer.
struct ServiceUpstreams {
  std::vector<std::size_t> all;
  std::unordered_map<ModelId, std::vector<std::size_t>> by_model;
  std::vector<std::size_t> without_models;  ///< They take any request.
};

/// \brief All upstreams of this region.
struct UpstreamTable {
  EngineSpeeds speeds;
  std::vector<UpstreamState> upstreams;
  std::unordered_map<UpstreamId, std::size_t> index;    ///< Into `upstreams`.
  std::unordered_map<UpstreamMark, std::size_t> marks;  ///< The same.
  /// The upstreams of each service; positions in `upstreams`, rising.
  std::unordered_map<ServiceId, ServiceUpstreams> services;
};

/// \brief What an upstream must offer.
struct UpstreamNeed {
  ServiceId service;
  ModelId model;                   ///< Empty: any.
  bool resume = false;             ///< It has to continue a broken stream.
  std::vector<Place> avoid;        ///< Places that the request has passed.
  const Prompt* prompt = nullptr;  ///< Null: nothing is known of its size.
  std::uint64_t draw = 0;          ///< Tells equal upstreams apart.
  Duration spread{};  ///< Differences below it are left to the draw.
};

/// \brief Where a request would go, and what to expect of it.
struct UpstreamChoice {
  UpstreamId id;
  Expectation expected;
  double prompt_tokens = 0;  ///< That the upstream has to read.
  /// It or an engine it may copy from keeps the prompt's shared part.
  bool keeps_part = false;
  /// Another engine that keeps the prompt's leading part, where this one does
  /// not and a copy is faster than reading.
  std::optional<Endpoint> cache_source{};
};

/// \returns The table, with nothing in flight.
[[nodiscard]] UpstreamTable MakeUpstreamTable(
    const std::vector<UpstreamConfig>& configs);

/// \returns The upstream, or null.
[[nodiscard]] UpstreamState* FindUpstream(UpstreamTable& table,
                                          const UpstreamId& id) noexcept;

/// \returns The upstream, or null.
[[nodiscard]] UpstreamState* FindUpstream(UpstreamTable& table,
                                          UpstreamMark mark) noexcept;

/// \returns The upstream to use now; none when all that could serve are busy,
/// leaving, ejected or already passed.
[[nodiscard]] std::optional<UpstreamChoice> ChooseUpstream(
    const UpstreamTable& table, const UpstreamNeed& need, const ZoneId& zone,
    const RegionId& region, TimePoint now);

/// \returns What a choice costs the request and, by what the upstream then
/// reads, others.
[[nodiscard]] Duration PlacementCost(const Expectation& expected,
                                     double prompt_tokens,
                                     const EngineSpeeds& speeds);

/// \brief What an upstream says of itself, as the platform passes it on.
struct UpstreamRecord {
  UpstreamConfig config;
  bool leaving = false;
  Duration cold_left{};  ///< How much longer it is cold.
};

/// \brief What the table has to know to take in a record.
struct UpstreamTerms {
  UpstreamKind kind = UpstreamKind::kPlain;
  std::size_t limit = 1;             ///< Own attempts it may run at once.
  std::uint64_t cache_capacity = 0;  ///< Tokens of shared parts.
  double cold_rate = 0;  ///< Requests a second while cold; zero: any number.
  /// Milliseconds to copy one token of KV cache between two engines; zero:
  /// they do not.
  double copy_ms_per_token = 0;
};

/// \brief An upstream appeared or changed. A new start of it has lost what
/// the one before kept; the same start never stops leaving.
void LearnUpstream(UpstreamTable& table, const UpstreamRecord& record,
                   const UpstreamTerms& terms, TimePoint now);

/// \brief An upstream is gone.
/// \returns Whether it was known.
bool ForgetUpstream(UpstreamTable& table, const UpstreamId& id);

/// \brief A zone's upstreams are to get nothing, or may get work again.
void Evacuate(UpstreamTable& table, const ZoneId& zone, bool on);

/// \returns What the upstreams of the service could do for a short request.
[[nodiscard]] ServiceOffer OfferOf(const UpstreamTable& table,
                                   const ServiceId& service, TimePoint now);

/// \returns Whether an upstream can serve the need now or once it is free.
[[nodiscard]] bool CanServe(const UpstreamTable& table,
                            const UpstreamNeed& need, const RegionId& region,
                            TimePoint now);

/// \returns Whether an upstream can serve the need once its ejection is over.
[[nodiscard]] bool CanServeLater(const UpstreamTable& table,
                                 const UpstreamNeed& need,
                                 const RegionId& region);

/// \brief Counts an attempt that starts.
void BeginWork(UpstreamTable& table, const UpstreamId& id);
/// \brief Counts an attempt that is over, and that it came to an answer.
void EndWork(UpstreamTable& table, const UpstreamId& id, TimePoint now);
/// \brief Counts an attempt that was given up and says nothing about the
/// upstream.
void DropWork(UpstreamTable& table, const UpstreamId& id);
/// \brief Counts an attempt that failed; may eject the upstream for a while.
/// \returns Whether the upstream was ejected by it.
bool FailWork(UpstreamTable& table, const UpstreamId& id,
              UpstreamFailure failure, TimePoint now);
/// \brief Counts an attempt that the upstream refused because it is full.
void RefuseWork(UpstreamTable& table, const UpstreamId& id, TimePoint now);
/// \brief Another instance told how its attempts ended; may eject the upstream.
/// \returns Whether the upstream was ejected by it.
bool LearnOutcomes(UpstreamTable& table, UpstreamState& upstream,
                   const UntoldOutcomes& told, TimePoint now);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_UPSTREAM_TABLE_H_
