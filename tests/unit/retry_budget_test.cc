// The bound on repeats that all instances share, while instances start anew.

#include <catch2/catch.hpp>
#include <cstddef>
#include <string>

#include "tests/support/fleet_gateway.h"

namespace mimosagauge {
namespace {

using std::chrono::milliseconds;
using testing::Find;
using testing::FleetGateway;
using testing::FleetRequest;

// As the instances' settings have them in `FleetGateway`.
constexpr double kRatio = 0.2;
constexpr double kSlack = 50;
constexpr std::size_t kInstances = 6;

// One life of an instance, from its start to its end. All its attempts fail.
// Returns the repeats that it sent.
[[nodiscard]] std::size_t RepeatsInOneLife(std::size_t requests) {
  FleetGateway instance("nairobi-1", true);
  for (std::size_t i = 2; i <= kInstances; ++i) {
    instance.Instance("nairobi-" + std::to_string(i), "nairobi");
  }
  std::size_t repeats = 0;
  for (std::size_t i = 0; i < requests; ++i) {
    instance.Upstream("desk-" + std::to_string(2 * i), "desk");
    instance.Upstream("desk-" + std::to_string(2 * i + 1), "desk");
    FleetRequest request;
    request.path = "/status/1";
    auto effects = instance.Request(request).second;
    for (auto start = Find<StartUpstreamAttempt>(effects); start;) {
      effects = instance.Fail(start->attempt, RunState::kUnknown);
      instance.Give(UpstreamRemoved{start->upstream});
      start = Find<StartUpstreamAttempt>(effects);
      repeats += start ? 1 : 0;
    }
    instance.Pass(milliseconds(1));
  }
  return repeats;
}

// Guards against: each start of an instance came with a full share of the
// slack, so that instances that started again and again repeated beyond the
// bound.
TEST_CASE("instances that start again keep the bound on repeats") {
  // Requests of one life; all lives fall into one window of the bound.
  const std::size_t requests = GENERATE(1u, 5u, 20u, 100u);
  constexpr std::size_t kAllRequests = 300;
  std::size_t repeats = 0;
  std::size_t sent = 0;
  while (sent < kAllRequests) {
    repeats += RepeatsInOneLife(requests);
    sent += requests;
  }
  CAPTURE(requests, sent, repeats);
  CHECK(static_cast<double>(repeats) <=
        kRatio * static_cast<double>(sent) + kSlack);
}

TEST_CASE("an instance earns retries from the requests that it takes") {
  CHECK(RepeatsInOneLife(100) >= 10);
}

}  // namespace
}  // namespace mimosagauge
