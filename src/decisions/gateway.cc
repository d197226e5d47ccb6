// The gateway state machine: events other than those of attempts.

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
// Formatting the metrics costs more than the rest of the view.
constexpr Duration kMetricsInterval = std::chrono::seconds(2);
constexpr Duration kEntriesGoodFor = std::chrono::seconds(2);

[[nodiscard]] ::mimosagauge::Place Here(const Gateway& gateway) {
  return {gateway.config.region, gateway.config.instance.value()};
}

[[nodiscard]] bool MayTravel(const Gateway& gateway, const RequestHead& head) {
  const auto here = Here(gateway);
  return head.path.size() < kMaxPlaces &&
         std::find(head.path.begin(), head.path.end(), here) == head.path.end();
}

[[nodiscard]] TimePoint DueTime(const Gateway& gateway, const Verdict& verdict,
                                const RequestHead& head, TimePoint now) {
  Duration due = verdict.due.value_or(gateway.config.limits.default_due);
  if (head.remaining > Duration::zero()) {
    due = std::min(due, head.remaining);
  }
  return now + due;
}

// A request that is refused on arrival has no record yet.
void RefuseArrival(Turn& turn, const RequestArrived& arrival, Problem problem) {
  RequestRecord record;
  record.arrival = arrival;
  ServiceMetrics& metrics = MetricsOf(turn.gateway, record);
  ++metrics.requests;
  ++metrics.refused[problem.type];
  // Another instance may have run the key.
  if (arrival.head->key) {
    problem.run = Join(problem.run, RunState::kUnknown);
  }
  Answer(turn, record, SendProblem{{}, std::move(problem)});
}

// An answer that is under way is brought to its end, though it is late, unless
// the settings say how late it may be.
[[nodiscard]] bool MayRunOn(Turn& turn, RequestRecord& record) {
  Gateway& gateway = turn.gateway;
  if (record.outcome.phase == AnswerPhase::kOpen || record.place) {
    return false;
  }
  const auto& grace = gateway.config.limits.due_grace;
  if (!grace) {
    return true;
  }
  const TimePoint last = record.due + *grace;
  if (turn.now >= last) {
    return false;
  }
  gateway.deadlines.emplace(last, record.arrival.number);
  return true;
}

// It has waited as long as it may; its caller can come back.
void StopWaiting(Turn& turn, RequestRecord& record) {
  if (record.place && record.wait_until <= turn.now) {
    Problem problem = Overloaded(record.outcome.run);
    problem.retry_after = RetryAfter(record.due - turn.now);
    Refuse(turn, record, std::move(problem));
  }
}

void ExpireRequests(Turn& turn) {
  Gateway& gateway = turn.gateway;
  while (!gateway.deadlines.empty() &&
         gateway.deadlines.begin()->first <= turn.now) {
    const RequestNumber number = gateway.deadlines.begin()->second;
    gateway.deadlines.erase(gateway.deadlines.begin());
    RequestRecord* record = FindRequest(gateway, number);
    if (record == nullptr) {
      continue;
    }
    if (record->due > turn.now) {
      StopWaiting(turn, *record);
      continue;
    }
    if (MayRunOn(turn, *record)) {
      continue;
    }
    CancelRunning(turn, *record);
    Refuse(turn, *record, DueTimePassed(record->outcome.run));
  }
}

void CutOff(Turn& turn) {
  std::vector<RequestNumber> numbers;
  for (const auto& [number, record] : turn.gateway.requests) {
    numbers.push_back(number);
  }
  std::sort(numbers.begin(), numbers.end());
  for (const RequestNumber number : numbers) {
    RequestRecord* record = FindRequest(turn.gateway, number);
    // One that waited for the key of an earlier one went with it.
    if (record == nullptr) {
      continue;
    }
    CancelRunning(turn, *record);
    Refuse(turn, *record, Stopping(record->outcome.run));
  }
}

void ContinueDrain(Turn& turn) {
  Gateway& gateway = turn.gateway;
  if (!gateway.drain_began || gateway.finished) {
    return;
  }
  const Duration draining = turn.now - *gateway.drain_began;
  if (!gateway.refusing && draining >= gateway.config.limits.leave_notice) {
    gateway.refusing = true;
    Apply(turn, SealKeys(gateway.keys, turn.now));
    turn.effects.emplace_back(StopAccepting{});
  }
  if (!gateway.refusing) {
    return;
  }
  const bool in_time = gateway.requests.empty();
  if (!in_time && draining < gateway.config.limits.drain) {
    return;
  }
  if (!in_time) {
    turn.effects.emplace_back(WriteLog{log_events::kDrainTimeout, {}});
    CutOff(turn);
  }
  gateway.finished = true;
  turn.effects.emplace_back(Finished{in_time});
}

