// What an instance knows of itself and of the others, as callers and
// operators are shown it.

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

/// \brief An instance that callers may use now; never one that is leaving.
struct EntryInstance {
  InstanceId id;
  RegionId region;
  ZoneId zone;
  Endpoint entry;
};

/// \brief An upstream of this region and what this instance does with it.
struct UpstreamView {
  UpstreamId id;
  ServiceId service;
  ZoneId zone;
  std::string state;  ///< `live`, `leaving` or `ejected`.
  std::size_t in_flight = 0;
  std::size_t limit = 0;
};

/// \brief What is known of the rules in force at an instance.
struct InstanceRevisionView {
  InstanceId id;
  RegionId region;
  std::optional<Revision> revision;  ///< None: not known.
  Duration age{};                    ///< Since it was learned.
};

/// \brief A consistent picture, taken by the decisions; immutable.
struct InstanceView {
  bool ready = false;
  bool draining = false;
  std::shared_ptr<const RuleSet> rules;  ///< Null: none known yet.
  /// Ticket for keys that this instance is to own; none without a secret or
  /// while it is leaving.
  std::optional<Ticket> ticket;
  std::vector<EntryInstance> entries;  ///< This instance's preference.
  /// Instances that leave and still take callers: of use where there is no
  /// other.
  std::vector<EntryInstance> leaving_entries;
  Duration entries_good_for{};
  std::vector<UpstreamView> upstreams;
  std::vector<InstanceRevisionView> revisions;  ///< Of the other instances.
  /// The operators' configuration; null: none is known.
  std::shared_ptr<const RouteCatalogue> catalogue;
  std::string metrics;  ///< In the Prometheus text format.
};

/// \returns The entries for a caller in this region that asks for this host,
/// those it should use and no others: the ones of its region, those that leave
/// only while there is no other; while that has none, those of regions where
/// the host's requests may be served; else all.
[[nodiscard]] std::vector<EntryInstance> EntriesFor(const InstanceView& view,
                                                    const RegionId& region,
                                                    std::string_view host);

using InstanceViewPtr = std::shared_ptr<const InstanceView>;

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_VIEW_H_
