// Second attempts of late requests in the gateway: when they start, and how the
// two attempts of a request end.

#include <algorithm>
#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <vector>

#include "tests/support/hedged_gateway.h"

namespace mimosagauge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::Find;
using testing::FleetRequest;
using testing::HedgedGateway;

[[nodiscard]] FleetRequest To(const std::string& path) {
  FleetRequest request;
  request.path = path;
  request.prompt = {383, 45, {{7, 92}, {8, 291}}};
  return request;
}

[[nodiscard]] std::vector<UpstreamId> CanceledOf(
    const std::vector<Effect>& effects,
    const std::vector<StartUpstreamAttempt>& starts) {
  std::vector<UpstreamId> canceled;
  for (const Effect& effect : effects) {
    const auto* upstreams = std::get_if<ForUpstreams>(&effect);
    const auto* cancel = upstreams == nullptr
                             ? nullptr
                             : std::get_if<CancelAttempt>(&upstreams->effect);
    for (const StartUpstreamAttempt& start : starts) {
      if (cancel != nullptr && cancel->attempt == start.attempt) {
        canceled.push_back(start.upstream);
      }
    }
  }
  return canceled;
}

void ReplaceRoute(HedgedGateway& world, const std::string& id,
                  void (*change)(Route&)) {
  RouteCatalogue catalogue = HedgedGateway::Catalogue(2);
  for (Route& route : catalogue.routes) {
    if (route.id == RouteId{id}) {
      change(route);
    }
  }
  world.Give(CatalogueReceived{
      std::make_shared<const RouteCatalogue>(std::move(catalogue))});
}

// Calls `change` for the upstreams of `desk` but the one of the first attempt.
template <typename Change>
void ForOthers(HedgedGateway& world, const UpstreamId& first, Change&& change) {
  for (const char* number : {"1", "2", "3"}) {
    const std::string id = std::string("desk-") + number;
    if (id != first.value()) {
      change(id, *FindUpstream(world.gateway().upstreams, UpstreamId{id}));
    }
  }
}

