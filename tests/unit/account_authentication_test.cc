// Authentication of requests by the keys of accounts: who is served, under
// which homes and priority, and that keys reach neither upstreams nor links.

#include <boost/algorithm/string/predicate.hpp>
#include <catch2/catch.hpp>
#include <optional>
#include <string>

#include "platform/adapter.h"
#include "tests/support/fleet_gateway.h"

namespace mimosagauge {
namespace {

namespace http = boost::beast::http;
using std::chrono::seconds;
using testing::Find;
using testing::FleetGateway;

// Accounts `open` (key k-open), `first` (k-first, k-second; priority 7) and
// `bound` (k-bound; home kisumu). The route /status/ is public, and /size/ has
// the homes nairobi and mombasa.
void AdoptAccounts(FleetGateway& world, std::uint64_t revision,
                   bool with_open = true) {
  RouteCatalogue catalogue = FleetGateway::Catalogue(revision);
  catalogue.routes[2].is_public = true;
  catalogue.accounts.required = true;
  catalogue.accounts.list = {
      {AccountId{"first"}, {"k-first", "k-second"}, 7, {}, {}},
      {AccountId{"bound"}, {"k-bound"}, {}, {RegionId{"kisumu"}}, {}}};
  if (with_open) {
    catalogue.accounts.list.push_back(
        {AccountId{"open"}, {"k-open"}, {}, {}, {}});
  }
  IndexAccounts(catalogue.accounts);
  world.Give(CatalogueReceived{
      std::make_shared<const RouteCatalogue>(std::move(catalogue))});
}

// `forwarded_for` is the account that another instance states; without a value
// the request comes from a caller.
[[nodiscard]] std::vector<Effect> Send(
    FleetGateway& world, const std::string& path, const std::string& key,
    const std::optional<std::string>& forwarded_for = {}) {
  static std::uint64_t next_number = 100;
  auto head = std::make_shared<RequestHead>();
  head->id = RequestId{"a" + std::to_string(next_number += 2)};
  head->host = "nets.example";
  head->method = "POST";
  head->target = path;
  head->credential = key;
  head->account = AccountId{forwarded_for.value_or("")};
  head->revision = Revision{1};
  head->headers = {{"X-Other", "kept"}, {"aUthorization", "Bearer " + key}};
  if (forwarded_for) {
    head->path = {{RegionId{"mombasa"}, "mombasa-1"}};
  }
  return world.Give(
      RequestArrived{RequestNumber{next_number},
                     forwarded_for ? Origin::kLink : Origin::kCaller, head,
                     std::make_shared<const std::string>("x")});
}

void CheckWithoutKey(const RequestHead& head) {
  CHECK(head.credential.empty());
  CHECK(head.headers == std::vector<Header>{{"X-Other", "kept"}});
}

// Guards against: requests that run without a key or outside of their homes,
// keys that reach an upstream or a link, and a 401 where none is needed.
TEST_CASE("requests are served by the keys that they have") {
  const std::optional<std::string> caller;
  struct Case {
    std::string path;
    std::string key;
    std::optional<std::string> forwarded_for;
    std::string region;    // Of the one place that could serve it.
    std::uint16_t status;  // Zero: it is sent there.
    std::string account;
    std::uint8_t priority = 0;
  };
  const Case one = GENERATE_COPY(values<Case>({
      {"/quote/1", "k-open", caller, "nairobi", 0, "open", 1},
      {"/quote/1", "k-first", caller, "nairobi", 0, "first", 7},
      {"/quote/1", "k-second", caller, "nairobi", 0, "first", 7},
      {"/quote/1", "k-firs", caller, "nairobi", 401, ""},
      {"/quote/1", "", caller, "nairobi", 401, ""},
      {"/status/1", "", caller, "nairobi", 0, "", 2},
      {"/status/1", "k-unknown", caller, "nairobi", 0, "", 2},
      {"/status/1", "k-first", caller, "nairobi", 0, "first", 7},
      {"/nothing/1", "", caller, "nairobi", 404, ""},
      {"/quote/1", "k-bound", caller, "nairobi", 503, ""},
      {"/quote/1", "k-open", caller, "mombasa", 0, "open"},
      {"/quote/1", "k-bound", caller, "mombasa", 503, ""},
      {"/quote/1", "k-bound", caller, "kisumu", 0, "bound"},
      {"/size/1", "k-open", caller, "mombasa", 0, "open"},
      {"/size/1", "k-open", caller, "kisumu", 503, ""},
      {"/size/1", "k-bound", caller, "kisumu", 503, ""},
      // Another instance has authenticated these.
      {"/quote/1", "k-open", "open", "nairobi", 0, "open", 1},
      {"/quote/1", "k-open", "removed", "nairobi", 503, ""},
      {"/quote/1", "k-open", "", "nairobi", 503, ""},
      {"/quote/1", "k-open", "bound", "nairobi", 503, ""},
      {"/status/1", "k-open", "", "nairobi", 0, "", 2},
  }));
  CAPTURE(one.path, one.key, one.region);
  FleetGateway world;
  AdoptAccounts(world, 2);
  if (one.region == "nairobi") {
    world.Upstream("engine-1", "engines");
    world.Upstream("desk-1", "desk");
  } else {
    world.Instance(one.region + "-1", one.region);
  }
  const auto effects = Send(world, one.path, one.key, one.forwarded_for);
  const auto problem = Find<SendProblem>(effects);
  CHECK((problem ? problem->problem.status : 0) == one.status);
  CHECK((!problem || problem->problem.run == RunState::kNotRun));
  const auto here = Find<StartUpstreamAttempt>(effects);
  const auto there = Find<StartLinkAttempt>(effects);
  REQUIRE((here || there) == (one.status == 0));
  if (here || there) {
    const RequestHead& head = here ? *here->head : *there->head;
    CHECK(head.account.value() == one.account);
    CheckWithoutKey(head);
    CHECK((!here || here->priority == one.priority));
  }
}

TEST_CASE("a configuration without accounts changes nothing") {
  FleetGateway world;
  world.Upstream("engine-1", "engines");
  const auto start = Find<StartUpstreamAttempt>(Send(world, "/quote/1", "k"));
  REQUIRE(start);
  CHECK(start->head->account.empty());
  CHECK(start->head->headers.size() == 2);
}

// Guards against: the homes of an account are forgotten with the account, or a
// key reaches an upstream, because the configuration changes while a request
// waits.
TEST_CASE("waiting requests are held to the accounts of a new configuration") {
  FleetGateway world;
  AdoptAccounts(world, 2);
  world.Upstream("engine-1", "engines", false, seconds(3));
  for (int i = 0; i < 50 && world.gateway().waiting.lines.empty(); ++i) {
    static_cast<void>(Send(world, "/quote/1", "k-open"));
  }
  REQUIRE_FALSE(world.gateway().waiting.lines.empty());
  AdoptAccounts(world, 3, false);
  CHECK(world.gateway().waiting.lines.empty());
  CHECK(world.gateway().metrics.accounts.refused.at("account-gone") > 0);

  FleetGateway earlier;
  earlier.Upstream("engine-1", "engines", false, seconds(3));
  static_cast<void>(Send(earlier, "/quote/1", "k-any"));
  AdoptAccounts(earlier, 2);
  REQUIRE(earlier.gateway().requests.size() == 1);
  CheckWithoutKey(*earlier.gateway().requests.begin()->second.arrival.head);
}

[[nodiscard]] RequestHead ReadHead(const std::vector<Header>& fields) {
  http::request_header<> header;
  header.version(11);
  header.method_string("POST");
  header.target("/quote/1");
  header.insert("X-Mimosagauge-Request-Id", "9c41");
  for (const Header& field : fields) {
    header.insert(field.name, field.value);
  }
  const Settings settings;
  const std::vector<AccountSettings> none;
  const CallerRequest read = platform::Callers().read_header(
      header, settings, AccountRegistry(none), ListenerKind::kCallers);
  return std::get<UpstreamRequest>(read).head;
}

TEST_CASE("the bearer key of a request is read") {
  const auto [value, key] =
      GENERATE(table<std::string, std::string>({{"Bearer k-1", "k-1"},
                                                {"bearer   k-1", "k-1"},
                                                {"Basic k-1", ""},
                                                {"Bearer", ""},
                                                {"Bearerk-1", ""},
                                                {"", ""}}));
  CAPTURE(value);
  const RequestHead head = ReadHead({{"Authorization", value}});
  CHECK(head.credential == key);
  CHECK(head.headers == std::vector<Header>{{"Authorization", value}});
  CHECK(ReadHead({{"Authorization", value}, {"Authorization", "Bearer k-2"}})
            .credential.empty());
}

// Guards against: a caller that names another account to the upstream.
TEST_CASE("only the instance names the account to the upstream") {
  const std::string account = GENERATE("", "open");
  RequestHead head = ReadHead(
      {{"x-mimosagauge-TENANT", "forged"}, {"X-Mimosagauge-Tenant", "twice"}});
  CHECK(head.headers.empty());
  head.account = AccountId{account};
  StartUpstreamAttempt attempt;
  attempt.head = std::make_shared<const RequestHead>(head);
  const std::string text =
      platform::Upstreams().format_header(attempt, UpstreamSettings{});
  CHECK(boost::contains(text, "X-Mimosagauge-Tenant: open\r\n") ==
        (account == "open"));
  CHECK(boost::icontains(text, "tenant") == !account.empty());
}

}  // namespace
}  // namespace mimosagauge
