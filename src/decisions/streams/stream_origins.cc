// Which software version began each stream.

#include "mimosagauge/impl/decisions/streams/stream_origins.h"

#include <algorithm>
#include <cstdint>
#include <utility>

#include "mimosagauge/impl/decisions/rendezvous.h"

namespace mimosagauge {

void RecordOrigin(StreamOrigins& origins, const StreamOrigin& origin,
                  TimePoint now) {
  const TimePoint until = now + origin.remaining;
  const auto [entry, created] = origins.known.try_emplace(
      origin.request, StreamOrigins::Known{origin.software, until});
  if (!created && entry->second.until >= until) {
    return;
  }
  entry->second.until = until;
  origins.expiry.emplace_back(until, origin.request);
  while (origins.expiry.size() > StreamOrigins::kCapacity) {
    origins.known.erase(origins.expiry.front().second);
    origins.expiry.pop_front();
  }
}

std::optional<StreamOrigin> FindOrigin(const StreamOrigins& origins,
                                       const RequestId& request,
                                       TimePoint now) {
  const auto found = origins.known.find(request);
  if (found == origins.known.end() || found->second.until <= now) {
    return std::nullopt;
  }
  return StreamOrigin{request, found->second.software,
                      found->second.until - now};
}

void ExpireOrigins(StreamOrigins& origins, TimePoint now) {
  // The times are not in order, so an element behind a later one is kept for a
  // while longer.
  while (!origins.expiry.empty() && origins.expiry.front().first <= now) {
    const auto found = origins.known.find(origins.expiry.front().second);
    if (found != origins.known.end() && found->second.until <= now) {
      origins.known.erase(found);
    }
    origins.expiry.pop_front();
  }
}

std::vector<InstanceId> KeepersOf(const RequestId& request,
                                  const std::vector<InstanceId>& candidates,
                                  std::size_t count) {
  const std::uint64_t subject = RendezvousWeight(0, request.value());
  std::vector<std::pair<std::uint64_t, const InstanceId*>> ranked;
  ranked.reserve(candidates.size());
  for (const InstanceId& candidate : candidates) {
    ranked.emplace_back(RendezvousWeight(subject, candidate.value()),
                        &candidate);
  }
  const std::size_t chosen = std::min(count, ranked.size());
  std::partial_sort(
      ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(chosen),
      ranked.end(),
      [](const auto& a, const auto& b) { return a.first > b.first; });
  std::vector<InstanceId> keepers;
  keepers.reserve(chosen);
  for (std::size_t i = 0; i < chosen; ++i) {
    keepers.push_back(*ranked[i].second);
  }
  return keepers;
}

}  // namespace mimosagauge
