// Messages to frames and back.

#include "mimosagauge/impl/wire/codec.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstring>
#include <utility>
#include <vector>

#include "mimosagauge/impl/wire/peer_schema.h"

namespace mimosagauge {
namespace {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

constexpr std::uint8_t kLastEventIdVersion = 2;
// Host, size of the prompt and place to resume at of a request.
constexpr std::uint8_t kRouteFieldsVersion = 3;
constexpr flatbuffers::uoffset_t kMaxVerifierDepth = 8;
constexpr flatbuffers::uoffset_t kMaxVerifierTables = 4096;

// --- encoding ---------------------------------------------------------------

using StringOffset = Offset<flatbuffers::String>;
using DataOffset = Offset<flatbuffers::Vector<std::uint8_t>>;
template <typename T>
using ListOffset = Offset<flatbuffers::Vector<Offset<T>>>;

[[nodiscard]] StringOffset Text(FlatBufferBuilder& builder,
                                const std::string& text) {
  return builder.CreateString(text);
}

[[nodiscard]] StringOffset Text(FlatBufferBuilder& builder,
                                const std::optional<std::string>& text) {
  return text ? builder.CreateString(*text) : StringOffset();
}

[[nodiscard]] DataOffset Data(FlatBufferBuilder& builder,
                              const std::string& data) {
  std::uint8_t* bytes = nullptr;
  const auto offset = builder.CreateUninitializedVector(data.size(), &bytes);
  std::copy(data.begin(), data.end(), bytes);
  return offset;
}

[[nodiscard]] ListOffset<wire::Header> Headers(
    FlatBufferBuilder& builder, const std::vector<Header>& headers) {
  std::vector<Offset<wire::Header>> list;
  list.reserve(headers.size());
  for (const Header& header : headers) {
    const auto name = Text(builder, header.name);
    const auto value = Text(builder, header.value);
    list.push_back(wire::CreateHeader(builder, name, value));
  }
  return builder.CreateVector(list);
}

[[nodiscard]] ListOffset<wire::Place> Places(FlatBufferBuilder& builder,
                                             const std::vector<Place>& path) {
  std::vector<Offset<wire::Place>> list;
  list.reserve(path.size());
  for (const Place& place : path) {
    const auto region = Text(builder, place.region.value());
    const auto name = Text(builder, place.name);
    list.push_back(wire::CreatePlace(builder, region, name));
  }
  return builder.CreateVector(list);
}

using PartsOffset = Offset<flatbuffers::Vector<const wire::PromptPart*>>;

[[nodiscard]] PartsOffset Parts(FlatBufferBuilder& builder,
                                const Prompt& prompt) {
  std::vector<wire::PromptPart> parts;
  parts.reserve(prompt.parts.size());
  for (const PromptPart& part : prompt.parts) {
    parts.emplace_back(part.id, part.tokens);
  }
  return builder.CreateVectorOfStructs(parts);
}

[[nodiscard]] Offset<wire::Problem> Encode(FlatBufferBuilder& builder,
                                           const Problem& problem) {
  const auto type = Text(builder, problem.type);
  const auto title = Text(builder, problem.title);
  const auto detail = Text(builder, problem.detail);
  const auto remedy = Text(builder, problem.remedy);
  const std::int64_t retry_after =
      problem.retry_after ? problem.retry_after->count() : -1;
  return wire::CreateProblem(builder, problem.status, type, title, detail,
                             remedy, static_cast<std::uint8_t>(problem.run),
                             retry_after);
}

/// \brief Writes the payload of a message; one overload for each kind.
struct PayloadEncoder {
  FlatBufferBuilder& builder;
  std::uint8_t version;

