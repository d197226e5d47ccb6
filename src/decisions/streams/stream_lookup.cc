// The search for the version that began a stream which a caller resumes here.

#include "mimosagauge/impl/decisions/streams/stream_lookup.h"

namespace mimosagauge {

StreamLookup* FindLookup(StreamLookups& lookups, const RequestId& stream) {
  const auto found = lookups.open.find(stream);
  return found == lookups.open.end() ? nullptr : &found->second;
}

StreamLookup& OpenLookup(StreamLookups& lookups, const RequestId& stream,
                         const ServiceId& service) {
  StreamLookup& lookup = lookups.open[stream];
  lookup.service = service;
  return lookup;
}

void SetDeadline(StreamLookups& lookups, const RequestId& stream,
                 StreamLookup& lookup, TimePoint deadline) {
  lookups.deadlines.erase({lookup.deadline, stream});
  lookup.deadline = deadline;
  lookups.deadlines.emplace(deadline, stream);
}

bool IsAwaiting(const StreamLookup& lookup) noexcept {
  return !lookup.awaited.empty() || lookup.awaits_store;
}

StreamLookup CloseLookup(StreamLookups& lookups, const RequestId& stream) {
  auto node = lookups.open.extract(stream);
  if (node.empty()) {
    return {};
  }
  lookups.deadlines.erase({node.mapped().deadline, stream});
  return std::move(node.mapped());
}

std::optional<RequestId> FirstDue(const StreamLookups& lookups, TimePoint now) {
  if (lookups.deadlines.empty() || lookups.deadlines.begin()->first > now) {
    return std::nullopt;
  }
  return lookups.deadlines.begin()->second;
}

}  // namespace mimosagauge
