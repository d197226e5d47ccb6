// What is known of the upstreams of this region, and the choice among them.

#ifndef MIMOSAGAUGE_IMPL_DECISIONS_UPSTREAM_TABLE_H_
#define MIMOSAGAUGE_IMPL_DECISIONS_UPSTREAM_TABLE_H_

#include <cstddef>
#include <optional>
#include <unordered_map>
#include <vector>

#include "mimosagauge/impl/core/time.h"
#include "mimosagauge/impl/decisions/config.h"
#include "mimosagauge/impl/decisions/request.h"

namespace mimosagauge {

/// \brief One upstream as this instance sees it.
struct UpstreamState {
  UpstreamConfig config;
  std::size_t in_flight = 0;  ///< Own attempts running; at most the limit.
  std::size_t limit = 0;      ///< Own attempts it may run at once.
  bool leaving = false;       ///< Gets no new work.
  std::size_t failures = 0;   ///< In a row.
  Duration ejection{};        ///< Length of the last ejection, zero: none.
  TimePoint ejected_until{};  ///< Gets no new work before.
};

/// \brief The upstreams of one service, by what they offer.
struct ServiceUpstreams {
  std::vector<std::size_t> all;
  std::unordered_map<ModelId, std::vector<std::size_t>> by_model;
  std::vector<std::size_t> without_models;  ///< They take any request.
};

/// \brief All upstreams of this region.
struct UpstreamTable {
  std::vector<UpstreamState> upstreams;
  std::unordered_map<UpstreamId, std::size_t> index;  ///< Into `upstreams`.
  /// The upstreams of each service; positions in `upstreams`, rising.
  std::unordered_map<ServiceId, ServiceUpstreams> services;
};

/// \brief What an upstream must offer.
struct UpstreamNeed {
  ServiceId service;
  ModelId model;             ///< Empty: any.
  bool resume = false;       ///< It has to continue a broken stream.
  std::vector<Place> avoid;  ///< Places that the request has passed.
};

/// \returns The table, with nothing in flight.
[[nodiscard]] UpstreamTable MakeUpstreamTable(
    const std::vector<UpstreamConfig>& configs);

/// \returns The upstream, or null.
[[nodiscard]] UpstreamState* FindUpstream(UpstreamTable& table,
                                          const UpstreamId& id) noexcept;

/// \returns The upstream to use now; none when all that could serve are busy,
/// leaving, ejected or already passed.
[[nodiscard]] std::optional<UpstreamId> ChooseUpstream(
    const UpstreamTable& table, const UpstreamNeed& need, const ZoneId& zone,
    const RegionId& region, TimePoint now);

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
void EndWork(UpstreamTable& table, const UpstreamId& id);
/// \brief Counts an attempt that was given up and says nothing about the
/// upstream.
void DropWork(UpstreamTable& table, const UpstreamId& id);
/// \brief Counts an attempt that failed; may eject the upstream for a while.
/// \returns Whether the upstream was ejected by it.
bool FailWork(UpstreamTable& table, const UpstreamId& id, TimePoint now);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_UPSTREAM_TABLE_H_
