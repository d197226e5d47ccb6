// Checks on settings as a whole, after each value has been read.

#include "mimosagauge/impl/settings/contradictions.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <map>
#include <set>

#include "mimosagauge/impl/core/unit_text.h"
#include "mimosagauge/impl/rules/verdict.h"

namespace mimosagauge::detail {
namespace {

/// \brief Values that must differ from each other, and where they were given.
using Seen = std::map<std::string, std::string>;

[[nodiscard]] std::string At(const char* list, std::size_t index,
                             const char* key) {
  return fmt::format("{}[{}].{}", list, index, key);
}

/// Empty values have a fault of their own already.
void CheckUnique(SettingsReport& report, Seen& seen, const std::string& value,
                 const std::string& path, const char* remedy) {
  if (value.empty()) {
    return;
  }
  const auto [first, added] = seen.emplace(value, path);
  if (!added) {
    AddFault(report, path,
             fmt::format("{}: '{}' is also '{}' on line {}", path, value,
                         first->second, LineOf(report, first->second)),
             remedy);
  }
}

/// An endpoint with port 0 gets a port of its own when it is bound.
[[nodiscard]] std::string EndpointText(const Endpoint& endpoint) {
  return endpoint.port == 0 ? "" : ToString(endpoint);
}

void CheckReachable(SettingsReport& report, const Endpoint& endpoint,
                    const std::string& path) {
  if (!endpoint.address.empty() && endpoint.port == 0) {
    AddFault(report, path, fmt::format("{}: port 0 cannot be reached", path),
             "give the port on which it listens");
  }
}

[[nodiscard]] const RegionSettings* FindRegion(const Settings& settings,
                                               const RegionId& id) {
  for (const RegionSettings& region : settings.regions) {
    if (region.id == id) {
      return &region;
    }
  }
  return nullptr;
}

void CheckRegion(const Settings& settings, SettingsReport& report,
                 const RegionId& id, const std::string& path) {
  if (!id.empty() && FindRegion(settings, id) == nullptr) {
    AddFault(report, path,
             fmt::format("{}: region '{}' is unknown", path, id.value()),
             "correct the name or add the region to regions");
  }
}

void CheckZone(const Settings& settings, SettingsReport& report,
               const RegionId& region_id, const ZoneId& zone,
               const std::string& path) {
  const RegionSettings* region = FindRegion(settings, region_id);
  if (zone.empty() || region == nullptr) {
    return;
  }
  if (std::find(region->zones.begin(), region->zones.end(), zone) ==
      region->zones.end()) {
    AddFault(report, path,
             fmt::format("{}: region '{}' has no availability zone '{}'", path,
                         region_id.value(), zone.value()),
             "correct the name or add the zone to the region's zones");
  }
}

void CheckRegions(const Settings& settings, SettingsReport& report) {
  Seen regions;
  Seen zones;
  for (std::size_t i = 0; i < settings.regions.size(); ++i) {
    const RegionSettings& region = settings.regions[i];
    CheckUnique(report, regions, region.id.value(), At("regions", i, "id"),
                "give each region a name of its own");
    for (std::size_t z = 0; z < region.zones.size(); ++z) {
      CheckUnique(report, zones, region.zones[z].value(),
                  fmt::format("regions[{}].zones[{}]", i, z),
                  "give each availability zone a name of its own");
    }
    if (region.zones.empty()) {
      AddFault(report, At("regions", i, "zones"),
               fmt::format("region '{}' has no availability zone",
                           region.id.value()),
               "name at least one zone");
    }
  }
  CheckRegion(settings, report, settings.region, "region");
  CheckZone(settings, report, settings.region, settings.zone, "zone");
}

/// Callers of `peer` and `upstream` checks share `seen`, so that no two of all
/// endpoints are the same.
void CheckListeners(const Settings& settings, SettingsReport& report,
                    Seen& seen) {
  const char* remedy = "give each listener an address and port of its own";
  CheckUnique(report, seen, EndpointText(settings.entry), "listen.entry",
              remedy);
  CheckUnique(report, seen, EndpointText(settings.peer), "listen.peer", remedy);
  CheckUnique(report, seen, EndpointText(settings.operators),
              "listen.operators", remedy);
  for (const auto& [endpoint, key] :
       {std::pair{&settings.ready, "listen.ready"},
        std::pair{&settings.directory, "listen.directory"},
        std::pair{&settings.metrics, "listen.metrics"}}) {
    if (*endpoint) {
      CheckUnique(report, seen, EndpointText(**endpoint), key, remedy);
    }
  }
}

void CheckPlatform(const Settings& settings, SettingsReport& report,
                   Seen& seen) {
  if (settings.store.empty()) {
    AddFault(report, "platform.store", "the store has no usable address",
             "give the address and port of the key-value service");
  }
  for (std::size_t i = 0; i < settings.store.size(); ++i) {
    const std::string path = fmt::format("platform.store[{}]", i);
    CheckReachable(report, settings.store[i], path);
    CheckUnique(report, seen, EndpointText(settings.store[i]), path,
                "name each address of the store once");
  }
  for (std::size_t i = 0; i < settings.instance_list.size(); ++i) {
    const std::string path = fmt::format("platform.instance_list[{}]", i);
    CheckReachable(report, settings.instance_list[i], path);
  }
  const std::string& prefix = settings.store_prefix;
  if (prefix.size() < 2 || prefix.front() != '/' || prefix.back() != '/') {
    AddFault(report, "platform.prefix",
             fmt::format("'{}' is not a prefix of keys", prefix),
             "begin and end it with '/', as in /mimosagauge/");
  }
}

// What the product's own interface cannot do without.
void CheckOwnDialect(const Settings& settings, SettingsReport& report) {
  const auto missing = [&report](const char* key, const char* remedy) {
    AddFault(report, "", fmt::format("'{}' is missing", key), remedy);
  };
  if (settings.regions.empty() && report.lines.count("regions") == 0) {
    missing("regions", "add it: list of sections, all regions of the system");
  }
  if (settings.dialect != PlatformDialect::kOwn) {
    return;
  }
  if (report.lines.count("operator") == 0) {
    missing("operator", "add it: section, who may operate the instance");
  }
  if (report.lines.count("listen") != 0 &&
      report.lines.count("listen.operators") == 0) {
    missing("listen.operators", "add it: address:port, for operators");
  }
}

void CheckRetries(const RetrySettings& retries, SettingsReport& report) {
  if (retries.ratio < 0 || retries.ratio > 1) {
    AddFault(report, "retries.ratio", "'retries.ratio' is no part of a whole",
             "write a number from 0 to 1");
  }
  if (retries.slack < 0) {
    AddFault(report, "retries.slack", "'retries.slack' is below zero",
             "write 0 or more");
  }
}

void CheckPlacement(const PlacementSettings& placement,
                    SettingsReport& report) {
  constexpr Duration kShortest = std::chrono::milliseconds(5);
  constexpr Duration kLongest = std::chrono::seconds(1);
  if (placement.answer_within < kShortest ||
      placement.answer_within > kLongest) {
    AddFault(report, "placement.answer_within",
             "'placement.answer_within' is too short or too long",
             "write a time from 5ms to 1s");
  }
}

void CheckRevocation(const Settings& settings, SettingsReport& report) {
  // A shorter time would take more than ten polls of the store a second from
  // each instance; see docs/design/011-accounts.md.
  constexpr Duration kMinStrict = std::chrono::milliseconds(2500);
  const auto& strict = settings.revocation.strict;
  if (!strict) {
    return;
  }
  if (*strict < kMinStrict) {
    AddFault(report, "revocation.strict",
             "'revocation.strict' is too short for the polls of the store",
             "write a time of at least 2500ms");
  }
  if (settings.dialect != PlatformDialect::kFleet) {
    AddFault(report, "revocation.strict",
             "'revocation.strict' applies only to keys in the store",
             "set platform.dialect to fleet or remove the section");
  }
}

void CheckAllowances(const Settings& settings, SettingsReport& report) {
  if (!settings.allowances) {
    return;
  }
  const AllowanceSectionSettings& allowances = *settings.allowances;
  const auto fault = [&report](const char* key, const char* what,
                               const char* remedy) {
    const std::string path = fmt::format("allowances.{}", key);
    AddFault(report, path, fmt::format("'{}' {}", path, what), remedy);
  };
  if (allowances.window < std::chrono::seconds(1)) {
    fault("window", "is shorter than a lent amount needs", "write 1s or more");
  }
  if (allowances.excess <= 0) {
    fault("excess", "leaves no room for amounts that are lent",
          "write more than 0, as in 0.1");
  }
  if (allowances.slack < 0) {
    fault("slack", "is below zero", "write 0 or more");
  }
  if (allowances.reserve < 0 || allowances.reserve >= 1) {
    fault("reserve", "is no part of an allowance",
          "write a number from 0 to below 1");
  }
  if (settings.dialect != PlatformDialect::kFleet) {
    AddFault(report, "allowances",
             "allowances need accounts from the store's configuration",
             "write platform.dialect: fleet, or remove allowances");
  }
}

void CheckHedging(const Settings& settings, SettingsReport& report) {
  const HedgingSettings& hedging = settings.hedging;
  if (hedging.limit.value() > settings.retries.ratio) {
    AddFault(report, "hedging.limit",
             "'hedging.limit' is above 'retries.ratio', from which second "
             "attempts are taken too",
             "lower it, or raise retries.ratio");
  }
  constexpr double kMinPercentile = 0.5;
  constexpr double kMaxPercentile = 0.999;
  if (hedging.percentile.value() < kMinPercentile ||
      hedging.percentile.value() > kMaxPercentile) {
    AddFault(report, "hedging.percentile",
             "'hedging.percentile' does not tell late answers from usual ones",
             "write a percentile from 50% to 99.9%");
  }
  if (hedging.min_delay < std::chrono::milliseconds(1)) {
    AddFault(report, "hedging.min_delay",
             "'hedging.min_delay' is below 1ms, the least time in which an "
             "answer can be late",
             "write a time of 1ms or more");
  }
}

void CheckPeers(const Settings& settings, SettingsReport& report, Seen& seen) {
  Seen ids{{settings.instance.value(), "instance"}};
  for (std::size_t i = 0; i < settings.peers.size(); ++i) {
    const PeerSettings& peer = settings.peers[i];
    CheckUnique(report, ids, peer.id.value(), At("peers", i, "id"),
                "name each instance once, this one not at all");
    CheckRegion(settings, report, peer.region, At("peers", i, "region"));
    CheckZone(settings, report, peer.region, peer.zone, At("peers", i, "zone"));
    const char* remedy = "correct one of the two addresses";
    CheckReachable(report, peer.peer, At("peers", i, "peer"));
    CheckReachable(report, peer.entry, At("peers", i, "entry"));
    CheckUnique(report, seen, EndpointText(peer.peer), At("peers", i, "peer"),
                remedy);
    CheckUnique(report, seen, EndpointText(peer.entry), At("peers", i, "entry"),
                remedy);
  }
}

void CheckUpstreamKind(const UpstreamSettings& upstream, SettingsReport& report,
                       std::size_t index) {
  if (upstream.kind == UpstreamKind::kEngine) {
    if (upstream.models.empty()) {
      AddFault(report, At("upstreams", index, "models"),
               fmt::format("engine '{}' runs no model", upstream.id.value()),
               "name its models or write kind: plain");
    }
    return;
  }
  if (!upstream.models.empty()) {
    AddFault(report, At("upstreams", index, "models"),
             fmt::format("plain service '{}' has models", upstream.id.value()),
             "remove models or write kind: engine");
  }
  if (upstream.honours_resume) {
    AddFault(report, At("upstreams", index, "honours_resume"),
             fmt::format("plain service '{}' cannot resume streams",
                         upstream.id.value()),
             "remove honours_resume or write kind: engine");
  }
}

void CheckUpstreams(const Settings& settings, SettingsReport& report,
                    Seen& seen) {
  Seen ids;
  for (std::size_t i = 0; i < settings.upstreams.size(); ++i) {
    const UpstreamSettings& upstream = settings.upstreams[i];
    CheckUnique(report, ids, upstream.id.value(), At("upstreams", i, "id"),
                "give each upstream a name of its own");
    CheckZone(settings, report, settings.region, upstream.zone,
              At("upstreams", i, "zone"));
    CheckReachable(report, upstream.endpoint, At("upstreams", i, "endpoint"));
    CheckUnique(report, seen, EndpointText(upstream.endpoint),
                At("upstreams", i, "endpoint"),
                "correct one of the two addresses");
    if (upstream.concurrency == 0) {
      AddFault(
          report, At("upstreams", i, "concurrency"),
          fmt::format("upstream '{}' may run no request", upstream.id.value()),
          "write 1 or more, or remove the upstream");
    }
    CheckUpstreamKind(upstream, report, i);
  }
}

/// Faults about tokens name the accounts and never the token.
void CheckAccounts(const Settings& settings, SettingsReport& report) {
  Seen ids;
  std::map<std::string, std::string> owners;
  owners.emplace(settings.operator_token, "the operators");
  for (std::size_t i = 0; i < settings.accounts.size(); ++i) {
    const AccountSettings& account = settings.accounts[i];
    CheckUnique(report, ids, account.id.value(), At("accounts", i, "id"),
                "give each account once");
    CheckRegion(settings, report, account.home, At("accounts", i, "home"));
    const auto [owner, added] =
        owners.emplace(account.token, "'" + account.id.value() + "'");
    if (!added && !account.token.empty()) {
      AddFault(report, At("accounts", i, "token"),
               fmt::format("account '{}' has the token of {}",
                           account.id.value(), owner->second),
               "give each a token of its own");
    }
  }
}

void CheckLinks(const Settings& settings, SettingsReport& report) {
  std::set<std::pair<RegionId, RegionId>> pairs;
  for (std::size_t i = 0; i < settings.links.size(); ++i) {
    const RegionLinkSettings& link = settings.links[i];
    const std::string path = At("links", i, "between");
    CheckRegion(settings, report, link.a, path);
    CheckRegion(settings, report, link.b, path);
    if (!link.a.empty() && link.a == link.b) {
      AddFault(report, path, fmt::format("{}: a link joins two regions", path),
               "name two different regions");
    } else if (!pairs.insert(std::minmax(link.a, link.b)).second &&
               !link.a.empty()) {
      AddFault(report, path,
               fmt::format("the link between '{}' and '{}' is given twice",
                           link.a.value(), link.b.value()),
               "keep one of the two");
    }
    if (link.width.count() == 0 &&
        report.lines.count(At("links", i, "width"))) {
      AddFault(report, At("links", i, "width"),
               fmt::format("{}: the link has no usable width", path),
               "write more than 0bit/s");
    }
  }
  for (std::size_t a = 0;
       !settings.links.empty() && a < settings.regions.size(); ++a) {
    for (std::size_t b = a + 1; b < settings.regions.size(); ++b) {
      const RegionId& first = settings.regions[a].id;
      const RegionId& second = settings.regions[b].id;
      if (pairs.count(std::minmax(first, second)) == 0) {
        AddFault(report, "links",
                 fmt::format("the link between '{}' and '{}' is missing",
                             first.value(), second.value()),
                 "add it, or remove all links");
      }
    }
  }
}

void CheckObjectives(const Settings& settings, SettingsReport& report) {
  Seen seen;
  for (std::size_t i = 0; i < settings.objectives.size(); ++i) {
    const ObjectiveSettings& objective = settings.objectives[i];
    const std::string path = At("objectives", i, "service");
    const int priority = objective.priority.value_or(0);
    if (!objective.service.empty()) {
      CheckUnique(report, seen,
                  priority == 0
                      ? objective.service.value()
                      : fmt::format("{} priority {}", objective.service.value(),
                                    priority),
                  path, "keep one objective of the two");
    }
    if (objective.priority &&
        (priority < 1 || priority > Verdict::kLowestPriority)) {
      AddFault(
          report, At("objectives", i, "priority"),
          fmt::format("{} is not a priority", priority),
          fmt::format("write a number from 1 to {}", Verdict::kLowestPriority));
    }
    const bool has_target = report.lines.count(At("objectives", i, "target"));
    if (has_target &&
        (objective.target <= Share{0} || objective.target >= Share{1})) {
      AddFault(report, At("objectives", i, "target"),
               "the target leaves nothing to burn or nothing to reach",
               "write more than 0% and less than 100%");
    }
  }
}

void CheckLimits(const LimitSettings& limits, SettingsReport& report) {
  const auto at_least_one = [&report](const char* key, std::uint64_t count) {
    if (count == 0) {
      AddFault(report, key, fmt::format("'{}' is zero", key),
               "write a positive value, or remove the key");
    }
  };
  const auto in_time = [](Duration duration) {
    return static_cast<std::uint64_t>(duration.count());
  };
  at_least_one("limits.connections", limits.connections);
  at_least_one("limits.requests", limits.requests);
  at_least_one("limits.header", limits.header.count());
  at_least_one("limits.body", limits.body.count());
  at_least_one("limits.stream_window", limits.stream_window.count());
  at_least_one("limits.header_timeout", in_time(limits.header_timeout));
  at_least_one("limits.idle_timeout", in_time(limits.idle_timeout));
  at_least_one("limits.default_due", in_time(limits.default_due));
  at_least_one("limits.silence", in_time(limits.silence));
  if (limits.queued > limits.requests) {
    AddFault(report, "limits.queued",
             fmt::format("limits.queued is {}, more than limits.requests, {}",
                         limits.queued, limits.requests),
             "lower limits.queued or raise limits.requests");
  }
  if (limits.header_timeout > limits.idle_timeout) {
    AddFault(report, "limits.header_timeout",
             fmt::format("limits.header_timeout is {}, longer than "
                         "limits.idle_timeout, {}",
                         ToString(limits.header_timeout),
                         ToString(limits.idle_timeout)),
             "lower limits.header_timeout or raise limits.idle_timeout");
  }
}

void CheckPolicy(const PolicySettings& policy, SettingsReport& report) {
  const auto valid = [](double weight) {
    constexpr double kMaxWeight = 1000;
    return weight >= 0 && weight <= kMaxWeight;
  };
  if (!valid(policy.cost_weight) || !valid(policy.tail_weight) ||
      policy.cost_weight + policy.tail_weight == 0) {
    AddFault(report, "policy", "the weights do not compare anything",
             "write weights from 0 to 1000, at least one above 0");
  }
}

void CheckLog(const std::string& level, SettingsReport& report) {
  constexpr std::array kLevels = {"debug", "info", "warning", "error"};
  if (std::find(kLevels.begin(), kLevels.end(), level) == kLevels.end()) {
    AddFault(report, "log.level",
             fmt::format("'{}' is not a level of the log", level),
             "write debug, info, warning or error");
  }
}

}  // namespace

void FindContradictions(const Settings& settings, SettingsReport& report) {
  CheckRegions(settings, report);
  Seen endpoints;
  CheckListeners(settings, report, endpoints);
  CheckPlatform(settings, report, endpoints);
  CheckOwnDialect(settings, report);
  CheckRetries(settings.retries, report);
  CheckPlacement(settings.placement, report);
  CheckRevocation(settings, report);
  CheckAllowances(settings, report);
  CheckHedging(settings, report);
  CheckPeers(settings, report, endpoints);
  CheckUpstreams(settings, report, endpoints);
  CheckAccounts(settings, report);
  CheckLinks(settings, report);
  CheckObjectives(settings, report);
  CheckLimits(settings.limits, report);
  CheckPolicy(settings.policy, report);
  CheckLog(settings.log_level, report);
}

}  // namespace mimosagauge::detail
