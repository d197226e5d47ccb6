// The gateway under allowances: which requests are held, admitted and refused,
// what is charged, and what is returned.

#include <catch2/catch.hpp>
#include <cmath>
#include <limits>

#include "mimosagauge/impl/wire/allowance_codec.h"
#include "tests/support/fleet_gateway.h"

namespace mimosagauge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::Find;
using testing::FleetGateway;

const InstanceId kLender{"nairobi-0"};

// An instance that enforces allowances: `account` may use 100 tokens a second,
// and 10 are counted for a request.
class AllowanceGateway {
 public:
  explicit AllowanceGateway(bool lends_itself) {
    Gateway& gateway = world_.gateway();
    gateway.config.allowances.enforced = true;
    gateway.config.allowances.slack = 0;
    gateway.allowances =
        MakeAllowances(gateway.config.instance, gateway.config.region,
                       gateway.config.allowances, world_.now(), 5);
    RouteCatalogue catalogue = FleetGateway::Catalogue(2);
    Account account;
    account.id = AccountId{"account"};
    account.allowance = {AllowanceUnit::kTokens, 100, 100, 10};
    catalogue.accounts.list = {account};
    IndexAccounts(catalogue.accounts);
    world_.Give(CatalogueReceived{
        std::make_shared<const RouteCatalogue>(std::move(catalogue))});
    world_.Upstream("desk-1", "desk");
    world_.Upstream("desk-2", "desk");
    world_.Instance(kLender.value(), "nairobi");
    RegistrationTable table;
    table.revision = 9;
    table.own_entry_lease = 7;
    table.list = {{gateway.config.instance, RegionId{"nairobi"}, 5, 5}};
    if (!lends_itself) {
      table.list.push_back({kLender, RegionId{"nairobi"}, 4, 4});
    }
    world_.Give(RegistrationsReceived{table});
    world_.Give(LeaseRenewed{7, world_.now() + seconds(60)});
    world_.Pass(milliseconds(10));
  }

  std::vector<Effect> Request(const std::string& path = "/status/1",
                              Origin origin = Origin::kCaller) {
    auto head = std::make_shared<RequestHead>();
    head->account = AccountId{"account"};
    head->host = "nets.example";
    head->method = "POST";
    head->target = path;
    head->caller_path = path;
    head->remaining = seconds(10);
    head->revision = Revision{2};
    if (origin == Origin::kLink) {
      head->path = {{RegionId{"mombasa"}, "mombasa-1"}};
    }
    last_ = RequestNumber{next_ += 2};
    return world_.Give(RequestArrived{last_, origin, head,
                                      std::make_shared<const std::string>()});
  }
  std::vector<Effect> Respond(const SendAllowance& sent, GrantOutcome outcome,
                              double amount, Duration retry_after = {}) {
    REQUIRE(sent.message->requests.size() == 1);
    const AllowanceRequest& request = sent.message->requests.front();
    AllowanceGrant grant{request.account,   request.nonce, outcome, amount,
                         milliseconds(500), retry_after,   0};
    return world_.Give(AllowanceReceived{kLender, {{}, {grant}}});
  }
  [[nodiscard]] FleetGateway& world() { return world_; }
  [[nodiscard]] RequestNumber last() const { return last_; }
  [[nodiscard]] double balance() {
    return UsableUnits(world_.gateway().allowances.borrower, world_.now());
  }

 private:
  FleetGateway world_;
  std::uint64_t next_ = 100;
  RequestNumber last_;
};

TEST_CASE("a request is held until a lender has answered") {
  struct Case {
    const char* what;
    GrantOutcome outcome;
    double amount;
    std::uint16_t status;  // Zero: it goes to an upstream.
  };
  const Case one = GENERATE(
      values<Case>({{"granted", GrantOutcome::kGranted, 10, 0},
                    {"exceeded", GrantOutcome::kExceeded, 0, 429},
                    {"unknown", GrantOutcome::kUnknownAccount, 0, 503}}));
  CAPTURE(one.what);
  AllowanceGateway one_gateway(false);
  const auto sent = Find<SendAllowance>(one_gateway.Request());
  REQUIRE(sent);
  CHECK(sent->to == kLender);
  CHECK(sent->message->requests.front().need == 10);
  const auto effects =
      one_gateway.Respond(*sent, one.outcome, one.amount, milliseconds(700));
  CHECK(Find<StartUpstreamAttempt>(effects).has_value() == (one.status == 0));
  const auto problem = Find<SendProblem>(effects);
  CHECK((problem ? problem->problem.status : 0) == one.status);
  if (problem) {
    CHECK(problem->problem.run == RunState::kNotRun);
    CHECK(problem->problem.retry_after ==
          (one.status == 429 ? milliseconds(700) : milliseconds(1000)));
  }
}

