// What an attempt says about the request at each point where the upstream or
// the connection can fail.

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address_v4.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <variant>
#include <vector>

#include "tests/support/pass_through.h"
#include "tests/support/raw_socket.h"
#include "tests/support/wait.h"

namespace mimosagauge::testing {
namespace {

using Script = std::function<void(RawSocket& connection)>;

// An upstream that plays one script for each connection, in order.
class ScriptedUpstream {
 public:
  explicit ScriptedUpstream(std::vector<Script> scripts)
      : acceptor_(io_, {boost::asio::ip::address_v4::loopback(), 0}),
        port_(acceptor_.local_endpoint().port()),
        thread_([this, scripts = std::move(scripts)] { Play(scripts); }) {}
  ~ScriptedUpstream() { thread_.join(); }
  ScriptedUpstream(const ScriptedUpstream&) = delete;
  ScriptedUpstream& operator=(const ScriptedUpstream&) = delete;

  [[nodiscard]] std::uint16_t port() const noexcept { return port_; }

 private:
  void Play(const std::vector<Script>& scripts) {
    for (const Script& script : scripts) {
      RawSocket connection(acceptor_);
      script(connection);
    }
    acceptor_.close();
  }

  boost::asio::io_context io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::uint16_t port_;
  std::thread thread_;
};

// The duty with one upstream; collects what it says.
class UpstreamRig {
 public:
  UpstreamRig(std::uint16_t port, UpstreamKind kind)
      : settings_(MakeSettings(port, kind)),
        events_(upstreams_.io(), decisions_.io(), kRing),
        effects_(decisions_.io(), upstreams_.io(), kRing),
        duty_(upstreams_.io(), settings_, events_) {
    events_.set_handler([this](Event&& event) {
      const std::lock_guard lock(mutex_);
      seen_.push_back(std::move(event));
    });
    effects_.set_handler(
        [this](UpstreamEffect&& effect) { duty_.Handle(std::move(effect)); });
    duty_.Start();
    upstreams_.Start();
    decisions_.Start();
  }
  ~UpstreamRig() {
    upstreams_.Run([this] { duty_.Stop(); });
    upstreams_.Join();
    decisions_.Join();
  }
  UpstreamRig(const UpstreamRig&) = delete;
  UpstreamRig& operator=(const UpstreamRig&) = delete;

  void Post(UpstreamEffect effect) {
    decisions_.Run([&] { effects_.Post(std::move(effect)); });
  }

  // Starts an attempt and waits for its last event.
  Event Run(bool stream = false) {
    Begin(stream);
    REQUIRE(WaitUntil([this] { return Last().has_value(); }));
    return *Last();
  }
  void Begin(bool stream) {
    auto head = std::make_shared<RequestHead>();
    head->id = RequestId{"r"};
    head->method = "POST";
    head->target = "/x";
    head->stream = stream;
    StartUpstreamAttempt start;
    start.attempt = ++attempt_number_;
    start.upstream = UpstreamId{"u"};
    start.head = head;
    start.body = std::make_shared<const std::string>("body");
    start.remaining = std::chrono::seconds(30);
    start.credit = Kibibytes(16);
    attempt_ = start.attempt;
    Post(std::move(start));
  }

  [[nodiscard]] AttemptNumber attempt() const { return attempt_; }
  [[nodiscard]] std::vector<Event> seen() const {
    const std::lock_guard lock(mutex_);
    return seen_;
  }

 private:
  struct Counter {
    std::uint64_t value = 0;
    AttemptNumber operator++() { return AttemptNumber{++value}; }
  };
  static constexpr std::size_t kRing = 64;

  [[nodiscard]] static Settings MakeSettings(std::uint16_t port,
                                             UpstreamKind kind) {
    Settings settings;
    settings.limits.silence = std::chrono::milliseconds(300);
    UpstreamSettings upstream;
    upstream.id = UpstreamId{"u"};
    upstream.kind = kind;
    upstream.endpoint = {"127.0.0.1", port};
    settings.upstreams = {upstream};
    return settings;
  }

  // The event that ended the current attempt.
  [[nodiscard]] std::optional<Event> Last() const {
    const std::lock_guard lock(mutex_);
    for (const Event& event : seen_) {
      const auto* ended = std::get_if<AttemptEnded>(&event);
      const auto* failed = std::get_if<AttemptFailed>(&event);
      if ((ended != nullptr && ended->attempt == attempt_) ||
          (failed != nullptr && failed->attempt == attempt_)) {
        return event;
      }
    }
    return std::nullopt;
  }

  const Settings settings_;
  LoopThread upstreams_;
  LoopThread decisions_;
  Mailbox<Event> events_;
  Mailbox<UpstreamEffect> effects_;
  UpstreamDuty duty_;
  Counter attempt_number_;
  AttemptNumber attempt_;
  mutable std::mutex mutex_;
  std::vector<Event> seen_;
};

[[nodiscard]] std::optional<RunState> FailedAs(const Event& event) {
  const auto* failed = std::get_if<AttemptFailed>(&event);
  return failed == nullptr ? std::nullopt : std::optional(failed->run);
}

void TakeRequest(RawSocket& connection) {
  (void)connection.ReadUntil("\r\n\r\nbody");
}

// Takes the request, sends `answer` and closes.
[[nodiscard]] Script Answering(std::string answer) {
  return [answer = std::move(answer)](RawSocket& connection) {
    TakeRequest(connection);
    connection.Send(answer);
    connection.Close();
  };
}

// Takes the request, sends `answer` and waits for the gateway to give up.
[[nodiscard]] Script Silent(std::string answer) {
  return [answer = std::move(answer)](RawSocket& connection) {
    TakeRequest(connection);
    connection.Send(answer);
    (void)connection.ReadAll();
  };
}

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

}  // namespace
}  // namespace mimosagauge::testing
