// Converts between groups of three bytes and groups of four Base64 characters.

#include "mimosagauge/impl/store/base64.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace mimosagauge {
namespace {

constexpr std::string_view kAlphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr std::size_t kGroupBytes = 3;
constexpr std::size_t kGroupCharacters = 4;
constexpr std::uint32_t kSixBitMask = 0x3f;

// The byte at `index`, or zero behind the end.
[[nodiscard]] std::uint32_t ByteOrZero(std::string_view bytes,
                                       std::size_t index) {
  return index < bytes.size() ? static_cast<unsigned char>(bytes[index]) : 0U;
}

// The number of padding characters at the end of `text`.
[[nodiscard]] std::size_t PaddingSize(std::string_view text) {
  if (text.ends_with("==")) {
    return 2;
  }
  return text.ends_with('=') ? 1 : 0;
}

}  // namespace

std::string EncodeBase64(std::string_view bytes) {
  std::string text;
  text.reserve((bytes.size() + 2) / kGroupBytes * kGroupCharacters);
  for (std::size_t i = 0; i < bytes.size(); i += kGroupBytes) {
    const std::uint32_t group = ByteOrZero(bytes, i) << 16U |
                                ByteOrZero(bytes, i + 1) << 8U |
                                ByteOrZero(bytes, i + 2);
    const std::size_t present = std::min(kGroupBytes, bytes.size() - i);
    text += kAlphabet[group >> 18U & kSixBitMask];
    text += kAlphabet[group >> 12U & kSixBitMask];
    text += present > 1 ? kAlphabet[group >> 6U & kSixBitMask] : '=';
    text += present > 2 ? kAlphabet[group & kSixBitMask] : '=';
  }
  return text;
}

std::optional<std::string> DecodeBase64(std::string_view text) {
  if (text.size() % kGroupCharacters != 0) {
    return std::nullopt;
  }
  const std::size_t padding = PaddingSize(text);
  const std::string_view digits = text.substr(0, text.size() - padding);
  std::string bytes;
  bytes.reserve(text.size() / kGroupCharacters * kGroupBytes);
  std::uint32_t bits = 0;
  std::uint32_t bit_count = 0;
  for (const char digit : digits) {
    const std::size_t value = kAlphabet.find(digit);
    if (value == std::string_view::npos) {
      return std::nullopt;
    }
    bits = bits << 6U | static_cast<std::uint32_t>(value);
    bit_count += 6;
    if (bit_count >= 8) {
      bit_count -= 8;
      bytes += static_cast<char>(bits >> bit_count & 0xffU);
    }
  }
  return bytes;
}

}  // namespace mimosagauge
