// Decisions about requests under the operators' configuration: what is tried,
// how often, where, and what callers are told.

#include "tests/support/fleet_gateway.h"

#include <catch2/catch.hpp>
#include <optional>
#include <string>

#include "mimosagauge/impl/decisions/problems.h"

namespace mimosagauge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::Find;
using testing::FleetGateway;
using testing::FleetRequest;

[[nodiscard]] FleetRequest To(const std::string& path) {
  FleetRequest request;
  request.path = path;
  return request;
}

[[nodiscard]] FleetRequest Review() {
  FleetRequest request = To("/quote/1");
  request.prompt = {17020, 120, {{7, 13300}, {8, 3720}}};
  return request;
}

TEST_CASE("a route decides where a request goes and how it is treated") {
  struct Case {
    std::string path;
    std::uint16_t status;  // Zero: it goes to an upstream.
    std::string service;
  };
  const Case one = GENERATE(values<Case>({
      {"/quote/1", 0, "engine"},
      {"/size/1", 0, "engine"},
      {"/status/1", 0, "desk"},
      {"/nothing/1", 404, ""},
  }));
  CAPTURE(one.path);
  FleetGateway world;
  world.Upstream("engine-1", "engines");
  world.Upstream("desk-1", "desk");
  const auto [number, effects] = world.Request(To(one.path));
  const auto start = Find<StartUpstreamAttempt>(effects);
  const auto problem = Find<SendProblem>(effects);
  CHECK(start.has_value() == (one.status == 0));
  CHECK((problem ? problem->problem.status : 0) == one.status);
  if (start) {
    CHECK(start->upstream.value().starts_with(one.service));
  }
}

TEST_CASE(
    "before any configuration is known requests are refused, not denied") {
  Gateway gateway = MakeGateway({}, TimePoint{seconds(1)}, 1);
  auto head = std::make_shared<RequestHead>();
  head->target = "/";
  const auto effects =
      Step(gateway, TimePoint{seconds(1)},
           RequestArrived{RequestNumber{2}, Origin::kCaller, head,
                          std::make_shared<const std::string>()});
  const auto problem = Find<SendProblem>(effects);
  REQUIRE(problem);
  CHECK(problem->problem.status == 503);
  CHECK(problem->problem.run == RunState::kNotRun);
}

TEST_CASE("a configuration is never replaced by an older one") {
  FleetGateway world;
  const std::uint64_t revision = GENERATE(0U, 1U, 2U);
  world.Give(CatalogueReceived{std::make_shared<const RouteCatalogue>(
      FleetGateway::Catalogue(revision))});
  CHECK(world.gateway().catalogue->revision ==
        Revision{std::max<std::uint64_t>(1, revision)});
}

TEST_CASE("a request passed on under a newer configuration is not run here") {
  FleetGateway world;
  world.Upstream("engine-1", "engines");
  FleetRequest request = To("/quote/1");
  request.origin = Origin::kLink;
  request.revision = Revision{2};
  const auto [number, effects] = world.Request(request);
  CHECK_FALSE(Find<StartUpstreamAttempt>(effects));
  const auto problem = Find<SendProblem>(effects);
  REQUIRE(problem);
  CHECK(problem->problem.run == RunState::kNotRun);
}

// Runs are counted, whatever they ended in; refusals unrun are not runs.
TEST_CASE("no request runs on more upstreams than its route allows") {
  struct Case {
    std::string path;
    std::size_t runs;
  };
  const Case one = GENERATE(values<Case>(
      {{"/status/1", 2}, {"/deposit/1", 1}, {"/quote/1", 1}, {"/size/1", 2}}));
  const std::uint16_t status = GENERATE(std::uint16_t{500}, std::uint16_t{0});
  CAPTURE(one.path, status);
  FleetGateway world;
  for (int i = 0; i < 5; ++i) {
    world.Upstream("engine-" + std::to_string(i), "engines");
    world.Upstream("desk-" + std::to_string(i), "desk");
  }
  auto [number, effects] = world.Request(To(one.path));
  std::size_t runs = 0;
  while (const auto start = Find<StartUpstreamAttempt>(effects)) {
    REQUIRE(++runs <= 5);
    effects = status == 0 ? world.Fail(start->attempt, RunState::kUnknown)
                          : world.Answer(start->attempt, status);
  }
  CHECK(runs == one.runs);
}

