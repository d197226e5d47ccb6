// What is said of requests when a link is cut, goes silent, is slow or is
// cancelled on: the run state is never too good, and nothing else waits.

#include <catch2/catch.hpp>
#include <string>

#include "tests/support/link_peer.h"
#include "tests/support/relay.h"

namespace mimosagauge::testing {
namespace {

constexpr char kFar[] = "mombasa-a-1";

/// Two instances with a link from `near` to `far` through a relay.
struct RelayedPair {
  RelayedPair()
      : far(LinkSettings(kFar, "mombasa-a")),
        relay((Started(far), far.port())),
        near(NearSettings(relay.port())) {
    Started(near);
    REQUIRE(near.WaitUp(kFar));
  }

  static void Started(LinkPeer& peer) { REQUIRE(peer.Start()); }
  static Settings NearSettings(std::uint16_t port) {
    Settings settings = LinkSettings("nairobi-a-1", "nairobi-a");
    settings.peers = {PeerAt(kFar, port)};
    return settings;
  }
  RequestNumber Arrived(const std::string& body) const {
    const auto arrived = far.Wait<RequestArrived>(
        [&](const RequestArrived& one) { return *one.body == body; });
    REQUIRE(arrived);
    return arrived->number;
  }
  /// Waits until the link has gone down and come up again.
  void WaitUpAgain() const {
    REQUIRE(WaitUntil([&] {
      const auto changes = near.All<LinkChanged>();
      return changes.size() >= 3 && changes.back().up;
    }));
  }
  /// Sends a request and its answer.
  void CheckWorks(std::uint64_t attempt) {
    const std::string body = "check " + std::to_string(attempt);
    near.Do(LinkAttempt(attempt, kFar, body));
    const RequestNumber number = Arrived(body);
    far.Do(SendAnswerHead{number, {200, {}, {}}});
    far.Do(SendAnswerBody{number, "whole", std::nullopt});
    far.Do(SendAnswerEnd{number});
    REQUIRE(near.WaitOf<AttemptEnded>(attempt));
    CHECK(near.Body(attempt) == "whole");
  }
  RunState FailedAs(std::uint64_t attempt) const {
    const auto failed = near.WaitOf<AttemptFailed>(attempt);
    REQUIRE(failed);
    return failed->run;
  }

