// What an attempt says about the request at each point where the upstream or
// the connection can fail.

#include <atomic>
#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "platform/adapter.h"
#include "tests/support/raw_socket.h"
#include "tests/support/upstream_rig.h"
#include "tests/support/wait.h"

namespace mimosagauge::testing {
namespace {

constexpr const char* kWhole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
constexpr const char* kChunked =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

TEST_CASE("the run state tells what left the process") {
  struct Failure {
    std::string name;
    Script script;
    std::optional<RunState> run;  // None: the attempt ended whole.
  };
  const std::vector<Failure> failures{
      {"closes after the request", Answering(""), RunState::kUnknown},
      {"closes within the head", Answering("HTTP/1.1 200 OK\r\nCont"),
       RunState::kUnknown},
      {"answers no HTTP", Answering("hello\r\n\r\n"), RunState::kUnknown},
      {"closes after an interim head",
       Answering("HTTP/1.1 100 Continue\r\n\r\n"), RunState::kUnknown},
      {"says nothing", Silent(""), RunState::kUnknown},
      {"refuses unrun",
       Answering("HTTP/1.1 503 Busy\r\nMimosagauge-Not-Run: true\r\n"
                 "Content-Length: 0\r\n\r\n"),
       RunState::kNotRun},
      {"fails in its own words",
       Answering("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"),
       std::nullopt},
      {"says not run with another status",
       Answering("HTTP/1.1 500 No\r\nMimosagauge-Not-Run: true\r\n"
                 "Content-Length: 0\r\n\r\n"),
       std::nullopt},
      {"short of its length",
       Answering("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok"),
       RunState::kRan},
      {"no last chunk", Answering(std::string(kChunked) + "2\r\nok\r\n"),
       RunState::kRan},
      {"broken chunk", Answering(std::string(kChunked) + "zz\r\n"),
       RunState::kRan},
      {"no length", Answering("HTTP/1.1 200 OK\r\n\r\nok"), RunState::kRan},
      {"silent within the body",
       Silent("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok"),
       RunState::kRan},
      {"whole by length", Answering(kWhole), std::nullopt},
      {"whole by chunks",
       Answering(std::string(kChunked) + "2\r\nok\r\n0\r\n\r\n"), std::nullopt},
      {"whole after an interim head",
       Answering(std::string("HTTP/1.1 100 Continue\r\n\r\n") + kWhole),
       std::nullopt},
  };
  for (const Failure& failure : failures) {
    CAPTURE(failure.name);
    ScriptedUpstream upstream({failure.script});
    UpstreamRig rig(upstream.port(), UpstreamKind::kPlain);
    CHECK(FailedAs(rig.Run()) == failure.run);
  }
}

TEST_CASE("an upstream that does not listen has not run the request") {
  std::uint16_t port = 0;
  {
    ScriptedUpstream gone({});
    port = gone.port();
  }
  UpstreamRig rig(port, UpstreamKind::kPlain);
  CHECK(FailedAs(rig.Run()) == RunState::kNotRun);
}

// Whether the kernel takes bytes before it learns of the reset is a race, and
// the state follows what it took.
TEST_CASE("a reset before anything was read never means that it ran") {
  ScriptedUpstream upstream(
      {[](RawSocket& connection) { connection.Reset(); }});
  UpstreamRig rig(upstream.port(), UpstreamKind::kPlain);
  const std::optional<RunState> run = FailedAs(rig.Run());
  REQUIRE(run.has_value());
  CHECK(*run != RunState::kRan);
}

TEST_CASE("a reused connection that closes after the write is unknown") {
  ScriptedUpstream upstream({[](RawSocket& connection) {
    TakeRequest(connection);
    connection.Send(kWhole);
    TakeRequest(connection);
  }});
  UpstreamRig rig(upstream.port(), UpstreamKind::kPlain);
  REQUIRE(FailedAs(rig.Run()) == std::nullopt);
  CHECK(FailedAs(rig.Run()) == RunState::kUnknown);
}

TEST_CASE("a connection found closed is not used again") {
  std::atomic<bool> closed{false};
  ScriptedUpstream upstream({[&closed](RawSocket& connection) {
                               TakeRequest(connection);
                               connection.Send(kWhole);
                               connection.Close();
                               closed = true;
                             },
                             Answering(kWhole)});
  UpstreamRig rig(upstream.port(), UpstreamKind::kPlain);
  REQUIRE(FailedAs(rig.Run()) == std::nullopt);
  REQUIRE(WaitUntil([&closed] { return closed.load(); }));
  CHECK(FailedAs(rig.Run()) == std::nullopt);
}

TEST_CASE("cancelling an attempt reaches the upstream and ends its events") {
  std::atomic<bool> taken{false};
  std::atomic<bool> gone{false};
  ScriptedUpstream upstream({[&](RawSocket& connection) {
    TakeRequest(connection);
    taken = true;
    (void)connection.ReadAll();
    gone = true;
  }});
  UpstreamRig rig(upstream.port(), UpstreamKind::kEngine);
  rig.Begin(false);
  REQUIRE(WaitUntil([&] { return taken.load(); }));
  rig.Post(CancelAttempt{rig.attempt()});
  CHECK(WaitUntil([&] { return gone.load(); }));
  CHECK(rig.seen().empty());
}

TEST_CASE("a stream cut anywhere neither ends nor shows part of an event") {
  const std::string body =
      "id: 1\ndata: a\n\n: note\n\nid: 2\r\ndata: b\r\n\r\ndata: [DONE]\n\n";
  const std::string head =
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";
  const bool chunked = GENERATE(true, false);
  std::string answer = head + "Content-Length: " + std::to_string(body.size()) +
                       "\r\n\r\n" + body;
  if (chunked) {
    answer = head + "Transfer-Encoding: chunked\r\n\r\n";
    for (const char c : body) {
      answer += "1\r\n" + std::string(1, c) + "\r\n";
    }
    answer += "0\r\n\r\n";
  }
  const std::size_t step = chunked ? 3 : 1;
  for (std::size_t cut = 0; cut <= answer.size(); cut += step) {
    const std::size_t size = cut + step > answer.size() ? answer.size() : cut;
    CAPTURE(size);
    ScriptedUpstream upstream({Answering(answer.substr(0, size))});
    UpstreamRig rig(upstream.port(), UpstreamKind::kEngine);
    CHECK(FailedAs(rig.Run(true)).has_value() == (size < answer.size()));
    std::string passed;
    for (const Event& event : rig.seen()) {
      if (const auto* part = std::get_if<AttemptBodyReceived>(&event)) {
        passed += part->data;
        const bool whole =
            part->data.ends_with("\n\n") || part->data.ends_with("\r\n\r\n");
        CHECK(whole);
      }
    }
    CHECK(body.rfind(passed, 0) == 0);
  }
}

TEST_CASE("an answer that ends with its connection is whole or broken off") {
  struct Case {
    const char* what;
    bool platform;  // The dialect of the users' platform, or the default one.
    bool stream;
    std::string body;
    bool reset;
    bool whole;
  };
  const Case one = GENERATE(values<Case>({
      {"closed", true, false, "ok", false, true},
      {"closed without a body", true, false, "", false, true},
      {"reset", true, false, "ok", true, false},
      {"stream closed after an event", true, true, "id: 1\ndata: a\n\n", false,
       true},
      {"stream closed without an event", true, true, "", false, true},
      {"stream closed inside a line", true, true, "id: 1\ndata: a\n\nid: 2\nda",
       false, false},
      {"stream closed after a line", true, true,
       "id: 1\ndata: a\n\nid: 2\ndata: b\n", false, false},
      {"stream reset after an event", true, true, "id: 1\ndata: a\n\n", true,
       false},
      {"default: closed", false, false, "ok", false, false},
      {"default: stream closed after its last event", false, true,
       "data: a\n\ndata: [DONE]\n\n", false, true},
      {"default: stream closed before its last event", false, true,
       "data: a\n\n", false, false},
      {"default: stream closed inside its last event", false, true,
       "data: a\n\ndata: [DONE]\n", false, false},
      {"default: stream closed inside an event after the last one", false, true,
       "data: a\n\ndata: [DONE]\n\ndata: b", false, false},
      {"default: stream reset", false, true, "data: a\n\n", true, false},
  }));
  CAPTURE(one.what);
  std::string answer =
      "HTTP/1.1 200 OK\r\nX-Mimosagauge-Request-Id: r\r\n"
      "X-Mimosagauge-Stamp: s\r\n";
  answer += one.stream ? "Content-Type: text/event-stream\r\n\r\n" : "\r\n";
  answer += one.body;
  ScriptedUpstream upstream({[&](RawSocket& connection) {
    TakeRequest(connection);
    connection.Send(answer);
    if (one.reset) {
      connection.Reset();
    } else {
      connection.Close();
    }
  }});
  UpstreamRig rig(
      upstream.port(), UpstreamKind::kEngine,
      one.platform ? platform::Upstreams() : DefaultUpstreamDialect());
  CHECK(FailedAs(rig.Run(one.stream)).has_value() != one.whole);
}

}  // namespace
}  // namespace mimosagauge::testing