TEST_CASE("a status that promises is given only to what was not run") {
  struct Case {
    RunState run;
    std::uint16_t status;
  };
  const Case one = GENERATE(values<Case>({{RunState::kNotRun, 503},
                                          {RunState::kUnknown, 502},
                                          {RunState::kRan, 502}}));
  FleetGateway world;
  world.Upstream("desk-1", "desk");
  const auto [number, effects] = world.Request(To("/deposit/1"));
  const auto start = Find<StartUpstreamAttempt>(effects);
  REQUIRE(start);
  const auto failed = world.Fail(start->attempt, one.run);
  const auto problem = Find<SendProblem>(failed);
  REQUIRE(problem);
  CHECK(problem->problem.status == one.status);
  CHECK(problem->problem.retry_after.has_value() == (one.status == 503));
}

TEST_CASE("an upstream that says it is another one is not asked again") {
  FleetGateway world;
  world.Upstream("desk-1", "desk");
  const auto [number, effects] = world.Request(To("/deposit/1"));
  const auto start = Find<StartUpstreamAttempt>(effects);
  REQUIRE(start);
  AttemptFailed failed{start->attempt,
                       RunState::kNotRun,
                       {ErrorKind::kNotFound, "another", ""},
                       {},
                       true};
  const auto after = world.Give(failed);
  CHECK(Find<RemoveUpstream>(after));
  const auto [next, refused] = world.Request(To("/deposit/1"));
  CHECK_FALSE(Find<StartUpstreamAttempt>(refused));
}

TEST_CASE("an answer that has not begun when the time is over is told so") {
  FleetGateway world;
  world.Upstream("desk-1", "desk");
  FleetRequest request = To("/deposit/1");
  const auto [number, effects] = world.Request(request);
  REQUIRE(Find<StartUpstreamAttempt>(effects));
  CHECK_FALSE(Find<SendProblem>(world.Pass(milliseconds(1990))));
  const auto late = world.Pass(milliseconds(20));
  const auto problem = Find<SendProblem>(late);
  REQUIRE(problem);
  CHECK(problem->problem.status == 504);
  CHECK(Find<CancelAttempt>(late));
}

TEST_CASE(
    "an answer that has begun is broken off soon after its time is over") {
  FleetGateway world;
  world.Upstream("engine-1", "engines");
  const auto [number, effects] = world.Request(To("/quote/1"));
  const auto start = Find<StartUpstreamAttempt>(effects);
  REQUIRE(start);
  world.Answer(start->attempt, 200, true);
  CHECK_FALSE(Find<AbortAnswer>(world.Pass(seconds(10) + milliseconds(50))));
  CHECK(Find<AbortAnswer>(world.Pass(milliseconds(150))));
}

// One engine that is behind by 12 s of reading, another region that is idle.
TEST_CASE("a burst of long prompts goes to a region that is soon ready") {
  FleetGateway world;
  world.Upstream("engine-1", "engines");
  RecordPromptSent(
      FindUpstream(world.gateway().upstreams, UpstreamId{"engine-1"})->load,
      600000, world.now());
  const bool other_region = GENERATE(true, false);
  if (other_region) {
    world.Instance("mombasa-1", "mombasa");
    world.Give(LoadReceived{
        InstanceId{"mombasa-1"},
        {{}, {}, {}, {{ServiceId{"engines"}, 4, milliseconds(20), 0.1}}}});
  }
  const auto [number, effects] = world.Request(Review());
  CHECK(Find<StartLinkAttempt>(effects).has_value() == other_region);
  const auto problem = Find<SendProblem>(effects);
  REQUIRE(problem.has_value() != other_region);
  if (problem) {
    CHECK(problem->problem.status == 503);
    CHECK(problem->problem.run == RunState::kNotRun);
    // A third of the time left is the longest that callers wait.
    REQUIRE(problem->problem.retry_after);
    CHECK(*problem->problem.retry_after <= Duration(seconds(10)) / 3);
    CHECK(*problem->problem.retry_after >= seconds(1));
  }
}

