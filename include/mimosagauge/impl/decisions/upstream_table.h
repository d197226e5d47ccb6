// State of the upstreams of this region, and the choice of an upstream for a
// request.

#ifndef MIMOSAGAUGE_IMPL_DECISIONS_UPSTREAM_TABLE_H_
#define MIMOSAGAUGE_IMPL_DECISIONS_UPSTREAM_TABLE_H_

#include <cstddef>
#include <optional>
#include <unordered_map>
#include <vector>

#include "mimosagauge/impl/core/time.h"
#include "mimosagauge/impl/decisions/config.h"
#include "mimosagauge/impl/decisions/engine_load.h"
#include "mimosagauge/impl/decisions/load_digest.h"
#include "mimosagauge/impl/decisions/pace/machine_pace.h"
#include "mimosagauge/impl/decisions/prefix_cache.h"
#include "mimosagauge/impl/decisions/request.h"
#include "mimosagauge/impl/decisions/shared_rate.h"
#include "mimosagauge/impl/decisions/upstream_health.h"

namespace mimosagauge {

/// \brief State of one upstream, as this instance has recorded it.
struct UpstreamState {
  UpstreamConfig config;
  /// This instance's attempts in flight at the upstream; at most its limit.
  std::size_t in_flight = 0;
  /// Largest number of attempts in flight at the upstream, including the
  /// known attempts of other instances.
  std::size_t limit = 0;
  /// Whether the upstream is being shut down and receives no new requests.
  bool leaving = false;
  UpstreamHealth health;
  UpstreamKind kind = UpstreamKind::kPlain;
  /// Whether its availability zone is evacuated and receives no new requests.
  bool evacuated = false;
  SharedRate rate;
  EngineLoad load;
  MachinePace pace;
  /// Estimated content of the KV cache; empty for a plain service.
  PrefixCache cache;
  /// Milliseconds to copy one token of KV cache from another engine; zero means
  /// that it cannot copy.
  double copy_ms_per_token = 0;
};

/// \brief The upstreams of one service, by the models that they offer. All
/// numbers are positions in `UpstreamTable::upstreams`.
struct ServiceUpstreams {
  std::vector<std::size_t> all;
  std::unordered_map<ModelId, std::vector<std::size_t>> by_model;
  /// Upstreams that list no models and accept a request for any model.
  std::vector<std::size_t> without_models;
};

/// \brief All upstreams of this region.
struct UpstreamTable {
  EngineSpeeds speeds;
  PacePersistence pace_persistence;
  std::vector<UpstreamState> upstreams;
  /// Position of each upstream in `upstreams`, by its id.
  std::unordered_map<UpstreamId, std::size_t> index;
  /// Position of each upstream in `upstreams`, by the hash of its id.
  std::unordered_map<UpstreamHash, std::size_t> index_by_hash;
  /// The upstreams of each service; positions in `upstreams`, in ascending
  /// order.
  std::unordered_map<ServiceId, ServiceUpstreams> services;
};

/// \brief Requirements of a request on its upstream, and inputs to the choice
/// among the upstreams that meet them.
struct UpstreamNeed {
  ServiceId service;
  ModelId model;                   ///< Empty means any model.
  bool resume = false;             ///< Whether the upstream has to continue a
                                   ///< stream that broke off.
  std::vector<Place> avoid;        ///< Upstreams and instances that the request
                                   ///< has already been sent to.
  const Prompt* prompt = nullptr;  ///< Null when the size of the prompt is
                                   ///< unknown.
  /// Number that differs between attempts; it selects one of several upstreams
  /// of about equal cost.
  std::uint64_t draw = 0;
  /// Upstreams whose costs differ by no more than this are about equal. Zero
  /// means that only upstreams of the same cost are equal, and then load and
  /// availability zone decide instead of the number.
  Duration spread{};
  /// Whether load and availability zone also decide between upstreams that are
  /// about equal; for a table that contains the load of all instances.
  bool balance = false;
  /// Whether only upstreams qualify that have a free slot and no rate limit.
  bool only_spare = false;
  /// Version that began the stream to be continued; empty means any.
  SoftwareVersion software{};
};

/// \brief The upstream chosen for a request, with its latency estimate.
struct UpstreamChoice {
  UpstreamId id;
  LatencyEstimate expected;
  double prompt_tokens = 0;  ///< Prompt tokens that the upstream has to
                             ///< prefill.
  /// Whether the upstream, or an engine that it can copy from, has all shared
  /// parts of the prompt in its cache.
  bool part_cached = false;
  /// Another engine that has the prompt's shared parts in its cache; set only
  /// when the chosen engine does not have all of them and copying is faster
  /// than prefill.
  std::optional<Endpoint> cache_source{};
};

/// \returns A table of these upstreams, without requests in flight.
[[nodiscard]] UpstreamTable MakeUpstreamTable(
    const std::vector<UpstreamConfig>& configs);

/// \returns The upstream with this id, or null when the table does not contain
/// it. The pointer is valid until an upstream is added or removed.
[[nodiscard]] UpstreamState* FindUpstream(UpstreamTable& table,
                                          const UpstreamId& id) noexcept;

/// \returns The upstream whose id has this hash, or null when the table does
/// not contain it. The pointer is valid until an upstream is added or removed.
[[nodiscard]] UpstreamState* FindUpstream(UpstreamTable& table,
                                          UpstreamHash hash) noexcept;

/// \returns The upstream to send the request to now; empty when every upstream
/// that offers the service and model is busy, cold, shutting down, evacuated,
/// ejected, in backoff or already tried.
/// \param zone Availability zone of this instance, preferred among upstreams of
/// equal cost and load.
/// \param region Region of this instance.
[[nodiscard]] std::optional<UpstreamChoice> ChooseUpstream(
    const UpstreamTable& table, const UpstreamNeed& need, const ZoneId& zone,
    const RegionId& region, TimePoint now);

/// \returns The cost of sending a request to an upstream: the time until its
/// response begins, plus the delay that its prefill causes for other requests.
[[nodiscard]] Duration PlacementCost(const LatencyEstimate& expected,
                                     double prompt_tokens,
                                     const EngineSpeeds& speeds);

/// \brief State that an upstream has published in the platform's store.
struct UpstreamRecord {
  UpstreamConfig config;
  bool leaving = false;       ///< Whether it is being shut down.
  Duration cold_remaining{};  ///< Remaining time for which it is cold.
};

/// \brief Parameters of an upstream that its record does not contain.
struct UpstreamParameters {
  UpstreamKind kind = UpstreamKind::kPlain;
  std::size_t limit = 1;  ///< Largest number of attempts in flight at
                          ///< the upstream.
  std::uint64_t cache_capacity = 0;  ///< Tokens of shared prompt parts that fit
                                     ///< into its KV cache.
  double cold_rate = 0;  ///< Requests per second that it can handle while cold;
                         ///< zero means that the rate is not limited.
  /// Milliseconds to copy one token of KV cache between two engines; zero means
  /// that they cannot copy.
  double copy_ms_per_token = 0;
};

/// \brief Adds an upstream, or updates it from a newer record. When the
/// upstream has restarted (its incarnation or endpoint has changed), its
/// health, load and cached prompt parts are reset. Without a restart, an
/// upstream that is shutting down stays so.
void UpdateUpstream(UpstreamTable& table, const UpstreamRecord& record,
                    const UpstreamParameters& terms, TimePoint now);

/// \brief Removes an upstream.
/// \returns Whether the table contained it.
bool EraseUpstream(UpstreamTable& table, const UpstreamId& id);

/// \brief Starts (`on`) or ends the evacuation of an availability zone, during
/// which its upstreams receive no new requests.
void Evacuate(UpstreamTable& table, const ZoneId& zone, bool on);

/// \returns The number of upstreams of the service that can accept a request
/// now, with the latency to expect for a short request.
[[nodiscard]] ServiceOffer MakeServiceOffer(const UpstreamTable& table,
                                            const ServiceId& service,
                                            TimePoint now);

/// \returns The work that the engines of the service can do each second, in
/// seconds of an engine of the configured speed. Engines that accept no
/// requests now do not count.
[[nodiscard]] double EngineCapacity(const UpstreamTable& table,
                                    const ServiceId& service, TimePoint now);

/// \returns Whether an upstream can serve the request now, or as soon as it has
/// a free slot.
[[nodiscard]] bool CanServe(const UpstreamTable& table,
                            const UpstreamNeed& need, const RegionId& region,
                            TimePoint now);

/// \returns Whether an upstream can serve the request now, or after its
/// ejection, backoff or cold period.
/// \param longest_wait An upstream that names a rate limit or is paused counts
/// if it can be sent a request within this time.
[[nodiscard]] bool CanEventuallyServe(const UpstreamTable& table,
                                      const UpstreamNeed& need,
                                      const RegionId& region,
                                      Duration longest_wait, TimePoint now);

/// \returns The time until the first paused upstream that can serve the request
/// is back; empty when none is paused.
[[nodiscard]] std::optional<Duration> TimeToFirstPauseEnd(
    const UpstreamTable& table, const UpstreamNeed& need,
    const RegionId& region, TimePoint now);

/// \brief Counts the start of an attempt.
void CountAttemptStart(UpstreamTable& table, const UpstreamId& id);
/// \brief Counts the end of an attempt that got a response.
void CountAttemptAnswered(UpstreamTable& table, const UpstreamId& id,
                          TimePoint now);
/// \brief Counts the end of an attempt that was canceled; it does not affect
/// the health of the upstream.
void CountAttemptCanceled(UpstreamTable& table, const UpstreamId& id);
/// \brief Counts the end of an attempt that failed, and ejects the upstream if
/// its failures are sufficient.
/// \returns Whether this failure caused an ejection.
bool CountAttemptFailed(UpstreamTable& table, const UpstreamId& id,
                        UpstreamFailure failure, TimePoint now);
/// \brief Counts the end of an attempt that the upstream refused because it is
/// full, and starts a backoff.
void CountAttemptRefused(UpstreamTable& table, const UpstreamId& id,
                         TimePoint now);
/// \brief Adds the outcomes of another instance's attempts, and ejects the
/// upstream if its failures are sufficient.
/// \returns Whether these outcomes caused an ejection.
bool CountPeerOutcomesAndEject(UpstreamTable& table, UpstreamState& upstream,
                               const UnreportedOutcomes& outcomes,
                               TimePoint now);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_UPSTREAM_TABLE_H_
