// Order in which the instances of a region are asked to coordinate the
// placement of a service.

#ifndef MIMOSAGAUGE_IMPL_DECISIONS_COORDINATION_SELECTION_H_
#define MIMOSAGAUGE_IMPL_DECISIONS_COORDINATION_SELECTION_H_

#include <vector>

#include "mimosagauge/impl/core/ids.h"
#include "mimosagauge/impl/core/units.h"

namespace mimosagauge {

/// \brief An instance that may coordinate.
struct CoordinatorCandidate {
  InstanceId id;
  Bytes memory;  ///< Of its process; zero: not known.
};

/// \brief Ranks the candidates by weighted rendezvous hashing: an instance is
/// first for a share of the services in proportion to its memory, and the loss
/// of an instance moves only the services that it coordinated.
/// \returns All candidates, the first choice first; the same on every instance
/// with the same candidates.
[[nodiscard]] std::vector<InstanceId> RankCoordinators(
    const ServiceId& service,
    const std::vector<CoordinatorCandidate>& candidates);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_COORDINATION_SELECTION_H_
