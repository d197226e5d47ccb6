// Upstreams whose answer never ends: bytes that are no answer, and answers that
// make no progress.

#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <variant>
#include <vector>

#include "tests/support/raw_socket.h"
#include "tests/support/upstream_rig.h"
#include "tests/support/wait.h"

namespace mimosagauge::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kMebibyte = 1024UL * 1024;
// An endless sender stops here, so that a gateway that does not close fails the
// check instead of holding up the test.
constexpr std::size_t kSendLimit = 64 * kMebibyte;
// The largest event, and what the sockets of both sides hold.
constexpr std::size_t kMostTaken = 16 * kMebibyte;

const std::string kWhole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
const std::string kChunked =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string kEvents =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";

[[nodiscard]] std::string Repeated(const std::string& text) {
  constexpr std::size_t kFillerBytes = 16UL * 1024;
  std::string filler;
  while (filler.size() < kFillerBytes) {
    filler += text;
  }
  return filler;
}

// Takes the request, sends `begin` and then `filler` without end.
[[nodiscard]] Script Endless(std::string begin, const std::string& filler,
                             std::atomic<std::size_t>& taken) {
  return [begin = std::move(begin), filler = Repeated(filler),
          &taken](RawSocket& connection) {
    TakeRequest(connection);
    connection.Send(begin);
    taken = connection.SendRepeatedly(filler, kSendLimit);
  };
}

TEST_CASE("bytes without end that are no answer end the attempt") {
  struct Case {
    const char* what;
    std::string begin;
    std::string filler;
    std::optional<RunState> run;  // None: the answer was whole before them.
  };
  const Case one = GENERATE(values<Case>({
      {"one header line", "HTTP/1.1 200 OK\r\nX-Long: ", "a",
       RunState::kUnknown},
      {"header lines", "HTTP/1.1 200 OK\r\n", "X-More: a\r\n",
       RunState::kUnknown},
      {"a status line", "HTTP/1.1 200 ", "a", RunState::kUnknown},
      {"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n",
       RunState::kUnknown},
      {"no HTTP", "", "garbage\r\n", RunState::kUnknown},
      {"a body after the whole answer", kWhole, "more", std::nullopt},
      {"a chunk extension", kChunked + "2;x=", "a", RunState::kRan},
      {"zeros before a chunk size", kChunked, "0", RunState::kRan},
      {"one trailer line", kChunked + "2\r\nok\r\n0\r\nX-T: ", "a",
       RunState::kRan},
      {"trailer lines", kChunked + "2\r\nok\r\n0\r\n", "X-T: a\r\n",
       RunState::kRan},
      {"a body without a length", "HTTP/1.1 200 OK\r\n\r\n", "a",
       RunState::kRan},
      {"an error body without a length", "HTTP/1.1 500 No\r\n\r\n", "a",
       RunState::kRan},
      {"the body of a refusal",
       "HTTP/1.1 503 Busy\r\nMimosagauge-Not-Run: true\r\n\r\n", "a",
       RunState::kNotRun},
      {"one event", kEvents + "data: ", "a", RunState::kRan},
      {"lines of one event", kEvents, "data: a\n", RunState::kRan},
      {"comment lines", kEvents, ": note\n", RunState::kRan},
      {"comments, each in a block", kEvents, ": note\n\n", RunState::kRan},
      {"empty lines", kEvents, "\n", RunState::kRan},
      {"lines without a field", kEvents, "garbage\n\n", RunState::kRan},
  }));
  CAPTURE(one.what);
  std::atomic<std::size_t> taken{0};
  ScriptedUpstream upstream(
      {Endless(one.begin, one.filler, taken), Answering(kWhole)});
  UpstreamRig rig(upstream.port(), UpstreamKind::kEngine);
  rig.ConsumeBodies();
  CHECK(FailedAs(rig.Run(true)) == one.run);
  // The connection is closed, and the next request gets one of its own.
  CHECK_FALSE(FailedAs(rig.Run()).has_value());
  CHECK(taken < kMostTaken);
}

// Guards against: events without end at many connections, each within its own
// limit, together exceeded the memory of a small instance.
TEST_CASE("incomplete events stay within a part of the process's memory") {
  struct Case {
    Bytes memory;
    std::size_t event_bytes;
    bool passed;
  };
  const Case one = GENERATE(values<Case>({
      {Bytes{}, 600UL * 1024, true},
      {Bytes{120 * kMebibyte}, 600UL * 1024, true},
      {Bytes{4 * kMebibyte}, 600UL * 1024, false},
      {Bytes{4 * kMebibyte}, 100UL * 1024, true},
      {Bytes{1024}, 12UL * 1024, true},
  }));
  CAPTURE(one.memory.count(), one.event_bytes);
  ScriptedUpstream upstream({[&one](RawSocket& connection) {
    TakeRequest(connection);
    connection.Send(kEvents + "data: " + std::string(one.event_bytes, 'a') +
                    "\n\ndata: [DONE]\n\n");
    connection.Close();
  }});
  UpstreamRig rig(upstream.port(), UpstreamKind::kEngine,
                  DefaultUpstreamDialect(), seconds(30), one.memory);
  rig.ConsumeBodies();
  CHECK(FailedAs(rig.Run(true)) ==
        (one.passed ? std::nullopt : std::optional(RunState::kRan)));
}

