// Messages about the origins of streams as FlatBuffers behind a tag.

#include "mimosagauge/impl/wire/streams_codec.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <vector>

#include "mimosagauge/impl/wire/streams_schema.h"

namespace mimosagauge {
namespace {

// FlatBuffers wants its bytes aligned; the tag takes a whole unit.
constexpr std::size_t kTagBytes = 8;
// Longer times are those of a faulty sender.
constexpr std::chrono::microseconds kMaxRemaining = std::chrono::hours(1);

using std::chrono::microseconds;

[[nodiscard]] std::uint64_t ToWire(Duration remaining) {
  const auto count = std::chrono::floor<microseconds>(remaining).count();
  return static_cast<std::uint64_t>(std::max<std::int64_t>(0, count));
}

[[nodiscard]] Duration FromWire(std::uint64_t remaining) {
  const auto longest = static_cast<std::uint64_t>(kMaxRemaining.count());
  return microseconds(static_cast<std::int64_t>(std::min(remaining, longest)));
}

[[nodiscard]] std::string Text(const flatbuffers::String* text) {
  return text == nullptr ? std::string() : text->str();
}

// Most messages have one list only; an empty one takes no bytes.
template <typename Element>
[[nodiscard]] flatbuffers::Offset<flatbuffers::Vector<Element>> ListOrNone(
    flatbuffers::FlatBufferBuilder& builder,
    const std::vector<Element>& elements) {
  return elements.empty() ? flatbuffers::Offset<flatbuffers::Vector<Element>>()
                          : builder.CreateVector(elements);
}

}  // namespace

std::string EncodeStreams(const StreamMessage& message) {
  flatbuffers::FlatBufferBuilder builder;
  std::vector<flatbuffers::Offset<wire::StreamOrigin>> origins;
  for (const StreamOrigin& origin : message.origins) {
    const auto request = builder.CreateString(origin.request.value());
    const auto software = builder.CreateString(origin.software.value());
    origins.push_back(wire::CreateStreamOrigin(builder, request, software,
                                               ToWire(origin.remaining)));
  }
  std::vector<flatbuffers::Offset<wire::StreamQuestion>> questions;
  for (const StreamQuestion& question : message.questions) {
    const auto request = builder.CreateString(question.request.value());
    const auto service = builder.CreateString(question.service.value());
    questions.push_back(wire::CreateStreamQuestion(builder, request, service));
  }
  std::vector<flatbuffers::Offset<flatbuffers::String>> unknown;
  for (const RequestId& request : message.unknown) {
    unknown.push_back(builder.CreateString(request.value()));
  }
  const auto origin_list = ListOrNone(builder, origins);
  const auto question_list = ListOrNone(builder, questions);
  const auto unknown_list = ListOrNone(builder, unknown);
  builder.Finish(
      wire::CreateStreams(builder, origin_list, question_list, unknown_list));
  std::string bytes(kTagBytes, '\0');
  bytes.front() = kStreamsTag;
  const std::uint8_t* payload = builder.GetBufferPointer();
  bytes.append(payload, payload + builder.GetSize());
  return bytes;
}

Result<StreamMessage> DecodeStreams(std::string_view bytes) {
  const Error invalid{ErrorKind::kInvalidInput,
                      "a message of another instance about streams is not "
                      "valid",
                      "run the same release on both sides"};
  if (bytes.size() <= kTagBytes || bytes.front() != kStreamsTag) {
    return invalid;
  }
  // A copy, because the bytes of a frame are not aligned.
  const std::vector<std::uint8_t> payload(bytes.begin() + kTagBytes,
                                          bytes.end());
  flatbuffers::Verifier verifier(payload.data(), payload.size());
  if (!wire::VerifyStreamsBuffer(verifier)) {
    return invalid;
  }
  const wire::Streams& table = *wire::GetStreams(payload.data());
  StreamMessage message;
  if (table.origins() != nullptr) {
    for (const wire::StreamOrigin* origin : *table.origins()) {
      message.origins.push_back({RequestId{Text(origin->request())},
                                 SoftwareVersion{Text(origin->software())},
                                 FromWire(origin->remaining_us())});
    }
  }
  if (table.questions() != nullptr) {
    for (const wire::StreamQuestion* question : *table.questions()) {
      message.questions.push_back({RequestId{Text(question->request())},
                                   ServiceId{Text(question->service())}});
    }
  }
  if (table.unknown() != nullptr) {
    for (const flatbuffers::String* request : *table.unknown()) {
      message.unknown.emplace_back(Text(request));
    }
  }
  return message;
}

}  // namespace mimosagauge