// Many parts, each asked for now and then from every region.
TEST_CASE("a shared part is read in one region, unless another is far behind") {
  struct Case {
    const char* what;
    std::uint32_t here;  // Engines; those of the other region: 8.
    Duration start_there;
    bool one_is_passed_on;
  };
  const Case one = GENERATE(values<Case>({
      {"both are idle", 8, milliseconds(20), true},
      {"the other one is somewhat busy", 8, milliseconds(400), true},
      {"the other one would answer too late", 8, milliseconds(900), false},
  }));
  CAPTURE(one.what);
  FleetGateway world;
  for (std::uint32_t i = 0; i < one.here; ++i) {
    world.Upstream("engine-" + std::to_string(i), "engines");
  }
  world.Instance("mombasa-1", "mombasa");
  world.Pass(seconds(1));  // What this region offers is known from now on.
  LoadDigest digest;
  digest.offers = {{ServiceId{"engines"}, 8, one.start_there, 0.1}};
  world.Give(LoadReceived{InstanceId{"mombasa-1"}, digest});
  std::size_t passed_on = 0;
  for (std::uint64_t part = 1; part <= 20; ++part) {
    FleetRequest request = Review();
    request.prompt.parts[0].id = part;
    const auto effects = world.Request(request).second;
    passed_on += Find<StartLinkAttempt>(effects) ? 1 : 0;
    // What came from there is served here, whoever keeps the part.
    request.origin = Origin::kLink;
    CHECK(Find<StartUpstreamAttempt>(world.Request(request).second));
  }
  CHECK((passed_on > 0) == one.one_is_passed_on);
  CHECK(passed_on < 20);
}

// A few common heads, each followed by one of many parts.
TEST_CASE("the region that keeps a prompt is that of its last shared part") {
  FleetGateway world;
  for (int i = 0; i < 8; ++i) {
    world.Upstream("engine-" + std::to_string(i), "engines");
  }
  world.Instance("mombasa-1", "mombasa");
  world.Pass(seconds(1));
  LoadDigest digest;
  digest.offers = {{ServiceId{"engines"}, 8, milliseconds(20), 0.1}};
  world.Give(LoadReceived{InstanceId{"mombasa-1"}, digest});
  std::size_t passed_on = 0;
  for (std::uint64_t part = 1; part <= 40; ++part) {
    FleetRequest request = Review();
    request.prompt.parts = {{1, 2520}, {100 + part, 10780}, {8, 3720}};
    passed_on += Find<StartLinkAttempt>(world.Request(request).second) ? 1 : 0;
  }
  CHECK(passed_on >= 10);
  CHECK(passed_on <= 30);
}

TEST_CASE("instances of a region tell each other every shared part") {
  FleetGateway world;
  world.Upstream("engine-1", "engines");
  world.Instance("nairobi-2", "nairobi");
  FleetRequest request = Review();
  request.prompt.parts = {{1, 2520}, {2, 300}, {3, 10480}, {8, 3720}};
  REQUIRE(Find<StartUpstreamAttempt>(world.Request(request).second));
  const auto told = Find<SendLoad>(world.Pass(seconds(1)));
  REQUIRE(told);
  std::vector<PromptPart> parts;
  for (const PartRead& read : told->digest->parts) {
    CHECK(read.upstream == HashUpstreamId(UpstreamId{"engine-1"}));
    parts.push_back(read.part);
  }
  // Parts of less than 512 tokens are not worth telling.
  CHECK(parts == std::vector<PromptPart>{{1, 2520}, {3, 10480}});
}

