// Gateway state machine: what upstreams state about themselves in their
// responses, and which instance asks them while the store is unavailable.

#include <algorithm>
#include <utility>

#include "mimosagauge/impl/decisions/gateway_detail.h"

namespace mimosagauge::detail {
namespace {

// Time until a new statement is sent to the other instances.
constexpr Duration kReportDelay = std::chrono::milliseconds(20);
// A report is repeated at this interval, since a digest may be lost.
constexpr Duration kReportInterval = std::chrono::seconds(1);
// Most reports of a kind in one digest: 24 bytes each, so that the digests stay
// within their share of the control traffic when a whole region is cold.
constexpr std::size_t kMaxReports = 16;
// Interval of the health requests to one upstream, over all instances of a
// region without a partition. An upstream that turns cold unnoticed gets its
// usual requests for at most this long.
constexpr Duration kHealthInterval = std::chrono::milliseconds(300);
// A digest that states contact with the store is valid for this time; the
// longest regular interval between digests of 71 instances is 1.75 s.
constexpr Duration kPeerContactTime = std::chrono::seconds(3);

void ExpediteDigest(StepContext& context) {
  context.gateway.next_digest_at =
      std::min(context.gateway.next_digest_at, context.now + kReportDelay);
}

void LogCold(StepContext& context, const UpstreamState& upstream,
             Duration remaining, const std::string& reported_by) {
  context.effects.emplace_back(
      WriteLog{log_events::kUpstreamCold,
               {{"upstream", upstream.config.id.value()},
                {"for_ms", Milliseconds(remaining)},
                {"owned", upstream.rate.owned ? "yes" : "no"},
                {"told_by", reported_by}}});
}

void RecordCold(StepContext& context, UpstreamState& upstream,
                Duration remaining) {
  if (upstream.rate.cold_rate > 0 &&
      RecordColdStatement(upstream.rate, remaining, context.now)) {
    LogCold(context, upstream, remaining,
            context.gateway.config.instance.value());
    ExpediteDigest(context);
  }
}

// A departure is reported for this long after the last response that stated it.
// The store states it too by then, to instances that start later.
constexpr Duration kDepartureReportTime = std::chrono::seconds(5);
// A departure of an upstream that is not registered any more is kept for this
// long, in case its entry returns; a process does not take longer to end.
constexpr Duration kDepartureTime = std::chrono::minutes(10);

// Records that a start of an upstream is leaving. Returns whether that is new.
bool RecordDeparture(Gateway& gateway, const UpstreamId& id,
                     const UpstreamStart& start, TimePoint now,
                     bool first_hand) {
  const auto [entry, created] =
      gateway.freshness.departures.try_emplace(HashUpstreamId(id));
  Departure& departure = entry->second;
  const bool is_new = created || departure.start != start;
  if (is_new) {
    departure = Departure{start, now, first_hand, now};
  }
  if (first_hand) {
    departure.first_hand = true;
    departure.heard_at = now;
  }
  UpstreamState* upstream = FindUpstream(gateway.upstreams, id);
  if (upstream != nullptr && StartOf(upstream->config) == start) {
    upstream->leaving = true;
  }
  return is_new;
}

void LogLeaving(StepContext& context, const UpstreamId& id,
                const UpstreamStart& start, const std::string& reported_by) {
  context.effects.emplace_back(
      WriteLog{log_events::kUpstreamLeaving,
               {{"upstream", id.value()},
                {"incarnation", std::to_string(start.incarnation.value())},
                {"told_by", reported_by}}});
}

void LogPauseIgnored(StepContext& context, UpstreamState& upstream) {
  if (std::exchange(upstream.health.invalid_pause_logged, true)) {
    return;
  }
  context.effects.emplace_back(WriteLog{
      log_events::kPauseIgnored, {{"upstream", upstream.config.id.value()}}});
}

void RecordPause(StepContext& context, UpstreamState& upstream,
                 Duration pause) {
  const bool was_paused = upstream.health.paused_until > context.now;
  if (!Pause(upstream.health, pause, context.now)) {
    return LogPauseIgnored(context, upstream);
  }
  if (!was_paused) {
    context.effects.emplace_back(
        WriteLog{log_events::kUpstreamPaused,
                 {{"upstream", upstream.config.id.value()},
                  {"for_ms", Milliseconds(pause)}}});
  }
}

// Whether this instance, or one that it has a link to, learns of changes from
// the store.
[[nodiscard]] bool HasStoreContact(const Gateway& gateway, TimePoint now) {
  return gateway.freshness.store_in_contact ||
         now < gateway.freshness.peer_in_contact_until;
}

// Returns the interval of this instance's health requests to the upstream;
// empty if another instance sends them. In a partition each side has an owner
// that asks; a side with less than a quarter of the instances asks less often,
// so that all sides together send at most four times the rate of one.
[[nodiscard]] std::optional<Duration> HealthInterval(
    const Gateway& gateway, const UpstreamState& upstream) {
  if (!upstream.rate.owned) {
    return std::nullopt;
  }
  const RegionReach reach = ReachOfRegion(gateway);
  const auto known = static_cast<Duration::rep>(reach.known);
  const auto reached = static_cast<Duration::rep>(reach.reached);
  constexpr Duration::rep kFullRateSides = 4;
  return std::max(kHealthInterval,
                  kHealthInterval * known / (kFullRateSides * reached));
}

// Asks the upstream's present process whether it is leaving: a response that
// stated so was attributed to an earlier start, although the process may have
// started again before the response.
// A health request counts against the upstream's rate limit like any other.
void VerifyDeparture(StepContext& context, UpstreamState& upstream) {
  const Gateway& gateway = context.gateway;
  const ServiceProfile* profile =
      gateway.catalogue == nullptr
          ? nullptr
          : FindService(*gateway.catalogue, upstream.config.service);
  if (profile == nullptr || profile->health_path.empty() ||
      !AllowsRequest(upstream.rate, context.now)) {
    return;
  }
  ConsumeRequestToken(upstream.rate, context.now);
  ++context.gateway.freshness.health_requests;
  context.effects.emplace_back(ForUpstreams{RequestHealth{
      upstream.config.id, StartOf(upstream.config), profile->health_path}});
}

// Returns the path for health requests to the upstream; empty if its state
// need not be asked for, or must not.
[[nodiscard]] std::string HealthPath(const Gateway& gateway,
                                     const UpstreamState& upstream,
                                     TimePoint now) {
  const ServiceProfile* profile =
      FindService(*gateway.catalogue, upstream.config.service);
  const bool wanted = profile != nullptr && profile->cold_rate > 0 &&
                      !upstream.leaving && !upstream.evacuated &&
                      IsEligible(upstream.health, now) &&
                      !IsRateLimited(upstream.rate, now);
  return wanted ? profile->health_path : std::string();
}

}  // namespace

void ApplySignals(StepContext& context, const UpstreamId& id,
                  const UpstreamStart& start, const UpstreamSignals& signals) {
  Gateway& gateway = context.gateway;
  UpstreamState* upstream = FindUpstream(gateway.upstreams, id);
  const bool is_current =
      upstream != nullptr && StartOf(upstream->config) == start;
  if (signals.leaving && upstream != nullptr && !is_current) {
    VerifyDeparture(context, *upstream);
  } else if (signals.leaving &&
             RecordDeparture(gateway, id, start, context.now, true)) {
    LogLeaving(context, id, start, gateway.config.instance.value());
    ExpediteDigest(context);
  }
  if (!is_current) {
    return;
  }
  if (signals.cold) {
    RecordCold(context, *upstream, *signals.cold);
  }
  if (signals.pause) {
    RecordPause(context, *upstream, *signals.pause);
  } else if (signals.has_invalid_pause) {
    LogPauseIgnored(context, *upstream);
  }
}

void ApplyDeparture(StepContext& context, UpstreamState& upstream) {
  auto& departures = context.gateway.freshness.departures;
  const auto found = departures.find(HashUpstreamId(upstream.config.id));
  if (found == departures.end()) {
    return;
  }
  const UpstreamStart current = StartOf(upstream.config);
  const Departure& departure = found->second;
  // An entry of an earlier start is out of date, as in a store that was
  // restored from a copy.
  const bool is_outdated = current.incarnation != Incarnation{} &&
                           departure.start.incarnation > current.incarnation;
  if (departure.start == current || is_outdated) {
    upstream.leaving = true;
    return;
  }
  const bool was_recent =
      departure.first_hand &&
      context.now - departure.heard_at <= kDepartureReportTime;
  departures.erase(found);
  if (was_recent) {
    VerifyDeparture(context, upstream);
  }
}

std::vector<DepartureReport> TakeDepartureReports(Gateway& gateway,
                                                  TimePoint now) {
  std::vector<DepartureReport> reports;
  std::erase_if(gateway.freshness.departures, [&](const auto& entry) {
    return now - entry.second.heard_at > kDepartureTime &&
           FindUpstream(gateway.upstreams, entry.first) == nullptr;
  });
  for (auto& [upstream, departure] : gateway.freshness.departures) {
    const bool due = departure.first_hand &&
                     now - departure.heard_at <= kDepartureReportTime &&
                     departure.next_report_at <= now;
    if (due && reports.size() < kMaxReports) {
      reports.push_back({upstream, departure.start.incarnation});
      departure.next_report_at = now + kReportInterval;
    }
  }
  return reports;
}

void AssumeColdSuccessor(StepContext& context, const UpstreamId& id) {
  Gateway& gateway = context.gateway;
  UpstreamState* upstream = FindUpstream(gateway.upstreams, id);
  if (upstream == nullptr || gateway.catalogue == nullptr ||
      gateway.freshness.store_in_contact) {
    return;
  }
  const ServiceProfile* profile =
      FindService(*gateway.catalogue, upstream->config.service);
  if (profile != nullptr) {
    RecordCold(context, *upstream, profile->cold);
  }
}

std::vector<ColdReport> TakeColdReports(Gateway& gateway, TimePoint now) {
  std::vector<ColdReport> reports;
  for (UpstreamState& upstream : gateway.upstreams.upstreams) {
    SharedRate& rate = upstream.rate;
    const bool due = rate.reports_cold && rate.cold_rate > 0 &&
                     rate.cold_stated_until > now &&
                     rate.next_cold_report <= now;
    if (due && reports.size() < kMaxReports) {
      reports.push_back({HashUpstreamId(upstream.config.id),
                         upstream.config.incarnation,
                         rate.cold_stated_until - now});
      rate.next_cold_report = now + kReportInterval;
    }
  }
  return reports;
}

void ApplyFreshness(StepContext& context, const InstanceId& from,
                    const LoadDigest& digest) {
  Gateway& gateway = context.gateway;
  if (digest.store_in_contact) {
    gateway.freshness.peer_in_contact_until = context.now + kPeerContactTime;
  }
  for (const ColdReport& report : digest.cold) {
    UpstreamState* upstream = FindUpstream(gateway.upstreams, report.upstream);
    // A report of a newer process is valid for the address as well: the older
    // one, which is known here, has ended.
    if (upstream == nullptr || upstream->rate.cold_rate <= 0 ||
        report.incarnation < upstream->config.incarnation) {
      continue;
    }
    if (!IsCold(upstream->rate, context.now)) {
      LogCold(context, *upstream, report.remaining, from.value());
    }
    ExtendColdPeriod(upstream->rate, report.remaining, context.now);
  }
  for (const DepartureReport& report : digest.departures) {
    UpstreamState* upstream = FindUpstream(gateway.upstreams, report.upstream);
    // The report of a process that is not known here yet, or not any more, is
    // repeated while it is of use.
    if (upstream != nullptr &&
        upstream->config.incarnation == report.incarnation &&
        RecordDeparture(gateway, upstream->config.id, StartOf(upstream->config),
                        context.now, false)) {
      LogLeaving(context, upstream->config.id, StartOf(upstream->config),
                 from.value());
    }
  }
}

void SendHealthRequests(StepContext& context) {
  Gateway& gateway = context.gateway;
  if (gateway.catalogue == nullptr || gateway.drain_started ||
      HasStoreContact(gateway, context.now)) {
    return;
  }
  for (const UpstreamState& upstream : gateway.upstreams.upstreams) {
    const std::optional<Duration> interval = HealthInterval(gateway, upstream);
    std::string path =
        interval ? HealthPath(gateway, upstream, context.now) : std::string();
    if (path.empty()) {
      continue;
    }
    TimePoint& next =
        gateway.freshness.next_health[HashUpstreamId(upstream.config.id)];
    if (next > context.now) {
      continue;
    }
    next = context.now + *interval;
    ++gateway.freshness.health_requests;
    context.effects.emplace_back(ForUpstreams{RequestHealth{
        upstream.config.id, StartOf(upstream.config), std::move(path)}});
  }
}

void Handle(StepContext& context, UpstreamHealthReceived&& event) {
  ApplySignals(context, event.upstream, event.start, event.signals);
}

void Handle(StepContext& context, StoreContactChanged&& event) {
  Freshness& freshness = context.gateway.freshness;
  if (freshness.store_in_contact == event.in_contact) {
    return;
  }
  freshness.store_in_contact = event.in_contact;
  // Upstreams that have gone are forgotten.
  freshness.next_health.clear();
  context.effects.emplace_back(
      WriteLog{log_events::kSourceChanged,
               {{"in_contact", event.in_contact ? "yes" : "no"}}});
}

}  // namespace mimosagauge::detail
