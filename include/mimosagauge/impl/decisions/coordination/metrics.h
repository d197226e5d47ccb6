// Metrics of coordinated placement in the Prometheus text format.

#ifndef MIMOSAGAUGE_IMPL_DECISIONS_COORDINATION_METRICS_H_
#define MIMOSAGAUGE_IMPL_DECISIONS_COORDINATION_METRICS_H_

#include <string>

#include "mimosagauge/impl/decisions/coordination/asker.h"

namespace mimosagauge {

/// \returns The counters of the instance's requests, and the grants and waiting
/// requests that it has as a coordinator. Empty while nothing was counted.
[[nodiscard]] std::string PlacementMetricsText(const PlacementState& state);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_COORDINATION_METRICS_H_
