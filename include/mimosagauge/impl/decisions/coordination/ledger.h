// Bookkeeping of a placement coordinator that its source files share.

#ifndef MIMOSAGAUGE_IMPL_DECISIONS_COORDINATION_LEDGER_H_
#define MIMOSAGAUGE_IMPL_DECISIONS_COORDINATION_LEDGER_H_

#include "mimosagauge/impl/decisions/coordination/coordinator.h"

namespace mimosagauge::detail {

/// Time after its due time at which a grant expires: a response that has begun
/// may be completed late.
inline constexpr Duration kGrantGrace = std::chrono::milliseconds(500);

/// \brief Counts a grant at its engine. A grant of the same key is replaced.
void AddGrant(Coordinator& coordinator, const PlacementKey& key,
              const PlacementGrant& grant, TimePoint now);

/// \brief Ends a grant; has no effect when there is none.
void EndGrant(Coordinator& coordinator, const PlacementKey& key, TimePoint now);

/// \brief Removes a waiting request; has no effect when it does not wait.
void RemoveWaitingPlacement(Coordinator& coordinator, RequestNumber number);

}  // namespace mimosagauge::detail

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_COORDINATION_LEDGER_H_
