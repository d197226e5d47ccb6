// View of an instance's own state and of the other instances, as shown to
// callers and operators.

#ifndef MIMOSAGAUGE_IMPL_DECISIONS_VIEW_H_
#define MIMOSAGAUGE_IMPL_DECISIONS_VIEW_H_

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "mimosagauge/impl/core/endpoint.h"
#include "mimosagauge/impl/core/ids.h"
#include "mimosagauge/impl/core/time.h"
#include "mimosagauge/impl/decisions/once/ticket.h"
#include "mimosagauge/impl/decisions/routes.h"
#include "mimosagauge/impl/rules/rule_set.h"

namespace mimosagauge {

/// \brief An instance that callers can send requests to, and its address.
struct EntryInstance {
  InstanceId id;
  RegionId region;
  ZoneId zone;
  Endpoint entry;  ///< Where it accepts callers.
};

/// \brief An upstream of this region and how this instance uses it.
struct UpstreamView {
  UpstreamId id;
  ServiceId service;
  ZoneId zone;
  std::string state;          ///< `live`, `leaving`, `ejected`,
                              ///< `paused` or `limited`.
  std::size_t in_flight = 0;  ///< Attempts of this instance running on it.
  std::size_t limit = 0;      ///< Bound on `in_flight`.
};

/// \brief The revision of the rules in force at another instance, as last
/// reported.
struct InstanceRevisionView {
  InstanceId id;
  RegionId region;
  std::optional<Revision> revision;  ///< Empty: not reported.
  Duration age{};                    ///< Time since the report.
};

/// \brief An immutable, consistent snapshot of the gateway state machine.
struct InstanceView {
  bool ready = false;           ///< It has rules and is not draining.
  bool draining = false;        ///< A graceful shutdown has started.
  std::size_t in_progress = 0;  ///< Requests whose response is not complete.
  std::size_t unwritten = 0;    ///< Complete responses that their receivers
                                ///< have not taken yet.
  std::shared_ptr<const RuleSet> rules;  ///< Null: none received yet.
  /// Ticket for idempotency keys that this instance will own; empty if no
  /// ticket secret is configured or while the instance is leaving.
  std::optional<Ticket> ticket;
  std::vector<EntryInstance> entries;  ///< Instances that are not leaving,
                                       ///< nearest first.
  /// Instances that are leaving but still accept callers, to be used only if
  /// there is no other.
  std::vector<EntryInstance> leaving_entries;
  Duration entries_good_for{};  ///< How long callers may use the entries.
  std::vector<UpstreamView> upstreams;
  std::vector<InstanceRevisionView> revisions;  ///< Of the other instances.
  /// The operators' configuration; null: none received yet.
  std::shared_ptr<const RouteCatalogue> catalogue;
  std::string metrics;  ///< Metrics in the Prometheus text format.
};

/// \brief Selects the instances that a caller should use.
/// \param region The region of the caller.
/// \param host The host that the caller sends requests for.
/// \returns The instances of the caller's region, leaving ones only if there
/// are no others; if that region has none, the instances of the regions in
/// which the host's requests may be served; if there are none either, all.
[[nodiscard]] std::vector<EntryInstance> EntriesFor(const InstanceView& view,
                                                    const RegionId& region,
                                                    std::string_view host);

using InstanceViewPtr = std::shared_ptr<const InstanceView>;

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_VIEW_H_
