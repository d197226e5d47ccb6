// Gateway state machine: rate limits that upstreams name in their answers.

#include <fmt/format.h>

#include <utility>

#include "mimosagauge/impl/decisions/gateway_detail.h"

namespace mimosagauge::detail {

void RecordRateLimit(StepContext& context, const UpstreamId& id,
                     std::optional<double> requests_per_second) {
  UpstreamState* upstream = FindUpstream(context.gateway.upstreams, id);
  if (upstream == nullptr || upstream->rate_limit == requests_per_second) {
    return;
  }
  upstream->rate_limit = requests_per_second;
  context.effects.emplace_back(
      WriteLog{log_events::kUpstreamLimit,
               {{"upstream", id.value()},
                {"per_second", requests_per_second
                                   ? fmt::format("{}", *requests_per_second)
                                   : "unlimited"}}});
}

}  // namespace mimosagauge::detail
