// Requests and answers pass a link whole, many at once, and each answer
// belongs to its own request.

#include <catch2/catch.hpp>
#include <string>

#include "tests/support/link_peer.h"

namespace mimosagauge::testing {
namespace {

/// Two instances with a link from `near` to `far`.
struct Pair {
  explicit Pair(Settings far_settings = LinkSettings("mombasa-a-1",
                                                     "mombasa-a"))
      : far(std::move(far_settings)) {
    REQUIRE(far.Start());
    Settings settings = LinkSettings("nairobi-a-1", "nairobi-a");
    settings.peers = {PeerAt("mombasa-a-1", far.port())};
    near = std::make_unique<LinkPeer>(settings);
    REQUIRE(near->Start());
    REQUIRE(near->WaitUp("mombasa-a-1"));
  }

  /// Waits for the request with this body on the far side.
  RequestNumber Arrived(const std::string& body) const {
    const auto arrived = far.Wait<RequestArrived>(
        [&](const RequestArrived& one) { return *one.body == body; });
    REQUIRE(arrived);
    return arrived->number;
  }

  LinkPeer far;
  std::unique_ptr<LinkPeer> near;
};

TEST_CASE("a request and its answer pass a link whole") {
  const std::size_t size = GENERATE(0u, 1u, 16384u, 16385u, 3000000u);
  CAPTURE(size);
  Pair pair;
  const std::string body(size, 'q');
  pair.near->Do(LinkAttempt(1, "mombasa-a-1", body, Kibibytes(8192)));
  const auto arrived = pair.far.Wait<RequestArrived>();
  REQUIRE(arrived);
  CHECK(arrived->number.value() % 2 == 1);
  CHECK(arrived->origin == Origin::kLink);
  CHECK(*arrived->body == body);
  CHECK(arrived->head->target == "/orders?club=7");
  CHECK(arrived->head->revision == Revision{3});
  CHECK(arrived->head->path.size() == 1);
  CHECK(arrived->head->remaining <= std::chrono::seconds(30));
  CHECK(arrived->head->remaining > Duration{});

  AnswerHead head{201, {{"Content-Type", "text/plain"}}, {}};
  pair.far.Do(SendAnswerHead{arrived->number, head});
  pair.far.Do(SendAnswerBody{arrived->number, body, std::nullopt});
  pair.far.Do(SendAnswerEnd{arrived->number});
  REQUIRE(pair.near->WaitOf<AttemptEnded>(1));
  const auto answered = pair.near->WaitOf<AttemptHeadReceived>(1);
  REQUIRE(answered);
  CHECK(answered->head.status == 201);
  CHECK(answered->head.headers == head.headers);
  CHECK(pair.near->Body(1) == body);
  CHECK(pair.near->All<AttemptFailed>().empty());
}

// Guards against a lender that cannot answer an instance of another region, to
// which it has no link of its own.
TEST_CASE("messages about allowances pass a link in both directions") {
  Pair pair;
  auto message = std::make_shared<AllowanceMessage>();
  message->requests.push_back({AccountHash{1}, AllowanceNonce{2}, 5, 0, true});
  pair.near->Do(SendAllowance{InstanceId{"mombasa-a-1"}, message});
  const auto request = pair.far.Wait<AllowanceReceived>();
  REQUIRE(request);
  CHECK(request->from == InstanceId{"nairobi-a-1"});
  CHECK(request->message.requests.front().need == 5);
  pair.far.Do(SendAllowance{InstanceId{"nairobi-a-1"}, message});
  const auto response = pair.near->Wait<AllowanceReceived>();
  REQUIRE(response);
  CHECK(response->from == InstanceId{"mombasa-a-1"});
}

TEST_CASE("answers in another order reach their own requests") {
  constexpr std::uint64_t kRequests = 50;
  Pair pair;
  for (std::uint64_t i = 1; i <= kRequests; ++i) {
    pair.near->Do(LinkAttempt(i, "mombasa-a-1", std::to_string(i)));
  }
  for (std::uint64_t i = kRequests; i >= 1; --i) {
    const RequestNumber number = pair.Arrived(std::to_string(i));
    pair.far.Do(SendAnswerHead{number, {200, {}, {}}});
    pair.far.Do(
        SendAnswerBody{number, "answer " + std::to_string(i), std::nullopt});
    pair.far.Do(SendAnswerEnd{number});
  }
  for (std::uint64_t i = 1; i <= kRequests; ++i) {
    REQUIRE(pair.near->WaitOf<AttemptEnded>(i));
    CHECK(pair.near->Body(i) == "answer " + std::to_string(i));
  }
}

TEST_CASE("a problem says itself whether the request was run") {
  const RunState run =
      GENERATE(RunState::kNotRun, RunState::kUnknown, RunState::kRan);
  Pair pair;
  pair.near->Do(LinkAttempt(1, "mombasa-a-1", "x"));
  Problem problem;
  problem.status = 503;
  problem.type = "no-capacity";
  problem.remedy = "retry later";
  problem.run = run;
  problem.retry_after = std::chrono::seconds(2);
  pair.far.Do(SendProblem{pair.Arrived("x"), problem});
  const auto failed = pair.near->WaitOf<AttemptFailed>(1);
  REQUIRE(failed);
  CHECK(failed->run == run);
  REQUIRE(failed->problem);
  CHECK(failed->problem->type == "no-capacity");
  CHECK(failed->problem->remedy == "retry later");
  CHECK(failed->problem->retry_after == problem.retry_after);
}

TEST_CASE("an answer broken off after its head never counts as not run") {
  Pair pair;
  pair.near->Do(LinkAttempt(1, "mombasa-a-1", "x"));
  const RequestNumber number = pair.Arrived("x");
  pair.far.Do(SendAnswerHead{number, {200, {}, {}}});
  pair.far.Do(SendAnswerBody{number, "half", std::nullopt});
  Problem problem;
  problem.run = RunState::kNotRun;
  pair.far.Do(AbortAnswer{number, problem});
  const auto failed = pair.near->WaitOf<AttemptFailed>(1);
  REQUIRE(failed);
  CHECK(failed->run == RunState::kRan);
  CHECK(pair.near->Body(1) == "half");
  CHECK(pair.near->All<AttemptEnded>().empty());
}

TEST_CASE("a request to an instance that is not known was not run") {
  Pair pair;
  pair.near->Do(LinkAttempt(1, "kisumu-a-1", "x"));
  const auto failed = pair.near->WaitOf<AttemptFailed>(1);
  REQUIRE(failed);
  CHECK(failed->run == RunState::kNotRun);
  CHECK(failed->error.kind == ErrorKind::kNotFound);
}

TEST_CASE("a body beyond the bound is refused and the link stays") {
  Settings settings = LinkSettings("mombasa-a-1", "mombasa-a");
  settings.limits.body = Bytes{100};
  Pair pair(settings);
  pair.near->Do(LinkAttempt(1, "mombasa-a-1", std::string(101, 'x')));
  const auto failed = pair.near->WaitOf<AttemptFailed>(1);
  REQUIRE(failed);
  CHECK(failed->run == RunState::kNotRun);
  REQUIRE(failed->problem);
  CHECK(failed->problem->status == 413);
  pair.near->Do(LinkAttempt(2, "mombasa-a-1", std::string(100, 'x')));
  pair.Arrived(std::string(100, 'x'));
}

TEST_CASE("a leaving instance takes no new request and finishes the others") {
  Pair pair;
  pair.near->Do(LinkAttempt(1, "mombasa-a-1", "before"));
  const RequestNumber number = pair.Arrived("before");
  pair.far.Call([](LinkDuty& duty) { duty.Leave(); });
  REQUIRE(pair.near->Wait<LinkChanged>(
      [](const LinkChanged& change) { return !change.up; }));
  pair.near->Do(LinkAttempt(2, "mombasa-a-1", "after"));
  const auto failed = pair.near->WaitOf<AttemptFailed>(2);
  REQUIRE(failed);
  CHECK(failed->run == RunState::kNotRun);
  pair.far.Do(SendAnswerHead{number, {200, {}, {}}});
  pair.far.Do(SendAnswerEnd{number});
  CHECK(pair.near->WaitOf<AttemptEnded>(1));
}

TEST_CASE("control state reaches the other side, or is dropped and counted") {
  Pair pair;
  const std::string huge(kMaxGossipPayload, 'x');
  pair.near->Do(SendGossip{InstanceId{"kisumu-a-1"}, "unknown instance"});
  pair.near->Do(SendGossip{InstanceId{"mombasa-a-1"}, huge});
  pair.near->Do(SendGossip{InstanceId{"mombasa-a-1"}, "bytes"});
  const auto arrived = pair.far.Wait<GossipReceived>();
  REQUIRE(arrived);
  CHECK(arrived->from.value() == "nairobi-a-1");
  CHECK(arrived->bytes == "bytes");
  std::uint64_t dropped = 0;
  pair.near->Call([&](LinkDuty& duty) {
    dropped = duty.client().counters().dropped_gossip;
  });
  CHECK(dropped == 2);
}

}  // namespace
}  // namespace mimosagauge::testing
