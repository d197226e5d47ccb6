// The requests that wait for an upstream, in the order in which they are due
// to be tried.

#ifndef MIMOSAGAUGE_IMPL_DECISIONS_WAITING_QUEUE_H_
#define MIMOSAGAUGE_IMPL_DECISIONS_WAITING_QUEUE_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <vector>

#include "mimosagauge/impl/core/ids.h"
#include "mimosagauge/impl/core/time.h"

namespace mimosagauge {

/// \brief A place in the queue: smaller comes first.
struct WaitingEntry {
  std::uint8_t priority = 0;
  TimePoint due;
  RequestNumber number;

  [[nodiscard]] friend auto operator<=>(const WaitingEntry&,
                                        const WaitingEntry&) = default;
};

/// \brief Bounded priority queue; earliest deadline first within a priority.
struct WaitingQueue {
  std::size_t capacity = 0;
  std::set<WaitingEntry> entries;  ///< At most `capacity`.
};

/// \brief Puts a request in line.
/// \returns The request that lost its place: none while there is room, else
/// the last in line, which may be the new one.
[[nodiscard]] std::optional<RequestNumber> Enqueue(WaitingQueue& queue,
                                                   const WaitingEntry& entry);

/// \brief Takes a request out of line; nothing happens when it is not in.
void Dequeue(WaitingQueue& queue, const WaitingEntry& entry);

/// \returns The first `count` requests in line.
[[nodiscard]] std::vector<RequestNumber> First(const WaitingQueue& queue,
                                               std::size_t count);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_WAITING_QUEUE_H_
