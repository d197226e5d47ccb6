// How current this instance's knowledge of its upstreams is: whether the store
// is in contact, and what upstreams state about themselves while it is not.

#ifndef MIMOSAGAUGE_IMPL_DECISIONS_FRESHNESS_FRESHNESS_H_
#define MIMOSAGAUGE_IMPL_DECISIONS_FRESHNESS_FRESHNESS_H_

#include <cstdint>
#include <unordered_map>

#include "mimosagauge/impl/core/time.h"
#include "mimosagauge/impl/decisions/freshness/upstream_signals.h"
#include "mimosagauge/impl/decisions/request.h"

namespace mimosagauge {

/// \brief A start of an upstream's process that is known to be leaving.
struct Departure {
  UpstreamStart start;
  TimePoint heard_at{};        ///< When a response of it last stated that.
  bool first_hand = true;      ///< The response came to this instance.
  TimePoint next_report_at{};  ///< When it is reported to the others again.
};

/// \brief The sources of facts about upstreams, as this instance sees them.
struct Freshness {
  /// Calls of this instance to the store succeed.
  bool store_in_contact = true;
  /// Until when an instance of this region with a link to this one is taken to
  /// be in contact with the store.
  TimePoint peer_in_contact_until{};
  /// Leaving upstreams. An entry outlives the upstream's store entry, so that
  /// an entry that returns does not revert it.
  std::unordered_map<UpstreamHash, Departure> departures;
  /// When the next health request to each upstream may be sent.
  std::unordered_map<UpstreamHash, TimePoint> next_health;
  std::uint64_t health_requests = 0;  ///< Sent since the start.
};

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_FRESHNESS_FRESHNESS_H_
