// Identifies the one process that may ever run a key.

#ifndef MIMOSAGAUGE_IMPL_DECISIONS_ONCE_KEY_OWNER_H_
#define MIMOSAGAUGE_IMPL_DECISIONS_ONCE_KEY_OWNER_H_

#include <compare>
#include <cstdint>

#include "mimosagauge/impl/core/ids.h"

namespace mimosagauge {

/// \brief Identifies one process: a single start of an instance.
///
/// The random number distinguishes two starts even when both have the same
/// incarnation, which happens when the clock is set back.
struct KeyOwner {
  InstanceId instance;
  Incarnation incarnation;
  std::uint64_t nonce = 0;  ///< Random number, generated once at start.

  [[nodiscard]] friend bool operator==(const KeyOwner&,
                                       const KeyOwner&) = default;
  // NOLINTBEGIN(modernize-use-nullptr): false alarm on defaulted operators.
  [[nodiscard]] friend auto operator<=>(const KeyOwner&,
                                        const KeyOwner&) = default;
  // NOLINTEND(modernize-use-nullptr)
};

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_ONCE_KEY_OWNER_H_
