// Claims of bare keys: the store names, by compare-and-swap, the one process
// that may ever run a key.

#ifndef MIMOSAGAUGE_IMPL_DECISIONS_ONCE_CLAIM_H_
#define MIMOSAGAUGE_IMPL_DECISIONS_ONCE_CLAIM_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "mimosagauge/impl/core/ids.h"
#include "mimosagauge/impl/core/time.h"
#include "mimosagauge/impl/decisions/once/fingerprint.h"
#include "mimosagauge/impl/decisions/once/key_owner.h"

namespace mimosagauge {

/// One value of the store that holds claims.
using SlotNumber = StrongNumber<struct SlotNumberTag>;
/// Claims as one process numbers them, from 1; never reused within it.
using ClaimNumber = StrongNumber<struct ClaimNumberTag>;
/// Revision of a slot's value in the store; zero: the value does not exist.
using SlotRevision = StrongNumber<struct SlotRevisionTag>;

/// Slots of the whole system. All versions must agree: a key that fell into
/// two slots could run twice.
inline constexpr std::uint64_t kClaimSlots = 16;

/// \returns The slot of a key.
[[nodiscard]] constexpr SlotNumber SlotOf(KeyFingerprint key) noexcept {
  return SlotNumber{key.high % kClaimSlots};
}

/// \brief "May I run this key?"
struct ClaimAsk {
  KeyFingerprint key;
  KeyOwner asker;
  ClaimNumber number;  ///< The same when the question is repeated.
};

/// \brief The process that may run a key. Never changed, only forgotten.
struct ClaimBinding {
  KeyFingerprint key;
  KeyOwner owner;
  ClaimNumber number;  ///< Of the owner's question.

  [[nodiscard]] friend bool operator==(const ClaimBinding&,
                                       const ClaimBinding&) = default;
};

/// \brief Bindings of about the same age.
struct ClaimBucket {
  /// How long it has taken bindings. Never longer than it truly has.
  Duration open_for{};
  /// How long it has taken none. Never longer than it truly has, so nothing
  /// is forgotten early; no clock is compared with another.
  Duration closed_for{};
  std::vector<ClaimBinding> bindings;
};

/// \brief The value of a slot. Oldest bucket first; only the last is open.
struct SlotValue {
  std::vector<ClaimBucket> buckets;
};

/// \returns How many bindings the value holds.
[[nodiscard]] std::size_t BindingCount(const SlotValue& value) noexcept;

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_ONCE_CLAIM_H_
