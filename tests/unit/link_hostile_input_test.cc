// Whatever strangers do on the peer port, their connection is closed and
// everything else goes on.

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <string>

#include "mimosagauge/impl/wire/codec.h"
#include "tests/support/link_peer.h"

namespace mimosagauge::testing {
namespace {

using boost::asio::ip::tcp;

const std::string kFar = "mombasa-a-1";

/// A connection that speaks raw bytes.
struct Stranger {
  explicit Stranger(std::uint16_t port) : socket(io) {
    boost::system::error_code error;
    socket.connect(tcp::endpoint(boost::asio::ip::address_v4::loopback(), port),
                   error);
    REQUIRE_FALSE(error);
  }
  void Send(const std::string& bytes) {
    boost::system::error_code ignored;
    boost::asio::write(socket, boost::asio::buffer(bytes), ignored);
  }
  /// Reads until the other side closes.
  std::string ReadToEnd() {
    std::string text;
    boost::system::error_code error;
    boost::asio::read(socket, boost::asio::dynamic_buffer(text), error);
    return text;
  }
  /// Reads one whole message.
  void ReadHello() {
    std::string prefix(kFramePrefixBytes, '\0');
    boost::asio::read(socket, boost::asio::buffer(prefix));
    std::string payload(static_cast<unsigned char>(prefix[4]), '\0');
    boost::asio::read(socket, boost::asio::buffer(payload));
  }

  boost::asio::io_context io;
  tcp::socket socket;
};

/// An instance with a good link from another, which must go on working.
struct Fixture {
  Fixture() : far(FarSettings()) {
    REQUIRE(far.Start());
    Settings settings = LinkSettings("nairobi-a-1", "nairobi-a");
    settings.peers = {PeerAt(kFar, far.port())};
    near = std::make_unique<LinkPeer>(settings);
    REQUIRE(near->Start());
    REQUIRE(near->WaitUp(kFar));
  }
  static Settings FarSettings() {
    Settings settings = LinkSettings(kFar, "mombasa-a");
    settings.limits.body = Kibibytes(64);
    return settings;
  }
  void CheckGoesOn() {
    near->Do(LinkAttempt(1, kFar, "still works"));
    CHECK(far.Wait<RequestArrived>([](const RequestArrived& arrived) {
      return *arrived.body == "still works";
    }));
    CHECK(near->All<LinkChanged>().size() == 1);
  }
  LinkServerCounters Counters() {
    LinkServerCounters counters;
    far.Call([&](LinkDuty& duty) { counters = duty.server().counters(); });
    return counters;
  }

