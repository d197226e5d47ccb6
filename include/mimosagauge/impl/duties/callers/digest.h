// SHA-256 digests and random identifiers.

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
[[nodiscard]] Sha256Digest Sha256(std::string_view text);

/// \returns The bytes as lower-case hexadecimal digits.
[[nodiscard]] std::string ToHex(std::span<const std::uint8_t> bytes);

/// \brief Digest by which the same request is recognised when it is sent
/// again: over method, target and body.
[[nodiscard]] ContentDigest DigestContent(std::string_view method,
                                          std::string_view target,
                                          std::string_view body);

/// \returns 128 random bits.
[[nodiscard]] RequestId MakeRequestId();

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DUTIES_CALLERS_DIGEST_H_
