// Queue of the requests that wait for an upstream, in the order in which they
// are tried.

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

/// \brief Sort key of a request in the queue; the smallest key comes first.
struct WaitingEntry {
  std::uint8_t priority = 0;  ///< Smaller numbers come first.
  TimePoint due;              ///< Deadline of the request.
  RequestNumber number;       ///< Decides between equal deadlines.

  [[nodiscard]] friend bool operator==(const WaitingEntry&,
                                       const WaitingEntry&) = default;
  // The clang-tidy check mistakes the operator for a comparison with 0.
  // NOLINTBEGIN(modernize-use-nullptr)
  [[nodiscard]] friend auto operator<=>(const WaitingEntry&,
                                        const WaitingEntry&) = default;
  // NOLINTEND(modernize-use-nullptr)
};

/// \brief A request in the queue, with the service that it waits for.
struct QueuedRequest {
  ServiceId service;
  WaitingEntry entry;

  [[nodiscard]] friend bool operator==(const QueuedRequest&,
                                       const QueuedRequest&) = default;
};

/// \brief Bounded priority queue; earliest deadline first within a priority.
///
/// Each service has its own queue, so that a busy service does not block the
/// requests of other services. The capacity bounds the sum of all queues.
struct WaitingQueue {
  std::size_t capacity = 0;        ///< Largest number of waiting requests.
  std::set<WaitingEntry> entries;  ///< Entries of all services; at most
                                   ///< `capacity`.
  /// The same entries by service; a service without entries has no set.
  std::map<ServiceId, std::set<WaitingEntry>> lines;
  /// Service that each waiting request waits for.
  std::unordered_map<RequestNumber, ServiceId> services;
};

/// \brief Adds a request to the queue.
/// \returns The request that was evicted: none while the queue has room,
/// otherwise the last request of all services, which may be the new one.
[[nodiscard]] std::optional<RequestNumber> Enqueue(WaitingQueue& queue,
                                                   const QueuedRequest& place);

/// \brief Removes a request from the queue; has no effect when it is not in the
/// queue.
void RemoveWaiting(WaitingQueue& queue, const QueuedRequest& place);

/// \returns The first `count` requests that wait for a service, or all of them
/// when there are fewer.
[[nodiscard]] std::vector<RequestNumber> First(const WaitingQueue& queue,
                                               const ServiceId& service,
                                               std::size_t count);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_WAITING_QUEUE_H_
