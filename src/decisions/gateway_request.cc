// Gateway state machine: the end of attempts and of requests, and what is
// logged and counted of them.

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "mimosagauge/impl/decisions/gateway_detail.h"
#include "mimosagauge/impl/decisions/problems.h"

namespace mimosagauge::detail {
namespace {

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

}  // namespace

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
  for (std::optional<Attempt>* attempt : {&record.hedge, &record.running}) {
    if (*attempt) {
      CancelRemovedAttempt(context, record,
                           *std::exchange(*attempt, std::nullopt), false);
    }
  }
}

void CancelRemovedAttempt(StepContext& context, RequestRecord& record,
                          Attempt attempt, bool failed) {
  ReportEnd(context, record);
  RecordUnansweredAttempt(context, record, attempt);
  const bool overdue = failed || IsOverdue(attempt, context.now);
  MarkPromptRead(context, attempt, false);
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
  ReportEnd(context, *record);
  ReleaseAllowance(context, *record);
  if (record->queue_position) {
    RemoveWaiting(context.gateway.waiting, *record->queue_position);
  }
  RemoveHedgeCheck(context.gateway, *record);
  if (record->hedged && !record->hedge_won) {
    ++MetricsOf(context.gateway, *record).hedges.lost;
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

}  // namespace mimosagauge::detail
