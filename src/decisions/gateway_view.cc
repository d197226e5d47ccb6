// Gateway state machine: the view of this instance that is published to callers
// and operators.

#include <algorithm>
#include <utility>

#include "mimosagauge/impl/decisions/coordination/metrics.h"
#include "mimosagauge/impl/decisions/gateway_detail.h"

namespace mimosagauge {
namespace detail {
namespace {

constexpr Duration kViewInterval = std::chrono::milliseconds(250);
// Metrics are formatted less often than views are published, because formatting
// them costs more than building the rest of the view.
constexpr Duration kMetricsInterval = std::chrono::seconds(2);
constexpr Duration kEntriesLifetime = std::chrono::seconds(2);

// Returns 0 for the own zone, 1 for the own region and 2 for other regions.
[[nodiscard]] int DistanceRank(const Gateway& gateway, const RegionId& region,
                               const ZoneId& zone) {
  if (region != gateway.config.region) {
    return 2;
  }
  return zone == gateway.config.zone ? 0 : 1;
}

[[nodiscard]] EntryInstance ToEntryInstance(const PeerConfig& config) {
  return {config.id, config.region, config.zone, config.entry};
}

// Returns the instances that are leaving but still accept callers, because
// their leave notice is not over.
[[nodiscard]] std::vector<EntryInstance> LeavingEntries(const Gateway& gateway,
                                                        TimePoint now) {
  std::vector<EntryInstance> entries;
  const auto accepts_callers =
      [&](const std::optional<TimePoint>& leaving_since) {
        return leaving_since &&
               now - *leaving_since < gateway.config.limits.leave_notice;
      };
  if (accepts_callers(gateway.drain_started)) {
    const GatewayConfig& self = gateway.config;
    entries.push_back({self.instance, self.region, self.zone, self.entry});
  }
  for (const PeerState& peer : gateway.peers) {
    if (accepts_callers(peer.leaving_since)) {
      entries.push_back(ToEntryInstance(peer.config));
    }
  }
  return entries;
}

[[nodiscard]] std::vector<EntryInstance> Entries(const Gateway& gateway) {
  std::vector<EntryInstance> entries;
  const bool can_serve = gateway.catalogue != nullptr ||
                         gateway.rules != nullptr || gateway.peers.empty();
  if (!gateway.drain_started && can_serve) {
    const GatewayConfig& self = gateway.config;
    entries.push_back({self.instance, self.region, self.zone, self.entry});
  }
  for (const PeerState& peer : gateway.peers) {
    if (peer.up) {
      entries.push_back(ToEntryInstance(peer.config));
    }
  }
  std::stable_sort(entries.begin(), entries.end(),
                   [&](const EntryInstance& a, const EntryInstance& b) {
                     return DistanceRank(gateway, a.region, a.zone) <
                            DistanceRank(gateway, b.region, b.zone);
                   });
  return entries;
}

[[nodiscard]] std::vector<InstanceRevisionView> PeerRevisions(
    const Gateway& gateway, TimePoint now) {
  std::vector<InstanceRevisionView> revisions;
  for (const PeerState& peer : gateway.peers) {
    InstanceRevisionView view;
    view.id = peer.config.id;
    view.region = peer.config.region;
    const auto known = gateway.spread.known.find(peer.config.id);
    if (known != gateway.spread.known.end()) {
      view.revision = known->second.revision;
      view.age = now - known->second.heard;
    }
    revisions.push_back(std::move(view));
  }
  return revisions;
}

[[nodiscard]] std::string_view StateName(const UpstreamState& upstream,
                                         TimePoint now) {
  if (upstream.leaving) {
    return "leaving";
  }
  if (upstream.health.ejected_until > now) {
    return "ejected";
  }
  if (upstream.health.paused_until > now) {
    return "paused";
  }
  return IsRateLimited(upstream.rate, now) ? "limited" : "live";
}

}  // namespace

void PublishViews(StepContext& context) {
  Gateway& gateway = context.gateway;
  const bool first = gateway.last_view_at == TimePoint{};
  if (!first && context.now - gateway.last_view_at < kViewInterval) {
    return;
  }
  gateway.last_view_at = context.now;
  if (first || context.now - gateway.metrics_text_at >= kMetricsInterval) {
    gateway.metrics_text_at = context.now;
    gateway.metrics.in_progress = gateway.requests.size();
    gateway.metrics.unwritten = gateway.unwritten.unwritten.size();
    gateway.metrics.health_requests = gateway.freshness.health_requests;
    gateway.metrics.cut = gateway.unwritten.cut;
    gateway.metrics_text = PrometheusText(gateway.metrics) +
                           PlacementMetricsText(gateway.placement) +
                           AllowanceMetricsText(gateway, context.now);
  }
  auto view = std::make_shared<const InstanceView>(View(gateway, context.now));
  context.effects.emplace_back(ForCallers{PublishView{view}});
  context.effects.emplace_back(ForOperators{PublishView{std::move(view)}});
}

}  // namespace detail

InstanceView View(const Gateway& gateway, TimePoint now) {
  InstanceView view;
  view.draining = gateway.drain_started.has_value();
  view.ready = detail::HasRoutingRules(gateway) && !view.draining;
  view.in_progress = gateway.requests.size();
  view.unwritten = gateway.unwritten.unwritten.size();
  view.catalogue = gateway.catalogue;
  view.rules = gateway.rules;
  if (!gateway.config.ticket_secrets.empty() && !view.draining) {
    view.ticket = MakeTicket(gateway.keys, now);
  }
  view.entries = detail::Entries(gateway);
  view.leaving_entries = detail::LeavingEntries(gateway, now);
  view.entries_good_for = detail::kEntriesLifetime;
  for (const UpstreamState& upstream : gateway.upstreams.upstreams) {
    view.upstreams.push_back({upstream.config.id, upstream.config.service,
                              upstream.config.zone,
                              std::string(detail::StateName(upstream, now)),
                              upstream.in_flight, upstream.limit});
  }
  view.revisions = detail::PeerRevisions(gateway, now);
  view.metrics = gateway.metrics_text;
  return view;
}

}  // namespace mimosagauge