// One region at its peak, the other at rest; all instances know the same.
TEST_CASE("part of a busy plain service's requests goes to an idle region") {
  struct Case {
    std::size_t waiting;
    std::size_t least;  // Of 200 requests, passed on.
    std::size_t most;
  };
  const Case one =
      GENERATE(values<Case>({{0, 0, 0}, {6, 1, 100}, {10, 20, 180}}));
  CAPTURE(one.waiting);
  FleetGateway world;
  world.Upstream("desk-1", "desk");
  world.Instance("mombasa-1", "mombasa");
  LoadDigest digest;
  digest.offers = {{ServiceId{"desk"}, 1, milliseconds(0), 0}};
  world.Give(LoadReceived{InstanceId{"mombasa-1"}, digest});
  UpstreamState* desk =
      FindUpstream(world.gateway().upstreams, UpstreamId{"desk-1"});
  RecordLoadReport(desk->load, {one.waiting > 0 ? 6U : 0U, one.waiting, 6}, 0,
                   world.now());
  std::size_t passed_on = 0;
  constexpr int kRequests = 200;
  for (int i = 0; i < kRequests; ++i) {
    const auto effects = world.Request(To("/status/1")).second;
    if (const auto start = Find<StartUpstreamAttempt>(effects)) {
      world.Answer(start->attempt);
    } else {
      passed_on += Find<StartLinkAttempt>(effects) ? 1 : 0;
    }
  }
  CHECK(passed_on >= one.least);
  CHECK(passed_on <= one.most);
}

TEST_CASE("a full upstream is left alone for a moment and not ejected") {
  FleetGateway world;
  world.Upstream("desk-1", "desk");
  for (int i = 0; i < 5; ++i) {
    const auto start =
        Find<StartUpstreamAttempt>(world.Request(To("/deposit/1")).second);
    REQUIRE(start);
    world.Fail(start->attempt, RunState::kNotRun, ErrorKind::kOverloaded);
    CHECK_FALSE(
        Find<StartUpstreamAttempt>(world.Request(To("/deposit/1")).second));
    world.Pass(seconds(2));
  }
}

TEST_CASE("errors that callers get as they are count against their upstream") {
  FleetGateway world;
  world.Upstream("desk-1", "desk");
  world.Upstream("desk-2", "desk");
  std::optional<WriteLog> ejected;
  for (int i = 0; i < 12 && !ejected; ++i) {
    const auto start =
        Find<StartUpstreamAttempt>(world.Request(To("/deposit/1")).second);
    REQUIRE(start);
    const bool grey = start->upstream == UpstreamId{"desk-1"};
    const auto effects = world.Answer(start->attempt, grey ? 500 : 200);
    if (const auto log = Find<WriteLog>(effects);
        log && log->event.number == log_events::kUpstreamEjected.number) {
      ejected = log;
    }
  }
  REQUIRE(ejected);
  CHECK(ejected->fields.front().second == "desk-1");
}

TEST_CASE("another instance that took nothing in costs no retry") {
  struct Case {
    Problem problem;
    bool costs;
  };
  const Case one =
      GENERATE(values<Case>({{OlderConfiguration(), false},
                             {NotReady(), false},
                             {Stopping(RunState::kNotRun), false},
                             {Overloaded(RunState::kNotRun), true}}));
  CAPTURE(one.problem.type);
  FleetGateway world;
  world.Instance("mombasa-1", "mombasa");
  const auto start =
      Find<StartLinkAttempt>(world.Request(To("/status/1")).second);
  REQUIRE(start);
  world.Upstream("desk-1", "desk");
  const double before = world.gateway().budgets.at(ServiceId{"desk"}).tokens;
  world.Give(AttemptFailed{start->attempt,
                           RunState::kNotRun,
                           {ErrorKind::kUnavailable, "refused", ""},
                           one.problem});
  const double after = world.gateway().budgets.at(ServiceId{"desk"}).tokens;
  CHECK((after < before) == one.costs);
}

