// SHA-256 digests and random request ids.

#ifndef MIMOSAGAUGE_IMPL_DUTIES_CALLERS_DIGEST_H_
#define MIMOSAGAUGE_IMPL_DUTIES_CALLERS_DIGEST_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include "mimosagauge/impl/core/ids.h"

namespace mimosagauge {

inline constexpr std::size_t kSha256Bytes = 32;
using Sha256Digest = std::array<std::uint8_t, kSha256Bytes>;

/// \returns The SHA-256 digest of `text`.
/// \throws std::runtime_error when OpenSSL fails.
[[nodiscard]] Sha256Digest Sha256(std::string_view text);

/// \returns The bytes as lowercase hexadecimal digits, two per byte.
[[nodiscard]] std::string ToHex(std::span<const std::uint8_t> bytes);

/// \returns The SHA-256 digest of method, target and body, by which a repeated
/// request is recognized.
/// \throws std::runtime_error when OpenSSL fails.
[[nodiscard]] ContentDigest DigestContent(std::string_view method,
                                          std::string_view target,
                                          std::string_view body);

/// \returns An id of 128 random bits, in hexadecimal.
/// \throws std::runtime_error when OpenSSL has no random bytes.
[[nodiscard]] RequestId MakeRequestId();

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DUTIES_CALLERS_DIGEST_H_
