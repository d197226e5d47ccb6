// Gateway state machine: second attempts of requests whose answers are late.
//
// The two attempts of a request are in `running` and `hedge` until one of them
// begins its answer or fails. Each handler of an attempt's event first
// exchanges them so that the event's attempt is in `running`; the rest of the
// state machine therefore knows one attempt only.

#include <algorithm>
#include <chrono>
#include <utility>

#include "mimosagauge/impl/decisions/gateway_detail.h"

namespace mimosagauge::detail {
namespace {

[[nodiscard]] bool IsHedgingOn(const Gateway& gateway) noexcept {
  return gateway.config.limits.hedging.limit > 0;
}

// Time until the answer of the shortest request begins at an idle upstream.
[[nodiscard]] Duration ShortestReference(const Gateway& gateway,
                                         const UpstreamState& upstream) {
  const EngineSpeeds& speeds = gateway.upstreams.speeds;
  return upstream.kind == UpstreamKind::kEngine ? speeds.first_token
                                                : speeds.plain_service;
}

// Returns whether no upstream has received the request before: it has passed
// this instance, and the one that it entered at, and the upstream of the
// attempt that has just been started. Another instance that it was forwarded to
// may have sent it to an upstream and counted it.
[[nodiscard]] bool IsFirstAttempt(const RequestRecord& record) {
  const std::size_t instances =
      record.arrival.origin == Origin::kCaller ? 1 : 2;
  return record.visited.size() == instances + 1 && record.runs == 0;
}

// Returns whether the request may run more than once and has no answer yet.
[[nodiscard]] bool IsRepeatable(const RequestRecord& record,
                                const Verdict& verdict) {
  const RequestHead& head = *record.arrival.head;
  return verdict.idempotent && !head.key && !head.resume_after &&
         !record.resuming && !record.hedged &&
         record.outcome.phase == AnswerPhase::kOpen;
}

// Returns how many attempts may run in addition to the running one. Without a
// limit of the route the limit in the settings applies.
[[nodiscard]] std::size_t AttemptsLeft(const Gateway& gateway,
                                       const RequestRecord& record,
                                       const Verdict& verdict) {
  const bool has_route_limit = verdict.attempts > 0;
  const std::size_t allowed =
      has_route_limit ? verdict.attempts : gateway.config.limits.attempts;
  const std::size_t used = has_route_limit ? record.runs + 1 : record.attempts;
  return allowed - std::min(allowed, used);
}

[[nodiscard]] std::optional<Duration> LateAfterOf(const Gateway& gateway,
                                                  const RequestRecord& record,
                                                  const Attempt& attempt,
                                                  const UpstreamId& upstream,
                                                  TimePoint now) {
  const auto service = gateway.hedging.services.find(record.verdict.service);
  const auto position = gateway.upstreams.index.find(upstream);
  if (service == gateway.hedging.services.end() ||
      position == gateway.upstreams.index.end()) {
    return std::nullopt;
  }
  return LateAfter(
      service->second, gateway.config.limits.hedging, attempt.reference,
      ShortestReference(gateway, gateway.upstreams.upstreams[position->second]),
      now);
}

void ScheduleCheck(Gateway& gateway, RequestRecord& record, TimePoint at) {
  RemoveHedgeCheck(gateway, record);
  if (at >= record.due) {
    return;
  }
  record.hedge_check_at = at;
  gateway.hedging.checks.emplace(at, record.arrival.number);
}

void CountBlocked(StepContext& context, const RequestRecord& record,
                  HedgeBlock block) {
  ++MetricsOf(context.gateway, record)
        .hedges.blocked[std::string(ToString(block))];
}

// Adds the time until an answer began, or until its attempt was canceled.
void RecordTime(StepContext& context, const RequestRecord& record,
                const Attempt& attempt, const UpstreamId& id) {
  Gateway& gateway = context.gateway;
  const UpstreamState* upstream = FindUpstream(gateway.upstreams, id);
  if (upstream == nullptr) {
    return;
  }
  ServiceHedging& service = gateway.hedging.services[record.verdict.service];
  RecordStartTime(
      service.times.at(StartSizeClass(attempt.reference,
                                      ShortestReference(gateway, *upstream))),
      attempt.reference, context.now - attempt.started, context.now);
}

// Records that the first attempt lost. Its answer takes longer than it has run,
// so its upstream is at least that slow.
// Returns whether that counts as a failure of the upstream.
[[nodiscard]] bool RecordLoss(StepContext& context, const Attempt& loser) {
  Gateway& gateway = context.gateway;
  const auto& id = std::get<UpstreamId>(loser.target);
  UpstreamState* upstream = FindUpstream(gateway.upstreams, id);
  if (upstream == nullptr) {
    return false;
  }
  const Duration taken = context.now - loser.started;
  if (upstream->kind == UpstreamKind::kEngine) {
    if (taken > loser.expected.start) {
      RecordResponseStart(upstream->load, loser.expected.start, taken);
    }
  } else if (taken > loser.expected.end) {
    RecordServiceTime(upstream->load, taken);
  }
  return CountHedgeLoss(gateway.hedging, id);
}

// Moves the upstream's place to the end of the places that the request visited,
// because the path of an answer ends with the place that served it.
void MoveToEnd(const Gateway& gateway, RequestRecord& record,
               const UpstreamId& id) {
  const ::mimosagauge::Place place{gateway.config.region, id.value()};
  std::stable_partition(
      record.visited.begin(), record.visited.end(),
      [&place](const ::mimosagauge::Place& other) { return other != place; });
}

void StartHedge(StepContext& context, RequestRecord& record,
                const UpstreamChoice& choice, Duration late_after) {
  Gateway& gateway = context.gateway;
  Attempt first = *std::exchange(record.running, std::nullopt);
  record.hedged = true;
  StartOnUpstream(context, record, choice);
  record.running->is_hedge = true;
  record.hedge = std::exchange(record.running, std::move(first));
  ++MetricsOf(gateway, record).hedges.started;
  context.effects.emplace_back(WriteLog{
      log_events::kHedgeStarted,
      {{"request", record.arrival.head->id.value()},
       {"service", record.verdict.service.value()},
       {"first", std::get<UpstreamId>(record.running->target).value()},
       {"second", choice.id.value()},
       {"after_ms", Milliseconds(context.now - record.running->started)},
       {"late_after_ms", Milliseconds(late_after)},
       {"due_in_ms", Milliseconds(record.due - context.now)}}});
}

void CheckForHedge(StepContext& context, RequestRecord& record) {
  Gateway& gateway = context.gateway;
  if (record.outcome.phase != AnswerPhase::kOpen || !record.running ||
      record.hedge) {
    return;
  }
  const auto* first = std::get_if<UpstreamId>(&record.running->target);
  // The rules may have changed since the first attempt.
  Verdict verdict = VerdictFor(gateway, record);
  if (first == nullptr || verdict.service != record.verdict.service) {
    return;
  }
  record.verdict = std::move(verdict);
  const ServiceId& service = record.verdict.service;
  HedgeQuery query;
  query.repeatable = IsRepeatable(record, record.verdict);
  query.attempts_left = AttemptsLeft(gateway, record, record.verdict);
  query.late_after =
      LateAfterOf(gateway, record, *record.running, *first, context.now);
  query.leaving = gateway.drain_started.has_value();
  query.suspected =
      FindPoison(gateway.poison, *record.arrival.head, context.now) != nullptr;
  query.allowed_by_account = MayHedge(gateway, record, context.now);
  query.running = context.now - record.running->started;
  query.remaining = record.due - context.now;
  query.requests_waiting = gateway.waiting.lines.contains(service);
  std::optional<UpstreamChoice> choice;
  if (AllowsRegion(record.verdict, gateway.config.region)) {
    UpstreamNeed need = PlacementNeedOf(gateway, record);
    need.only_spare = true;
    choice = ChooseUpstream(gateway.upstreams, need, gateway.config.zone,
                            gateway.config.region, context.now);
  }
  if (choice) {
    query.expected_start = choice->expected.start;
  }
  RetryBudget& retries = RetryBudgetOf(gateway, service);
  HedgeBudget& budget = gateway.hedging.services[service].budget;
  query.has_hedge_token = HasHedgeToken(budget);
  query.has_retry_token = retries.tokens >= RetryBudget::kTokensPerRetry;
  const HedgeBlock block = DecideHedge(query);
  if (block == HedgeBlock::kNone && TrySpendRetry(retries)) {
    SpendHedgeToken(budget);
    return StartHedge(context, record, *choice, *query.late_after);
  }
  if (block == HedgeBlock::kNotLate) {
    // The percentile has risen since the check was scheduled.
    return ScheduleCheck(gateway, record,
                         record.running->started + *query.late_after);
  }
  CountBlocked(context, record, block);
  if (IsTemporary(block)) {
    ScheduleCheck(gateway, record, context.now + *query.late_after);
  }
}

}  // namespace

bool MayHedge(const Gateway& gateway, const RequestRecord& record,
              TimePoint /*now*/) {
  // A second attempt at an engine that the coordinator did not grant would be
  // unknown to it.
  if (gateway.placement.coordinators.contains(record.verdict.service)) {
    return false;
  }
  // A hedge counts like another request of the account. Until that can be taken
  // from the allowance, requests of accounts that have one are not hedged.
  if (gateway.catalogue == nullptr) {
    return true;
  }
  const Account* account =
      FindAccount(gateway.catalogue->accounts, record.arrival.head->account);
  return account == nullptr || account->allowance.per_second <= 0;
}

void ScheduleHedge(StepContext& context, RequestRecord& record) {
  Gateway& gateway = context.gateway;
  if (!IsHedgingOn(gateway)) {
    return;
  }
  const auto& id = std::get<UpstreamId>(record.running->target);
  const UpstreamState* upstream = FindUpstream(gateway.upstreams, id);
  if (upstream == nullptr) {
    return;
  }
  const EngineSpeeds& speeds = gateway.upstreams.speeds;
  record.running->reference = ShortestReference(gateway, *upstream);
  if (upstream->kind == UpstreamKind::kEngine) {
    record.running->reference +=
        PrefillTime(record.running->prompt_tokens, speeds);
  }
  if (record.hedged) {
    return;
  }
  const HedgingConfig& config = gateway.config.limits.hedging;
  if (IsFirstAttempt(record)) {
    CreditHedge(gateway.hedging.services[record.verdict.service].budget, config,
                gateway.peers.size() + 1);
  }
  if (!IsRepeatable(record, record.verdict) ||
      AttemptsLeft(gateway, record, record.verdict) == 0) {
    return RemoveHedgeCheck(gateway, record);
  }
  const auto late_after =
      LateAfterOf(gateway, record, *record.running, id, context.now);
  if (!late_after) {
    CountBlocked(context, record, HedgeBlock::kNoEstimate);
    return RemoveHedgeCheck(gateway, record);
  }
  ScheduleCheck(gateway, record, context.now + *late_after);
}

void StartDueHedges(StepContext& context) {
  Gateway& gateway = context.gateway;
  auto& checks = gateway.hedging.checks;
  while (!checks.empty() && checks.begin()->first <= context.now) {
    const RequestNumber number = checks.begin()->second;
    checks.erase(checks.begin());
    if (RequestRecord* record = FindRequest(gateway, number)) {
      record->hedge_check_at.reset();
      CheckForHedge(context, *record);
    }
  }
}

void RemoveHedgeCheck(Gateway& gateway, RequestRecord& record) {
  if (record.hedge_check_at) {
    gateway.hedging.checks.erase(
        {*record.hedge_check_at, record.arrival.number});
    record.hedge_check_at.reset();
  }
}

void SelectAttempt(RequestRecord& record, AttemptNumber number) {
  if (record.hedge && record.hedge->number == number) {
    std::swap(*record.running, *record.hedge);
  }
}

void RecordAnswerStart(StepContext& context, const RequestRecord& record) {
  const Attempt& attempt = *record.running;
  const auto* id = std::get_if<UpstreamId>(&attempt.target);
  if (!IsHedgingOn(context.gateway) || id == nullptr) {
    return;
  }
  context.gateway.hedging.losses.erase(*id);
  // Hedges start at free upstreams only, and error responses are not served, so
  // neither shows how long the service usually takes.
  if (!attempt.is_hedge && !attempt.has_error_status && !record.resuming) {
    RecordTime(context, record, attempt, *id);
  }
}

void RecordUnansweredAttempt(StepContext& context, const RequestRecord& record,
                             const Attempt& attempt) {
  const auto* id = std::get_if<UpstreamId>(&attempt.target);
  if (!IsHedgingOn(context.gateway) || id == nullptr || attempt.answered ||
      attempt.is_hedge || record.resuming) {
    return;
  }
  const auto late_after =
      LateAfterOf(context.gateway, record, attempt, *id, context.now);
  if (late_after && context.now - attempt.started >= *late_after) {
    RecordTime(context, record, attempt, *id);
  }
}

void SettleRace(StepContext& context, RequestRecord& record) {
  RemoveHedgeCheck(context.gateway, record);
  if (!record.hedged) {
    return;
  }
  const Attempt& winner = *record.running;
  if (const auto* id = std::get_if<UpstreamId>(&winner.target)) {
    MoveToEnd(context.gateway, record, *id);
  }
  HedgeMetrics& metrics = MetricsOf(context.gateway, record).hedges;
  record.hedge_won = winner.is_hedge;
  metrics.won += winner.is_hedge ? 1 : 0;
  if (!record.hedge) {
    return;
  }
  const Attempt loser = *std::exchange(record.hedge, std::nullopt);
  const Duration taken = context.now - loser.started;
  metrics.extra_seconds += std::chrono::duration<double>(taken).count();
  ++record.runs;
  context.effects.emplace_back(
      WriteLog{log_events::kHedgeSettled,
               {{"request", record.arrival.head->id.value()},
                {"winner", std::get<UpstreamId>(winner.target).value()},
                {"canceled", std::get<UpstreamId>(loser.target).value()},
                {"second_won", winner.is_hedge ? "yes" : "no"},
                {"canceled_after_ms", Milliseconds(taken)}}});
  const bool failed = !loser.is_hedge && RecordLoss(context, loser);
  CancelRemovedAttempt(context, record, loser, failed);
}

bool PromoteHedge(StepContext& context, RequestRecord& record) {
  if (!record.hedge) {
    return false;
  }
  record.running = std::exchange(record.hedge, std::nullopt);
  context.effects.emplace_back(WriteLog{
      log_events::kHedgeOtherFailed,
      {{"request", record.arrival.head->id.value()},
       {"goes_on", std::get<UpstreamId>(record.running->target).value()},
       {"second_failed", record.running->is_hedge ? "no" : "yes"},
       {"error", record.last_failure}}});
  return true;
}

}  // namespace mimosagauge::detail