void PublishViews(Turn& turn) {
  Gateway& gateway = turn.gateway;
  const bool first = gateway.last_view == TimePoint{};
  if (!first && turn.now - gateway.last_view < kViewInterval) {
    return;
  }
  gateway.last_view = turn.now;
  if (first || turn.now - gateway.metrics_at >= kMetricsInterval) {
    gateway.metrics_at = turn.now;
    gateway.metrics_text = PrometheusText(gateway.metrics);
  }
  auto view = std::make_shared<const InstanceView>(View(gateway, turn.now));
  turn.effects.emplace_back(ForCallers{PublishView{view}});
  turn.effects.emplace_back(ForOperators{PublishView{std::move(view)}});
}

[[nodiscard]] int Distance(const Gateway& gateway, const RegionId& region,
                           const ZoneId& zone) {
  if (region != gateway.config.region) {
    return 2;
  }
  return zone == gateway.config.zone ? 0 : 1;
}

[[nodiscard]] EntryInstance EntryOf(const PeerConfig& config) {
  return {config.id, config.region, config.zone, config.entry};
}

// Instances that leave but still take callers.
[[nodiscard]] std::vector<EntryInstance> LeavingEntries(const Gateway& gateway,
                                                        TimePoint now) {
  std::vector<EntryInstance> entries;
  const auto takes_callers = [&](const std::optional<TimePoint>& since) {
    return since && now - *since < gateway.config.limits.leave_notice;
  };
  if (takes_callers(gateway.drain_began)) {
    const GatewayConfig& self = gateway.config;
    entries.push_back({self.instance, self.region, self.zone, self.entry});
  }
  for (const PeerState& peer : gateway.peers) {
    if (takes_callers(peer.leaving)) {
      entries.push_back(EntryOf(peer.config));
    }
  }
  return entries;
}

[[nodiscard]] std::vector<EntryInstance> Entries(const Gateway& gateway) {
  std::vector<EntryInstance> entries;
  const bool serves = gateway.catalogue != nullptr ||
                      gateway.rules != nullptr || gateway.peers.empty();
  if (!gateway.drain_began && serves) {
    const GatewayConfig& self = gateway.config;
    entries.push_back({self.instance, self.region, self.zone, self.entry});
  }
  for (const PeerState& peer : gateway.peers) {
    if (peer.up) {
      entries.push_back(EntryOf(peer.config));
    }
  }
  std::stable_sort(entries.begin(), entries.end(),
                   [&](const EntryInstance& a, const EntryInstance& b) {
                     return Distance(gateway, a.region, a.zone) <
                            Distance(gateway, b.region, b.zone);
                   });
  return entries;
}

[[nodiscard]] std::vector<InstanceRevisionView> Revisions(
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

// An answer that has not begun by now does not come late, it does not come: an
// upstream is to blame that lets several of them go by.
constexpr Duration kLongSilence = std::chrono::milliseconds(2500);
constexpr int kFarBeyondExpected = 4;

[[nodiscard]] bool IsOverdue(const Attempt& attempt, TimePoint now) {
  return !attempt.answered &&
         now - attempt.started >=
             std::max(kLongSilence,
                      attempt.expected.start * kFarBeyondExpected);
}

[[nodiscard]] std::string_view StateName(const UpstreamState& upstream,
                                         TimePoint now) {
  if (upstream.leaving) {
    return "leaving";
  }
  return upstream.health.ejected_until > now ? "ejected" : "live";
}

}  // namespace

void Handle(Turn& turn, RequestArrived&& arrival) {
  Gateway& gateway = turn.gateway;
  if (gateway.refusing) {
    return RefuseArrival(turn, arrival, Stopping(RunState::kNotRun));
  }
  if (!HasPolicy(gateway)) {
    return RefuseArrival(turn, arrival, NotReady());
  }
  if (gateway.catalogue != nullptr && arrival.origin == Origin::kLink &&
      gateway.catalogue->revision < arrival.head->revision) {
    return RefuseArrival(turn, arrival, OlderConfiguration());
  }
  if (!MayTravel(gateway, *arrival.head)) {
    return RefuseArrival(turn, arrival, PathRefused(*arrival.head));
  }
  if (gateway.requests.size() >= gateway.config.limits.requests) {
    return RefuseArrival(turn, arrival, Overloaded(RunState::kNotRun));
  }
  RequestRecord record;
  record.arrived = turn.now;
  record.draw = std::uniform_real_distribution<double>()(gateway.random);
  record.last_event_id = arrival.head->resume_after;
  record.runs = arrival.head->runs;
  record.passed = arrival.head->path;
  record.passed.push_back(Here(gateway));
  record.arrival = std::move(arrival);
  record.verdict = VerdictFor(gateway, record);
  record.due = DueTime(gateway, record.verdict, *record.arrival.head, turn.now);
  const RequestNumber number = record.arrival.number;
  ++MetricsOf(gateway, record).requests;
  if (record.arrival.origin == Origin::kCaller) {
    Earn(gateway.budgets[record.verdict.service]);
  }
  gateway.deadlines.emplace(record.due, number);
  const bool keyed =
      record.arrival.head->key.has_value() && !record.verdict.idempotent;
  gateway.requests.emplace(number, std::move(record));
  keyed ? AdmitKeyed(turn, number) : Place(turn, number);
}

