// The bytes of both protocol versions stay what other releases expect.

#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "mimosagauge/impl/wire/codec.h"
#include "tests/support/golden.h"

namespace mimosagauge::testing {
namespace {

constexpr std::size_t kBytesPerLine = 16;

[[nodiscard]] std::vector<Message> OneOfEach() {
  RequestMessage request;
  request.stream = StreamNumber{7};
  request.head.id = RequestId{"0123456789abcdef0123456789abcdef"};
  request.head.account = AccountId{"county-clubs"};
  request.head.account_home = RegionId{"nairobi-a"};
  request.head.entry_region = RegionId{"nairobi-a"};
  request.head.model = ModelId{"quote-assistant"};
  request.head.method = "POST";
  request.head.target = "/v1/chat/completions";
  request.head.headers = {{"Accept", "text/event-stream"}};
  request.head.key = IdempotencyKey{"order-1"};
  request.head.digest = ContentDigest{"aa"};
  request.head.remaining = std::chrono::seconds(5);
  request.head.path = {{RegionId{"nairobi-a"}, "nairobi-a-1"}};
  request.head.revision = Revision{3};
  request.head.stream = true;
  request.head.host = "nets.example";
  request.head.prompt = {1460, 80, {{0x5c1e07a2, 800}, {0x91bd3f06, 410}}};
  request.head.resume_after = "12";
  request.head.runs = 1;
  request.body_size = Bytes{4};
  request.credit = Kibibytes(16);
  Problem problem;
  problem.status = 503;
  problem.type = "no-capacity";
  problem.title = "No capacity";
  problem.detail = "no upstream is free";
  problem.remedy = "retry later";
  problem.run = RunState::kNotRun;
  problem.retry_after = std::chrono::seconds(1);
  const StreamNumber stream{7};
  return {
      HelloMessage{1, 2, InstanceId{"nairobi-a-1"}, RegionId{"nairobi-a"},
                   ZoneId{"nairobi-a-x"}},
      PingMessage{1},
      PongMessage{1},
      request,
      RequestBodyMessage{stream, 0, "body"},
      CancelMessage{stream},
      CreditMessage{stream, Bytes{100}},
      AnswerHeadMessage{stream, {200, {{"A", "b"}}, request.head.path}},
      AnswerBodyMessage{stream, 0, "data: x\n\n", "41"},
      AnswerEndMessage{stream, Bytes{9}, 1},
      AnswerAbortedMessage{stream, problem},
      ProblemMessage{stream, problem},
      GossipMessage{"state"},
      GoodbyeMessage{GoodbyeReason::kLeaving, "leaving"},
  };
}

[[nodiscard]] std::string Dump(const std::string& bytes) {
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    text += fmt::format("{:02x}", static_cast<unsigned char>(bytes[i]));
    const bool last = i + 1 == bytes.size();
    text += last || (i + 1) % kBytesPerLine == 0 ? "\n" : " ";
  }
  return text;
}

/// Cuts `bytes` into frames in chunks of `chunk` bytes and decodes them.
[[nodiscard]] std::vector<Message> DecodeAll(const std::string& bytes,
                                             std::uint8_t version,
                                             std::size_t chunk) {
  FrameDecoder decoder;
  std::vector<Message> messages;
  for (std::size_t at = 0; at < bytes.size(); at += chunk) {
    decoder.Feed(std::string_view(bytes).substr(at, chunk));
    for (;;) {
      const auto frame = decoder.Next();
      REQUIRE(frame);
      if (!frame.value()) {
        break;
      }
      auto message = DecodeMessage(*frame.value());
      REQUIRE(message);
      REQUIRE(message.value());
      messages.push_back(std::move(*message.value()));
      decoder.EndGreeting(version);
    }
  }
  return messages;
}

TEST_CASE("the bytes of each version are as recorded") {
  const std::uint8_t version = GENERATE(1, 2, 3);
  std::string text;
  for (const Message& message : OneOfEach()) {
    text += fmt::format("message {}\n", message.index());
    text += Dump(EncodeMessage(message, version));
  }
  CHECK(CheckGolden(fmt::format("link_frames_version_{}", version), text)
            .empty());
}

TEST_CASE("messages come back from their bytes whatever the chunks") {
  const std::uint8_t version = GENERATE(1, 2, 3);
  const std::size_t chunk = GENERATE(1u, 7u, 64u, 100000u);
  std::string bytes;
  for (const Message& message : OneOfEach()) {
    bytes += EncodeMessage(message, version);
  }
  const auto messages = DecodeAll(bytes, version, chunk);
  REQUIRE(messages.size() == OneOfEach().size());
  std::string again;
  for (const Message& message : messages) {
    again += EncodeMessage(message, version);
  }
  CHECK(again == bytes);
  const auto& body = std::get<AnswerBodyMessage>(messages[8]);
  CHECK(body.last_event_id.has_value() == (version >= 2));
  const auto& request = std::get<RequestMessage>(messages[3]);
  CHECK((request.head.host == "nets.example") == (version >= 3));
  CHECK(request.head.prompt.parts.size() == (version >= 3 ? 2U : 0U));
  CHECK(request.head.runs == (version >= 3 ? 1U : 0U));
  CHECK(request.head.resume_after.has_value() == (version >= 3));
  CHECK(request.head.key == IdempotencyKey{"order-1"});
  CHECK(request.head.remaining == std::chrono::seconds(5));
}

// Guards against: a forwarded resumption whose origin the receiver has to find
// out anew, and versions of the protocol whose bytes change.
TEST_CASE("the origin of a resumed stream is passed on") {
  const std::uint8_t version = GENERATE(1, 2, 3);
  std::vector<Message> sent = OneOfEach();
  sent.resize(4);
  RequestHead& head = std::get<RequestMessage>(sent[3]).head;
  head.resumes = RequestId{"9c41d07be2a35f68"};
  head.software = SoftwareVersion{"v1"};
  head.caller_remaining = std::chrono::seconds(9);
  std::string bytes;
  for (const Message& message : sent) {
    bytes += EncodeMessage(message, version);
  }
  const auto messages = DecodeAll(bytes, version, bytes.size());
  REQUIRE(messages.size() == sent.size());
  const RequestHead& received = std::get<RequestMessage>(messages[3]).head;
  CHECK(received.resumes == (version >= 3 ? head.resumes : RequestId{}));
  CHECK(received.software ==
        (version >= 3 ? head.software : SoftwareVersion{}));
  CHECK(received.caller_remaining ==
        (version >= 3 ? head.caller_remaining : Duration::zero()));
}

TEST_CASE("frames that do not hold are refused before memory is taken") {
  struct Case {
    const char* what;
    std::string bytes;
  };
  const std::string hello = EncodeMessage(OneOfEach()[0], 1);
  std::string huge = hello;
  huge.replace(4, 4, "\xff\xff\xff\xff");
  std::string version = hello;
  version[2] = 9;
  std::string magic = hello;
  magic[0] = 'G';
  const auto one = GENERATE_COPY(values<Case>(
      {{"gigabytes", huge},
       {"another version", version},
       {"not the protocol", magic},
       {"HTTP", "GET / HTTP/1.1\r\n\r\n"},
       {"before the greeting", EncodeMessage(PingMessage{1}, 1)}}));
  CAPTURE(one.what);
  FrameDecoder decoder;
  decoder.Feed(one.bytes);
  const auto frame = decoder.Next();
  REQUIRE_FALSE(frame);
  CHECK(frame.error().kind == ErrorKind::kInvalidInput);
  CHECK_FALSE(frame.error().remedy.empty());
}

TEST_CASE("a payload that fails verification is refused") {
  const auto index = GENERATE(range<std::size_t>(0, 14));
  const std::string bytes = EncodeMessage(OneOfEach()[index], 2);
  const std::string_view payload =
      std::string_view(bytes).substr(kFramePrefixBytes);
  const auto type = static_cast<std::uint8_t>(bytes[3]);
  CAPTURE(index);
  CHECK(DecodeMessage(Frame{2, type, payload}));
  CHECK_FALSE(DecodeMessage(Frame{2, type, payload.substr(0, 3)}));
  CHECK_FALSE(DecodeMessage(Frame{2, type, {}}));
  const std::string ones(payload.size(), '\xff');
  CHECK_FALSE(DecodeMessage(Frame{2, type, ones}));
}

TEST_CASE("a type that is not known is no error") {
  const auto message = DecodeMessage(Frame{2, 200, "anything"});
  REQUIRE(message);
  CHECK_FALSE(message.value());
}

}  // namespace
}  // namespace mimosagauge::testing
