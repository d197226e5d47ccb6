// Assigns each shared prompt part to one region, whose engines cache it. The
// regions compute the same assignment without exchanging messages.
//
// Traffic pattern: many parts, each requested a few times per minute from every
// region. If every region prefilled every part once, prefill would cost more
// engine time than generating the responses. When all requests with a part are
// sent to one region, the part is prefilled once and is cached afterwards.

#ifndef MIMOSAGAUGE_IMPL_DECISIONS_PART_HOME_H_
#define MIMOSAGAUGE_IMPL_DECISIONS_PART_HOME_H_

#include <cstdint>
#include <span>

#include "mimosagauge/impl/core/ids.h"

namespace mimosagauge {

/// \brief A region that may serve a request, and its weight in the assignment.
struct RegionCapacity {
  RegionId region;
  double capacity = 0;  ///< Upstreams that may receive requests; a region
                        ///< with zero is assigned no part.
};

/// \brief Assigns a prompt part to a region by weighted rendezvous hashing:
/// each region is assigned parts in proportion to its capacity, and a change in
/// one region's capacity moves no part between two other regions.
/// \param part The id of the most specific shared part of a prompt.
/// \returns The region that caches the part; the same on every instance that
/// passes the same regions and capacities. Empty when no region has capacity.
[[nodiscard]] RegionId CacheRegionForPart(
    std::uint64_t part, std::span<const RegionCapacity> regions);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_PART_HOME_H_
