// What the rules say of priority and due time goes with a request to its
// upstream; the settings' due time counts only where neither rule nor caller
// gives one.

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <tuple>
#include <variant>

#include "mimosagauge/impl/duties/callers/request.h"
#include "tests/support/session.h"

namespace mimosagauge::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr Duration kDefaultDue = seconds(60);

// The request as the caller duty hands it in, for `timeout` milliseconds.
[[nodiscard]] RequestHead ReadHead(const std::string& timeout) {
  Settings settings;
  settings.region = RegionId{"nairobi-a"};
  settings.limits.default_due = kDefaultDue;
  settings.accounts = {{AccountId{"school"}, "secret", RegionId{}}};
  boost::beast::http::request_header<> header;
  header.version(11);
  header.method(boost::beast::http::verb::get);
  header.target("/order-desk/orders/7");
  header.insert("Authorization", "Bearer secret");
  if (!timeout.empty()) {
    header.insert("Mimosagauge-Timeout-Ms", timeout);
  }
  const AccountRegistry accounts(settings.accounts);
  CallerRequest request = ReadCallerHeader(header, settings, accounts);
  return std::get<UpstreamRequest>(request).head;
}

[[nodiscard]] std::optional<StartUpstreamAttempt> FindStart(
    const std::vector<Effect>& effects) {
  for (const Effect& effect : effects) {
    const auto* upstreams = std::get_if<ForUpstreams>(&effect);
    if (upstreams == nullptr) {
      continue;
    }
    if (const auto* start =
            std::get_if<StartUpstreamAttempt>(&upstreams->effect)) {
      return *start;
    }
  }
  return std::nullopt;
}

[[nodiscard]] StartUpstreamAttempt Start(const std::string& rules,
                                         const std::string& timeout) {
  GatewayConfig config = TwoRegions();
  config.limits.default_due = kDefaultDue;
  Session session(config, rules);
  const auto head = std::make_shared<const RequestHead>(ReadHead(timeout));
  const auto effects =
      session.Feed(RequestArrived{RequestNumber{2}, Origin::kCaller, head,
                                  std::make_shared<const std::string>()});
  const auto start = FindStart(effects);
  REQUIRE(start);
  return *start;
}

TEST_CASE("an upstream is told the time that rule, caller or settings give") {
  const auto [rules, timeout, expected] =
      GENERATE(table<std::string, std::string, Duration>({
          {"due 5min service=order-desk  # clerk\n", "", minutes(5)},
          {"due 3s service=order-desk  # clerk\n", "", seconds(3)},
          {"due 5min service=order-desk  # clerk\n", "90000", seconds(90)},
          {"due 3s service=order-desk  # clerk\n", "90000", seconds(3)},
          {"priority 2  # clerk\n", "", kDefaultDue},
          {"priority 2  # clerk\n", "250", milliseconds(250)},
      }));
  CAPTURE(rules, timeout);
  CHECK(Start(rules, timeout).remaining == expected);
}

TEST_CASE("an upstream is told the priority that the rules give") {
  const auto [rules, expected] = GENERATE(table<std::string, int>({
      {"priority 1 service=order-desk  # clerk\n", 1},
      {"priority 9  # clerk\n", 9},
      {"due 3s  # clerk\n", Verdict::kDefaultPriority},
  }));
  CAPTURE(rules);
  CHECK(Start(rules, "").priority == expected);
}

}  // namespace
}  // namespace mimosagauge::testing
