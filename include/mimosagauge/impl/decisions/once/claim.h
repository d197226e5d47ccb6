// Claims of bare keys, which are idempotency keys without a ticket. A
// compare-and-swap in the store binds each key to the one process that may ever
// run it.

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

/// Identifies a slot: one value of the store, which holds the claims of a part
/// of the keys.
using SlotNumber = StrongNumber<struct SlotNumberTag>;
/// Number that a process gives to each of its claims, from 1; never reused by
/// that process.
using ClaimNumber = StrongNumber<struct ClaimNumberTag>;
/// Revision of a slot's value in the store; zero when the value does not exist.
using SlotRevision = StrongNumber<struct SlotRevisionTag>;

/// Number of slots in the whole system. It must be the same in all versions: a
/// key that two instances map to different slots could run twice.
inline constexpr std::uint64_t kClaimSlotCount = 16;

/// \returns The slot that holds the claim of a key.
[[nodiscard]] constexpr SlotNumber SlotForKey(KeyFingerprint key) noexcept {
  return SlotNumber{key.high % kClaimSlotCount};
}

/// \brief A process's request to become the owner of a bare key.
struct ClaimAsk {
  KeyFingerprint key;
  KeyOwner requester;
  ClaimNumber number;  ///< Unchanged when the request is repeated.
};

/// \brief Names the process that may run a key. A binding is never changed,
/// only removed after the retention time.
struct ClaimBinding {
  KeyFingerprint key;
  KeyOwner owner;
  ClaimNumber number;  ///< The number of the owner's claim request.

  [[nodiscard]] friend bool operator==(const ClaimBinding&,
                                       const ClaimBinding&) = default;
};

/// \brief Bindings that were written at about the same time.
struct ClaimBucket {
  /// How long bindings have been added to the bucket; never longer than the
  /// real time.
  Duration open_for{};
  /// Time since the bucket was closed to new bindings; never longer than the
  /// real time, so that no binding is removed early. Only durations are stored,
  /// so the clocks of different machines are never compared.
  Duration closed_for{};
  std::vector<ClaimBinding> bindings;
};

/// \brief The value of a slot: its buckets, oldest first. Only the last one can
/// be open to new bindings.
struct SlotValue {
  std::vector<ClaimBucket> buckets;
};

/// \returns The number of bindings in all buckets of the value.
[[nodiscard]] std::size_t BindingCount(const SlotValue& value) noexcept;

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_ONCE_CLAIM_H_
