// Checks of the characters in untrusted text.

#include "mimosagauge/impl/rules/utf8.h"

#include <cstdint>

namespace mimosagauge {
namespace {

[[nodiscard]] std::uint8_t ByteAt(std::string_view text,
                                  std::size_t offset) noexcept {
  return offset < text.size() ? static_cast<std::uint8_t>(text[offset]) : 0;
}

[[nodiscard]] bool IsContinuation(std::uint8_t byte) noexcept {
  return (byte & 0xC0u) == 0x80u;
}

/// \returns The length in bytes of the well-formed sequence at `offset`; zero
/// when there is none. Follows table 3-7 of the Unicode standard.
[[nodiscard]] std::size_t SequenceLength(std::string_view text,
                                         std::size_t offset) noexcept {
  const std::uint8_t lead = ByteAt(text, offset);
  const std::uint8_t second = ByteAt(text, offset + 1);
  if (lead < 0x80) {
    return 1;
  }
  if (lead < 0xC2 || lead > 0xF4 || !IsContinuation(second)) {
    return 0;
  }
  if (lead < 0xE0) {
    return 2;
  }
  if (!IsContinuation(ByteAt(text, offset + 2))) {
    return 0;
  }
  if (lead < 0xF0) {
    const bool overlong = lead == 0xE0 && second < 0xA0;
    const bool surrogate = lead == 0xED && second > 0x9F;
    return overlong || surrogate ? 0 : 3;
  }
  const bool overlong = lead == 0xF0 && second < 0x90;
  const bool too_large = lead == 0xF4 && second > 0x8F;
  const bool truncated = !IsContinuation(ByteAt(text, offset + 3));
  return overlong || too_large || truncated ? 0 : 4;
}

}  // namespace

std::size_t FindInvalidUtf8(std::string_view text) noexcept {
  std::size_t offset = 0;
  while (offset < text.size()) {
    const std::size_t length = SequenceLength(text, offset);
    if (length == 0) {
      return offset;
    }
    offset += length;
  }
  return std::string_view::npos;
}

std::size_t FindControlCharacter(std::string_view text) noexcept {
  for (std::size_t offset = 0; offset < text.size(); ++offset) {
    const std::uint8_t byte = ByteAt(text, offset);
    const bool c0 = byte < 0x20 && byte != '\t';
    const bool c1 = byte == 0xC2 && ByteAt(text, offset + 1) < 0xA0 &&
                    ByteAt(text, offset + 1) >= 0x80;
    if (c0 || byte == 0x7F || c1) {
      return offset;
    }
  }
  return std::string_view::npos;
}

}  // namespace mimosagauge