// Guards against: a hedge of what may run once only, or one that is sent where
// the page forbids it.
TEST_CASE("a second attempt starts only where it is allowed") {
  struct Case {
    std::string name;
    std::string path;
    HedgeBlock block;  // `kNone`: a second attempt starts.
    // What happens between the start of the first attempt, at the upstream, and
    // the time when its answer is late.
    void (*change)(HedgedGateway&, const UpstreamId&);
  };
  using World = HedgedGateway;
  using Id = UpstreamId;
  const Case one = GENERATE(values<Case>({
      {"idempotent", "/status/1", HedgeBlock::kNone, [](World&, const Id&) {}},
      {"stream that resumes", "/size/1", HedgeBlock::kNone,
       [](World&, const Id&) {}},
      {"runs once", "/deposit/1", HedgeBlock::kNotRepeatable,
       [](World&, const Id&) {}},
      {"stream that does not resume", "/quote/1", HedgeBlock::kNotRepeatable,
       [](World&, const Id&) {}},
      {"route became run once", "/status/1", HedgeBlock::kNotRepeatable,
       [](World& world, const Id&) {
         ReplaceRoute(world, "status",
                      [](Route& route) { route.idempotent = false; });
       }},
      {"route allows one attempt", "/status/1", HedgeBlock::kRoute,
       [](World& world, const Id&) {
         ReplaceRoute(world, "status",
                      [](Route& route) { route.attempts = 1; });
       }},
      {"homes elsewhere", "/status/1", HedgeBlock::kServiceFull,
       [](World& world, const Id&) {
         ReplaceRoute(world, "status", [](Route& route) {
           route.regions = {RegionId{"mombasa"}};
         });
       }},
      {"account with an allowance", "/status/1", HedgeBlock::kAccount,
       [](World& world, const Id&) {
         RouteCatalogue catalogue = World::Catalogue(2);
         Account account;
         account.allowance.per_second = 100;
         catalogue.accounts.list = {account};
         IndexAccounts(catalogue.accounts);
         world.Give(CatalogueReceived{
             std::make_shared<const RouteCatalogue>(catalogue)});
       }},
      {"shutting down", "/status/1", HedgeBlock::kLeaving,
       [](World& world, const Id&) { world.Give(DrainRequested{}); }},
      {"no usual time known", "/status/1", HedgeBlock::kNoEstimate,
       [](World& world, const Id&) {
         world.gateway().hedging.services[ServiceId{"desk"}].times = {};
       }},
      {"limit reached", "/status/1", HedgeBlock::kLimit,
       [](World& world, const Id&) {
         world.gateway().hedging.services[ServiceId{"desk"}].budget = {};
       }},
      {"retry budget used up", "/status/1", HedgeBlock::kRetryBudget,
       [](World& world, const Id&) {
         world.gateway().budgets[ServiceId{"desk"}].tokens = 0.9;
       }},
      {"others leave", "/status/1", HedgeBlock::kServiceFull,
       [](World& world, const Id& first) {
         ForOthers(world, first, [&](const std::string& id, UpstreamState&) {
           world.Upstream(id, "desk", true);
         });
       }},
      {"others are cold", "/status/1", HedgeBlock::kServiceFull,
       [](World& world, const Id& first) {
         ForOthers(world, first, [&](const std::string&, UpstreamState& other) {
           other.rate.cold_rate = 1000;  // Requests are allowed, at this rate.
           other.rate.owned = true;
           ExtendColdPeriod(other.rate, seconds(5), world.now());
         });
       }},
      {"others name a limit", "/status/1", HedgeBlock::kServiceFull,
       [](World& world, const Id& first) {
         ForOthers(world, first, [&](const std::string&, UpstreamState& other) {
           other.rate.owned = true;
           RecordNamedLimit(other.rate, {1000, world.now()}, world.now());
         });
       }},
      {"others are ejected", "/status/1", HedgeBlock::kServiceFull,
       [](World& world, const Id& first) {
         ForOthers(world, first, [&](const std::string&, UpstreamState& other) {
           other.health.ejected_until = world.now() + seconds(1);
         });
       }},
      {"others report that they are full", "/status/1",
       HedgeBlock::kServiceFull,
       [](World& world, const Id& first) {
         ForOthers(world, first, [&](const std::string&, UpstreamState& other) {
           RecordLoadReport(other.load, {6, 0, 6}, 0, world.now());
         });
       }},
      {"others are full by the digests", "/status/1", HedgeBlock::kServiceFull,
       [](World& world, const Id& first) {
         ForOthers(world, first, [&](const std::string&, UpstreamState& other) {
           RecordPeerLoad(other.load, InstanceId{"nairobi-2"},
                          {6, 0, world.now()}, 0, world.now());
         });
       }},
      {"one other has a queue", "/status/1", HedgeBlock::kNone,
       [](World& world, const Id& first) {
         bool second = false;
         ForOthers(world, first, [&](const std::string&, UpstreamState& other) {
           RecordLoadReport(other.load,
                            second ? LoadReport{3, 0, 6} : LoadReport{6, 2, 6},
                            0, world.now());
           second = true;
         });
       }},
      {"zone evacuated", "/status/1", HedgeBlock::kServiceFull,
       [](World& world, const Id&) {
         world.Give(ZoneEvacuated{ZoneId{"nairobi-a"}, true});
       }},
      {"content that crashes upstreams", "/status/1", HedgeBlock::kSuspected,
       [](World& world, const Id&) {
         world.gateway().poison.poison[ContentId{7}].refused_until =
             world.now() + seconds(60);
       }},
      {"requests wait", "/status/1", HedgeBlock::kServiceFull,
       [](World& world, const Id&) {
         static_cast<void>(
             Enqueue(world.gateway().waiting,
                     {ServiceId{"desk"},
                      {2, world.now() + seconds(1), RequestNumber{9000}}}));
       }},
  }));
  CAPTURE(one.name);
  HedgedGateway world;
  const auto first =
      Find<StartUpstreamAttempt>(world.Request(To(one.path)).second);
  REQUIRE(first);
  one.change(world, first->upstream);
  const std::uint64_t before = world.Blocked("desk", one.block);
  const auto second =
      Find<StartUpstreamAttempt>(world.Pass(HedgedGateway::kLate));
  CHECK(second.has_value() == (one.block == HedgeBlock::kNone));
  if (second) {
    CHECK(second->upstream != first->upstream);
    CHECK(second->remaining == first->remaining - HedgedGateway::kLate);
  } else if (one.path == "/status/1") {
    CHECK(world.Blocked("desk", one.block) == before + 1);
  }
}

