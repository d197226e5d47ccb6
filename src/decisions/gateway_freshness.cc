// Gateway state machine: what upstreams state about themselves in their
// responses, and which instance asks them while the store is unavailable.

#include "mimosagauge/impl/decisions/gateway_detail.h"

namespace mimosagauge::detail {

void Handle(StepContext& /*context*/, UpstreamHealthReceived&& /*event*/) {}

void Handle(StepContext& /*context*/, StoreContactChanged&& /*event*/) {}

}  // namespace mimosagauge::detail