TEST_CASE("a region that has nothing usable is offered nothing") {
  FleetGateway world;
  world.Instance("mombasa-1", "mombasa");
  const std::uint32_t usable = GENERATE(0U, 1U);
  world.Give(
      LoadReceived{InstanceId{"mombasa-1"},
                   {{}, {}, {}, {{ServiceId{"engines"}, usable, {}, 0}}}});
  const auto [number, effects] = world.Request(To("/quote/1"));
  CHECK(Find<StartLinkAttempt>(effects).has_value() == (usable > 0));
}

TEST_CASE("a request stays in the regions of its route") {
  FleetGateway world;
  world.Instance("kisumu-1", "kisumu");
  const auto [number, effects] = world.Request(To("/size/1"));
  CHECK_FALSE(Find<StartLinkAttempt>(effects));
  const auto problem = Find<SendProblem>(effects);
  REQUIRE(problem);
  CHECK(problem->problem.status == 503);
}

TEST_CASE("what another instance passed on goes no further") {
  FleetGateway world;
  world.Instance("kisumu-1", "kisumu");
  FleetRequest request = To("/quote/1");
  request.origin = Origin::kLink;
  const auto [number, effects] = world.Request(request);
  CHECK_FALSE(Find<StartLinkAttempt>(effects));
}

TEST_CASE("a failed lookup may be run by another region's service") {
  FleetGateway world;
  world.Upstream("desk-1", "desk");
  world.Instance("mombasa-1", "mombasa");
  const auto [number, effects] = world.Request(To("/status/1"));
  const auto start = Find<StartUpstreamAttempt>(effects);
  REQUIRE(start);
  const auto failed = world.Answer(start->attempt, 500);
  CHECK(Find<StartLinkAttempt>(failed));
}

// The count travels with the request: what ran in one region is not forgotten
// in the next.
TEST_CASE("runs in all regions together stay within what the route allows") {
  const std::size_t before = GENERATE(0U, 1U);
  FleetGateway world;
  for (int i = 0; i < 4; ++i) {
    world.Upstream("desk-" + std::to_string(i), "desk");
  }
  FleetRequest request = To("/status/1");
  request.origin = Origin::kLink;
  request.runs = before;
  auto [number, effects] = world.Request(request);
  std::size_t runs = before;
  while (const auto start = Find<StartUpstreamAttempt>(effects)) {
    REQUIRE(++runs <= 4);
    effects = world.Answer(start->attempt, 500);
  }
  CHECK(runs == 2);
}

TEST_CASE("what another region ran is not tried again here") {
  FleetGateway world;
  world.Instance("mombasa-1", "mombasa");
  const auto [number, effects] = world.Request(To("/status/1"));
  const auto forwarded = Find<StartLinkAttempt>(effects);
  REQUIRE(forwarded);
  world.Upstream("desk-1", "desk");
  const RunState run = GENERATE(RunState::kNotRun, RunState::kUnknown);
  const auto after = world.Fail(forwarded->attempt, run);
  CHECK(Find<StartUpstreamAttempt>(after).has_value() ==
        (run == RunState::kNotRun));
}

TEST_CASE("a request that waits for an upstream is told soon if none comes") {
  FleetGateway world;
  world.Upstream("engine-1", "engines", false, seconds(3));
  FindUpstream(world.gateway().upstreams, UpstreamId{"engine-1"})->rate.owned =
      false;
  const auto [number, effects] = world.Request(To("/quote/1"));
  CHECK_FALSE(Find<SendProblem>(effects));
  const auto problem = Find<SendProblem>(world.Pass(milliseconds(500)));
  REQUIRE(problem);
  CHECK(problem->problem.status == 503);
}

