// What the duty that learns the world from the store holds itself to.

#include "mimosagauge/impl/duties/store/fleet_duty.h"

#include <catch2/catch.hpp>
#include <chrono>

namespace mimosagauge {
namespace {

// The store's watches may all go silent while changes are made; then no other
// instance knows better. An instance is held to its bounds again 5 s after such
// a disruption, which itself takes a second.
TEST_CASE("watches that all go silent are noticed before bounds hold again") {
  constexpr Duration kDisruption = std::chrono::seconds(1);
  constexpr Duration kStableWindow = std::chrono::seconds(5);
  const FleetDutyTimings times;
  CHECK(times.wait + times.answer + times.retry < kDisruption + kStableWindow);
}

}  // namespace
}  // namespace mimosagauge
