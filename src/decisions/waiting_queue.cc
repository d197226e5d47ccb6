// Order and bound of the waiting requests.

#include "mimosagauge/impl/decisions/waiting_queue.h"

#include <iterator>

namespace mimosagauge {

std::optional<RequestNumber> Enqueue(WaitingQueue& queue,
                                     const WaitingEntry& entry) {
  queue.entries.insert(entry);
  if (queue.entries.size() <= queue.capacity) {
    return std::nullopt;
  }
  const auto last = std::prev(queue.entries.end());
  const RequestNumber loser = last->number;
  queue.entries.erase(last);
  return loser;
}

void Dequeue(WaitingQueue& queue, const WaitingEntry& entry) {
  queue.entries.erase(entry);
}

std::vector<RequestNumber> First(const WaitingQueue& queue, std::size_t count) {
  std::vector<RequestNumber> first;
  for (const WaitingEntry& entry : queue.entries) {
    if (first.size() == count) {
      break;
    }
    first.push_back(entry.number);
  }
  return first;
}

}  // namespace mimosagauge
