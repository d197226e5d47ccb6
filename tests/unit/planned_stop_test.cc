// A planned stop ends only when the answers in progress have been written to
// their receivers, and then at once.

#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "platform/adapter.h"
#include "tests/support/fleet_gateway.h"
#include "tests/support/link_peer.h"
#include "tests/support/pass_through.h"
#include "tests/support/raw_socket.h"
#include "tests/support/wait.h"

namespace mimosagauge::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// --- decisions --------------------------------------------------------------

struct StopCase {
  std::string name;
  Origin origin = Origin::kCaller;
  std::function<void(FleetGateway&, AttemptNumber)> end;
};

const std::vector<StopCase>& StopCases() {
  const auto answer = [](FleetGateway& world, AttemptNumber attempt) {
    world.Answer(attempt);
  };
  const auto fail = [](FleetGateway& world, AttemptNumber attempt) {
    world.Fail(attempt, RunState::kUnknown);
  };
  const auto abort = [](FleetGateway& world, AttemptNumber attempt) {
    AnswerHead head;
    head.status = 200;
    world.Give(AttemptHeadReceived{attempt, head, {}});
    world.Fail(attempt, RunState::kRan);
  };
  static const std::vector<StopCase> kCases{
      {"answer to a caller", Origin::kCaller, answer},
      {"answer over a link", Origin::kLink, answer},
      {"problem to a caller", Origin::kCaller, fail},
      {"problem over a link", Origin::kLink, fail},
      {"aborted answer", Origin::kCaller, abort},
  };
  return kCases;
}

enum class Report { kWritten, kCut, kAbandoned, kNone };

// Guards against: a stop that cuts off answers whose upstream has finished but
// whose receiver still reads, and one that waits longer than it has to.
TEST_CASE("a planned stop waits for answers until they are written") {
  for (const StopCase& stop_case : StopCases()) {
    for (const Report report :
         {Report::kWritten, Report::kCut, Report::kAbandoned, Report::kNone}) {
      CAPTURE(stop_case.name, static_cast<int>(report));
      FleetGateway world;
      world.Upstream("desk-1", "desk");
      FleetRequest request;
      request.path = "/deposit/1";
      request.origin = stop_case.origin;
      const auto [number, effects] = world.Request(request);
      const auto start = Find<StartUpstreamAttempt>(effects);
      REQUIRE(start);
      world.Give(DrainRequested{});
      CHECK_FALSE(Find<Finished>(world.Pass(milliseconds(1600))));
      stop_case.end(world, start->attempt);
      CHECK_FALSE(Find<Finished>(world.Pass(milliseconds(10))));
      CHECK(View(world.gateway(), world.now()).unwritten == 1);
      if (report == Report::kNone) {
        const auto finished = Find<Finished>(world.Pass(seconds(30)));
        REQUIRE(finished);
        CHECK_FALSE(finished->in_time);
        continue;
      }
      const auto finished =
          Find<Finished>(report == Report::kAbandoned
                             ? world.Give(RequestAbandoned{number})
                             : world.Give(AnswersWritten{
                                   {{number, report == Report::kWritten}}}));
      REQUIRE(finished);
      CHECK(finished->in_time);
      CHECK(world.gateway().unwritten.cut ==
            (report == Report::kWritten ? 0 : 1));
    }
  }
}

// --- callers' connections ---------------------------------------------------

struct Dialect {
  std::string name;
  const CallerDialect* dialect = nullptr;
  std::string fields;
};

[[nodiscard]] std::vector<Dialect> BothDialects() {
  return {{"default", &DefaultCallerDialect(),
           "Host: a\r\nAuthorization: Bearer secret\r\n"},
          {"platform", &platform::Callers(),
           "Host: a\r\nX-Mimosagauge-Request-Id: r-1\r\n"
           "X-Mimosagauge-Deadline-Ms: 9000\r\n"}};
}

