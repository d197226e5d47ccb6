// Gateway state machine: handlers of attempt events. They pass answers on, and
// retry or report failures.

#include <algorithm>
#include <array>
#include <boost/algorithm/string/predicate.hpp>
#include <utility>

#include "mimosagauge/impl/decisions/gateway_detail.h"
#include "mimosagauge/impl/decisions/problems.h"

namespace mimosagauge::detail {
namespace {

constexpr std::uint16_t kOk = 200;
constexpr std::array<std::uint16_t, 3> kTemporaryStatuses{502, 503, 504};
// Lowest status of a server error. Where a route allows another run of a
// request, status 500 is retried on another upstream like the temporary
// statuses.
constexpr std::uint16_t kServerError = 500;
// Attempts allowed in addition to the route's limit on runs, for upstreams that
// refuse the request without running it.
constexpr std::size_t kMaxUnrunRefusals = 2;

// Returns the request that this attempt is running for, or null when the
// attempt has already ended; its event is then counted as discarded.
[[nodiscard]] RequestRecord* FindRequestOfAttempt(Gateway& gateway,
                                                  AttemptNumber attempt) {
  const auto found = gateway.attempts.find(attempt);
  if (found == gateway.attempts.end()) {
    ++gateway.metrics.discarded;
    return nullptr;
  }
  return FindRequest(gateway, found->second);
}

[[nodiscard]] bool IsEventStream(const AnswerHead& head) {
  return std::any_of(
      head.headers.begin(), head.headers.end(), [](const Header& header) {
        return boost::iequals(header.name, "content-type") &&
               boost::istarts_with(header.value, "text/event-stream");
      });
}

[[nodiscard]] bool IsTemporary(std::uint16_t status) {
  return std::find(kTemporaryStatuses.begin(), kTemporaryStatuses.end(),
                   status) != kTemporaryStatuses.end();
}

[[nodiscard]] bool IsOnUpstream(const RequestRecord& record) {
  return std::holds_alternative<UpstreamId>(record.running->target);
}

// Ends the running attempt. If it ran on an upstream, `finish` is called with
// the upstream's id to record the result.
template <typename Finish>
void FinishAttempt(StepContext& context, RequestRecord& record,
                   Finish&& finish) {
  ReportEnd(context, record);
  Attempt attempt = *record.running;
  MarkPromptRead(context, attempt, false);
  record.running.reset();
  context.gateway.attempts.erase(attempt.number);
  if (const auto* upstream = std::get_if<UpstreamId>(&attempt.target)) {
    finish(*upstream);
    MarkCapacityFreed(context.gateway, *upstream);
  }
}

[[nodiscard]] bool HasTimeAndAttemptsLeft(const StepContext& context,
                                          const RequestRecord& record) {
  const std::size_t allowed = record.verdict.attempts;
  if (allowed == 0) {
    return record.attempts < context.gateway.config.limits.attempts &&
           record.due > context.now;
  }
  return record.runs < allowed &&
         record.attempts < allowed + kMaxUnrunRefusals &&
         record.due > context.now;
}

// Returns whether the upstream refused the request because it is full. That is
// not a failure of the upstream.
[[nodiscard]] bool IsOverloadRefusal(const AttemptFailed& event) {
  return event.run == RunState::kNotRun &&
         event.error.kind == ErrorKind::kOverloaded;
}

// Returns whether an upstream received the request, even if it refused it.
[[nodiscard]] bool ReachedUpstream(const AttemptFailed& event) {
  // Another instance that answers with a problem has tried its upstreams,
  // unless the problem's type shows that it refused the request before that.
  const bool peer_tried =
      event.problem && !IsRefusedBeforeAttempt(*event.problem);
  return event.run != RunState::kNotRun || event.misdirected || peer_tried ||
         event.error.kind == ErrorKind::kOverloaded;
}

// Returns whether a failed request may be retried. A retry that reached an
// upstream is taken from the service's retry budget. `run` is the run state of
// the attempt that just failed.
[[nodiscard]] bool AllowRetry(StepContext& context, const RequestRecord& record,
                              RunState run, bool reached_upstream) {
  if (!HasTimeAndAttemptsLeft(context, record)) {
    return false;
  }
  if (run == RunState::kNotRun) {
    const bool spends_budget =
        reached_upstream && context.gateway.catalogue != nullptr;
    return !spends_budget || TrySpendRetry(RetryBudgetOf(
                                 context.gateway, record.verdict.service));
  }
  return record.verdict.idempotent &&
         TrySpendRetry(RetryBudgetOf(context.gateway, record.verdict.service));
}

// Returns whether a broken stream may be continued on another upstream. The
// attempt is taken from the service's retry budget.
[[nodiscard]] bool AllowResume(StepContext& context,
                               const RequestRecord& record) {
  return record.resumable && record.verdict.idempotent &&
         record.verdict.resumable && HasTimeAndAttemptsLeft(context, record) &&
         TrySpendRetry(RetryBudgetOf(context.gateway, record.verdict.service));
}

[[nodiscard]] Problem FailureProblem(RequestRecord& record,
                                     std::optional<Problem> peer_problem) {
  if (peer_problem) {
    return std::move(*peer_problem);
  }
  return AttemptsFailed(record.last_failure, record.outcome.run);
}

void ResumeStream(StepContext& context, RequestRecord& record) {
  record.resuming = true;
  ++MetricsOf(context.gateway, record).resumed;
  PlaceFurtherRun(context, record, RunState::kRan);
}

void RetryOrFail(StepContext& context, RequestRecord& record, RunState run,
                 bool reached_upstream, std::optional<Problem> problem) {
  if (record.outcome.phase == AnswerPhase::kAnswering) {
    if (AllowResume(context, record)) {
      return ResumeStream(context, record);
    }
    return RefuseOrAbort(
        context, record,
        AttemptsFailed(record.last_failure, record.outcome.run));
  }
  // A keyed request is forwarded to the owner of its key only once.
  const bool forwarded = record.keyed && record.keyed->forwarded;
  if (!forwarded && AllowRetry(context, record, run, reached_upstream)) {
    context.effects.emplace_back(
        WriteLog{log_events::kRequestTriedAgain,
                 {{"request", record.arrival.head->id.value()},
                  {"place", record.visited.back().name},
                  {"run", std::string(ToString(run))},
                  {"error", record.last_failure}}});
    return PlaceFurtherRun(context, record, run);
  }
  RefuseOrAbort(context, record, FailureProblem(record, std::move(problem)));
}

void StartAnswer(StepContext& context, RequestRecord& record,
                 AnswerHead&& head) {
  if (!Advance(record.outcome, AnswerPhase::kAnswering)) {
    return;
  }
  if (IsOnUpstream(record)) {
    head.path = record.visited;
    record.resumable = IsEventStream(head);
  }
  record.time_to_head = context.now - record.arrived;
  MetricsOf(context.gateway, record).first_byte.Observe(record.time_to_head);
  if (record.keyed && record.keyed->is_runner) {
    record.keyed->recording =
        std::make_shared<RecordedAnswer>(RecordedAnswer{head, {}});
  }
  EmitAnswerPart(context, record, SendAnswerHead{{}, std::move(head)});
}

// Appends to the recorded answer that resends of the key receive. An answer
// larger than `max_answer_size` is not kept.
void RecordForResend(const Gateway& gateway, KeyedState& keyed,
                     const std::string& data) {
  if (keyed.recording == nullptr) {
    return;
  }
  keyed.recording->body += data;
  if (keyed.recording->body.size() >
      gateway.keys.settings.max_answer_size.count()) {
    keyed.recording.reset();
  }
}

// Returns whether another upstream of this region can run the request or, where
// the operators' configuration is in force, one of another region.
[[nodiscard]] bool HasAlternative(StepContext& context,
                                  const RequestRecord& record) {
  Gateway& gateway = context.gateway;
  UpstreamNeed need{record.verdict.service, record.arrival.head->model, false,
                    record.visited};
  need.software = record.software;
  if (CanServe(gateway.upstreams, need, gateway.config.region, context.now)) {
    return true;
  }
  return gateway.catalogue != nullptr && IsForwardingAllowed(record) &&
         ChooseRemote(gateway, record, context.now).peer != nullptr;
}

// Counts a response with an error status. One that asks for a pause is not a
// failure of the upstream.
void RecordErrorResponse(StepContext& context, const UpstreamId& id,
                         bool paused) {
  if (paused) {
    CountAttemptCanceled(context.gateway.upstreams, id);
  } else {
    RecordUpstreamFailure(context, id, UpstreamFailure::kErrorResponse);
  }
}

// Ends the running attempt, whose answer reports an error of the upstream.
void DiscardErrorResponse(StepContext& context, RequestRecord& record) {
  const AttemptNumber number = record.running->number;
  context.effects.emplace_back(ForUpstreams{CancelAttempt{number}});
  const bool paused = record.running->paused_upstream;
  FinishAttempt(context, record, [&](const UpstreamId& id) {
    RecordErrorResponse(context, id, paused);
  });
  record.last_failure =
      "the upstream answered with status 500, 502, 503 or 504";
}

// Retries the request elsewhere if the upstream answered with a temporary error
// and another upstream may serve it, or lets it go on with its other attempt.
// Returns whether the answer was discarded.
[[nodiscard]] bool RetryElsewhere(StepContext& context, RequestRecord& record,
                                  std::uint16_t status) {
  const bool is_retryable =
      IsTemporary(status) ||
      (status == kServerError && context.gateway.catalogue != nullptr);
  if (!is_retryable || !IsOnUpstream(record)) {
    return false;
  }
  if (record.hedge) {
    ++record.runs;
    DiscardErrorResponse(context, record);
    return PromoteHedge(context, record);
  }
  if (!HasAlternative(context, record)) {
    return false;
  }
  ++record.runs;
  if (!AllowRetry(context, record, RunState::kRan, true)) {
    return false;
  }
  DiscardErrorResponse(context, record);
  PlaceFurtherRun(context, record, RunState::kRan);
  return true;
}

void FailResumption(StepContext& context, RequestRecord& record) {
  CancelRunningAttempt(context, record);
  record.last_failure =
      "the upstream asked to resume the stream did not answer with status 200 "
      "and an event stream";
  RefuseOrAbort(context, record,
                AttemptsFailed(record.last_failure, record.outcome.run));
}

}  // namespace

namespace {

void UpdateUpstreamLoad(StepContext& context, RequestRecord& record,
                        const std::optional<LoadReport>& report) {
  const auto* id = std::get_if<UpstreamId>(&record.running->target);
  UpstreamState* upstream =
      id == nullptr ? nullptr : FindUpstream(context.gateway.upstreams, *id);
  MarkPromptRead(context, *record.running, true);
  if (upstream == nullptr) {
    return;
  }
  if (report) {
    RecordLoadReport(upstream->load, *report, upstream->in_flight, context.now);
    if (report->slowdown) {
      RecordPace(upstream->pace, context.gateway.upstreams.pace_persistence,
                 *report->slowdown, context.now);
    }
    ReportLoad(context, *upstream, *report);
  }
}

}  // namespace

void Handle(StepContext& context, AttemptHeadReceived&& event) {
  RequestRecord* record = FindRequestOfAttempt(context.gateway, event.attempt);
  if (record == nullptr) {
    return;
  }
  SelectAttempt(*record, event.attempt);
  RecordRunState(record->outcome, RunState::kRan);
  record->running->has_error_status = event.head.status >= kServerError;
  RecordAnswerStart(context, *record);
  DisproveLoss(context, *record->running);
  ReportBegun(context, *record);
  UpdateUpstreamLoad(context, *record, event.load);
  if (const auto* id = std::get_if<UpstreamId>(&record->running->target)) {
    RecordRateLimit(context, *id, event.rate_limit);
    ApplySignals(context, *id, record->running->start, event.signals);
    record->running->paused_upstream =
        event.signals.pause.has_value() &&
        *event.signals.pause <= UpstreamHealth::kMaxPause;
  }
  if (record->outcome.phase == AnswerPhase::kAnswering) {
    const bool continued = record->resuming && event.head.status == kOk &&
                           IsEventStream(event.head);
    if (!continued) {
      FailResumption(context, *record);
    }
    return;
  }
  if (!RetryElsewhere(context, *record, event.head.status)) {
    SettleRace(context, *record);
    StartAnswer(context, *record, std::move(event.head));
  }
}

void Handle(StepContext& context, AttemptBodyReceived&& event) {
  RequestRecord* record = FindRequestOfAttempt(context.gateway, event.attempt);
  if (record == nullptr || record->outcome.phase != AnswerPhase::kAnswering) {
    return;
  }
  MarkBodyBegun(context, *record);
  if (record->keyed) {
    RecordForResend(context.gateway, *record->keyed, event.data);
  }
  const Bytes size{event.data.size()};
  if (record->detached) {
    return GrantAttemptCredit(context, *record, size);
  }
  record->unconsumed += size;
  // A stream can only be continued at the right event if the id of its last
  // event is known.
  record->resumable = record->resumable && event.last_event_id.has_value();
  if (event.last_event_id) {
    record->last_event_id = event.last_event_id;
    RecordStreamOrigin(context, *record);
  }
  EmitAnswerPart(
      context, *record,
      SendAnswerBody{
          {}, std::move(event.data), std::move(event.last_event_id)});
}

void Handle(StepContext& context, AttemptEnded&& event) {
  RequestRecord* record = FindRequestOfAttempt(context.gateway, event.attempt);
  if (record == nullptr) {
    return;
  }
  SelectAttempt(*record, event.attempt);
  MarkBodyBegun(context, *record);
  const Duration elapsed = context.now - record->running->started;
  const bool has_error_status = record->running->has_error_status;
  const bool paused = record->running->paused_upstream;
  FinishAttempt(context, *record, [&](const UpstreamId& id) {
    if (has_error_status) {
      return RecordErrorResponse(context, id, paused);
    }
    CountAttemptAnswered(context.gateway.upstreams, id, context.now);
    UpstreamState* upstream = FindUpstream(context.gateway.upstreams, id);
    if (upstream != nullptr && upstream->kind == UpstreamKind::kPlain) {
      RecordServiceTime(upstream->load, elapsed);
    }
  });
  if (record->outcome.phase != AnswerPhase::kAnswering) {
    record->last_failure =
        "the answer ended before its status and header fields were received";
    if (PromoteHedge(context, *record)) {
      ++record->runs;
      return RecordRunState(record->outcome, RunState::kUnknown);
    }
    return RefuseOrAbort(
        context, *record,
        AttemptsFailed(record->last_failure, record->outcome.run));
  }
  if (!Advance(record->outcome, AnswerPhase::kClosed)) {
    return;
  }
  record->completed = true;
  ServiceMetrics& metrics = MetricsOf(context.gateway, *record);
  ++metrics.answered;
  metrics.total.Observe(context.now - record->arrived);
  LogRequestEnd(context, *record, log_events::kRequestAnswered, 0, "");
  EmitAnswerPart(context, *record, SendAnswerEnd{});
  const RequestNumber number = record->arrival.number;
  RecordKeyOutcome(context, *record);
  RemoveRequest(context, number);
}

namespace {

// Counts the failed attempt as a run unless it did not run. An attempt at
// another instance uses up the runs that the route allows, because that
// instance may have made all of them.
void CountRun(RequestRecord& record, RunState run) {
  if (run == RunState::kNotRun) {
    return;
  }
  record.runs = IsOnUpstream(record)
                    ? record.runs + 1
                    : std::max(record.runs + 1, record.verdict.attempts);
}

}  // namespace

void Handle(StepContext& context, AttemptFailed&& event) {
  RequestRecord* record = FindRequestOfAttempt(context.gateway, event.attempt);
  if (record == nullptr) {
    return;
  }
  SelectAttempt(*record, event.attempt);
  RecordRunState(record->outcome, event.run);
  const bool owner_gave_no_answer =
      record->keyed && record->keyed->forwarded && !event.problem;
  if (owner_gave_no_answer) {
    RecordRunState(record->outcome, RunState::kUnknown);
  }
  record->last_failure = event.error.message;
  const bool suspected = CheckForCrash(context, *record, event);
  CountRun(*record, event.run);
  record->placement.refused_by_engine = IsOverloadRefusal(event);
  const UpstreamStart start = record->running->start;
  FinishAttempt(context, *record, [&](const UpstreamId& id) {
    ApplySignals(context, id, start, event.signals);
    if (event.connection_refused) {
      AssumeColdSuccessor(context, id);
    }
    if (event.rate_limit) {
      RecordRateLimit(context, id, event.rate_limit);
    }
    if (IsOverloadRefusal(event)) {
      CountAttemptRefused(context.gateway.upstreams, id, context.now);
    } else {
      RecordUpstreamFailure(context, id, UpstreamFailure::kNoAnswer);
    }
    if (event.misdirected) {
      Handle(context, UpstreamRemoved{id});
    }
  });
  if (PromoteHedge(context, *record)) {
    return;
  }
  if (suspected) {
    // Another upstream would probably be lost too.
    return RefuseOrAbort(
        context, *record,
        AttemptsFailed(record->last_failure, record->outcome.run));
  }
  const bool reached_upstream = ReachedUpstream(event);
  RetryOrFail(context, *record, event.run, reached_upstream,
              std::move(event.problem));
}

}  // namespace mimosagauge::detail
