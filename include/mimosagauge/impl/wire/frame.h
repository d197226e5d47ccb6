// Framing on links between instances: a fixed prefix and a bounded payload.
//
//   offset  size  field
//   0       2     "MG"
//   2       1     protocol version
//   3       1     frame type
//   4       4     payload size in bytes, little-endian

#ifndef MIMOSAGAUGE_IMPL_WIRE_FRAME_H_
#define MIMOSAGAUGE_IMPL_WIRE_FRAME_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "mimosagauge/impl/core/error.h"

namespace mimosagauge {

/// Oldest and newest version of the peer protocol that this program speaks.
inline constexpr std::uint8_t kMinProtocolVersion = 1;
inline constexpr std::uint8_t kMaxProtocolVersion = 3;
/// Hello frames carry this version always.
inline constexpr std::uint8_t kHelloVersion = 1;

/// \brief What the payload of a frame is. Numbers are never reused.
enum class FrameType : std::uint8_t {
  kHello = 1,
  kPing = 2,
  kPong = 3,
  kRequest = 4,
  kRequestBody = 5,
  kCancel = 6,
  kCredit = 7,
  kAnswerHead = 8,
  kAnswerBody = 9,
  kAnswerEnd = 10,
  kAnswerAborted = 11,
  kProblem = 12,
  kGossip = 13,
  kGoodbye = 14,
};

inline constexpr std::size_t kFramePrefixBytes = 8;
/// Largest payloads: of frames with body data, of control state, of others.
inline constexpr std::size_t kMaxDataPayload = 256UL * 1024;
inline constexpr std::size_t kMaxGossipPayload = 1280UL * 1024;
inline constexpr std::size_t kMaxSmallPayload = 8UL * 1024;

/// \returns The largest payload that a frame of this type may have, in bytes;
/// types that this program does not know may be as large as small ones.
[[nodiscard]] std::size_t MaxPayload(std::uint8_t type) noexcept;

/// \brief One frame; `payload` points into the decoder.
struct Frame {
  std::uint8_t version = 0;
  std::uint8_t type = 0;  ///< A `FrameType`, or unknown to this program.
  std::string_view payload;
};

/// \brief Appends a frame to `out`.
/// \param payload At most `MaxPayload(type)` bytes.
void AppendFrame(std::string& out, std::uint8_t version, FrameType type,
                 std::string_view payload);

/// \brief Cuts a stream of bytes, in chunks of any size, into frames.
///
/// Memory is bounded by the largest payload allowed and the largest chunk;
/// a prefix that claims more is an error before anything is allocated.
class FrameDecoder {
 public:
  /// \brief Takes the next bytes of the stream.
  void Feed(std::string_view chunk);

  /// \returns The next whole frame, nothing when more bytes are needed, or
  /// `kInvalidInput`, after which the stream cannot be used. The frame is
  /// valid until the next call of `Feed` or `Next`.
  [[nodiscard]] Result<std::optional<Frame>> Next();

  /// \brief Ends the greeting, in which only Hello and Goodbye frames pass.
  /// \param version Lets only this version pass from now on.
  void EndGreeting(std::uint8_t version) noexcept {
    greeting_ = false;
    version_ = version;
  }

  /// \returns Bytes held.
  [[nodiscard]] std::size_t buffered() const noexcept {
    return buffer_.size() - consumed_;
  }

 private:
  [[nodiscard]] Result<std::size_t> CheckPrefix(std::string_view prefix) const;

  std::string buffer_;
  std::size_t consumed_ = 0;  // Bytes of `buffer_` already handed out.
  bool greeting_ = true;
  std::uint8_t version_ = kHelloVersion;
};

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_WIRE_FRAME_H_
