// Gateway state machine: handlers of request, rules, link and shutdown events,
// expiry of requests, and the published view.

#include "mimosagauge/impl/decisions/gateway.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "mimosagauge/impl/decisions/gateway_detail.h"
#include "mimosagauge/impl/decisions/problems.h"

namespace mimosagauge {
namespace detail {
namespace {

constexpr Duration kViewInterval = std::chrono::milliseconds(250);
// Metrics are formatted less often than views are published, because formatting
// them costs more than building the rest of the view.
constexpr Duration kMetricsInterval = std::chrono::seconds(2);
constexpr Duration kEntriesLifetime = std::chrono::seconds(2);

[[nodiscard]] ::mimosagauge::Place OwnHop(const Gateway& gateway) {
  return {gateway.config.region, gateway.config.instance.value()};
}

[[nodiscard]] bool HasAcceptablePath(const Gateway& gateway,
                                     const RequestHead& head) {
  const auto own_hop = OwnHop(gateway);
  return head.path.size() < kMaxHops &&
         std::find(head.path.begin(), head.path.end(), own_hop) ==
             head.path.end();
}

[[nodiscard]] TimePoint DueTime(const Gateway& gateway, const Verdict& verdict,
                                const RequestHead& head, TimePoint now) {
  Duration due = verdict.due.value_or(gateway.config.limits.default_due);
  if (head.remaining > Duration::zero()) {
    due = std::min(due, head.remaining);
  }
  return now + due;
}

// Refuses a request before it is admitted. It has no entry in `requests` yet,
// so a temporary record is used.
void RefuseArrival(StepContext& context, const RequestArrived& arrival,
                   Problem problem) {
  RequestRecord record;
  record.arrival = arrival;
  ServiceMetrics& metrics = MetricsOf(context.gateway, record);
  ++metrics.requests;
  ++metrics.refused[problem.type];
  // Another instance may already have run a request with this idempotency key.
  if (arrival.head->key) {
    problem.run = Join(problem.run, RunState::kUnknown);
  }
  EmitAnswerPart(context, record, SendProblem{{}, std::move(problem)});
}

// Returns whether a request may continue after its due time. An answer that has
// begun may: without `due_grace` until it ends, otherwise until the grace
// period is over, for which another deadline is set.
[[nodiscard]] bool ExtendPastDueTime(StepContext& context,
                                     RequestRecord& record) {
  Gateway& gateway = context.gateway;
  if (record.outcome.phase == AnswerPhase::kOpen || record.queue_position) {
    return false;
  }
  const auto& grace = gateway.config.limits.due_grace;
  if (!grace) {
    return true;
  }
  const TimePoint latest_end = record.due + *grace;
  if (context.now >= latest_end) {
    return false;
  }
  gateway.deadlines.emplace(latest_end, record.arrival.number);
  return true;
}

// Refuses a request whose maximum time in the waiting queue is over. The caller
// can retry after the time in Retry-After.
void RefuseExpiredWait(StepContext& context, RequestRecord& record) {
  if (record.queue_position && record.wait_until <= context.now) {
    Problem problem = Overloaded(record.outcome.run);
    problem.retry_after = RetryAfter(record.due - context.now);
    RefuseOrAbort(context, record, std::move(problem));
  }
}

void ExpireRequests(StepContext& context) {
  Gateway& gateway = context.gateway;
  while (!gateway.deadlines.empty() &&
         gateway.deadlines.begin()->first <= context.now) {
    const RequestNumber number = gateway.deadlines.begin()->second;
    gateway.deadlines.erase(gateway.deadlines.begin());
    RequestRecord* record = FindRequest(gateway, number);
    if (record == nullptr) {
      continue;
    }
    if (record->due > context.now) {
      RefuseExpiredWait(context, *record);
      continue;
    }
    if (ExtendPastDueTime(context, *record)) {
      continue;
    }
    CancelRunningAttempt(context, *record);
    RefuseOrAbort(context, *record, DueTimePassed(record->outcome.run));
  }
}

void RefuseRemaining(StepContext& context) {
  std::vector<RequestNumber> numbers;
  for (const auto& [number, record] : context.gateway.requests) {
    numbers.push_back(number);
  }
  std::sort(numbers.begin(), numbers.end());
  for (const RequestNumber number : numbers) {
    RequestRecord* record = FindRequest(context.gateway, number);
    // A request that waited for an earlier request with the same key was
    // refused together with it and is already gone.
    if (record == nullptr) {
      continue;
    }
    CancelRunningAttempt(context, *record);
    RefuseOrAbort(context, *record, Stopping(record->outcome.run));
  }
}

void ContinueDrain(StepContext& context) {
  Gateway& gateway = context.gateway;
  if (!gateway.drain_started || gateway.finished) {
    return;
  }
  const Duration draining = context.now - *gateway.drain_started;
  if (!gateway.refusing_requests &&
      draining >= gateway.config.limits.leave_notice) {
    gateway.refusing_requests = true;
    Apply(context, SealKeyTable(gateway.keys, context.now));
    context.effects.emplace_back(StopAccepting{});
  }
  if (!gateway.refusing_requests) {
    return;
  }
  const bool in_time = gateway.requests.empty();
  if (!in_time && draining < gateway.config.limits.drain) {
    return;
  }
  if (!in_time) {
    context.effects.emplace_back(WriteLog{log_events::kDrainTimeout, {}});
    RefuseRemaining(context);
  }
  gateway.finished = true;
  context.effects.emplace_back(Finished{in_time});
}

void PublishViews(StepContext& context) {
  Gateway& gateway = context.gateway;
  const bool first = gateway.last_view_at == TimePoint{};
  if (!first && context.now - gateway.last_view_at < kViewInterval) {
    return;
  }
  gateway.last_view_at = context.now;
  if (first || context.now - gateway.metrics_text_at >= kMetricsInterval) {
    gateway.metrics_text_at = context.now;
    gateway.metrics_text = PrometheusText(gateway.metrics);
  }
  auto view = std::make_shared<const InstanceView>(View(gateway, context.now));
  context.effects.emplace_back(ForCallers{PublishView{view}});
  context.effects.emplace_back(ForOperators{PublishView{std::move(view)}});
}

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

// An attempt whose answer has not begun after this time is treated as failed,
// not as slow. It counts as a failure of its upstream, so that an upstream that
// leaves several attempts unanswered is ejected.
constexpr Duration kMinOverdueTime = std::chrono::milliseconds(2500);
constexpr int kOverdueFactor = 4;

[[nodiscard]] bool IsOverdue(const Attempt& attempt, TimePoint now) {
  return !attempt.answered &&
         now - attempt.started >=
             std::max(kMinOverdueTime, attempt.expected.start * kOverdueFactor);
}

[[nodiscard]] std::string_view StateName(const UpstreamState& upstream,
                                         TimePoint now) {
  if (upstream.leaving) {
    return "leaving";
  }
  if (upstream.health.ejected_until > now) {
    return "ejected";
  }
  return IsRateLimited(upstream.rate, now) ? "limited" : "live";
}

}  // namespace

void Handle(StepContext& context, RequestArrived&& arrival) {
  Gateway& gateway = context.gateway;
  if (gateway.refusing_requests) {
    return RefuseArrival(context, arrival, Stopping(RunState::kNotRun));
  }
  if (!HasRoutingRules(gateway)) {
    return RefuseArrival(context, arrival, NotReady());
  }
  if (gateway.catalogue != nullptr && arrival.origin == Origin::kLink &&
      gateway.catalogue->revision < arrival.head->revision) {
    return RefuseArrival(context, arrival, OlderConfiguration());
  }
  if (!HasAcceptablePath(gateway, *arrival.head)) {
    return RefuseArrival(context, arrival, PathRefused(*arrival.head));
  }
  if (gateway.requests.size() >= gateway.config.limits.requests) {
    return RefuseArrival(context, arrival, Overloaded(RunState::kNotRun));
  }
  RequestRecord record;
  record.arrived = context.now;
  record.route_draw = std::uniform_real_distribution<double>()(gateway.random);
  record.last_event_id = arrival.head->resume_after;
  record.runs = arrival.head->runs;
  record.visited = arrival.head->path;
  record.visited.push_back(OwnHop(gateway));
  record.arrival = std::move(arrival);
  record.verdict = VerdictFor(gateway, record);
  record.due =
      DueTime(gateway, record.verdict, *record.arrival.head, context.now);
  const RequestNumber number = record.arrival.number;
  ++MetricsOf(gateway, record).requests;
  if (record.arrival.origin == Origin::kCaller) {
    CreditFirstAttempt(RetryBudgetOf(gateway, record.verdict.service));
  }
  gateway.deadlines.emplace(record.due, number);
  const bool keyed =
      record.arrival.head->key.has_value() && !record.verdict.idempotent;
  gateway.requests.emplace(number, std::move(record));
  keyed ? AdmitKeyed(context, number) : PlaceRequest(context, number);
}

void Handle(StepContext& context, RequestAbandoned&& event) {
  RequestRecord* record = FindRequest(context.gateway, event.number);
  if (record == nullptr) {
    return;
  }
  if (!record->keyed) {
    LogRequestEnd(context, *record, log_events::kRequestAbandoned, 0, "");
    return RemoveRequest(context, event.number);
  }
  record->detached = true;
  if (!record->keyed->is_runner || !record->running) {
    return RefuseOrAbort(context, *record, Stopping(record->outcome.run));
  }
  // The attempt continues, so that a resend of the request gets its answer. The
  // bytes that will not be consumed any more are granted as credit.
  GrantAttemptCredit(context, *record, record->unconsumed);
  record->unconsumed = Bytes{};
}

void Handle(StepContext& context, AnswerConsumed&& event) {
  RequestRecord* record = FindRequest(context.gateway, event.number);
  if (record == nullptr) {
    return;
  }
  record->unconsumed -= event.bytes;
  GrantAttemptCredit(context, *record, event.bytes);
}

void Handle(StepContext& context, RulesReceived&& event) {
  Apply(context,
        AdoptRulesFromStore(context.gateway.spread, std::move(event.rules)));
}

void Apply(StepContext& context, RulesGossipOutput&& output) {
  if (output.adopted != nullptr) {
    context.gateway.rules = std::move(output.adopted);
    context.gateway.last_view_at = TimePoint{};
    context.gateway.all_services_freed = true;
  }
  for (AddressedRulesMessage& message : output.messages) {
    context.effects.emplace_back(ForLinks{SendGossip{
        std::move(message.to), EncodeRulesMessage(message.message)}});
  }
  if (!output.faults.empty()) {
    const RuleFault& fault = output.faults.front();
    context.effects.emplace_back(
        WriteLog{log_events::kRulesDamaged, {{"detail", fault.message}}});
  }
}

void Handle(StepContext& context, LinkChanged&& event) {
  if (PeerState* peer = FindPeer(context.gateway, event.instance)) {
    peer->up = event.up;
    peer->leaving_since =
        event.leaving ? std::optional(context.now) : std::nullopt;
  }
  if (!event.up && context.gateway.catalogue != nullptr) {
    MaintainLinks(context);
  }
  UpdateInstanceShares(context.gateway);
  const PeerState* peer = FindPeer(context.gateway, event.instance);
  if (peer != nullptr && !peer->up && !peer->leaving_since && !peer->listed) {
    Handle(context, InstanceRemoved{event.instance});
  }
  context.gateway.all_services_freed = true;
  Apply(context,
        SetMemberReachable(context.gateway.spread, event.instance, event.up));
}

void Handle(StepContext& context, GossipReceived&& event) {
  const Result<RulesMessage> message = DecodeRulesMessage(event.bytes);
  if (!message) {
    ++context.gateway.metrics.discarded;
    return;
  }
  Apply(context, HandleRulesMessage(context.gateway.spread, event.from,
                                    message.value(), context.now));
}

void Handle(StepContext& context, DrainRequested&&) {
  Gateway& gateway = context.gateway;
  if (gateway.drain_started) {
    return;
  }
  gateway.drain_started = context.now;
  gateway.last_view_at = TimePoint{};
  UpdateInstanceShares(gateway);
  context.effects.emplace_back(WriteLog{log_events::kDraining, {}});
  context.effects.emplace_back(AnnounceDeparture{});
}

void Handle(StepContext& context, ClaimStoreAnswered&& event) {
  Apply(context,
        HandleStoreEvent(context.gateway.claims, context.now, event.answer));
}

void Handle(StepContext& context, Tick&&) {
  // An ejection ends when its time is over, without an event, so requests that
  // wait for any service are tried again on each tick.
  context.gateway.all_services_freed = true;
  SearchForPoison(context);
  Apply(context, RemoveExpiredKeys(context.gateway.keys, context.now));
  Apply(context, TickClaims(context.gateway.claims, context.now));
  Apply(context, TickRulesGossip(context.gateway.spread, context.now));
}

ServiceMetrics& MetricsOf(Gateway& gateway, const RequestRecord& record) {
  const ServiceId& service = record.verdict.service;
  const bool known = gateway.upstreams.services.contains(service);
  static const ServiceId kOther("other");
  return gateway.metrics.services[known ? service : kOther];
}

RequestRecord* FindRequest(Gateway& gateway, RequestNumber number) noexcept {
  const auto found = gateway.requests.find(number);
  return found == gateway.requests.end() ? nullptr : &found->second;
}

bool HasRoutingRules(const Gateway& gateway) noexcept {
  return gateway.catalogue != nullptr || gateway.rules != nullptr;
}

Verdict VerdictFor(const Gateway& gateway, const RequestRecord& record) {
  const RequestHead& head = *record.arrival.head;
  if (gateway.catalogue == nullptr) {
    return DecideByRules(*gateway.rules, TraitsOf(head));
  }
  const std::string_view path =
      std::string_view(head.target).substr(0, head.target.find('?'));
  const Route* route = FindRoute(*gateway.catalogue, head.host, path);
  return route == nullptr ? Verdict{}
                          : MakeVerdict(*route, head, record.route_draw);
}

void MarkPromptRead(StepContext& context, Attempt& attempt, bool answered) {
  const auto* id = std::get_if<UpstreamId>(&attempt.target);
  if (attempt.answered || id == nullptr) {
    return;
  }
  attempt.answered = true;
  UpstreamState* upstream = FindUpstream(context.gateway.upstreams, *id);
  if (upstream == nullptr) {
    return;
  }
  EngineLoad& load = upstream->load;
  load.unread_tokens =
      std::max(0.0, load.unread_tokens - attempt.prompt_tokens);
  if (answered && upstream->kind == UpstreamKind::kEngine) {
    RecordResponseStart(load, attempt.expected.start,
                        context.now - attempt.started);
  }
}

std::string Milliseconds(Duration duration) {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

PeerState* FindPeer(Gateway& gateway, const InstanceId& id) noexcept {
  const auto found = std::find_if(
      gateway.peers.begin(), gateway.peers.end(),
      [&id](const PeerState& peer) { return peer.config.id == id; });
  return found == gateway.peers.end() ? nullptr : &*found;
}

void LogRequestEnd(StepContext& context, const RequestRecord& record,
                   const LogEvent& event, std::uint16_t status,
                   const std::string& detail) {
  const RequestHead& head = *record.arrival.head;
  WriteLog log{event,
               {{"request", head.id.value()},
                {"service", record.verdict.service.value()},
                {"took_ms", Milliseconds(context.now - record.arrived)}}};
  if (record.arrival.origin == Origin::kLink && !head.path.empty()) {
    log.fields.emplace_back("from", head.path.back().name);
  }
  if (record.time_to_head > Duration::zero()) {
    log.fields.emplace_back("first_ms", Milliseconds(record.time_to_head));
  }
  if (record.attempts > 0) {
    log.fields.emplace_back("attempts", std::to_string(record.attempts));
    log.fields.emplace_back("last_place", record.visited.back().name);
  }
  if (status != 0) {
    log.fields.emplace_back("status", std::to_string(status));
  }
  if (event.number != log_events::kRequestAnswered.number) {
    log.fields.emplace_back("run", std::string(ToString(record.outcome.run)));
    log.fields.emplace_back("due_in_ms",
                            Milliseconds(record.due - context.now));
    log.fields.emplace_back("in_progress",
                            std::to_string(context.gateway.requests.size()));
  }
  if (!detail.empty()) {
    log.fields.emplace_back("detail", detail);
  }
  context.effects.emplace_back(std::move(log));
}

void RecordUpstreamFailure(StepContext& context, const UpstreamId& id,
                           UpstreamFailure failure) {
  Gateway& gateway = context.gateway;
  if (CountAttemptFailed(gateway.upstreams, id, failure, context.now)) {
    LogEjection(context, *FindUpstream(gateway.upstreams, id),
                gateway.config.instance.value());
  }
}

void LogEjection(StepContext& context, const UpstreamState& upstream,
                 const std::string& reported_by) {
  const UpstreamHealth& health = upstream.health;
  context.effects.emplace_back(
      WriteLog{log_events::kUpstreamEjected,
               {{"upstream", upstream.config.id.value()},
                {"for_ms", Milliseconds(health.ejection)},
                {"in_a_row", std::to_string(health.failures)},
                {"failed", fmt::format("{:.1f}", health.failed)},
                {"answered", fmt::format("{:.1f}", health.answered)},
                {"told_by", reported_by}}});
}

void CancelRunningAttempt(StepContext& context, RequestRecord& record) {
  if (!record.running) {
    return;
  }
  Attempt attempt = *record.running;
  const bool overdue = IsOverdue(attempt, context.now);
  MarkPromptRead(context, attempt, false);
  record.running.reset();
  context.gateway.attempts.erase(attempt.number);
  // The upstream may already have received the request.
  RecordRunState(record.outcome, RunState::kUnknown);
  if (const auto* upstream = std::get_if<UpstreamId>(&attempt.target)) {
    if (overdue) {
      RecordUpstreamFailure(context, *upstream, UpstreamFailure::kNoAnswer);
    } else {
      CountAttemptCanceled(context.gateway.upstreams, *upstream);
    }
    MarkCapacityFreed(context.gateway, *upstream);
    context.effects.emplace_back(ForUpstreams{CancelAttempt{attempt.number}});
  } else {
    context.effects.emplace_back(ForLinks{CancelAttempt{attempt.number}});
  }
}

void RemoveRequest(StepContext& context, RequestNumber number) {
  RequestRecord* record = FindRequest(context.gateway, number);
  if (record == nullptr) {
    return;
  }
  CancelRunningAttempt(context, *record);
  if (record->queue_position) {
    RemoveWaiting(context.gateway.waiting, *record->queue_position);
  }
  context.gateway.deadlines.erase({record->due, number});
  context.gateway.requests.erase(number);
}

void RefuseOrAbort(StepContext& context, RequestRecord& record,
                   Problem problem) {
  const bool begun = record.outcome.phase == AnswerPhase::kAnswering;
  if (!Advance(record.outcome, AnswerPhase::kClosed)) {
    return;
  }
  // Before the key's owner has been asked, it is unknown whether a request with
  // this key has run.
  if (record.keyed && !record.keyed->is_runner && !record.keyed->forwarded) {
    RecordRunState(record.outcome, RunState::kUnknown);
  }
  problem.run = record.outcome.run;
  if (context.gateway.catalogue != nullptr) {
    MatchStatusToRunState(problem);
  }
  LogRequestEnd(context, record, log_events::kRequestNotServed, problem.status,
                problem.detail);
  ServiceMetrics& metrics = MetricsOf(context.gateway, record);
  if (begun) {
    ++metrics.broken;
    EmitAnswerPart(context, record, AbortAnswer{{}, std::move(problem)});
  } else {
    ++metrics.refused[problem.type];
    EmitAnswerPart(context, record, SendProblem{{}, std::move(problem)});
  }
  const RequestNumber number = record.arrival.number;
  RecordKeyOutcome(context, record);
  RemoveRequest(context, number);
}

void MarkCapacityFreed(Gateway& gateway, const UpstreamId& upstream) {
  if (const UpstreamState* state = FindUpstream(gateway.upstreams, upstream)) {
    gateway.freed_services.insert(state->config.service);
  }
}

void GrantAttemptCredit(StepContext& context, const RequestRecord& record,
                        Bytes bytes) {
  if (!record.running || bytes == Bytes{}) {
    return;
  }
  const AddAttemptCredit credit{record.running->number, bytes};
  if (std::holds_alternative<UpstreamId>(record.running->target)) {
    context.effects.emplace_back(ForUpstreams{credit});
  } else {
    context.effects.emplace_back(ForLinks{credit});
  }
}

}  // namespace detail

Gateway MakeGateway(GatewayConfig config, TimePoint now, std::uint64_t seed) {
  Gateway gateway;
  gateway.keys = MakeKeyTable(config.self, now);
  gateway.poison.self = config.instance;
  gateway.upstreams = MakeUpstreamTable(config.upstreams);
  for (const PeerConfig& peer : config.peers) {
    gateway.peers.emplace_back().config = peer;
  }
  gateway.waiting.capacity = config.limits.queued;
  gateway.config = std::move(config);
  gateway.random.seed(seed);
  gateway.upstreams.speeds = gateway.config.speeds;
  gateway.spread = MakeRulesGossip({}, seed);
  return gateway;
}

std::vector<Effect> Step(Gateway& gateway, TimePoint now, Event event) {
  std::vector<Effect> effects;
  detail::StepContext context{gateway, now, effects};
  detail::ExpireRequests(context);
  std::visit(
      [&context](auto&& typed) {
        detail::Handle(context, std::forward<decltype(typed)>(typed));
      },
      std::move(event));
  // Drains before dispatching, so that no attempt is started only to be
  // cancelled.
  detail::ContinueDrain(context);
  detail::Dispatch(context);
  detail::SendLoadDigests(context);
  detail::PublishViews(context);
  return effects;
}

InstanceView View(const Gateway& gateway, TimePoint now) {
  InstanceView view;
  view.draining = gateway.drain_started.has_value();
  view.ready = detail::HasRoutingRules(gateway) && !view.draining;
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