void Handle(Turn& turn, RequestAbandoned&& event) {
  RequestRecord* record = FindRequest(turn.gateway, event.number);
  if (record == nullptr) {
    return;
  }
  if (!record->keyed) {
    LogEnd(turn, *record, log_events::kRequestAbandoned, 0, "");
    return Close(turn, event.number);
  }
  record->detached = true;
  if (!record->keyed->runs || !record->running) {
    return Refuse(turn, *record, Stopping(record->outcome.run));
  }
  // The run goes on, so that a resend gets its answer.
  GiveCredit(turn, *record, record->untaken);
  record->untaken = Bytes{};
}

void Handle(Turn& turn, AnswerTaken&& event) {
  RequestRecord* record = FindRequest(turn.gateway, event.number);
  if (record == nullptr) {
    return;
  }
  record->untaken -= event.bytes;
  GiveCredit(turn, *record, event.bytes);
}

void Handle(Turn& turn, RulesArrived&& event) {
  Apply(turn, LearnRules(turn.gateway.spread, std::move(event.rules)));
}

void Apply(Turn& turn, RulesSpreadOutput&& output) {
  if (output.adopted != nullptr) {
    turn.gateway.rules = std::move(output.adopted);
    turn.gateway.last_view = TimePoint{};
    turn.gateway.all_freed = true;
  }
  for (RulesMessageTo& message : output.messages) {
    turn.effects.emplace_back(ForLinks{SendGossip{
        std::move(message.to), EncodeRulesMessage(message.message)}});
  }
  if (!output.faults.empty()) {
    const RuleFault& fault = output.faults.front();
    turn.effects.emplace_back(
        WriteLog{log_events::kRulesDamaged, {{"detail", fault.message}}});
  }
}

void Handle(Turn& turn, LinkChanged&& event) {
  if (PeerState* peer = FindPeer(turn.gateway, event.instance)) {
    peer->up = event.up;
    peer->leaving = event.leaving ? std::optional(turn.now) : std::nullopt;
  }
  if (!event.up && turn.gateway.catalogue != nullptr) {
    KeepLinks(turn);
  }
  ShareOut(turn.gateway);
  const PeerState* peer = FindPeer(turn.gateway, event.instance);
  if (peer != nullptr && !peer->up && !peer->leaving && !peer->listed) {
    Handle(turn, InstanceRemoved{event.instance});
  }
  turn.gateway.all_freed = true;
  Apply(turn, ChangeMember(turn.gateway.spread, event.instance, event.up));
}

void Handle(Turn& turn, GossipArrived&& event) {
  const Result<RulesMessage> message = DecodeRulesMessage(event.bytes);
  if (!message) {
    ++turn.gateway.metrics.discarded;
    return;
  }
  Apply(turn,
        HearRules(turn.gateway.spread, event.from, message.value(), turn.now));
}

void Handle(Turn& turn, DrainRequested&&) {
  Gateway& gateway = turn.gateway;
  if (gateway.drain_began) {
    return;
  }
  gateway.drain_began = turn.now;
  gateway.last_view = TimePoint{};
  ShareOut(gateway);
  turn.effects.emplace_back(WriteLog{log_events::kDraining, {}});
  turn.effects.emplace_back(BeginLeaving{});
}

void Handle(Turn& turn, ClaimStoreAnswered&& event) {
  Apply(turn, LearnFromStore(turn.gateway.claims, turn.now, event.answer));
}

