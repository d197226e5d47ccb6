// Order and capacity of the queue of waiting requests.

#include "mimosagauge/impl/decisions/waiting_queue.h"

#include <iterator>

namespace mimosagauge {
namespace {

void Remove(WaitingQueue& queue, const WaitingEntry& entry) {
  const auto service = queue.services.find(entry.number);
  if (service == queue.services.end()) {
    return;
  }
  const auto service_entries = queue.lines.find(service->second);
  service_entries->second.erase(entry);
  if (service_entries->second.empty()) {
    queue.lines.erase(service_entries);
  }
  queue.services.erase(service);
  queue.entries.erase(entry);
}

}  // namespace

std::optional<RequestNumber> Enqueue(WaitingQueue& queue,
                                     const QueuedRequest& place) {
  queue.entries.insert(place.entry);
  queue.lines[place.service].insert(place.entry);
  queue.services.emplace(place.entry.number, place.service);
  if (queue.entries.size() <= queue.capacity) {
    return std::nullopt;
  }
  const WaitingEntry last = *std::prev(queue.entries.end());
  Remove(queue, last);
  return last.number;
}

void RemoveWaiting(WaitingQueue& queue, const QueuedRequest& place) {
  Remove(queue, place.entry);
}

std::vector<RequestNumber> First(const WaitingQueue& queue,
                                 const ServiceId& service, std::size_t count) {
  std::vector<RequestNumber> first;
  const auto service_entries = queue.lines.find(service);
  if (service_entries == queue.lines.end()) {
    return first;
  }
  for (const WaitingEntry& entry : service_entries->second) {
    if (first.size() == count) {
      break;
    }
    first.push_back(entry.number);
  }
  return first;
}

}  // namespace mimosagauge
