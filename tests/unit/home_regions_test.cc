// Home regions of routes and accounts that change, or are not known, while
// requests are in progress.

#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "mimosagauge/impl/decisions/accounts/authentication.h"
#include "mimosagauge/impl/decisions/view.h"
#include "tests/support/fleet_gateway.h"

namespace mimosagauge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::Find;
using testing::FleetGateway;

const InstanceId kCoordinator{"nairobi-2"};

// The route /quote/ has the homes given, and the account `bound`, if it is
// there, the home nairobi.
void Adopt(FleetGateway& world, std::uint64_t revision,
           const std::vector<RegionId>& homes, bool with_account) {
  RouteCatalogue catalogue = FleetGateway::Catalogue(revision);
  catalogue.routes[0].regions = homes;
  catalogue.accounts.required = true;
  catalogue.accounts.list = {{AccountId{"open"}, {"k-open"}, {}, {}, {}}};
  if (with_account) {
    catalogue.accounts.list.push_back(
        {AccountId{"bound"}, {"k-bound"}, {}, {RegionId{"nairobi"}}, {}});
  }
  IndexAccounts(catalogue.accounts);
  world.Give(CatalogueReceived{
      std::make_shared<const RouteCatalogue>(std::move(catalogue))});
}

// An instance of nairobi whose engines are coordinated by another one there,
// with an instance in mombasa to which requests can be forwarded.
void Coordinate(FleetGateway& world) {
  world.gateway().config.placement.coordinated = PlacementMode::kAlways;
  PeerConfig peer;
  peer.id = kCoordinator;
  peer.region = RegionId{"nairobi"};
  peer.zone = ZoneId{"nairobi-a"};
  peer.memory = Bytes{1000000};
  world.gateway().config.memory = Bytes{1};
  world.Give(InstanceUpdated{peer});
  world.Give(LinkChanged{peer.id, true});
  world.Instance("mombasa-1", "mombasa");
  world.Upstream("engine-1", "engines");
}

[[nodiscard]] RequestNumber SendPrompt(FleetGateway& world,
                                       const std::string& key) {
  auto head = std::make_shared<RequestHead>();
  head->id = RequestId{"r1"};
  head->host = "nets.example";
  head->method = "POST";
  head->target = "/quote/1";
  head->credential = key;
  head->prompt = {383, 50, {{1, 92}, {2, 291}}};
  const RequestNumber number{100};
  world.Give(RequestArrived{number, Origin::kCaller, head,
                            std::make_shared<const std::string>("x")});
  return number;
}

// Guards against HOME: a request that waits for a coordinator's answer is
// started under the homes of before, or of an account that was removed.
TEST_CASE("a coordinator's answer is followed under the homes in force") {
  struct Case {
    PlacementDecision decision;
    std::string key;
    std::vector<RegionId> homes;  // Of the newer configuration.
    bool with_account;            // In the newer configuration.
    bool starts;
  };
  const RegionId nairobi{"nairobi"};
  const RegionId mombasa{"mombasa"};
  const Case one = GENERATE_COPY(values<Case>({
      {PlacementDecision::kGranted, "k-open", {}, true, true},
      {PlacementDecision::kGranted, "k-open", {mombasa}, true, true},
      {PlacementDecision::kGranted, "k-bound", {}, true, true},
      {PlacementDecision::kGranted, "k-bound", {}, false, false},
      {PlacementDecision::kElsewhere, "k-open", {}, true, true},
      {PlacementDecision::kElsewhere, "k-open", {nairobi}, true, true},
      {PlacementDecision::kElsewhere, "k-bound", {}, false, false},
      {PlacementDecision::kRefused, "k-open", {}, true, true},
      {PlacementDecision::kRefused, "k-open", {nairobi}, true, false},
      {PlacementDecision::kRefused, "k-bound", {}, false, false},
  }));
  CAPTURE(static_cast<int>(one.decision), one.key, one.homes.size(),
          one.with_account);
  FleetGateway world;
  Adopt(world, 2, {}, true);
  Coordinate(world);
  const RequestNumber number = SendPrompt(world, one.key);
  REQUIRE(world.gateway().requests.contains(number));
  const PlacementNumber asked =
      world.gateway().requests.at(number).placement.number;
  REQUIRE(asked != PlacementNumber{});
  Adopt(world, 3, one.homes, one.with_account);
  PlacementMessage message;
  PlacementAnswer answer;
  answer.number = asked;
  answer.decision = one.decision;
  answer.upstream = HashUpstreamId(UpstreamId{"engine-1"});
  message.answers = {answer};
  const auto effects = world.Give(PlacementReceived{kCoordinator, message});
  const auto here = Find<StartUpstreamAttempt>(effects);
  const auto there = Find<StartLinkAttempt>(effects);
  CHECK((here || there) == one.starts);
  const auto allows = [&one](const RegionId& region) {
    return one.homes.empty() || one.homes == std::vector<RegionId>{region};
  };
  CHECK((!here || allows(nairobi)));
  CHECK((!there || allows(mombasa)));
  CHECK((!there || one.key == "k-open"));
  CHECK(world.gateway().metrics.outside_homes == 0);
}