// The callers' duty with decisions that answer each request with `body` at
// once, and collect what is reported as written.
class AnsweringRig {
 public:
  AnsweringRig(const CallerDialect& dialect, std::string body,
               Duration idle_timeout = seconds(20))
      : settings_(MakeSettings(idle_timeout)),
        body_(std::move(body)),
        events_(callers_.io(), decisions_.io(), kRing),
        effects_(decisions_.io(), callers_.io(), kRing),
        duty_(callers_.io(), settings_, events_, dialect) {
    events_.set_handler([this](Event&& event) { On(event); });
    effects_.set_handler(
        [this](CallerEffect&& effect) { duty_.Handle(std::move(effect)); });
    REQUIRE(duty_.Start());
    callers_.Start();
    decisions_.Start();
  }
  ~AnsweringRig() {
    callers_.Run([this] { duty_.Stop(); });
    callers_.Join();
    decisions_.Join();
  }
  AnsweringRig(const AnsweringRig&) = delete;
  AnsweringRig& operator=(const AnsweringRig&) = delete;

  [[nodiscard]] std::uint16_t port() const { return duty_.port(); }
  [[nodiscard]] std::vector<WrittenAnswer> written() {
    const std::lock_guard lock(mutex_);
    return written_;
  }
  [[nodiscard]] bool WaitWritten(bool whole) {
    return WaitUntil([&] { return !written().empty(); }) &&
           written().size() == 1 && written().front().whole == whole;
  }
  // Ends the answer to a HEAD request, whose head was sent before.
  void End(RequestNumber number) {
    decisions_.Run([&] { effects_.Post(SendAnswerEnd{number}); });
  }
  void HoldEnds() { holds_ends_ = true; }

 private:
  static constexpr std::size_t kRing = 64;

  [[nodiscard]] static Settings MakeSettings(Duration idle_timeout) {
    Settings settings;
    settings.region = RegionId{"nairobi-a"};
    settings.entry = {"127.0.0.1", 0};
    settings.accounts = {{AccountId{"club"}, "secret", RegionId{}}};
    settings.limits.header_timeout = idle_timeout;
    settings.limits.idle_timeout = idle_timeout;
    return settings;
  }

  void On(const Event& event) {
    if (const auto* written = std::get_if<AnswersWritten>(&event)) {
      const std::lock_guard lock(mutex_);
      written_.insert(written_.end(), written->answers.begin(),
                      written->answers.end());
    }
    const auto* request = std::get_if<RequestArrived>(&event);
    if (request == nullptr) {
      return;
    }
    AnswerHead head;
    head.status = 200;
    head.headers = {{"Content-Length", std::to_string(body_.size())}};
    effects_.Post(SendAnswerHead{request->number, head});
    if (holds_ends_) {
      return;
    }
    effects_.Post(SendAnswerBody{request->number, body_, std::nullopt});
    effects_.Post(SendAnswerEnd{request->number});
  }

  const Settings settings_;
  const std::string body_;
  LoopThread callers_;
  LoopThread decisions_;
  Mailbox<Event> events_;
  Mailbox<CallerEffect> effects_;
  CallerDuty duty_;
  std::atomic<bool> holds_ends_{false};
  std::mutex mutex_;
  std::vector<WrittenAnswer> written_;
};

// More than the kernel's buffers of a connection hold.
const std::string& LargeBody() {
  static const std::string kBody(32UL * 1024 * 1024, 'a');
  return kBody;
}

enum class Reader { kReads, kReadsLate, kResets, kStops };

struct ReaderCase {
  std::string name;
  bool large = false;
  Reader reader = Reader::kReads;
  bool whole = true;  // What is reported.
};

