// Fixed-size names of keys and contents, and the hash functions that the
// decisions are handed.

#ifndef MIMOSAGAUGE_IMPL_DECISIONS_ONCE_FINGERPRINT_H_
#define MIMOSAGAUGE_IMPL_DECISIONS_ONCE_FINGERPRINT_H_

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>

#include "mimosagauge/impl/core/error.h"
#include "mimosagauge/impl/core/ids.h"

namespace mimosagauge {

/// SHA-256, or HMAC with SHA-256.
using HashValue = std::array<std::uint8_t, 32>;
/// \brief A collision-resistant hash without a secret. Pure.
using HashFunction = std::function<HashValue(std::string_view)>;
/// \brief A message authentication code under a secret. Pure.
using Authenticator = std::function<HashValue(std::string_view)>;

/// \brief 128 bits of a hash; `Tag` tells the kinds apart.
template <typename Tag>
struct Fingerprint {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  [[nodiscard]] friend constexpr bool operator==(Fingerprint,
                                                 Fingerprint) = default;
  // NOLINTBEGIN(modernize-use-nullptr): false alarm on defaulted operators.
  [[nodiscard]] friend constexpr auto operator<=>(Fingerprint,
                                                  Fingerprint) = default;
  // NOLINTEND(modernize-use-nullptr)
};

/// Of an account and its idempotency key.
using KeyFingerprint = Fingerprint<struct KeyFingerprintTag>;
/// Of a request's method, target and body.
using ContentFingerprint = Fingerprint<struct ContentFingerprintTag>;

/// \brief The same on every instance, whatever its secrets.
[[nodiscard]] KeyFingerprint FingerprintOf(const HashFunction& hash,
                                           const AccountId& account,
                                           const IdempotencyKey& key);

/// \returns The first 128 bits of the digest, or `kInvalidInput` when it does
/// not begin with 32 hexadecimal digits.
[[nodiscard]] Result<ContentFingerprint> FingerprintOf(
    const ContentDigest& digest);

}  // namespace mimosagauge

template <typename Tag>
struct std::hash<mimosagauge::Fingerprint<Tag>> {
  [[nodiscard]] std::size_t operator()(
      mimosagauge::Fingerprint<Tag> print) const noexcept {
    return static_cast<std::size_t>(print.low);  // Already a hash.
  }
};

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_ONCE_FINGERPRINT_H_