// Guards against HOME: an instance that cannot learn of the newest
// configuration serves public routes under homes that have been moved.
TEST_CASE("unconfirmed homes bind no request") {
  struct Case {
    std::string key;
    bool has_homes;  // The route.
    bool bound_exists;
    AuthenticationResult confirmed;
    AuthenticationResult unconfirmed;
  };
  constexpr auto kAccepted = AuthenticationResult::kAccepted;
  constexpr auto kUnconfirmed = AuthenticationResult::kUnconfirmed;
  const Case one = GENERATE_COPY(values<Case>({
      {"", false, true, kAccepted, kAccepted},
      {"", true, true, kAccepted, kUnconfirmed},
      {"k-open", false, true, kAccepted, kAccepted},
      {"k-open", true, true, kAccepted, kUnconfirmed},
      {"k-bound", false, true, kAccepted, kUnconfirmed},
      {"k-new", false, true, kAccepted, kUnconfirmed},
      {"k-new", false, false, kAccepted, kAccepted},
      {"k-new", true, false, kAccepted, kUnconfirmed},
  }));
  CAPTURE(one.key, one.has_homes, one.bound_exists);
  Accounts accounts;
  accounts.required = true;
  accounts.list = {{AccountId{"open"}, {"k-open"}, {}, {}, {}}};
  if (one.bound_exists) {
    accounts.list.push_back(
        {AccountId{"bound"}, {"k-bound"}, {}, {RegionId{"nairobi"}}, {}});
  }
  IndexAccounts(accounts);
  const RouteAccess route{true, one.has_homes};
  const auto result = [&](bool confirmed) {
    return AuthenticateCaller(accounts, one.key, route, confirmed).result;
  };
  CHECK(result(true) == one.confirmed);
  CHECK(result(false) == one.unconfirmed);
  // A route that is not public needs a key in both cases.
  CHECK(
      AuthenticateCaller(accounts, "", {false, one.has_homes}, false).result ==
      AuthenticationResult::kMissingKey);
}

// Guards against HOME: callers whose region has no instance are led to a region
// that is a home of none of their routes.
TEST_CASE("callers are led to the homes of most routes of their host") {
  struct Case {
    std::vector<std::vector<std::string>> homes;  // Of the host's routes.
    std::string expected;
  };
  const Case one = GENERATE(values<Case>({
      {{{"nairobi", "mombasa"}, {"nairobi"}, {"mombasa"}},
       "nairobi-1 mombasa-1"},
      {{{"nairobi", "mombasa"}, {"mombasa"}}, "mombasa-1"},
      {{{"nairobi"}, {"mombasa"}, {}}, "nairobi-1 mombasa-1"},
      {{{}, {}}, "nairobi-1 mombasa-1 lamu-1"},
      {{{"elsewhere"}}, "nairobi-1 mombasa-1 lamu-1"},
  }));
  FleetGateway world;
  RouteCatalogue catalogue = FleetGateway::Catalogue(2);
  catalogue.routes.clear();
  for (const std::vector<std::string>& homes : one.homes) {
    Route route = FleetGateway::Catalogue(2).routes.front();
    route.prefix = "/" + std::to_string(catalogue.routes.size()) + "/";
    route.regions.clear();
    for (const std::string& home : homes) {
      route.regions.emplace_back(home);
    }
    catalogue.routes.push_back(route);
  }
  IndexRoutes(catalogue);
  world.Give(CatalogueReceived{
      std::make_shared<const RouteCatalogue>(std::move(catalogue))});
  world.Instance("mombasa-1", "mombasa");
  world.Instance("lamu-1", "lamu");
  std::string named;
  for (const EntryInstance& entry :
       EntriesFor(View(world.gateway(), world.now()), RegionId{"kisumu"},
                  "nets.example")) {
    named += (named.empty() ? "" : " ") + entry.id.value();
  }
  CHECK(named == one.expected);
}

}  // namespace
}  // namespace mimosagauge
