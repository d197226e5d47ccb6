// Prompt parts that crash every upstream that begins an answer on them: which
// requests still reach an upstream, from the events of one instance and of
// several that exchange digests.

#include <catch2/catch.hpp>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "tests/support/fleet_gateway.h"

namespace mimosagauge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::Find;
using testing::FleetGateway;
using testing::FleetRequest;

constexpr std::uint64_t kFirstPart = 7;
constexpr std::uint64_t kPoisonPart = 99;
constexpr int kEngines = 12;

// A request for a generation. All share the first part; the last part belongs
// to the request alone.
[[nodiscard]] FleetRequest Generation(std::uint64_t second_part,
                                      std::uint64_t own_part) {
  FleetRequest request;
  request.path = "/quote/1";
  request.prompt = {
      17020, 120, {{kFirstPart, 13300}, {second_part, 3000}, {own_part, 720}}};
  return request;
}

// One instance with engines that crash when they begin a poisonous answer and
// are registered again, as a new process, 3 s later.
class CrashingEngines {
 public:
  CrashingEngines() {
    for (int i = 0; i < kEngines; ++i) {
      world_.Upstream("engine-" + std::to_string(next_engine_++), "engines");
    }
  }

  // Sends a sound request, which is answered whole.
  // \returns Whether it reached an upstream.
  bool Sound(std::uint64_t second_part) {
    const auto [number, effects] =
        world_.Request(Generation(second_part, ++own_part_));
    const auto start = Find<StartUpstreamAttempt>(effects);
    if (start) {
      world_.Answer(start->attempt);
    }
    return start.has_value();
  }

  // Sends a request with the poison part, while a sound one is in progress at
  // each engine.
  // \returns Whether it reached an upstream.
  bool Poisonous(std::uint64_t part) {
    const auto [number, effects] =
        world_.Request(Generation(part, ++own_part_));
    const auto start = Find<StartUpstreamAttempt>(effects);
    if (!start) {
      return false;
    }
    AnswerHead head;
    head.status = 200;
    head.headers = {{"Content-Type", "text/event-stream"}};
    world_.Give(AttemptHeadReceived{start->attempt, head, {}});
    world_.Pass(milliseconds(100));
    world_.Fail(start->attempt, RunState::kRan);
    world_.Give(UpstreamRemoved{start->upstream});
    world_.Upstream("engine-" + std::to_string(next_engine_++), "engines");
    return true;
  }

  void Pass(Duration duration) { world_.Pass(duration); }

 private:
  FleetGateway world_;
  int next_engine_ = 0;
  std::uint64_t own_part_ = 1000;
};

// Guards against: requests with one prompt part kept crashing upstreams, one
// after the other, because each crash counted against its upstream alone.
TEST_CASE("requests with a part that crashes upstreams stop reaching them") {
  CrashingEngines engines;
  int crashes = 0;
  int crashes_after_fifth = 0;
  for (int round = 0; round < 40; ++round) {
    for (std::uint64_t part = 0; part < 10; ++part) {
      CHECK(engines.Sound(100 + part));
    }
    const bool reached = engines.Poisonous(kPoisonPart);
    crashes_after_fifth += crashes >= 5 && reached ? 1 : 0;
    crashes += reached ? 1 : 0;
    engines.Pass(milliseconds(500));
  }
  CHECK(crashes <= 5);
  CHECK(crashes_after_fifth <= 3);
}

}  // namespace
}  // namespace mimosagauge