// Guards against: hedges of requests whose callers rely on a key, and of a
// stream that the caller continues.
TEST_CASE("requests with a key or a position in a stream are not hedged") {
  const bool keyed = GENERATE(true, false);
  HedgedGateway world;
  auto head = std::make_shared<RequestHead>();
  head->id = RequestId{"r"};
  head->host = "nets.example";
  head->target = head->caller_path = "/size/1";
  if (keyed) {
    head->key = IdempotencyKey{"key"};
  } else {
    head->resume_after = "4";
  }
  const auto effects =
      world.Give(RequestArrived{RequestNumber{9000}, Origin::kCaller, head,
                                std::make_shared<const std::string>()});
  REQUIRE(Find<StartUpstreamAttempt>(effects));
  CHECK_FALSE(Find<StartUpstreamAttempt>(world.Pass(seconds(1))));
}

// Guards against: two instances that hedge the same request.
TEST_CASE("only the instance that sends to the upstream hedges") {
  HedgedGateway world;
  world.Instance("mombasa-1", "mombasa");
  const bool forwarded = GENERATE(true, false);
  FleetRequest request = To("/status/1");
  if (forwarded) {
    for (const char* number : {"1", "2", "3"}) {
      world.Upstream(std::string("desk-") + number, "desk", true);
    }
  } else {
    request.origin = Origin::kLink;
  }
  const auto [effects, late] = world.RequestLate(request);
  CHECK(Find<StartLinkAttempt>(effects).has_value() == forwarded);
  CHECK_FALSE(Find<StartLinkAttempt>(late));
  CHECK(Find<StartUpstreamAttempt>(late).has_value() == !forwarded);
}

// Lets something happen to a request whose first and second attempts run, such
// as "second answers 503".
std::vector<Effect> Apply(HedgedGateway& world, const std::string& move,
                          RequestNumber number,
                          const std::vector<StartUpstreamAttempt>& starts) {
  const AttemptNumber attempt =
      starts[move.starts_with("first") ? 0 : 1].attempt;
  if (move.ends_with("answers")) {
    return world.Answer(attempt, 200);
  }
  if (move.ends_with("answers 503")) {
    return world.Answer(attempt, 503);
  }
  if (move.ends_with("fails")) {
    return world.Fail(attempt, RunState::kUnknown);
  }
  if (move.ends_with("refuses")) {
    return world.Fail(attempt, RunState::kNotRun, ErrorKind::kOverloaded);
  }
  if (move.ends_with("ends without a head")) {
    return world.Give(AttemptEnded{attempt});
  }
  if (move == "caller leaves") {
    return world.Give(RequestAbandoned{number});
  }
  if (move == "time passes") {
    return world.Pass(seconds(2));
  }
  if (move == "drain times out") {
    world.Give(DrainRequested{});
    auto& limits = world.gateway().config.limits;
    limits.leave_notice = limits.drain = milliseconds(1);
    return world.Pass(milliseconds(2));
  }
  REQUIRE(move == "its content crashes upstreams");
  LoadDigest digest;
  digest.poison.poison.push_back(
      {ContentId{7}, seconds(1), seconds(600), seconds(600), 2});
  return world.Give(LoadReceived{InstanceId{"mombasa-1"}, digest});
}

[[nodiscard]] std::vector<std::string> Split(const std::string& moves) {
  std::vector<std::string> list;
  for (std::size_t from = 0; from < moves.size();) {
    const std::size_t to = std::min(moves.size(), moves.find(", ", from));
    list.push_back(moves.substr(from, to - from));
    from = to + 2;
  }
  return list;
}

