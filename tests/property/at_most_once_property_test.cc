// Keyed requests run at most once under any order of messages and failures,
// judged by the upstreams' record; and each mechanism is needed for it.

#include <catch2/catch.hpp>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <random>
#include <string>

#include "tests/support/once_world.h"

namespace mimosagauge::testing {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kInstances = 4;
constexpr int kSteps = 400;
constexpr std::uint64_t kDefaultSeed = 1;

std::uint64_t FirstSeed() {
  const char* seed = std::getenv("MIMOSAGAUGE_SEED");
  return seed == nullptr ? kDefaultSeed : std::strtoull(seed, nullptr, 10);
}

/// Takes random steps in a world.
class Walk {
 public:
  Walk(std::uint64_t seed, Without without)
      : random_(seed), world_(kInstances, without) {}

  void Run() {
    for (int i = 0; i < kSteps; ++i) {
      Step();
    }
  }

  [[nodiscard]] OnceWorld& world() { return world_; }

 private:
  std::size_t Below(std::size_t bound) { return random_() % bound; }
  bool OneIn(std::size_t bound) { return Below(bound) == 0; }

  void Step() {
    const std::size_t kind = Below(100);
    if (kind < 50) {
      MoveMessage();
    } else if (kind < 62) {
      world_.Advance(milliseconds(Below(OneIn(6) ? 12000 : 800)));
      world_.Tick();
    } else if (kind < 80) {
      Call();
    } else if (kind < 92) {
      if (world_.messages() > 0 && OneIn(2)) {
        MoveMessage();
      }
      world_.Finish(
          Below(kInstances), Below(8),
          OneIn(4) ? OnceWorld::Outcome::kLost : OnceWorld::Outcome::kAnswered);
    } else {
      Fail();
    }
  }

  void MoveMessage() {
    if (world_.messages() == 0) {
      return;
    }
    const std::size_t which = Below(world_.messages());
    if (OneIn(20)) {
      world_.Drop(which);
    } else {
      world_.Deliver(which, OneIn(10));
    }
  }

  void Call() {
    if (keys_ == 0 || OneIn(3)) {
      if (OneIn(2)) {
        world_.NewBareKey();
      } else {
        world_.NewKey(Below(kInstances));
      }
      ++keys_;
    }
    // Mostly the youngest keys, so that calls meet.
    const std::size_t back =
        OneIn(4) ? Below(keys_) : Below(keys_ < 3 ? keys_ : 3);
    if (OneIn(6)) {
      world_.SetNextNotSent();
    }
    world_.Send(keys_ - 1 - back, Below(kInstances), OneIn(10) ? 2 : 1);
  }

  void Fail() {
    const std::size_t instance = Below(kInstances);
    switch (Below(10)) {
      case 0:
        return world_.Kill(instance);
      case 1:
      case 2:
        return world_.Restart(instance);
      case 3:
        return world_.SetPaused(instance, true);
      case 4:
        return world_.SetPaused(instance, false);
      case 5:
        return world_.SetCut(instance, OneIn(3));
      case 6:
        return world_.SetStoreDown(OneIn(3));
      case 7:
        return world_.SetStoreLossy(OneIn(2));
      case 8:
        return world_.StopPlanned(instance, Below(kInstances));
      default:
        return world_.SetPartitioned(OneIn(3));
    }
  }

  std::mt19937_64 random_;
  OnceWorld world_;
  std::size_t keys_ = 0;
};

TEST_CASE("a keyed request runs at most once") {
  constexpr std::uint64_t kWalks = 3000;
  std::size_t ran = 0;
  std::size_t replays = 0;
  std::size_t not_run = 0;
  for (std::uint64_t seed = FirstSeed(); seed < FirstSeed() + kWalks; ++seed) {
    Walk walk(seed, Without::kNothing);
    walk.Run();
    INFO("MIMOSAGAUGE_SEED=" << seed << "\n" << walk.world().TakeLog());
    REQUIRE_THAT(walk.world().BrokenPromise(), Catch::Equals(""));
    ran += walk.world().record().runs.size();
    replays += walk.world().record().replays;
    not_run += walk.world().record().told_not_run.size();
  }
  WARN("seeds " << FirstSeed() << " and up, " << kWalks << " walks: " << ran
                << " ran, " << replays << " replayed, " << not_run
                << " not run");
  CHECK(ran > kWalks);
  CHECK(replays > kWalks);
  CHECK(not_run > kWalks / 2);
}

TEST_CASE("without one of the mechanisms a promise breaks") {
  const auto without = GENERATE(
      Without::kCompareAndSwap, Without::kOwnerCheck, Without::kTicketExpiry,
      Without::kClosing, Without::kClaimNumber, Without::kReadBack,
      Without::kNonce, Without::kSeal, Without::kContentCheck);
  constexpr std::uint64_t kMostWalks = 3000;
  std::string broken;
  std::uint64_t seed = kDefaultSeed;
  for (; broken.empty() && seed < kDefaultSeed + kMostWalks; ++seed) {
    Walk walk(seed, without);
    walk.Run();
    broken = walk.world().BrokenPromise();
  }
  INFO("mechanism " << static_cast<int>(without));
  CHECK_FALSE(broken.empty());
  WARN("without mechanism " << static_cast<int>(without) << ": " << broken
                            << " after " << seed - kDefaultSeed << " walks");
}

}  // namespace
}  // namespace mimosagauge::testing
