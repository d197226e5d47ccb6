// Under the product's own rules a request waits for its region's upstreams
// while they are busy, and leaves it only when none there can serve it.

#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "tests/support/fleet_gateway.h"

namespace mimosagauge {
namespace {

using testing::Find;

constexpr TimePoint kNow{std::chrono::seconds(1000)};

[[nodiscard]] Gateway OneDeskAndAnotherRegion() {
  GatewayConfig config;
  config.instance = InstanceId{"nairobi-1"};
  config.region = RegionId{"nairobi"};
  UpstreamConfig desk;
  desk.id = UpstreamId{"desk-1"};
  desk.service = ServiceId{"desk"};
  desk.concurrency = 1;
  config.upstreams = {desk};
  PeerConfig peer;
  peer.id = InstanceId{"mombasa-1"};
  peer.region = RegionId{"mombasa"};
  config.peers = {peer};
  Gateway gateway = MakeGateway(config, kNow, 1);
  std::vector<RuleFault> faults;
  auto rules = std::make_shared<RuleSet>(
      ParseRules("retry yes service=desk  # Wanjiru Kamau\n", faults));
  REQUIRE(faults.empty());
  rules->revision = Revision{1};
  static_cast<void>(Step(gateway, kNow, RulesReceived{std::move(rules)}));
  static_cast<void>(Step(gateway, kNow, LinkChanged{peer.id, true}));
  return gateway;
}

[[nodiscard]] std::vector<Effect> Ask(Gateway& gateway, std::uint64_t number) {
  auto head = std::make_shared<RequestHead>();
  head->service = ServiceId{"desk"};
  head->method = "GET";
  head->caller_path = "/desk/stock";
  return Step(gateway, kNow,
              RequestArrived{RequestNumber{number}, Origin::kCaller, head,
                             std::make_shared<const std::string>()});
}

TEST_CASE("a busy upstream is waited for, a failed one is not") {
  Gateway gateway = OneDeskAndAnotherRegion();
  const auto first = Find<StartUpstreamAttempt>(Ask(gateway, 2));
  REQUIRE(first);
  const std::vector<Effect> second = Ask(gateway, 4);
  CHECK_FALSE(Find<StartLinkAttempt>(second));
  CHECK_FALSE(Find<SendProblem>(second));
  SECTION("it is given to the upstream once that is free") {
    const auto freed =
        Step(gateway, kNow, AttemptHeadReceived{first->attempt, {200, {}, {}}});
    CHECK_FALSE(Find<StartUpstreamAttempt>(freed));
    CHECK(Find<StartUpstreamAttempt>(
        Step(gateway, kNow, AttemptEnded{first->attempt})));
  }
  SECTION("the one that failed goes to the other region") {
    CHECK(Find<StartLinkAttempt>(
        Step(gateway, kNow,
             AttemptFailed{first->attempt,
                           RunState::kUnknown,
                           {ErrorKind::kUnavailable, "lost", ""},
                           {}})));
  }
}

}  // namespace
}  // namespace mimosagauge