TEST_CASE("retries of all instances together stay within what is allowed") {
  const std::size_t others = GENERATE(0U, 5U, 40U);
  FleetGateway world;
  for (int i = 0; i < 9; ++i) {
    world.Upstream("desk-" + std::to_string(i), "desk");
  }
  for (std::size_t i = 0; i < others; ++i) {
    world.Instance("nairobi-x" + std::to_string(i), "nairobi");
  }
  std::size_t extra = 0;
  constexpr std::size_t kRequests = 200;
  for (std::size_t i = 0; i < kRequests; ++i) {
    auto [number, effects] = world.Request(To("/status/1"));
    auto start = Find<StartUpstreamAttempt>(effects);
    while (start) {
      effects = world.Fail(start->attempt, RunState::kUnknown);
      start = Find<StartUpstreamAttempt>(effects);
      extra += start ? 1 : 0;
    }
    // Failures in a row eject; that is not what is looked at here.
    for (UpstreamState& upstream : world.gateway().upstreams.upstreams) {
      upstream.health = UpstreamHealth{};
    }
  }
  const double allowed =
      0.2 * kRequests + 50.0 / static_cast<double>(others + 1);
  CHECK(extra > 0);
  CHECK(static_cast<double>(extra) <= allowed + 1);
}

// Regions whose services shed: each refusal there was an arrival.
TEST_CASE("refusals in other regions are retried within the same budget") {
  FleetGateway world;
  for (int i = 0; i < 6; ++i) {
    world.Instance("mombasa-" + std::to_string(i), "mombasa");
  }
  Problem refusal;
  refusal.status = 503;
  refusal.run = RunState::kNotRun;
  std::size_t extra = 0;
  constexpr std::size_t kRequests = 200;
  for (std::size_t i = 0; i < kRequests; ++i) {
    auto [number, effects] = world.Request(To("/status/1"));
    auto start = Find<StartLinkAttempt>(effects);
    while (start) {
      effects = world.Give(AttemptFailed{start->attempt,
                                         RunState::kNotRun,
                                         {ErrorKind::kUnavailable, "shed", ""},
                                         refusal});
      start = Find<StartLinkAttempt>(effects);
      extra += start ? 1 : 0;
    }
  }
  CHECK(extra > 0);
  CHECK(static_cast<double>(extra) <= 0.2 * kRequests + 50.0 / 7 + 1);
}

TEST_CASE("callers are led to instances of their region, while it has any") {
  FleetGateway world;
  struct Case {
    const char* what;
    bool near_up;
    bool near_leaving;
    std::string host;
    std::string expected;
  };
  const Case one = GENERATE(values<Case>({
      {"one is there", true, false, "nets.example", "kisumu-1"},
      {"the only one leaves", false, true, "nets.example", "kisumu-1"},
      {"none", false, false, "nets.example", "nairobi-1 mombasa-1"},
      {"none, and the host has no homes", false, false, "else.example",
       "nairobi-1 mombasa-1"},
  }));
  CAPTURE(one.what);
  world.Instance("mombasa-1", "mombasa");
  world.Instance("kisumu-1", "kisumu");
  if (!one.near_up) {
    world.Give(LinkChanged{InstanceId{"kisumu-1"}, false, one.near_leaving});
  }
  const InstanceView view = View(world.gateway(), world.now());
  std::string named;
  for (const EntryInstance& entry :
       EntriesFor(view, RegionId{"kisumu"}, one.host)) {
    named += (named.empty() ? "" : " ") + entry.id.value();
  }
  CHECK(named == one.expected);
}