  LinkPeer far;
  std::unique_ptr<LinkPeer> near;
};

[[nodiscard]] std::string HelloOf(const std::string& instance) {
  return EncodeMessage(HelloMessage{1, 2, InstanceId{instance},
                                    RegionId{"kisumu-a"}, ZoneId{"z"}},
                       1);
}

TEST_CASE("bytes that do not greet properly close their connection") {
  struct Case {
    const char* what;
    std::string bytes;
  };
  const auto one = GENERATE(values<Case>(
      {{"HTTP", "GET / HTTP/1.1\r\nHost: x\r\n\r\n"},
       {"zeros", std::string(64, '\0')},
       {"a frame that claims gigabytes", "MG\x01\x01\xff\xff\xff\x7f"},
       {"a greeting that fails verification",
        std::string("MG\x01\x01\x08\0\0\0\xff\xff\xff\xff\xff\xff\xff\xff",
                    16)},
       {"a greeting that trickles in and stops", "MG\x01"},
       {"nothing", ""},
       {"a request before the greeting",
        EncodeMessage(RequestBodyMessage{StreamNumber{1}, 0, "x"}, 1)},
       {"an empty instance name", HelloOf("")},
       {"the name of this instance", HelloOf(kFar)}}));
  CAPTURE(one.what);
  Fixture fixture;
  Stranger stranger(fixture.far.port());
  stranger.Send(one.bytes);
  stranger.ReadToEnd();
  CHECK(WaitUntil([&] { return fixture.Counters().failed_connections == 1; }));
  fixture.CheckGoesOn();
}

TEST_CASE("an instance that breaks the protocol loses its own link only") {
  struct Case {
    const char* what;
    std::vector<Message> messages;
  };
  RequestMessage request;
  request.stream = StreamNumber{1};
  request.head.id = RequestId{"1"};
  request.head.method = "GET";
  request.head.target = "/";
  request.body_size = Bytes{4};
  const StreamNumber stream{1};
  const auto one = GENERATE_COPY(values<Case>({
      {"a second greeting",
       {HelloMessage{1, 2, InstanceId{"x"}, RegionId{"r"}, ZoneId{"z"}}}},
      {"an answer nobody asked for", {AnswerEndMessage{stream, {}, 0}}},
      {"one number for two requests", {request, request}},
      {"a gap in a body", {request, RequestBodyMessage{stream, 1, "ab"}}},
      {"more body than said",
       {request, RequestBodyMessage{stream, 0, "abcde"}}},
  }));
  CAPTURE(one.what);
  Fixture fixture;
  Stranger rogue(fixture.far.port());
  rogue.Send(HelloOf("kisumu-a-1"));
  rogue.ReadHello();
  std::string bytes;
  for (const Message& message : one.messages) {
    bytes += EncodeMessage(message, 2);
  }
  rogue.Send(bytes);
  CHECK_FALSE(rogue.ReadToEnd().empty());  // The goodbye says why.
  fixture.CheckGoesOn();
  CHECK(fixture.far.All<RequestArrived>().size() == 1);
}

TEST_CASE("frames that are not known or too late are passed over") {
  Fixture fixture;
  Stranger peer(fixture.far.port());
  peer.Send(HelloOf("kisumu-a-1"));
  peer.ReadHello();
  std::string bytes;
  AppendFrame(bytes, 2, static_cast<FrameType>(200), "of a later release");
  bytes += EncodeMessage(CancelMessage{StreamNumber{5}}, 2);
  bytes += EncodeMessage(RequestBodyMessage{StreamNumber{5}, 0, "x"}, 2);
  RequestMessage request;
  request.stream = StreamNumber{9};
  request.head.id = RequestId{"1"};
  request.head.method = "GET";
  request.head.target = "/after";
  bytes += EncodeMessage(request, 2);
  peer.Send(bytes);
  CHECK(fixture.far.Wait<RequestArrived>([](const RequestArrived& arrived) {
    return arrived.head->target == "/after";
  }));
  CHECK(fixture.Counters().late_frames == 2);
}

TEST_CASE("a flood of connections is bounded and passes") {
  Fixture fixture;
  std::vector<std::unique_ptr<Stranger>> strangers;
  for (std::size_t i = 0; i < 2 * kMaxUngreeted; ++i) {
    strangers.push_back(std::make_unique<Stranger>(fixture.far.port()));
  }
  CHECK(WaitUntil(
      [&] { return fixture.Counters().refused_connections >= kMaxUngreeted; }));
  fixture.far.Call([&](LinkDuty& duty) {
    CHECK(duty.server().ungreeted() <= kMaxUngreeted);
  });
  fixture.CheckGoesOn();
  // All of them are gone after the deadline, and others may come in.
  CHECK(WaitUntil(
      [&] { return fixture.Counters().failed_connections >= kMaxUngreeted; }));
  Stranger later(fixture.far.port());
  later.Send(HelloOf("kisumu-a-1"));
  later.ReadHello();
}

TEST_CASE("an answer that is not whole fails its attempt") {
  struct Case {
    const char* what;
    std::vector<Message> messages;
  };
  const StreamNumber stream{1};
  const Message head = AnswerHeadMessage{stream, {200, {}, {}}};
  const Message first = AnswerBodyMessage{stream, 0, "ab", std::nullopt};
  const Message gap = AnswerBodyMessage{stream, 2, "ef", std::nullopt};
  const auto one = GENERATE_COPY(values<Case>({
      {"gap", {head, first, gap}},
      {"repeat", {head, first, first}},
      {"short total", {head, first, AnswerEndMessage{stream, Bytes{1}, 1}}},
      {"part missing at the end",
       {head, first, AnswerEndMessage{stream, Bytes{4}, 2}}},
      {"body without head", {first}},
      {"two heads", {head, head}},
  }));
  CAPTURE(one.what);
  boost::asio::io_context io;
  tcp::acceptor acceptor(
      io, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  Settings settings = LinkSettings("nairobi-a-1", "nairobi-a");
  settings.peers = {PeerAt(kFar, acceptor.local_endpoint().port())};
  LinkPeer near(settings);
  REQUIRE(near.Start());
  tcp::socket socket = acceptor.accept();
  boost::asio::write(socket, boost::asio::buffer(HelloOf(kFar)));
  REQUIRE(near.WaitUp(kFar));
  near.Do(LinkAttempt(1, kFar, ""));
  near.Call([](LinkDuty&) {});
  std::string bytes;
  for (const Message& message : one.messages) {
    bytes += EncodeMessage(message, 2);
  }
  boost::asio::write(socket, boost::asio::buffer(bytes));
  const auto failed = near.WaitOf<AttemptFailed>(1);
  REQUIRE(failed);
  CHECK(failed->run != RunState::kNotRun);
  CHECK(near.All<AttemptEnded>().empty());
}

}  // namespace
}  // namespace mimosagauge::testing