// Guards against a request that waits for a lender that is gone until its
// caller gives up.
TEST_CASE("a request is held no longer than a quarter of a second") {
  AllowanceGateway gateway(false);
  REQUIRE(Find<SendAllowance>(gateway.Request()));
  int held_ms = 0;
  std::optional<SendProblem> problem;
  while (!problem && held_ms < 1000) {
    held_ms += 10;
    problem = Find<SendProblem>(gateway.world().Pass(milliseconds(10)));
  }
  REQUIRE(problem);
  CHECK(held_ms == 250);
  CHECK(problem->problem.status == 503);
  CHECK(problem->problem.run == RunState::kNotRun);
  CHECK(gateway.world().gateway().requests.empty());
}

TEST_CASE("an instance that lends admits its own requests") {
  AllowanceGateway gateway(true);
  gateway.world().Pass(seconds(1));
  for (int i = 0; i < 9; ++i) {
    REQUIRE(Find<StartUpstreamAttempt>(gateway.Request()));
  }
  const auto problem = Find<SendProblem>(gateway.Request());
  REQUIRE(problem);
  CHECK(problem->problem.status == 429);
}

// Guards against an account that is charged for requests that did not run, and
// against free runs.
TEST_CASE("the charge of a request is returned if it did not run") {
  struct Case {
    RunState run;
    double balance;
  };
  const Case one = GENERATE(values<Case>(
      {{RunState::kNotRun, 10}, {RunState::kUnknown, 0}, {RunState::kRan, 0}}));
  AllowanceGateway gateway(false);
  const auto sent = Find<SendAllowance>(gateway.Request("/deposit/1"));
  REQUIRE(sent);
  auto effects = gateway.Respond(*sent, GrantOutcome::kGranted, 10);
  CHECK(gateway.balance() == 0);
  while (const auto start = Find<StartUpstreamAttempt>(effects)) {
    effects = gateway.world().Fail(start->attempt, one.run);
  }
  REQUIRE(Find<SendProblem>(effects));
  CHECK(gateway.balance() == Approx(one.balance));
}

// Guards against retries beyond the allowance.
TEST_CASE("a further run of a request needs a balance of its own") {
  struct Case {
    GrantOutcome outcome;
    bool runs;
  };
  const Case one = GENERATE(values<Case>(
      {{GrantOutcome::kGranted, true}, {GrantOutcome::kExceeded, false}}));
  AllowanceGateway gateway(false);
  const auto sent = Find<SendAllowance>(gateway.Request());
  REQUIRE(sent);
  const auto effects = gateway.Respond(*sent, GrantOutcome::kGranted, 10);
  const auto start = Find<StartUpstreamAttempt>(effects);
  REQUIRE(start);
  const auto failed = gateway.world().Fail(start->attempt, RunState::kUnknown);
  CHECK_FALSE(Find<StartUpstreamAttempt>(failed));
  const auto further = Find<SendAllowance>(failed);
  REQUIRE(further);
  const auto decided = gateway.Respond(*further, one.outcome, one.runs ? 10 : 0,
                                       milliseconds(100));
  CHECK(Find<StartUpstreamAttempt>(decided).has_value() == one.runs);
  const auto problem = Find<SendProblem>(decided);
  CHECK((problem ? problem->problem.status : 0) == (one.runs ? 0 : 502));
}

// Guards against a grant that is lost with the caller it was requested for, and
// against requests that are charged again where they are forwarded to.
TEST_CASE("abandoned and forwarded requests are not charged") {
  AllowanceGateway gateway(false);
  const auto sent = Find<SendAllowance>(gateway.Request());
  REQUIRE(sent);
  gateway.world().Give(RequestAbandoned{gateway.last()});
  const auto effects = gateway.Respond(*sent, GrantOutcome::kGranted, 10);
  CHECK_FALSE(Find<StartUpstreamAttempt>(effects));
  CHECK(gateway.balance() == Approx(10));
  CHECK(
      Find<StartUpstreamAttempt>(gateway.Request("/status/1", Origin::kLink)));
  CHECK(gateway.balance() == Approx(10));
}

// Guards against messages of a faulty instance that create amounts.
TEST_CASE("a message about allowances is read whole or not at all") {
  AllowanceMessage message;
  message.requests.push_back(
      {AccountHash{3}, AllowanceNonce{4}, 17140, 0.5, true});
  message.grants.push_back({AccountHash{3}, AllowanceNonce{4},
                            GrantOutcome::kPending, 5, milliseconds(500),
                            milliseconds(40), -7});
  const std::string bytes = EncodeAllowance(message);
  const auto read = DecodeAllowance(bytes);
  REQUIRE(read);
  CHECK(EncodeAllowance(read.value()) == bytes);
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    CHECK_FALSE(DecodeAllowance(bytes.substr(0, size)));
  }
  const double bad = GENERATE(-1.0, std::numeric_limits<double>::infinity(),
                              std::numeric_limits<double>::quiet_NaN());
  AllowanceMessage faulty = message;
  faulty.grants[0].amount = bad;
  CHECK_FALSE(DecodeAllowance(EncodeAllowance(faulty)));
  faulty = message;
  faulty.requests[0].need = bad;
  CHECK_FALSE(DecodeAllowance(EncodeAllowance(faulty)));
}

}  // namespace
}  // namespace mimosagauge