  FrameType operator()(const HelloMessage& hello) const {
    const auto instance = Text(builder, hello.instance.value());
    const auto region = Text(builder, hello.region.value());
    const auto zone = Text(builder, hello.zone.value());
    builder.Finish(wire::CreateHello(
        builder, hello.min_version, hello.max_version, instance, region, zone));
    return FrameType::kHello;
  }
  FrameType operator()(const PingMessage& ping) const {
    builder.Finish(wire::CreatePing(builder, ping.nonce));
    return FrameType::kPing;
  }
  FrameType operator()(const PongMessage& pong) const {
    builder.Finish(wire::CreatePong(builder, pong.nonce));
    return FrameType::kPong;
  }
  FrameType operator()(const RequestMessage& request) const {
    const RequestHead& head = request.head;
    const auto id = Text(builder, head.id.value());
    const auto account = Text(builder, head.account.value());
    const auto account_home = Text(builder, head.account_home.value());
    const auto entry_region = Text(builder, head.entry_region.value());
    const auto service = Text(builder, head.service.value());
    const auto model = Text(builder, head.model.value());
    const auto method = Text(builder, head.method);
    const auto target = Text(builder, head.target);
    const auto headers = Headers(builder, head.headers);
    const auto key =
        head.key ? Text(builder, head.key->value()) : StringOffset();
    const auto digest = Text(builder, head.digest.value());
    const auto path = Places(builder, head.path);
    const bool route_fields = version >= kRouteFieldsVersion;
    const Prompt prompt = route_fields ? head.prompt : Prompt{};
    const auto host = route_fields ? Text(builder, head.host) : StringOffset();
    const auto parts =
        prompt.parts.empty() ? PartsOffset() : Parts(builder, prompt);
    const auto resume_after =
        route_fields ? Text(builder, head.resume_after) : StringOffset();
    const bool names_stream = route_fields && !head.resumes.empty();
    const auto resumes =
        names_stream ? Text(builder, head.resumes.value()) : StringOffset();
    const bool names_software = route_fields && !head.software.empty();
    const auto software =
        names_software ? Text(builder, head.software.value()) : StringOffset();
    builder.Finish(wire::CreateRequest(
        builder, request.stream.value(), id, account, account_home,
        entry_region, service, model, method, target, headers, key, digest,
        head.remaining.count(), path, head.revision.value(), head.stream,
        request.body_size.count(), request.credit.count(), host,
        prompt.tokens_in, prompt.tokens_out, parts, resume_after,
        route_fields ? static_cast<std::uint8_t>(head.runs) : 0, resumes,
        software, route_fields ? head.caller_remaining.count() : 0));
    return FrameType::kRequest;
  }
  FrameType operator()(const RequestBodyMessage& body) const {
    const auto data = Data(builder, body.data);
    builder.Finish(wire::CreateRequestBody(builder, body.stream.value(),
                                           body.sequence, data));
    return FrameType::kRequestBody;
  }
  FrameType operator()(const CancelMessage& cancel) const {
    builder.Finish(wire::CreateCancel(builder, cancel.stream.value()));
    return FrameType::kCancel;
  }
  FrameType operator()(const CreditMessage& credit) const {
    builder.Finish(wire::CreateCredit(builder, credit.stream.value(),
                                      credit.bytes.count()));
    return FrameType::kCredit;
  }
  FrameType operator()(const AnswerHeadMessage& answer) const {
    const auto headers = Headers(builder, answer.head.headers);
    const auto path = Places(builder, answer.head.path);
    builder.Finish(wire::CreateAnswerHead(builder, answer.stream.value(),
                                          answer.head.status, headers, path));
    return FrameType::kAnswerHead;
  }
  FrameType operator()(const AnswerBodyMessage& body) const {
    const auto data = Data(builder, body.data);
    const auto last_event_id = version >= kLastEventIdVersion
                                   ? Text(builder, body.last_event_id)
                                   : StringOffset();
    builder.Finish(wire::CreateAnswerBody(builder, body.stream.value(),
                                          body.sequence, data, last_event_id));
    return FrameType::kAnswerBody;
  }
  FrameType operator()(const AnswerEndMessage& end) const {
    builder.Finish(wire::CreateAnswerEnd(builder, end.stream.value(),
                                         end.total.count(), end.frames));
    return FrameType::kAnswerEnd;
  }
  FrameType operator()(const AnswerAbortedMessage& aborted) const {
    const auto problem = Encode(builder, aborted.problem);
    builder.Finish(
        wire::CreateAnswerAborted(builder, aborted.stream.value(), problem));
    return FrameType::kAnswerAborted;
  }
  FrameType operator()(const ProblemMessage& answer) const {
    const auto problem = Encode(builder, answer.problem);
    builder.Finish(
        wire::CreateProblemAnswer(builder, answer.stream.value(), problem));
    return FrameType::kProblem;
  }
  FrameType operator()(const GossipMessage& gossip) const {
    const auto data = Data(builder, gossip.data);
    builder.Finish(wire::CreateGossip(builder, data));
    return FrameType::kGossip;
  }
  FrameType operator()(const GoodbyeMessage& goodbye) const {
    const auto text = Text(builder, goodbye.text);
    builder.Finish(wire::CreateGoodbye(
        builder, static_cast<std::uint8_t>(goodbye.reason), text));
    return FrameType::kGoodbye;
  }
};

// --- decoding ---------------------------------------------------------------

[[nodiscard]] std::string Text(const flatbuffers::String* text) {
  return text == nullptr ? std::string() : text->str();
}

[[nodiscard]] std::optional<std::string> OptionalText(
    const flatbuffers::String* text) {
  return text == nullptr ? std::nullopt
                         : std::optional<std::string>(text->str());
}

[[nodiscard]] std::string Data(const flatbuffers::Vector<std::uint8_t>& data) {
  std::string bytes(data.size(), '\0');
  std::copy(data.begin(), data.end(), bytes.begin());
  return bytes;
}

template <typename T>
using WireList = flatbuffers::Vector<Offset<T>>;

[[nodiscard]] std::vector<Header> Headers(const WireList<wire::Header>* list) {
  std::vector<Header> headers;
  if (list == nullptr) {
    return headers;
  }
  headers.reserve(list->size());
  for (const wire::Header* header : *list) {
    headers.push_back({header->name()->str(), header->value()->str()});
  }
  return headers;
}

[[nodiscard]] std::vector<Place> Places(const WireList<wire::Place>* list) {
  std::vector<Place> path;
  if (list == nullptr) {
    return path;
  }
  path.reserve(list->size());
  for (const wire::Place* place : *list) {
    path.push_back({RegionId{place->region()->str()}, place->name()->str()});
  }
  return path;
}

/// A state that this program does not know promises nothing.
[[nodiscard]] RunState ToRunState(std::uint8_t value) {
  return value <= static_cast<std::uint8_t>(RunState::kRan)
             ? static_cast<RunState>(value)
             : RunState::kUnknown;
}

[[nodiscard]] Problem Decode(const wire::Problem& table) {
  Problem problem;
  problem.status = table.status();
  problem.type = Text(table.type());
  problem.title = Text(table.title());
  problem.detail = Text(table.detail());
  problem.remedy = Text(table.remedy());
  problem.run = ToRunState(table.run());
  if (table.retry_after_ns() >= 0) {
    problem.retry_after = Duration{table.retry_after_ns()};
  }
  return problem;
}

[[nodiscard]] Message Decode(const wire::Hello& table) {
  return HelloMessage{table.min_version(), table.max_version(),
                      InstanceId{Text(table.instance())},
                      RegionId{Text(table.region())},
                      ZoneId{Text(table.zone())}};
}

[[nodiscard]] Message Decode(const wire::Ping& table) {
  return PingMessage{table.nonce()};
}

[[nodiscard]] Message Decode(const wire::Pong& table) {
  return PongMessage{table.nonce()};
}

[[nodiscard]] Message Decode(const wire::Request& table) {
  RequestMessage request;
  request.stream = StreamNumber{table.stream()};
  RequestHead& head = request.head;
  head.id = RequestId{Text(table.id())};
  head.account = AccountId{Text(table.account())};
  head.account_home = RegionId{Text(table.account_home())};
  head.entry_region = RegionId{Text(table.entry_region())};
  head.service = ServiceId{Text(table.service())};
  head.model = ModelId{Text(table.model())};
  head.method = Text(table.method());
  head.target = Text(table.target());
  head.headers = Headers(table.headers());
  if (table.key() != nullptr) {
    head.key = IdempotencyKey{table.key()->str()};
  }
  head.digest = ContentDigest{Text(table.digest())};
  head.remaining = Duration{table.remaining_ns()};
  head.path = Places(table.path());
  head.revision = Revision{table.revision()};
  head.stream = table.streaming();
  head.host = Text(table.host());
  head.prompt.tokens_in = table.tokens_in();
  head.prompt.tokens_out = table.tokens_out();
  if (table.parts() != nullptr) {
    for (const wire::PromptPart* part : *table.parts()) {
      head.prompt.parts.push_back({part->id(), part->tokens()});
    }
  }
  head.runs = table.runs();
  head.resume_after = OptionalText(table.resume_after());
  head.resumes = RequestId{Text(table.resumes())};
  head.software = SoftwareVersion{Text(table.software())};
  head.caller_remaining = Duration{table.caller_remaining_ns()};
  request.body_size = Bytes{table.body_size()};
  request.credit = Bytes{table.credit()};
  return request;
}

[[nodiscard]] Message Decode(const wire::RequestBody& table) {
  return RequestBodyMessage{StreamNumber{table.stream()}, table.sequence(),
                            Data(*table.data())};
}

[[nodiscard]] Message Decode(const wire::Cancel& table) {
  return CancelMessage{StreamNumber{table.stream()}};
}

[[nodiscard]] Message Decode(const wire::Credit& table) {
  return CreditMessage{StreamNumber{table.stream()}, Bytes{table.bytes()}};
}

[[nodiscard]] Message Decode(const wire::AnswerHead& table) {
  return AnswerHeadMessage{
      StreamNumber{table.stream()},
      {table.status(), Headers(table.headers()), Places(table.path())}};
}

[[nodiscard]] Message Decode(const wire::AnswerBody& table) {
  return AnswerBodyMessage{StreamNumber{table.stream()}, table.sequence(),
                           Data(*table.data()),
                           OptionalText(table.last_event_id())};
}

[[nodiscard]] Message Decode(const wire::AnswerEnd& table) {
  return AnswerEndMessage{StreamNumber{table.stream()},
                          Bytes{table.total_bytes()}, table.total_frames()};
}

[[nodiscard]] Message Decode(const wire::AnswerAborted& table) {
  return AnswerAbortedMessage{StreamNumber{table.stream()},
                              Decode(*table.problem())};
}

[[nodiscard]] Message Decode(const wire::ProblemAnswer& table) {
  return ProblemMessage{StreamNumber{table.stream()}, Decode(*table.problem())};
}

[[nodiscard]] Message Decode(const wire::Gossip& table) {
  return GossipMessage{Data(*table.data())};
}

[[nodiscard]] Message Decode(const wire::Goodbye& table) {
  return GoodbyeMessage{static_cast<GoodbyeReason>(table.reason()),
                        Text(table.text())};
}

using Decoded = Result<std::optional<Message>>;

template <typename Table>
[[nodiscard]] Decoded VerifyAndDecode(const std::uint8_t* bytes,
                                      std::size_t size, std::uint8_t type) {
  flatbuffers::Verifier verifier(bytes, size, kMaxVerifierDepth,
                                 kMaxVerifierTables);
  if (!verifier.VerifyBuffer<Table>(nullptr)) {
    return Error{ErrorKind::kInvalidInput,
                 fmt::format("a frame of type {} fails verification", type),
                 "run the same release on both sides, or look for a faulty "
                 "network path"};
  }
  return std::optional<Message>(Decode(*flatbuffers::GetRoot<Table>(bytes)));
}

[[nodiscard]] Decoded DecodePayload(const std::uint8_t* bytes, std::size_t size,
                                    std::uint8_t type) {
  switch (static_cast<FrameType>(type)) {
    case FrameType::kHello:
      return VerifyAndDecode<wire::Hello>(bytes, size, type);
    case FrameType::kPing:
      return VerifyAndDecode<wire::Ping>(bytes, size, type);
    case FrameType::kPong:
      return VerifyAndDecode<wire::Pong>(bytes, size, type);
    case FrameType::kRequest:
      return VerifyAndDecode<wire::Request>(bytes, size, type);
    case FrameType::kRequestBody:
      return VerifyAndDecode<wire::RequestBody>(bytes, size, type);
    case FrameType::kCancel:
      return VerifyAndDecode<wire::Cancel>(bytes, size, type);
    case FrameType::kCredit:
      return VerifyAndDecode<wire::Credit>(bytes, size, type);
    case FrameType::kAnswerHead:
      return VerifyAndDecode<wire::AnswerHead>(bytes, size, type);
    case FrameType::kAnswerBody:
      return VerifyAndDecode<wire::AnswerBody>(bytes, size, type);
    case FrameType::kAnswerEnd:
      return VerifyAndDecode<wire::AnswerEnd>(bytes, size, type);
    case FrameType::kAnswerAborted:
      return VerifyAndDecode<wire::AnswerAborted>(bytes, size, type);
    case FrameType::kProblem:
      return VerifyAndDecode<wire::ProblemAnswer>(bytes, size, type);
    case FrameType::kGossip:
      return VerifyAndDecode<wire::Gossip>(bytes, size, type);
    case FrameType::kGoodbye:
      return VerifyAndDecode<wire::Goodbye>(bytes, size, type);
  }
  return std::optional<Message>();
}

}  // namespace

std::string EncodeMessage(const Message& message, std::uint8_t version) {
  FlatBufferBuilder builder;
  const FrameType type = std::visit(PayloadEncoder{builder, version}, message);
  const bool hello = type == FrameType::kHello;
  std::string out;
  AppendFrame(out, hello ? kHelloVersion : version, type,
              {reinterpret_cast<const char*>(builder.GetBufferPointer()),
               builder.GetSize()});
  return out;
}

bool FitsFrame(const std::string& encoded) noexcept {
  constexpr std::size_t kTypeOffset = 3;
  const auto type = static_cast<std::uint8_t>(encoded[kTypeOffset]);
  return encoded.size() - kFramePrefixBytes <= MaxPayload(type);
}

Result<std::optional<Message>> DecodeMessage(const Frame& frame) {
  // The tables are read in place, so the payload must be aligned.
  const std::size_t words = (frame.payload.size() + sizeof(std::uint64_t) - 1) /
                            sizeof(std::uint64_t);
  std::vector<std::uint64_t> aligned(std::max<std::size_t>(words, 1));
  if (!frame.payload.empty()) {
    std::memcpy(aligned.data(), frame.payload.data(), frame.payload.size());
  }
  return DecodePayload(reinterpret_cast<const std::uint8_t*>(aligned.data()),
                       frame.payload.size(), frame.type);
}

std::optional<std::uint8_t> CommonVersion(const HelloMessage& ours,
                                          const HelloMessage& theirs) noexcept {
  const std::uint8_t highest = std::min(ours.max_version, theirs.max_version);
  const std::uint8_t lowest = std::max(ours.min_version, theirs.min_version);
  return highest >= lowest ? std::optional<std::uint8_t>(highest)
                           : std::nullopt;
}

}  // namespace mimosagauge