// A far region of any size costs a few links, and one that is lost is replaced.
TEST_CASE("links go to every instance of the region and to a few of others") {
  const std::size_t far = GENERATE(1U, 4U, 40U);
  FleetGateway world;
  for (int i = 0; i < 20; ++i) {
    world.Instance("nairobi-" + std::to_string(i + 2), "nairobi");
  }
  for (std::size_t i = 0; i < far; ++i) {
    world.Instance("mombasa-" + std::to_string(i), "mombasa");
  }
  const auto linked = [&world](const std::string& region) {
    std::size_t count = 0;
    for (const PeerState& peer : world.gateway().peers) {
      count +=
          peer.link_requested && peer.config.region == RegionId{region} ? 1 : 0;
    }
    return count;
  };
  CHECK(linked("nairobi") == 20);
  const std::size_t before = linked("mombasa");
  CHECK(before >= std::min<std::size_t>(far, 4));
  for (const PeerState& peer : world.gateway().peers) {
    if (peer.link_requested && peer.config.region == RegionId{"mombasa"}) {
      world.Give(LinkChanged{peer.config.id, false});
      break;
    }
  }
  CHECK(linked("mombasa") >= std::min<std::size_t>(far, before));
}

// Guards against: an instance whose watch is silent, and that is not told so by
// others because the store's revisions went back when it was restored.
TEST_CASE("a watch that misses what others were told is opened anew") {
  FleetGateway world;
  world.Instance("nairobi-2", "nairobi");
  world.Give(StoreRevisionSeen{{2, 100}});
  const auto [seen, newer] =
      GENERATE(table<StorePosition, bool>({{{2, 90}, false},
                                           {{2, 100}, false},
                                           {{2, 101}, true},
                                           {{1, 300}, false},
                                           {{3, 40}, true}}));
  const auto tell = [&world, seen = seen] {
    return world.Give(
        LoadReceived{InstanceId{"nairobi-2"}, {seen, {}, {}, {}}});
  };
  const auto reopens = [](const std::vector<Effect>& effects) {
    for (const Effect& effect : effects) {
      const auto* platform = std::get_if<ForPlatform>(&effect);
      if (platform && std::holds_alternative<ReopenWatch>(platform->effect)) {
        return true;
      }
    }
    return false;
  };
  CHECK_FALSE(reopens(tell()));
  world.Pass(seconds(2));
  CHECK(reopens(tell()) == newer);
  SECTION("but not while its own word is only late") {
    world.Give(StoreRevisionSeen{{3, 40}});
    CHECK_FALSE(reopens(tell()));
  }
}

TEST_CASE("an instance whose registration lapsed stays while its link lives") {
  FleetGateway world;
  world.Instance("mombasa-1", "mombasa");
  world.Give(InstanceRemoved{InstanceId{"mombasa-1"}});
  CHECK(world.gateway().peers.size() == 1);
  world.Give(LinkChanged{InstanceId{"mombasa-1"}, false});
  CHECK(world.gateway().peers.empty());
}

// Guards against: requests that come late in a planned stop are passed on and
// cut off at its end.
TEST_CASE("requests that come late in a planned stop are refused as not run") {
  const Duration at =
      GENERATE(milliseconds(0), milliseconds(1400), milliseconds(1600),
               seconds(3), milliseconds(4900));
  CAPTURE(at.count());
  FleetGateway world;
  world.Upstream("desk-1", "desk");
  FleetRequest request;
  request.path = "/deposit/1";
  // A request in progress keeps the instance running.
  const auto before = Find<StartUpstreamAttempt>(world.Request(request).second);
  REQUIRE(before);
  world.Give(DrainRequested{});
  world.Pass(at);
  const auto effects = world.Request(request).second;
  const auto start = Find<StartUpstreamAttempt>(effects);
  const auto problem = Find<SendProblem>(effects);
  const bool is_late = at > milliseconds(1500);
  CHECK(start.has_value() != is_late);
  REQUIRE(problem.has_value() == is_late);
  if (problem) {
    CHECK(problem->problem.status == 503);
    CHECK(problem->problem.run == RunState::kNotRun);
  }
}

}  // namespace
}  // namespace mimosagauge