  LinkPeer far;
  Relay relay;
  LinkPeer near;
};

TEST_CASE("a request written before the cut may have been run") {
  RelayedPair pair;
  pair.near.Do(LinkAttempt(1, kFar, "written"));
  const RequestNumber number = pair.Arrived("written");
  pair.relay.Cut();
  CHECK(pair.FailedAs(1) == RunState::kUnknown);
  const auto abandoned = pair.far.Wait<RequestAbandoned>();
  REQUIRE(abandoned);
  CHECK(abandoned->number == number);
  pair.WaitUpAgain();
  // The answer to the abandoned request comes too late and goes nowhere.
  pair.far.Do(SendAnswerHead{number, {200, {}, {}}});
  pair.CheckWorks(2);
  CHECK(pair.near.All<AttemptHeadReceived>().size() == 1);
}

TEST_CASE("a request whose answer had begun before the cut was run") {
  RelayedPair pair;
  pair.near.Do(LinkAttempt(1, kFar, "begun"));
  pair.far.Do(SendAnswerHead{pair.Arrived("begun"), {200, {}, {}}});
  REQUIRE(pair.near.WaitOf<AttemptHeadReceived>(1));
  pair.relay.Cut();
  CHECK(pair.FailedAs(1) == RunState::kRan);
  CHECK(pair.near.All<AttemptEnded>().empty());
}

TEST_CASE("a request given while there is no link was not run") {
  RelayedPair pair;
  pair.relay.Refuse(true);
  pair.relay.Cut();
  REQUIRE(pair.near.Wait<LinkChanged>(
      [](const LinkChanged& change) { return !change.up; }));
  pair.near.Do(LinkAttempt(1, kFar, "unsent"));
  CHECK(pair.FailedAs(1) == RunState::kNotRun);
  pair.relay.Heal();
  pair.WaitUpAgain();
  pair.CheckWorks(2);
  CHECK(pair.far.All<RequestArrived>().size() == 1);
}

TEST_CASE("a silent connection costs one deadline and is replaced") {
  const auto direction =
      GENERATE(RelayDirection::kToTarget, RelayDirection::kFromTarget);
  RelayedPair pair;
  pair.relay.Set(direction, RelayMode::kSilent);
  pair.near.Do(LinkAttempt(1, kFar, "swallowed"));
  CHECK(pair.FailedAs(1) == RunState::kUnknown);
  pair.relay.Heal();  // The old connection stays silent.
  pair.WaitUpAgain();
  pair.CheckWorks(2);
  CHECK(pair.relay.connections() >= 2);
}

TEST_CASE("a request still queued when the link breaks was not run") {
  RelayedPair pair;
  // The sender's buffers fill, so the last request cannot leave the process.
  pair.relay.Set(RelayDirection::kToTarget, RelayMode::kHold);
  constexpr std::uint64_t kLarge = 12;
  const std::string large(4UL * 1024 * 1024, 'x');
  for (std::uint64_t i = 1; i <= kLarge; ++i) {
    pair.near.Do(LinkAttempt(i, kFar, large));
  }
  // Once nothing more is written, a further request stays in the queue.
  std::uint64_t written = 0;
  REQUIRE(WaitUntil([&] {
    std::uint64_t now = 0;
    pair.near.Call(
        [&](LinkDuty& duty) { now = duty.client().bytes_written(); });
    const bool stalled = now == written && now > 0;
    written = now;
    return stalled;
  }));
  pair.near.Do(LinkAttempt(100, kFar, "queued"));
  CHECK(pair.FailedAs(100) == RunState::kNotRun);
  CHECK(pair.FailedAs(1) == RunState::kUnknown);
  CHECK(pair.far.All<RequestArrived>().empty());
}

TEST_CASE("a slow network keeps every promise") {
  RelayedPair pair;
  pair.relay.Delay(RelayDirection::kToTarget, std::chrono::milliseconds(60));
  pair.relay.Delay(RelayDirection::kFromTarget, std::chrono::milliseconds(60));
  for (std::uint64_t i = 1; i <= 3; ++i) {
    pair.CheckWorks(i);
  }
  CHECK(pair.near.All<LinkChanged>().size() == 1);
}

TEST_CASE("a frozen instance holds nobody else up and may thaw") {
  RelayedPair pair;
  LinkPeer third(LinkSettings("kisumu-a-1", "kisumu-a"));
  REQUIRE(third.Start());
  pair.near.Call(
      [&](LinkDuty& duty) { duty.Learn(PeerAt("kisumu-a-1", third.port())); });
  pair.far.Freeze();
  pair.near.Do(LinkAttempt(1, kFar, "to the frozen"));
  pair.near.Do(LinkAttempt(2, "kisumu-a-1", "to the other"));
  CHECK(third.Wait<RequestArrived>());
  CHECK(pair.FailedAs(1) == RunState::kUnknown);
  pair.far.Thaw();
  pair.WaitUpAgain();
  pair.CheckWorks(3);
}

TEST_CASE("a stream without credit does not hold up another") {
  RelayedPair pair;
  pair.near.Do(LinkAttempt(1, kFar, "slow", Bytes{1}));
  pair.near.Do(LinkAttempt(2, kFar, "fast"));
  const RequestNumber slow = pair.Arrived("slow");
  const RequestNumber fast = pair.Arrived("fast");
  pair.far.Do(SendAnswerHead{slow, {200, {}, {}}});
  pair.far.Do(SendAnswerBody{slow, "first", std::nullopt});
  pair.far.Do(SendAnswerBody{slow, "second", std::nullopt});
  pair.far.Do(SendAnswerEnd{slow});
  pair.far.Do(SendAnswerHead{fast, {200, {}, {}}});
  pair.far.Do(SendAnswerBody{fast, "fast", std::nullopt});
  pair.far.Do(SendAnswerEnd{fast});
  REQUIRE(pair.near.WaitOf<AttemptEnded>(2));
  CHECK(pair.near.Body(2) == "fast");
  CHECK(pair.near.Body(1) == "first");
  CHECK(pair.near.All<AttemptEnded>().size() == 1);
  pair.near.Do(AddAttemptCredit{AttemptNumber{1}, Bytes{5}});
  REQUIRE(pair.near.WaitOf<AttemptEnded>(1));
  CHECK(pair.near.Body(1) == "firstsecond");
}

TEST_CASE("credit is told to the side that answers") {
  RelayedPair pair;
  pair.near.Do(LinkAttempt(1, kFar, "x", Bytes{10}));
  const RequestNumber number = pair.Arrived("x");
  pair.near.Do(AddAttemptCredit{AttemptNumber{1}, Bytes{7}});
  const auto taken = pair.far.Wait<AnswerConsumed>();
  REQUIRE(taken);
  CHECK(taken->number == number);
  CHECK(taken->bytes == Bytes{7});
}

TEST_CASE("a cancelled request is abandoned, and its late answer discarded") {
  RelayedPair pair;
  pair.near.Do(LinkAttempt(1, kFar, "cancelled"));
  const RequestNumber number = pair.Arrived("cancelled");
  // Answer and cancel cross on the way.
  pair.relay.Delay(RelayDirection::kToTarget, std::chrono::milliseconds(50));
  pair.near.Do(CancelAttempt{AttemptNumber{1}});
  pair.far.Do(SendAnswerHead{number, {200, {}, {}}});
  pair.far.Do(SendAnswerEnd{number});
  pair.CheckWorks(2);
  std::uint64_t late = 0;
  pair.near.Call(
      [&](LinkDuty& duty) { late = duty.client().counters().late_frames; });
  CHECK(late == 2);
  for (const AttemptHeadReceived& answered :
       pair.near.All<AttemptHeadReceived>()) {
    CHECK(answered.attempt.value() == 2);
  }
  CHECK(pair.near.All<AttemptFailed>().empty());
}

TEST_CASE("a cancel stops the work on the other side") {
  RelayedPair pair;
  pair.near.Do(LinkAttempt(1, kFar, "cancelled"));
  const RequestNumber number = pair.Arrived("cancelled");
  pair.near.Do(CancelAttempt{AttemptNumber{1}});
  const auto abandoned = pair.far.Wait<RequestAbandoned>();
  REQUIRE(abandoned);
  CHECK(abandoned->number == number);
}

}  // namespace
}  // namespace mimosagauge::testing