// Guards against: answers of two attempts in one, an attempt that goes on after
// the request ended, a retry beside a running attempt, runs above the route's
// two, and a run state that forgets one of the attempts.
TEST_CASE("a request with two attempts gets one answer, from one of them") {
  struct Case {
    std::string moves;
    std::string winner;    // `first`, `second` or none.
    std::uint16_t status;  // Of the problem; zero: none.
    RunState run;          // Of the problem.
    std::string canceled;
    std::size_t retries;  // Attempts started after the two.
  };
  constexpr RunState kRan = RunState::kRan;
  constexpr RunState kUnknown = RunState::kUnknown;
  const Case one = GENERATE_COPY(values<Case>({
      {"first answers", "first", 0, kRan, "second ", 0},
      {"second answers", "second", 0, kRan, "first ", 0},
      {"second answers, first answers", "second", 0, kRan, "first ", 0},
      {"second answers, first fails", "second", 0, kRan, "first ", 0},
      {"first fails, second answers", "second", 0, kRan, "", 0},
      {"second fails, first answers", "first", 0, kRan, "", 0},
      {"first fails, second fails", "", 502, kUnknown, "", 0},
      {"second fails, first fails", "", 502, kUnknown, "", 0},
      {"second refuses, first answers", "first", 0, kRan, "", 0},
      // One run is left.
      {"second refuses, first fails", "", 0, kRan, "", 1},
      {"first refuses, second fails", "", 0, kRan, "", 1},
      {"first refuses, second refuses", "", 0, kRan, "", 1},
      {"first answers 503, second answers", "second", 0, kRan, "first ", 0},
      {"second answers 503, first answers", "first", 0, kRan, "second ", 0},
      {"first answers 503, second fails", "", 502, kRan, "first ", 0},
      {"first ends without a head, second answers", "second", 0, kRan, "", 0},
      {"first ends without a head, second fails", "", 502, kUnknown, "", 0},
      {"caller leaves", "", 0, kRan, "second first ", 0},
      {"time passes", "", 504, kUnknown, "second first ", 0},
      {"drain times out", "", 502, kUnknown, "second first ", 0},
      {"its content crashes upstreams", "", 502, kUnknown, "second first ", 0},
  }));
  CAPTURE(one.moves);
  HedgedGateway world;
  world.Instance("mombasa-1", "mombasa");
  const auto [number, effects] = world.Request(To("/status/1"));
  const auto first = Find<StartUpstreamAttempt>(effects);
  const auto second =
      Find<StartUpstreamAttempt>(world.Pass(HedgedGateway::kLate));
  REQUIRE(first);
  REQUIRE(second);
  const std::vector<StartUpstreamAttempt> starts{*first, *second};
  const auto name = [&](const std::string& id) {
    return id == first->upstream.value()
               ? "first"
               : (id == second->upstream.value() ? "second" : "third");
  };
  std::vector<Effect> all;
  for (const std::string& move : Split(one.moves)) {
    for (Effect& effect : Apply(world, move, number, starts)) {
      all.push_back(std::move(effect));
    }
  }
  const auto head = Find<SendAnswerHead>(all);
  CHECK((head ? name(head->head.path.back().name) : "") == one.winner);
  CHECK(Find<SendAnswerEnd>(all).has_value() == head.has_value());
  const auto problem = Find<SendProblem>(all);
  CHECK((problem ? problem->problem.status : 0) == one.status);
  if (problem) {
    CHECK(problem->problem.run == one.run);
  }
  std::string canceled;
  for (const UpstreamId& id : CanceledOf(all, starts)) {
    canceled += name(id.value()) + std::string(" ");
  }
  CHECK(canceled == one.canceled);
  const auto retry = Find<StartUpstreamAttempt>(all);
  CHECK((retry ? 1U : 0U) == one.retries);
  if (retry) {
    CHECK(std::string(name(retry->upstream.value())) == "third");
    world.Answer(retry->attempt, 200);
  }
  const Gateway& gateway = world.gateway();
  CHECK(gateway.requests.empty());
  CHECK(gateway.attempts.empty());
  CHECK(gateway.hedging.checks.empty());
  for (const UpstreamState& upstream : gateway.upstreams.upstreams) {
    CHECK(upstream.in_flight == 0);
  }
  const HedgeMetrics& metrics =
      gateway.metrics.services.at(ServiceId{"desk"}).hedges;
  CHECK(metrics.started == 1);
  CHECK(metrics.won == (one.winner == "second" ? 1 : 0));
  CHECK(metrics.won + metrics.lost == 1);
}

