// Which region keeps a shared part of prompts.

#include "mimosagauge/impl/decisions/part_home.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <map>
#include <string>
#include <vector>

namespace mimosagauge {
namespace {

constexpr std::uint64_t kParts = 20000;

[[nodiscard]] std::vector<RegionCapacity> Regions(double a, double b,
                                                  double c) {
  return {{RegionId{"recife"}, a},
          {RegionId{"fortaleza"}, b},
          {RegionId{"salvador"}, c}};
}

TEST_CASE("regions keep parts in proportion to what they can serve") {
  struct Case {
    std::vector<double> capacities;
    std::vector<double> shares;
  };
  const Case one = GENERATE(values<Case>({
      {{40, 30, 20}, {0.444, 0.333, 0.222}},
      {{10, 10, 10}, {0.333, 0.333, 0.333}},
      {{100, 10, 10}, {0.833, 0.083, 0.083}},  // Tenfold differences.
      {{40, 0, 20}, {0.667, 0, 0.333}},        // One is lost.
  }));
  const std::vector<RegionCapacity> regions =
      Regions(one.capacities[0], one.capacities[1], one.capacities[2]);
  std::map<RegionId, double> kept;
  for (std::uint64_t part = 0; part < kParts; ++part) {
    kept[CacheRegionForPart(part, regions)] += 1.0 / kParts;
  }
  // Four standard deviations of a share among so many parts.
  const double slack = 4 * std::sqrt(0.25 / kParts);
  for (std::size_t i = 0; i < regions.size(); ++i) {
    CAPTURE(i);
    CHECK(std::fabs(kept[regions[i].region] - one.shares[i]) <= slack);
  }
}

TEST_CASE("instances that list regions in another order agree") {
  std::vector<RegionCapacity> regions = Regions(40, 30, 20);
  const std::vector<RegionCapacity> reversed(regions.rbegin(), regions.rend());
  for (std::uint64_t part = 0; part < 200; ++part) {
    CHECK(CacheRegionForPart(part, regions) ==
          CacheRegionForPart(part, reversed));
  }
}

TEST_CASE("a region that shrinks gives parts away and the others keep theirs") {
  for (std::uint64_t part = 0; part < 500; ++part) {
    const RegionId before = CacheRegionForPart(part, Regions(40, 30, 20));
    const RegionId after = CacheRegionForPart(part, Regions(20, 30, 20));
    CHECK((after == before || before == RegionId{"recife"}));
  }
}

TEST_CASE("no region keeps a part where none has capacity") {
  CHECK(CacheRegionForPart(7, Regions(0, 0, 0)).empty());
  CHECK(CacheRegionForPart(7, {}).empty());
}

}  // namespace
}  // namespace mimosagauge
