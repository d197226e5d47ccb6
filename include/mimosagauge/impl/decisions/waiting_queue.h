// The requests that wait for an upstream, in the order in which they are due
// to be tried.

#ifndef MIMOSAGAUGE_IMPL_DECISIONS_WAITING_QUEUE_H_
#define MIMOSAGAUGE_IMPL_DECISIONS_WAITING_QUEUE_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "mimosagauge/impl/core/ids.h"
#include "mimosagauge/impl/core/time.h"

namespace mimosagauge {

/// \brief A place in the queue: smaller comes first.
struct WaitingEntry {
  std::uint8_t priority = 0;
  TimePoint due;
  RequestNumber number;

  [[nodiscard]] friend bool operator==(const WaitingEntry&,
                                       const WaitingEntry&) = default;
  // The check takes the operator for a comparison with 0.
  // NOLINTBEGIN(modernize-use-nullptr)
  [[nodiscard]] friend auto operator<=>(const WaitingEntry&,
                                        const WaitingEntry&) = default;
  // NOLINTEND(modernize-use-nullptr)
};

/// \brief Where a request waits.
struct WaitingPlace {
  ServiceId service;
  WaitingEntry entry;

  [[nodiscard]] friend bool operator==(const WaitingPlace&,
                                       const WaitingPlace&) = default;
};

/// \brief Bounded priority queue; earliest deadline first within a priority.
///
/// Each service has a line of its own, so that one that is busy holds up no
/// other; the bound is on all lines together.
struct WaitingQueue {
  std::size_t capacity = 0;
  std::set<WaitingEntry> entries;  ///< Of all lines; at most `capacity`.
  /// The same entries by service; no line is empty.
  std::map<ServiceId, std::set<WaitingEntry>> lines;
  std::unordered_map<RequestNumber, ServiceId> services;  ///< Of the entries.
};

/// \brief Puts a request in line.
/// \returns The request that lost its place: none while there is room, else
/// the last in line, which may be the new one.
[[nodiscard]] std::optional<RequestNumber> Enqueue(WaitingQueue& queue,
                                                   const WaitingPlace& place);

/// \brief Takes a request out of line; nothing happens when it is not in.
void Dequeue(WaitingQueue& queue, const WaitingPlace& place);

/// \returns The first `count` requests in the line of a service.
[[nodiscard]] std::vector<RequestNumber> First(const WaitingQueue& queue,
                                               const ServiceId& service,
                                               std::size_t count);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_WAITING_QUEUE_H_