// Guards against: a hedge takes the place of the run that a broken stream needs
// without being counted, so that three upstreams run a request of two attempts.
TEST_CASE("a hedge counts as a run when its stream breaks later") {
  HedgedGateway world;
  const auto [effects, late] = world.RequestLate(To("/size/1"));
  const auto second = Find<StartUpstreamAttempt>(late);
  REQUIRE(second);
  world.Answer(second->attempt, 200, true);
  world.Give(AttemptBodyReceived{second->attempt, "id: 1\n\n", "1"});
  const auto broken = world.Fail(second->attempt, RunState::kRan);
  CHECK_FALSE(Find<StartUpstreamAttempt>(broken));
  CHECK(Find<AbortAnswer>(broken));
}

// Guards against: an upstream that never responds loses all races, and is never
// ejected because its attempts are canceled before they are overdue.
TEST_CASE("an upstream that loses every race without a response is ejected") {
  HedgedGateway world;
  const UpstreamId silent{"desk-1"};
  int lost = 0;
  for (int i = 0; i < 200; ++i) {
    world.gateway().hedging.services[ServiceId{"desk"}].budget.tokens = 1;
    const auto effects = world.Request(To("/status/1")).second;
    const auto start = Find<StartUpstreamAttempt>(effects);
    REQUIRE(start);
    if (start->upstream != silent) {
      world.Pass(milliseconds(20));
      world.Answer(start->attempt);
      continue;
    }
    std::optional<StartUpstreamAttempt> second;
    for (int wait = 0; wait < 40 && !second; ++wait) {
      second = Find<StartUpstreamAttempt>(world.Pass(milliseconds(10)));
    }
    REQUIRE(second);
    world.Answer(second->attempt);
    ++lost;
    const auto& health =
        FindUpstream(world.gateway().upstreams, silent)->health;
    if (health.ejected_until > world.now()) {
      break;
    }
  }
  CHECK(lost <= 6);
  CHECK(FindUpstream(world.gateway().upstreams, silent)->health.ejected_until >
        world.now());
}

// Guards against: other deployments behave differently.
TEST_CASE("without the setting nothing is recorded and nothing hedged") {
  HedgedGateway world;
  world.gateway().config.limits.hedging.limit = 0;
  world.gateway().hedging = {};
  const auto [effects, late] = world.RequestLate(To("/status/1"));
  CHECK_FALSE(Find<StartUpstreamAttempt>(late));
  world.Answer(Find<StartUpstreamAttempt>(effects)->attempt);
  CHECK(world.gateway().hedging.services.empty());
  CHECK(world.gateway().hedging.checks.empty());
}

// Guards against: series of a part that is not in use, in every deployment.
TEST_CASE("metrics of hedging appear once a request was checked") {
  GatewayMetrics metrics;
  metrics.services[ServiceId{"desk"}].requests = 3;
  CHECK(PrometheusText(metrics).find("hedge") == std::string::npos);
  metrics.services[ServiceId{"desk"}].hedges.started = 2;
  metrics.services[ServiceId{"desk"}].hedges.blocked["limit"] = 4;
  const std::string text = PrometheusText(metrics);
  const std::string line = GENERATE(
      as<std::string>{}, "mimosagauge_hedges_total{service=\"desk\"} 2\n",
      "mimosagauge_hedges_blocked_total{service=\"desk\",reason=\"limit\"} "
      "4\n");
  CHECK(text.find(line) != std::string::npos);
}

}  // namespace
}  // namespace mimosagauge