void Handle(Turn& turn, Tick&&) {
  // Ejections end with time alone.
  turn.gateway.all_freed = true;
  Apply(turn, ForgetKeys(turn.gateway.keys, turn.now));
  Apply(turn, TickClaims(turn.gateway.claims, turn.now));
  Apply(turn, AdvanceRules(turn.gateway.spread, turn.now));
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

bool HasPolicy(const Gateway& gateway) noexcept {
  return gateway.catalogue != nullptr || gateway.rules != nullptr;
}

Verdict VerdictFor(const Gateway& gateway, const RequestRecord& record) {
  const RequestHead& head = *record.arrival.head;
  if (gateway.catalogue == nullptr) {
    return Decide(*gateway.rules, TraitsOf(head));
  }
  const std::string_view path =
      std::string_view(head.target).substr(0, head.target.find('?'));
  const Route* route = FindRoute(*gateway.catalogue, head.host, path);
  return route == nullptr ? Verdict{} : VerdictOf(*route, head, record.draw);
}

void NoteBegun(Turn& turn, Attempt& attempt, bool answered) {
  const auto* id = std::get_if<UpstreamId>(&attempt.target);
  if (attempt.answered || id == nullptr) {
    return;
  }
  attempt.answered = true;
  UpstreamState* upstream = FindUpstream(turn.gateway.upstreams, *id);
  if (upstream == nullptr) {
    return;
  }
  EngineLoad& load = upstream->load;
  load.unread_tokens =
      std::max(0.0, load.unread_tokens - attempt.prompt_tokens);
  if (answered && upstream->kind == UpstreamKind::kEngine) {
    LearnStart(load, attempt.expected.start, turn.now - attempt.started);
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

void LogEnd(Turn& turn, const RequestRecord& record, const LogEvent& event,
            std::uint16_t status, const std::string& detail) {
  const RequestHead& head = *record.arrival.head;
  WriteLog log{event,
               {{"request", head.id.value()},
                {"service", record.verdict.service.value()},
                {"took_ms", Milliseconds(turn.now - record.arrived)}}};
  if (record.arrival.origin == Origin::kLink && !head.path.empty()) {
    log.fields.emplace_back("from", head.path.back().name);
  }
  if (record.first_part > Duration::zero()) {
    log.fields.emplace_back("first_ms", Milliseconds(record.first_part));
  }
  if (record.attempts > 0) {
    log.fields.emplace_back("attempts", std::to_string(record.attempts));
    log.fields.emplace_back("last_place", record.passed.back().name);
  }
  if (status != 0) {
    log.fields.emplace_back("status", std::to_string(status));
  }
  if (event.number != log_events::kRequestAnswered.number) {
    log.fields.emplace_back("run", std::string(ToString(record.outcome.run)));
    log.fields.emplace_back("due_in_ms", Milliseconds(record.due - turn.now));
    log.fields.emplace_back("in_progress",
                            std::to_string(turn.gateway.requests.size()));
  }
  if (!detail.empty()) {
    log.fields.emplace_back("detail", detail);
  }
  turn.effects.emplace_back(std::move(log));
}

void NoteFailure(Turn& turn, const UpstreamId& id, UpstreamFailure failure) {
  Gateway& gateway = turn.gateway;
  if (FailWork(gateway.upstreams, id, failure, turn.now)) {
    LogEjection(turn, *FindUpstream(gateway.upstreams, id),
                gateway.config.instance.value());
  }
}

void LogEjection(Turn& turn, const UpstreamState& upstream,
                 const std::string& told_by) {
  const UpstreamHealth& health = upstream.health;
  turn.effects.emplace_back(
      WriteLog{log_events::kUpstreamEjected,
               {{"upstream", upstream.config.id.value()},
                {"for_ms", Milliseconds(health.ejection)},
                {"in_a_row", std::to_string(health.failures)},
                {"failed", fmt::format("{:.1f}", health.failed)},
                {"answered", fmt::format("{:.1f}", health.answered)},
                {"told_by", told_by}}});
}

void CancelRunning(Turn& turn, RequestRecord& record) {
  if (!record.running) {
    return;
  }
  Attempt attempt = *record.running;
  const bool overdue = IsOverdue(attempt, turn.now);
  NoteBegun(turn, attempt, false);
  record.running.reset();
  turn.gateway.attempts.erase(attempt.number);
  // It may have been given to an upstream already.
  Learn(record.outcome, RunState::kUnknown);
  if (const auto* upstream = std::get_if<UpstreamId>(&attempt.target)) {
    if (overdue) {
      NoteFailure(turn, *upstream, UpstreamFailure::kNoAnswer);
    } else {
      DropWork(turn.gateway.upstreams, *upstream);
    }
    NoteFreed(turn.gateway, *upstream);
    turn.effects.emplace_back(ForUpstreams{CancelAttempt{attempt.number}});
  } else {
    turn.effects.emplace_back(ForLinks{CancelAttempt{attempt.number}});
  }
}

void Close(Turn& turn, RequestNumber number) {
  RequestRecord* record = FindRequest(turn.gateway, number);
  if (record == nullptr) {
    return;
  }
  CancelRunning(turn, *record);
  if (record->place) {
    Dequeue(turn.gateway.waiting, *record->place);
  }
  turn.gateway.deadlines.erase({record->due, number});
  turn.gateway.requests.erase(number);
}

void Refuse(Turn& turn, RequestRecord& record, Problem problem) {
  const bool begun = record.outcome.phase == AnswerPhase::kAnswering;
  if (!Advance(record.outcome, AnswerPhase::kClosed)) {
    return;
  }
  // Before the owner of its key was asked nobody knows whether it has run.
  if (record.keyed && !record.keyed->runs && !record.keyed->forwarded) {
    Learn(record.outcome, RunState::kUnknown);
  }
  problem.run = record.outcome.run;
  if (turn.gateway.catalogue != nullptr) {
    KeepPromise(problem);
  }
  LogEnd(turn, record, log_events::kRequestNotServed, problem.status,
         problem.detail);
  ServiceMetrics& metrics = MetricsOf(turn.gateway, record);
  if (begun) {
    ++metrics.broken;
    Answer(turn, record, AbortAnswer{{}, std::move(problem)});
  } else {
    ++metrics.refused[problem.type];
    Answer(turn, record, SendProblem{{}, std::move(problem)});
  }
  const RequestNumber number = record.arrival.number;
  SettleKey(turn, record);
  Close(turn, number);
}

void NoteFreed(Gateway& gateway, const UpstreamId& upstream) {
  if (const UpstreamState* state = FindUpstream(gateway.upstreams, upstream)) {
    gateway.freed.insert(state->config.service);
  }
}

void GiveCredit(Turn& turn, const RequestRecord& record, Bytes bytes) {
  if (!record.running || bytes == Bytes{}) {
    return;
  }
  const CreditAttempt credit{record.running->number, bytes};
  if (std::holds_alternative<UpstreamId>(record.running->target)) {
    turn.effects.emplace_back(ForUpstreams{credit});
  } else {
    turn.effects.emplace_back(ForLinks{credit});
  }
}

}  // namespace detail

Gateway MakeGateway(GatewayConfig config, TimePoint now, std::uint64_t seed) {
  Gateway gateway;
  gateway.keys = MakeKeyTable(config.self, now);
  gateway.upstreams = MakeUpstreamTable(config.upstreams);
  for (const PeerConfig& peer : config.peers) {
    gateway.peers.emplace_back().config = peer;
  }
  gateway.waiting.capacity = config.limits.queued;
  gateway.config = std::move(config);
  gateway.random.seed(seed);
  gateway.upstreams.speeds = gateway.config.speeds;
  gateway.spread = MakeRulesSpread({}, seed);
  return gateway;
}

std::vector<Effect> Step(Gateway& gateway, TimePoint now, Event event) {
  std::vector<Effect> effects;
  detail::Turn turn{gateway, now, effects};
  detail::ExpireRequests(turn);
  std::visit(
      [&turn](auto&& typed) {
        detail::Handle(turn, std::forward<decltype(typed)>(typed));
      },
      std::move(event));
  // First, so that nothing is started only to be cut off.
  detail::ContinueDrain(turn);
  detail::Dispatch(turn);
  detail::TellLoad(turn);
  detail::PublishViews(turn);
  return effects;
}

InstanceView View(const Gateway& gateway, TimePoint now) {
  InstanceView view;
  view.draining = gateway.drain_began.has_value();
  view.ready = detail::HasPolicy(gateway) && !view.draining;
  view.catalogue = gateway.catalogue;
  view.rules = gateway.rules;
  if (!gateway.config.ticket_secrets.empty() && !view.draining) {
    view.ticket = NextTicket(gateway.keys, now);
  }
  view.entries = detail::Entries(gateway);
  view.leaving_entries = detail::LeavingEntries(gateway, now);
  view.entries_good_for = detail::kEntriesGoodFor;
  for (const UpstreamState& upstream : gateway.upstreams.upstreams) {
    view.upstreams.push_back({upstream.config.id, upstream.config.service,
                              upstream.config.zone,
                              std::string(detail::StateName(upstream, now)),
                              upstream.in_flight, upstream.limit});
  }
  view.revisions = detail::Revisions(gateway, now);
  view.metrics = gateway.metrics_text;
  return view;
}

}  // namespace mimosagauge