TEST_CASE("requests beside an endless answer are answered") {
  std::atomic<std::size_t> taken{0};
  std::atomic<bool> answered{false};
  ScriptedUpstream upstream(
      {[&](RawSocket& connection) {
         TakeRequest(connection);
         connection.Send(kEvents);
         const std::string filler = Repeated("data: a\n\n");
         while (!answered && taken < kSendLimit * 64) {
           taken += connection.SendRepeatedly(filler, filler.size());
         }
       },
       Answering(kWhole)});
  ScriptedUpstream other({Answering(kWhole)});
  UpstreamRig rig(upstream.port(), UpstreamKind::kEngine,
                  DefaultUpstreamDialect(), seconds(30));
  rig.ConsumeBodies();
  rig.AddUpstream("v", other.port());
  rig.Begin(true);
  REQUIRE(WaitUntil([&] { return taken > kMebibyte; }));
  CHECK_FALSE(FailedAs(rig.RunAt("v")).has_value());
  answered = true;
  rig.Post(CancelAttempt{AttemptNumber{1}});
  CHECK_FALSE(FailedAs(rig.Run()).has_value());
}

TEST_CASE("a long answer is not cut by its size") {
  ScriptedUpstream upstream({[](RawSocket& connection) {
    TakeRequest(connection);
    connection.Send(kChunked);
    constexpr std::size_t kChunkBytes = 0x4000;
    const std::string chunk =
        "4000\r\n" + std::string(kChunkBytes, 'a') + "\r\n";
    (void)connection.SendRepeatedly(chunk, chunk.size() * 2048);
    connection.Send("0\r\n\r\n");
    connection.Close();
  }});
  UpstreamRig rig(upstream.port(), UpstreamKind::kPlain);
  rig.ConsumeBodies();
  CHECK_FALSE(FailedAs(rig.Run()).has_value());
}

TEST_CASE("an answer that makes no progress ends after it is due") {
  struct Case {
    const char* what;
    std::string begin;
    std::string piece;  // Sent every 50 ms.
    int pieces;
    std::string end;
    bool sound;
  };
  constexpr int kUntilClosed = 10000;
  const std::string kilobyte = "400\r\n" + std::string(1024, 'a') + "\r\n";
  const Case one = GENERATE_COPY(values<Case>({
      {"events", kEvents, "id: 1\ndata: a\n\n", 100, "data: [DONE]\n\n", true},
      {"kilobytes", kChunked, kilobyte, 100, "0\r\n\r\n", true},
      {"comments until its first event, which is in time", kEvents,
       ": wait\n\n", 10, "data: a\n\ndata: [DONE]\n\n", true},
      {"comments", kEvents, ": wait\n\n", kUntilClosed, "", false},
      {"bytes of one event", kEvents + "data: ", "a", kUntilClosed, "", false},
      {"bytes of a body", kChunked, "1\r\na\r\n", kUntilClosed, "", false},
  }));
  CAPTURE(one.what);
  ScriptedUpstream upstream({[&one](RawSocket& connection) {
    TakeRequest(connection);
    connection.Send(one.begin);
    for (int sent = 0; sent < one.pieces; ++sent) {
      if (connection.SendRepeatedly(one.piece, one.piece.size()) == 0) {
        break;
      }
      std::this_thread::sleep_for(milliseconds(50));
    }
    connection.Send(one.end);
    connection.Close();
  }});
  UpstreamRig rig(upstream.port(), UpstreamKind::kEngine,
                  DefaultUpstreamDialect(), seconds(3));
  rig.ConsumeBodies();
  CHECK(FailedAs(rig.Run(true, seconds(1))) ==
        (one.sound ? std::nullopt : std::optional(RunState::kRan)));
}

TEST_CASE("an answer that names another request is not passed on") {
  const auto [id, passed] =
      GENERATE(table<std::string, bool>({{"", true},
                                         {UpstreamRig::kRequestId, true},
                                         {"an-earlier-one", false}}));
  CAPTURE(id);
  const std::string field =
      id.empty() ? "" : "Mimosagauge-Request-Id: " + id + "\r\n";
  // The second answer on a connection that is in use again.
  ScriptedUpstream upstream({[&field](RawSocket& connection) {
    TakeRequest(connection);
    connection.Send(kWhole);
    TakeRequest(connection);
    connection.Send("HTTP/1.1 200 OK\r\n" + field +
                    "Content-Length: 2\r\n\r\nok");
    (void)connection.ReadAll();
  }});
  UpstreamRig rig(upstream.port(), UpstreamKind::kPlain);
  REQUIRE_FALSE(FailedAs(rig.Run()).has_value());
  const std::optional<RunState> run = FailedAs(rig.Run());
  CHECK(run == (passed ? std::nullopt : std::optional(RunState::kUnknown)));
}

TEST_CASE("a second copy of an answer on an idle connection is discarded") {
  std::atomic<bool> copied{false};
  ScriptedUpstream upstream({[&copied](RawSocket& connection) {
                               TakeRequest(connection);
                               connection.Send(kWhole);
                               std::this_thread::sleep_for(milliseconds(20));
                               connection.Send(kWhole);
                               copied = true;
                               (void)connection.ReadAll();
                             },
                             Answering("HTTP/1.1 201 Created\r\n"
                                       "Content-Length: 2\r\n\r\nme")});
  UpstreamRig rig(upstream.port(), UpstreamKind::kPlain);
  REQUIRE_FALSE(FailedAs(rig.Run()).has_value());
  REQUIRE(WaitUntil([&copied] { return copied.load(); }));
  REQUIRE_FALSE(FailedAs(rig.Run()).has_value());
  std::vector<int> statuses;
  for (const Event& event : rig.seen()) {
    if (const auto* answer = std::get_if<AttemptHeadReceived>(&event)) {
      statuses.push_back(answer->head.status);
    }
  }
  CHECK(statuses == std::vector<int>{200, 201});
}

}  // namespace
}  // namespace mimosagauge::testing
