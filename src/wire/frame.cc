// Framing on links between instances.

#include "mimosagauge/impl/wire/frame.h"

#include <fmt/format.h>

namespace mimosagauge {
namespace {

constexpr char kMagic[2] = {'M', 'G'};
constexpr std::size_t kVersionOffset = 2;
constexpr std::size_t kTypeOffset = 3;
constexpr std::size_t kSizeOffset = 4;
constexpr unsigned kBitsPerByte = 8;

[[nodiscard]] std::uint8_t ByteAt(std::string_view bytes, std::size_t at) {
  return static_cast<std::uint8_t>(bytes[at]);
}

[[nodiscard]] std::uint32_t ReadSize(std::string_view prefix) {
  std::uint32_t size = 0;
  for (unsigned i = 0; i < sizeof(size); ++i) {
    const std::uint32_t byte = ByteAt(prefix, kSizeOffset + i);
    size |= byte << (kBitsPerByte * i);
  }
  return size;
}

[[nodiscard]] bool GreetingType(std::uint8_t type) {
  return type == static_cast<std::uint8_t>(FrameType::kHello) ||
         type == static_cast<std::uint8_t>(FrameType::kGoodbye);
}

[[nodiscard]] Error InvalidFrame(std::string message) {
  return Error{ErrorKind::kInvalidInput, std::move(message),
               "let only instances of this system connect to the peer port"};
}

}  // namespace

std::size_t MaxPayload(std::uint8_t type) noexcept {
  switch (static_cast<FrameType>(type)) {
    case FrameType::kRequest:
    case FrameType::kRequestBody:
    case FrameType::kAnswerHead:
    case FrameType::kAnswerBody:
      return kMaxDataPayload;
    case FrameType::kGossip:
      return kMaxGossipPayload;
    default:
      return kMaxSmallPayload;
  }
}

void AppendFrame(std::string& out, std::uint8_t version, FrameType type,
                 std::string_view payload) {
  out.reserve(out.size() + kFramePrefixBytes + payload.size());
  out.append(kMagic, sizeof(kMagic));
  out.push_back(static_cast<char>(version));
  out.push_back(static_cast<char>(type));
  const auto size = static_cast<std::uint32_t>(payload.size());
  for (unsigned i = 0; i < sizeof(size); ++i) {
    out.push_back(static_cast<char>((size >> (kBitsPerByte * i)) & 0xFFU));
  }
  out.append(payload);
}

void FrameDecoder::Feed(std::string_view chunk) {
  buffer_.erase(0, consumed_);
  consumed_ = 0;
  buffer_.append(chunk);
}

Result<std::size_t> FrameDecoder::CheckPrefix(std::string_view prefix) const {
  if (prefix[0] != kMagic[0] || prefix[1] != kMagic[1]) {
    return InvalidFrame("the bytes are not a frame of the peer protocol");
  }
  const std::uint8_t version = ByteAt(prefix, kVersionOffset);
  if (version != version_) {
    return InvalidFrame(fmt::format(
        "a frame has protocol version {}, agreed was {}", version, version_));
  }
  const std::uint8_t type = ByteAt(prefix, kTypeOffset);
  if (greeting_ && !GreetingType(type)) {
    return InvalidFrame(
        fmt::format("a frame of type {} came before the greeting", type));
  }
  const std::size_t size = ReadSize(prefix);
  if (size > MaxPayload(type)) {
    return InvalidFrame(
        fmt::format("a frame of type {} claims {} bytes", type, size));
  }
  return size;
}

Result<std::optional<Frame>> FrameDecoder::Next() {
  const std::string_view rest = std::string_view(buffer_).substr(consumed_);
  if (rest.size() < kFramePrefixBytes) {
    return std::optional<Frame>();
  }
  const Result<std::size_t> size = CheckPrefix(rest);
  if (!size) {
    return size.error();
  }
  if (rest.size() - kFramePrefixBytes < size.value()) {
    return std::optional<Frame>();
  }
  consumed_ += kFramePrefixBytes + size.value();
  return std::optional<Frame>(
      Frame{ByteAt(rest, kVersionOffset), ByteAt(rest, kTypeOffset),
            rest.substr(kFramePrefixBytes, size.value())});
}

}  // namespace mimosagauge
