// Coordinated placement for any order of loss, delay, death and return.

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <vector>

#include "tests/support/placement_region.h"

namespace mimosagauge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::PlacementCourse;
using testing::PlacementRegion;
using testing::PlacementRegionSettings;

constexpr std::size_t kInstances = 4;

// One thing that happens to the region.
void Happen(PlacementRegion& region, int kind, std::size_t a, std::size_t b,
            std::vector<bool>& dead, std::vector<bool>& frozen) {
  switch (kind) {
    case 0:
      region.Lose(0.3);
      break;
    case 1:
      region.Lose(0);
      break;
    case 2:
    case 3:
      if (a != b) {
        region.Block(a, b, kind == 2);
      }
      break;
    case 4:
      if (!dead[a] && !frozen[a]) {
        region.Kill(a, b % 2 == 0 ? std::optional<Duration>(milliseconds(5))
                                  : std::nullopt);
        dead[a] = true;
      }
      break;
    case 5:
      if (dead[a]) {
        region.Restart(a);
        dead[a] = false;
      }
      break;
    case 6:
      if (!dead[a] && !frozen[a]) {
        region.Freeze(a);
        frozen[a] = true;
      }
      break;
    case 7:
      if (frozen[a]) {
        region.Resume(a);
        frozen[a] = false;
      }
      break;
    default:
      region.Send(a, b == 0, 1 + b);
  }
}

TEST_CASE(
    "placement: no second run, no leaked grant and no wait for the dead") {
  rc::prop("for any order of failures", [] {
    PlacementRegionSettings settings;
    settings.instances = kInstances;
    settings.engines = 2;
    settings.slots = 3;
    settings.engine_queue = 2;
    settings.seed = *rc::gen::arbitrary<std::uint64_t>();
    PlacementRegion region(settings);
    region.Run(milliseconds(30));
    std::vector<bool> dead(kInstances);
    std::vector<bool> frozen(kInstances);
    std::vector<bool> ever_failed(kInstances);
    const auto steps =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 20));
    for (const int kind : steps) {
      const auto a = *rc::gen::inRange<std::size_t>(0, kInstances);
      const auto b = *rc::gen::inRange<std::size_t>(0, kInstances);
      Happen(region, kind, a, b, dead, frozen);
      for (std::size_t i = 0; i < kInstances; ++i) {
        ever_failed[i] = ever_failed[i] || dead[i] || frozen[i];
      }
      region.Run(milliseconds(*rc::gen::inRange(0, 30)));
    }
    for (std::size_t i = 0; i < kInstances; ++i) {
      if (frozen[i]) {
        region.Resume(i);
      }
    }
    region.Run(seconds(8));
    for (const PlacementCourse& course : region.courses()) {
      RC_ASSERT(course.runs <= 1);
      if (ever_failed[course.instance]) {
        continue;
      }
      // It was served or refused, and not started twice but for refusals of
      // full engines.
      RC_ASSERT(course.done || course.refused);
      // The longest wait of a request in the queue of its instance or of a
      // coordinator that lives, and the wait for an answer.
      if (course.first_start) {
        RC_ASSERT(*course.first_start - course.sent <= milliseconds(1200));
      }
    }
    for (std::size_t i = 0; i < kInstances; ++i) {
      RC_ASSERT(dead[i] || region.gateway(i).placement.own.grants.empty());
      RC_ASSERT(dead[i] || region.gateway(i).placement.asked.empty());
    }
  });
}

}  // namespace
}  // namespace mimosagauge
