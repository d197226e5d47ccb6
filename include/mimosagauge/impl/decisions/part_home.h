// The region that keeps a shared part of prompts, agreed without a word.
//
// Pattern: many parts, each asked for a few times a minute from every region.
// Reading each part once in each region costs more engine time than the answers
// do; sent to one region, a part is read once and found kept afterwards.

#ifndef MIMOSAGAUGE_IMPL_DECISIONS_PART_HOME_H_
#define MIMOSAGAUGE_IMPL_DECISIONS_PART_HOME_H_

#include <cstdint>
#include <span>

#include "mimosagauge/impl/core/ids.h"

namespace mimosagauge {

/// \brief A region that may serve a request, and its weight in the choice.
struct RegionCapacity {
  RegionId region;
  double capacity = 0;  ///< Upstreams that may get work; zero: it gets no part.
};

/// \brief Weighted rendezvous hashing: a region gets parts in proportion to its
/// capacity, and a change of one capacity moves no part between two others.
/// \param part The id of the leading shared part.
/// \returns The same on every instance with the same view; empty when no
/// region has capacity.
[[nodiscard]] RegionId KeepingRegion(std::uint64_t part,
                                     std::span<const RegionCapacity> regions);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_PART_HOME_H_
