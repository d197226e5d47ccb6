// Fixed-size fingerprints of idempotency keys and request contents, and the
// types of the hash functions that callers supply.

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

/// A SHA-256 hash or an HMAC-SHA-256 code.
using HashValue = std::array<std::uint8_t, 32>;
/// \brief A collision-resistant hash function without a secret. It has no side
/// effects.
using HashFunction = std::function<HashValue(std::string_view)>;
/// \brief Computes the message authentication code of a text with a secret key.
/// It has no side effects.
using Authenticator = std::function<HashValue(std::string_view)>;

/// \brief The first 128 bits of a hash; `Tag` makes the fingerprints of
/// different things distinct types.
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

/// Fingerprint of an account together with one of its idempotency keys.
using KeyFingerprint = Fingerprint<struct KeyFingerprintTag>;
/// Fingerprint of a request's method, target and body.
using ContentFingerprint = Fingerprint<struct ContentFingerprintTag>;

/// \returns The fingerprint of the account and the key; the same on every
/// instance, because no secret enters the hash.
[[nodiscard]] KeyFingerprint FingerprintOf(const HashFunction& hash,
                                           const AccountId& account,
                                           const IdempotencyKey& key);

/// \returns The first 128 bits of the digest, or `kInvalidInput` when the
/// digest does not begin with 32 hexadecimal digits.
[[nodiscard]] Result<ContentFingerprint> FingerprintOf(
    const ContentDigest& digest);

}  // namespace mimosagauge

template <typename Tag>
struct std::hash<mimosagauge::Fingerprint<Tag>> {
  [[nodiscard]] std::size_t operator()(
      mimosagauge::Fingerprint<Tag> fingerprint) const noexcept {
    // The fingerprint is part of a hash already.
    return static_cast<std::size_t>(fingerprint.low);
  }
};

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_ONCE_FINGERPRINT_H_
