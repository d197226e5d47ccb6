// Fingerprints of idempotency keys and request contents.

#include <charconv>
#include <optional>
#include <string>

#include "mimosagauge/impl/decisions/once/fingerprint.h"

namespace mimosagauge {
namespace {

constexpr std::size_t kHexDigitsPerWord = 16;

std::uint64_t WordAt(const HashValue& hash, std::size_t offset) noexcept {
  std::uint64_t word = 0;
  for (std::size_t i = offset; i < offset + sizeof(word); ++i) {
    word = (word << 8U) | hash.at(i);
  }
  return word;
}

std::optional<std::uint64_t> ParseHexWord(std::string_view hex) noexcept {
  std::uint64_t word = 0;
  const char* end = hex.data() + hex.size();
  const auto parsed = std::from_chars(hex.data(), end, word, 16);
  if (hex.size() != kHexDigitsPerWord || parsed.ptr != end ||
      parsed.ec != std::errc()) {
    return std::nullopt;
  }
  return word;
}

}  // namespace

KeyFingerprint FingerprintOf(const HashFunction& hash, const AccountId& account,
                             const IdempotencyKey& key) {
  // The length makes the texts of ("ab", "c") and ("a", "bc") differ.
  const std::string text = std::to_string(account.value().size()) + ":" +
                           account.value() + key.value();
  const HashValue value = hash(text);
  return {WordAt(value, 0), WordAt(value, sizeof(std::uint64_t))};
}

Result<ContentFingerprint> FingerprintOf(const ContentDigest& digest) {
  const std::string_view text = digest.value();
  if (text.size() >= 2 * kHexDigitsPerWord) {
    const auto high = ParseHexWord(text.substr(0, kHexDigitsPerWord));
    const auto low =
        ParseHexWord(text.substr(kHexDigitsPerWord, kHexDigitsPerWord));
    if (high && low) {
      return ContentFingerprint{*high, *low};
    }
  }
  return Error{ErrorKind::kInvalidInput,
               "the content digest does not begin with 32 hexadecimal digits",
               "send the SHA-256 of method, target and body in hexadecimal"};
}

}  // namespace mimosagauge
