// Gateway state machine: rate limits that upstreams name in their answers, and
// what the instances of a region tell each other about them.

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "mimosagauge/impl/decisions/gateway_detail.h"

namespace mimosagauge::detail {
namespace {

// Time until a new limit is sent to the other instances.
constexpr Duration kLimitDelay = std::chrono::milliseconds(20);

// \returns Whether the limit changed.
bool ApplyLimit(StepContext& context, UpstreamState& upstream,
                const NamedLimit& named, const std::string& reported_by) {
  if (!RecordNamedLimit(upstream.rate, named, context.now)) {
    return false;
  }
  const auto& rate = named.requests_per_second;
  context.effects.emplace_back(
      WriteLog{log_events::kUpstreamLimit,
               {{"upstream", upstream.config.id.value()},
                {"per_second", rate ? fmt::format("{}", *rate) : "unlimited"},
                {"owned", upstream.rate.owned ? "yes" : "no"},
                {"told_by", reported_by}}});
  MarkCapacityFreed(context.gateway, upstream.config.id);
  return true;
}

}  // namespace

void RecordRateLimit(StepContext& context, const UpstreamId& id,
                     std::optional<double> requests_per_second) {
  Gateway& gateway = context.gateway;
  UpstreamState* upstream = FindUpstream(gateway.upstreams, id);
  if (upstream == nullptr) {
    return;
  }
  const bool changed =
      ApplyLimit(context, *upstream, {requests_per_second, context.now},
                 gateway.config.instance.value());
  // A limit is confirmed to the others with each digest, its end is told once.
  if (changed || requests_per_second) {
    gateway.limits_heard.insert_or_assign(HashUpstreamId(id),
                                          upstream->rate.named);
  }
  if (changed) {
    gateway.next_digest_at =
        std::min(gateway.next_digest_at, context.now + kLimitDelay);
  }
}

std::vector<LimitReport> TakeLimitReports(Gateway& gateway, TimePoint now) {
  std::vector<LimitReport> reports;
  for (const auto& [upstream, named] :
       std::exchange(gateway.limits_heard, {})) {
    reports.push_back(
        {upstream, named.requests_per_second, now - named.heard_at});
  }
  return reports;
}

void ApplyLimitReports(StepContext& context, const InstanceId& from,
                       const std::vector<LimitReport>& reports) {
  for (const LimitReport& report : reports) {
    UpstreamState* upstream =
        FindUpstream(context.gateway.upstreams, report.upstream);
    if (upstream != nullptr) {
      ApplyLimit(context, *upstream,
                 {report.requests_per_second, context.now - report.age},
                 from.value());
    }
  }
}

}  // namespace mimosagauge::detail
