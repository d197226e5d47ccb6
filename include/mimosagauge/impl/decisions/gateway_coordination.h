// Internal functions of coordinated placement that the source files of the
// gateway state machine share.

#ifndef MIMOSAGAUGE_IMPL_DECISIONS_GATEWAY_COORDINATION_H_
#define MIMOSAGAUGE_IMPL_DECISIONS_GATEWAY_COORDINATION_H_

#include "mimosagauge/impl/decisions/gateway_detail.h"

namespace mimosagauge::detail {

/// Requests without an answer in time after which a coordinator is not asked
/// until it responds again.
inline constexpr std::size_t kMaxMisses = 2;

/// \returns Whether the settings and the configuration allow coordination.
[[nodiscard]] bool IsPlacementEnabled(const Gateway& gateway) noexcept;

/// \returns The message that the instance, or this one itself, will be sent
/// within `delay`.
[[nodiscard]] PlacementMessage& Tell(StepContext& context, const InstanceId& to,
                                     Duration delay);

/// \brief Handles an answer of a coordinator. A grant that is not wanted any
/// more is returned.
void HandlePlacementAnswer(StepContext& context, const InstanceId& from,
                           const PlacementAnswer& answer);

/// \brief Places the requests locally whose coordinator was not heard of in
/// time.
void ExpirePlacementAnswers(StepContext& context);

/// \brief Chooses the coordinators again if that is due, and reports the state
/// of this instance to new ones.
void SelectCoordinators(StepContext& context);

}  // namespace mimosagauge::detail

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_GATEWAY_COORDINATION_H_
