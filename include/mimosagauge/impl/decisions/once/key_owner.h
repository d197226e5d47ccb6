// The one process that may ever run a key.

#ifndef MIMOSAGAUGE_IMPL_DECISIONS_ONCE_KEY_OWNER_H_
#define MIMOSAGAUGE_IMPL_DECISIONS_ONCE_KEY_OWNER_H_

#include <compare>
#include <cstdint>

#include "mimosagauge/impl/core/ids.h"

namespace mimosagauge {

/// \brief One start of one instance.
///
/// The random number tells two starts apart even when the incarnation was
/// taken twice, as after a clock that was set back.
struct KeyOwner {
  InstanceId instance;
  Incarnation incarnation;
  std::uint64_t nonce = 0;  ///< Random, drawn once at start.

  [[nodiscard]] friend bool operator==(const KeyOwner&,
                                       const KeyOwner&) = default;
  // NOLINTBEGIN(modernize-use-nullptr): false alarm on defaulted operators.
  [[nodiscard]] friend auto operator<=>(const KeyOwner&,
                                        const KeyOwner&) = default;
  // NOLINTEND(modernize-use-nullptr)
};

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_ONCE_KEY_OWNER_H_
