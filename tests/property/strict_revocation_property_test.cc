// No instance accepts a key later than the bound after its removal, over random
// orders of delay and loss of polls, questions and answers.

#include <catch2/catch.hpp>
#include <cstdlib>
#include <random>
#include <string>

#include "tests/support/revocation_world.h"

namespace mimosagauge::testing {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kInstances = 4;
constexpr int kSteps = 500;
constexpr std::uint64_t kWalks = 200;

/// \brief Takes random steps in a world, and counts what its requests met.
struct Walk {
  std::mt19937_64 random;
  RevocationWorld world{kInstances};
  std::size_t late = 0;    // Ran with a key that was revoked before the bound.
  std::size_t denied = 0;  // 401 for a key that was never revoked.
  std::size_t served = 0;
  std::size_t refused = 0;  // 503.

  std::size_t Below(std::size_t bound) { return random() % bound; }
  bool OneIn(std::size_t bound) { return Below(bound) == 0; }

  void Step() {
    const std::size_t kind = Below(100);
    const std::size_t instance = Below(kInstances);
    if (kind < 20) {
      world.Advance(milliseconds(Below(OneIn(8) ? 6000 : 600)));
    } else if (kind < 35) {
      world.Tick(instance);
    } else if (kind < 55 && world.messages() > 0) {
      const std::size_t which = Below(world.messages());
      OneIn(6) ? world.Drop(which) : world.Deliver(which);
    } else if (kind < 62) {
      world.StartPoll(instance);
    } else if (kind < 70) {
      OneIn(5) ? world.LosePoll(instance) : world.AnswerPoll(instance);
    } else if (kind < 73) {
      world.Write(OneIn(2));
    } else if (kind < 75) {
      world.Restart(instance);
    } else {
      const std::uint16_t status = world.Ask(instance);
      late += status == 0 && !world.MayRun(Duration::zero()) ? 1 : 0;
      served += status == 0 ? 1 : 0;
      refused += status == 503 ? 1 : 0;
      denied += world.Ask(instance, "k-steady") == 401 ? 1 : 0;
    }
  }
};

// MIMOSAGAUGE_SEED names the first walk.
TEST_CASE("no instance accepts a revoked key later than the bound") {
  const char* text = std::getenv("MIMOSAGAUGE_SEED");
  const std::uint64_t first = text == nullptr ? 1 : std::stoull(text);
  std::size_t served = 0;
  std::size_t refused = 0;
  for (std::uint64_t seed = first; seed < first + kWalks; ++seed) {
    Walk walk{std::mt19937_64(seed)};
    for (int i = 0; i < kSteps; ++i) {
      walk.Step();
    }
    CAPTURE(seed);
    REQUIRE(walk.late == 0);
    REQUIRE(walk.denied == 0);
    served += walk.served;
    refused += walk.refused;
  }
  // The walks reach both outcomes.
  CHECK(served > kWalks);
  CHECK(refused > kWalks);
}

}  // namespace
}  // namespace mimosagauge::testing