// Guards against: an answer that is reported as written while the connection
// still holds a part of it, or that is never reported.
TEST_CASE("an answer counts as written with its last byte") {
  const std::vector<ReaderCase> cases{
      {"small", false, Reader::kReads, true},
      {"small, reader is late", false, Reader::kReadsLate, true},
      {"large", true, Reader::kReads, true},
      {"large, reader is late", true, Reader::kReadsLate, true},
      {"large, reader goes away", true, Reader::kResets, false},
      {"large, reader stops", true, Reader::kStops, false},
  };
  for (const Dialect& dialect : BothDialects()) {
    for (const ReaderCase& reader_case : cases) {
      CAPTURE(dialect.name, reader_case.name);
      const bool stops = reader_case.reader == Reader::kStops;
      AnsweringRig rig(*dialect.dialect,
                       reader_case.large ? LargeBody() : std::string("ok"),
                       stops ? Duration(milliseconds(200)) : seconds(20));
      RawSocket caller(rig.port());
      caller.Send("GET /order-desk/1 HTTP/1.1\r\nConnection: close\r\n" +
                  dialect.fields + "\r\n");
      if (reader_case.large && reader_case.reader != Reader::kReads && !stops) {
        std::this_thread::sleep_for(milliseconds(200));
        CHECK(rig.written().empty());
      }
      if (reader_case.reader == Reader::kResets) {
        caller.Reset();
      } else if (!stops) {
        const std::string answer = caller.ReadAll();
        CHECK(answer.find("200") != std::string::npos);
        CHECK((!reader_case.large || answer.size() > LargeBody().size()));
      }
      CHECK(rig.WaitWritten(reader_case.whole));
    }
  }
}

// Guards against: the end of an answer without a body, which adds no bytes, is
// never reported, and the connection takes no further request.
TEST_CASE("an answer to HEAD counts as written when it ends") {
  for (const Dialect& dialect : BothDialects()) {
    CAPTURE(dialect.name);
    AnsweringRig rig(*dialect.dialect, std::string(100, 'a'));
    rig.HoldEnds();
    RawSocket caller(rig.port());
    caller.Send("HEAD /order-desk/1 HTTP/1.1\r\n" + dialect.fields + "\r\n");
    CHECK(caller.ReadUntil("\r\n\r\n").find(" 200 ") != std::string::npos);
    CHECK(rig.written().empty());
    rig.End(RequestNumber{2});
    CHECK(rig.WaitWritten(true));
    caller.Send("HEAD /order-desk/2 HTTP/1.1\r\n" + dialect.fields + "\r\n");
    CHECK(caller.ReadUntil("\r\n\r\n").find(" 200 ") != std::string::npos);
  }
}

// --- links ------------------------------------------------------------------

enum class LinkEnd { kCredit, kCancel, kLinkLost };

// Guards against: the end of an answer that waits for credit of the other
// instance is dropped when this one stops.
TEST_CASE("an answer over a link counts as written with its last frame") {
  const LinkEnd end =
      GENERATE(LinkEnd::kCredit, LinkEnd::kCancel, LinkEnd::kLinkLost);
  CAPTURE(static_cast<int>(end));
  LinkPeer far(LinkSettings("mombasa-a-1", "mombasa-a"));
  REQUIRE(far.Start());
  Settings settings = LinkSettings("nairobi-a-1", "nairobi-a");
  settings.peers = {PeerAt("mombasa-a-1", far.port())};
  auto near = std::make_unique<LinkPeer>(settings);
  REQUIRE(near->Start());
  REQUIRE(near->WaitUp("mombasa-a-1"));
  near->Do(LinkAttempt(1, "mombasa-a-1", "x", Bytes{1}));
  const auto arrived = far.Wait<RequestArrived>();
  REQUIRE(arrived);
  far.Do(SendAnswerHead{arrived->number, {200, {}, {}}});
  far.Do(SendAnswerBody{arrived->number, "first", std::nullopt});
  far.Do(SendAnswerBody{arrived->number, "second", std::nullopt});
  far.Do(SendAnswerEnd{arrived->number});
  REQUIRE(near->WaitOf<AttemptBodyReceived>(1));
  std::this_thread::sleep_for(milliseconds(50));
  CHECK(far.All<AnswersWritten>().empty());
  if (end == LinkEnd::kCredit) {
    near->Do(AddAttemptCredit{AttemptNumber{1}, Kibibytes(1)});
    CHECK(near->WaitOf<AttemptEnded>(1));
  } else if (end == LinkEnd::kCancel) {
    near->Do(CancelAttempt{AttemptNumber{1}});
  } else {
    near.reset();
  }
  const auto written = far.Wait<AnswersWritten>();
  REQUIRE(written);
  REQUIRE(written->answers.size() == 1);
  CHECK(written->answers[0].number == arrived->number);
  CHECK(written->answers[0].whole == (end == LinkEnd::kCredit));
}

}  // namespace
}  // namespace mimosagauge::testing
