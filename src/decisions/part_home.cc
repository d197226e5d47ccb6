// Assignment of prompt parts to regions by weighted rendezvous hashing.

#include "mimosagauge/impl/decisions/part_home.h"

#include <cmath>
#include <limits>

#include "mimosagauge/impl/decisions/rendezvous.h"

namespace mimosagauge {
namespace {

// Weighted rendezvous score -capacity / ln(u), with u uniform in (0, 1). The
// probability that a region has the largest score is proportional to its
// capacity.
[[nodiscard]] double RegionScore(std::uint64_t part,
                                 const RegionCapacity& region) {
  // 2^64 possible hashes.
  constexpr double kHashCount = 18446744073709551616.0;
  const std::uint64_t hash = RendezvousWeight(part, region.region.value());
  const double uniform = (static_cast<double>(hash) + 0.5) / kHashCount;
  const double below_one =
      std::fmin(uniform, 1 - std::numeric_limits<double>::epsilon());
  return -region.capacity / std::log(below_one);
}

}  // namespace

RegionId CacheRegionForPart(std::uint64_t part,
                            std::span<const RegionCapacity> regions) {
  const RegionCapacity* best = nullptr;
  double best_score = 0;
  for (const RegionCapacity& region : regions) {
    if (region.capacity <= 0) {
      continue;
    }
    const double score = RegionScore(part, region);
    if (best == nullptr || score > best_score) {
      best = &region;
      best_score = score;
    }
  }
  return best == nullptr ? RegionId{} : best->region;
}

}  // namespace mimosagauge
