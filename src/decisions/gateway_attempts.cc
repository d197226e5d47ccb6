// What becomes of attempts: answers passed on, failures tried again or told.

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
// Where a route says that a request may be run again, a failure of the
// upstream's own is worth another run too.
constexpr std::uint16_t kServerError = 500;
// Upstreams that may refuse a request unrun beside those that may run it.
constexpr std::size_t kRefusalsBeside = 2;

// The request whose running attempt this is; null when it is of the past.
[[nodiscard]] RequestRecord* FindRunning(Gateway& gateway,
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

[[nodiscard]] bool OnUpstream(const RequestRecord& record) {
  return std::holds_alternative<UpstreamId>(record.running->target);
}

// Ends the running attempt; `finish` says what it means for its upstream.
template <typename Finish>
void FinishAttempt(Turn& turn, RequestRecord& record, Finish&& finish) {
  Attempt attempt = *record.running;
  NoteBegun(turn, attempt, false);
  record.running.reset();
  turn.gateway.attempts.erase(attempt.number);
  if (const auto* upstream = std::get_if<UpstreamId>(&attempt.target)) {
    finish(*upstream);
    NoteFreed(turn.gateway, *upstream);
  }
}

[[nodiscard]] bool HasTimeAndAttempts(const Turn& turn,
                                      const RequestRecord& record) {
  const std::size_t allowed = record.verdict.attempts;
  if (allowed == 0) {
    return record.attempts < turn.gateway.config.limits.attempts &&
           record.due > turn.now;
  }
  return record.runs < allowed && record.attempts < allowed + kRefusalsBeside &&
         record.due > turn.now;
}

// The upstream said that it is full; nothing is wrong with it.
[[nodiscard]] bool IsFull(const AttemptFailed& event) {
  return event.run == RunState::kNotRun &&
         event.error.kind == ErrorKind::kOverloaded;
}

// Whether the upstream was given the request, also if it refused it.
[[nodiscard]] bool Arrived(const AttemptFailed& event) {
  // Another instance that answers with a problem has tried its upstreams,
  // unless it says that it took nothing in.
  const bool tried = event.problem && !TookNothingIn(*event.problem);
  return event.run != RunState::kNotRun || event.misdirected || tried ||
         event.error.kind == ErrorKind::kOverloaded;
}

// `run` is what is known of the attempt that just failed.
[[nodiscard]] bool MayRetry(Turn& turn, const RequestRecord& record,
                            RunState run, bool arrived) {
  if (!HasTimeAndAttempts(turn, record)) {
    return false;
  }
  if (run == RunState::kNotRun) {
    const bool counts = arrived && turn.gateway.catalogue != nullptr;
    return !counts || Spend(turn.gateway.budgets[record.verdict.service]);
  }
  return record.verdict.idempotent &&
         Spend(turn.gateway.budgets[record.verdict.service]);
}

[[nodiscard]] bool MayResume(Turn& turn, const RequestRecord& record) {
  return record.resumable && record.verdict.idempotent &&
         record.verdict.resumable && HasTimeAndAttempts(turn, record) &&
         Spend(turn.gateway.budgets[record.verdict.service]);
}

[[nodiscard]] Problem FailureProblem(RequestRecord& record,
                                     std::optional<Problem> given) {
  if (given) {
    return std::move(*given);
  }
  return AttemptsFailed(record.last_failure, record.outcome.run);
}

void Resume(Turn& turn, RequestRecord& record) {
  record.resuming = true;
  ++MetricsOf(turn.gateway, record).resumed;
  Place(turn, record.arrival.number);
}

void AfterFailure(Turn& turn, RequestRecord& record, RunState run, bool arrived,
                  std::optional<Problem> problem) {
  if (record.outcome.phase == AnswerPhase::kAnswering) {
    if (MayResume(turn, record)) {
      return Resume(turn, record);
    }
    return Refuse(turn, record,
                  AttemptsFailed(record.last_failure, record.outcome.run));
  }
  // The owner of a key is asked once.
  const bool forwarded = record.keyed && record.keyed->forwarded;
  if (!forwarded && MayRetry(turn, record, run, arrived)) {
    turn.effects.emplace_back(
        WriteLog{log_events::kRequestTriedAgain,
                 {{"request", record.arrival.head->id.value()},
                  {"place", record.passed.back().name},
                  {"run", std::string(ToString(run))},
                  {"error", record.last_failure}}});
    return Place(turn, record.arrival.number);
  }
  Refuse(turn, record, FailureProblem(record, std::move(problem)));
}

void AnswerBegins(Turn& turn, RequestRecord& record, AnswerHead&& head) {
  if (!Advance(record.outcome, AnswerPhase::kAnswering)) {
    return;
  }
  if (OnUpstream(record)) {
    head.path = record.passed;
    record.resumable = IsEventStream(head);
  }
  record.first_part = turn.now - record.arrived;
  MetricsOf(turn.gateway, record).first_byte.Observe(record.first_part);
  if (record.keyed && record.keyed->runs) {
    record.keyed->recording =
        std::make_shared<RecordedAnswer>(RecordedAnswer{head, {}});
  }
  Answer(turn, record, SendAnswerHead{{}, std::move(head)});
}

// Keeps the answer for resends as long as it is small enough.
void Keep(const Gateway& gateway, KeyedState& keyed, const std::string& data) {
  if (keyed.recording == nullptr) {
    return;
  }
  keyed.recording->body += data;
  if (keyed.recording->body.size() > gateway.keys.settings.max_answer.count()) {
    keyed.recording.reset();
  }
}

// Whether an upstream of here or, where the operators' configuration decides,
// of another region could run it.
[[nodiscard]] bool HasAnotherPlace(Turn& turn, const RequestRecord& record) {
  Gateway& gateway = turn.gateway;
  const UpstreamNeed need{record.verdict.service, record.arrival.head->model,
                          false, record.passed};
  if (CanServe(gateway.upstreams, need, gateway.config.region, turn.now)) {
    return true;
  }
  return gateway.catalogue != nullptr && MayForward(record) &&
         ChooseRemote(gateway, record, turn.now).peer != nullptr;
}

// The upstream said that it cannot answer now; another one may.
[[nodiscard]] bool TryElsewhere(Turn& turn, RequestRecord& record,
                                std::uint16_t status) {
  const bool worth_another =
      IsTemporary(status) ||
      (status == kServerError && turn.gateway.catalogue != nullptr);
  if (!worth_another || !OnUpstream(record)) {
    return false;
  }
  if (!HasAnotherPlace(turn, record)) {
    return false;
  }
  ++record.runs;
  if (!MayRetry(turn, record, RunState::kRan, true)) {
    return false;
  }
  const AttemptNumber number = record.running->number;
  turn.effects.emplace_back(ForUpstreams{CancelAttempt{number}});
  FinishAttempt(turn, record, [&](const UpstreamId& id) {
    NoteFailure(turn, id, UpstreamFailure::kErrorAnswer);
  });
  record.last_failure = "the upstream answered that it is unavailable";
  Place(turn, record.arrival.number);
  return true;
}

void FailResumption(Turn& turn, RequestRecord& record) {
  CancelRunning(turn, record);
  record.last_failure = "the stream could not be continued elsewhere";
  Refuse(turn, record, AttemptsFailed(record.last_failure, record.outcome.run));
}

}  // namespace

namespace {

void LearnFromAnswer(Turn& turn, RequestRecord& record,
                     const std::optional<LoadReport>& report) {
  const auto* id = std::get_if<UpstreamId>(&record.running->target);
  UpstreamState* upstream =
      id == nullptr ? nullptr : FindUpstream(turn.gateway.upstreams, *id);
  NoteBegun(turn, *record.running, true);
  if (upstream == nullptr) {
    return;
  }
  if (report) {
    LearnLoad(upstream->load, *report, upstream->in_flight, turn.now);
  }
}

}  // namespace

void Handle(Turn& turn, AttemptAnswered&& event) {
  RequestRecord* record = FindRunning(turn.gateway, event.attempt);
  if (record == nullptr) {
    return;
  }
  Learn(record->outcome, RunState::kRan);
  record->running->error_answer = event.head.status >= kServerError;
  LearnFromAnswer(turn, *record, event.load);
  if (record->outcome.phase == AnswerPhase::kAnswering) {
    const bool continued = record->resuming && event.head.status == kOk &&
                           IsEventStream(event.head);
    if (!continued) {
      FailResumption(turn, *record);
    }
    return;
  }
  if (!TryElsewhere(turn, *record, event.head.status)) {
    AnswerBegins(turn, *record, std::move(event.head));
  }
}

void Handle(Turn& turn, AttemptBody&& event) {
  RequestRecord* record = FindRunning(turn.gateway, event.attempt);
  if (record == nullptr || record->outcome.phase != AnswerPhase::kAnswering) {
    return;
  }
  if (record->keyed) {
    Keep(turn.gateway, *record->keyed, event.data);
  }
  const Bytes size{event.data.size()};
  if (record->detached) {
    return GiveCredit(turn, *record, size);
  }
  record->untaken += size;
  // Without an id of its last event a stream cannot be continued exactly.
  record->resumable = record->resumable && event.last_event_id.has_value();
  if (event.last_event_id) {
    record->last_event_id = event.last_event_id;
  }
  Answer(turn, *record,
         SendAnswerBody{
             {}, std::move(event.data), std::move(event.last_event_id)});
}

void Handle(Turn& turn, AttemptEnded&& event) {
  RequestRecord* record = FindRunning(turn.gateway, event.attempt);
  if (record == nullptr) {
    return;
  }
  const Duration taken = turn.now - record->running->started;
  const bool error_answer = record->running->error_answer;
  FinishAttempt(turn, *record, [&](const UpstreamId& id) {
    if (error_answer) {
      return NoteFailure(turn, id, UpstreamFailure::kErrorAnswer);
    }
    EndWork(turn.gateway.upstreams, id, turn.now);
    UpstreamState* upstream = FindUpstream(turn.gateway.upstreams, id);
    if (upstream != nullptr && upstream->kind == UpstreamKind::kPlain) {
      LearnService(upstream->load, taken);
    }
  });
  if (record->outcome.phase != AnswerPhase::kAnswering) {
    record->last_failure = "the answer ended before it began";
    return Refuse(turn, *record,
                  AttemptsFailed(record->last_failure, record->outcome.run));
  }
  if (!Advance(record->outcome, AnswerPhase::kClosed)) {
    return;
  }
  record->whole = true;
  ServiceMetrics& metrics = MetricsOf(turn.gateway, *record);
  ++metrics.answered;
  metrics.total.Observe(turn.now - record->arrived);
  LogEnd(turn, *record, log_events::kRequestAnswered, 0, "");
  Answer(turn, *record, SendAnswerEnd{});
  const RequestNumber number = record->arrival.number;
  SettleKey(turn, *record);
  Close(turn, number);
}

namespace {

// Another instance may have used up what the route allows.
void CountRun(RequestRecord& record, RunState run) {
  if (run == RunState::kNotRun) {
    return;
  }
  record.runs = OnUpstream(record)
                    ? record.runs + 1
                    : std::max(record.runs + 1, record.verdict.attempts);
}

}  // namespace

void Handle(Turn& turn, AttemptFailed&& event) {
  RequestRecord* record = FindRunning(turn.gateway, event.attempt);
  if (record == nullptr) {
    return;
  }
  Learn(record->outcome, event.run);
  const bool owner_silent =
      record->keyed && record->keyed->forwarded && !event.problem;
  if (owner_silent) {
    Learn(record->outcome, RunState::kUnknown);
  }
  record->last_failure = event.error.message;
  CountRun(*record, event.run);
  FinishAttempt(turn, *record, [&](const UpstreamId& id) {
    if (IsFull(event)) {
      RefuseWork(turn.gateway.upstreams, id, turn.now);
    } else {
      NoteFailure(turn, id, UpstreamFailure::kNoAnswer);
    }
    if (event.misdirected) {
      Handle(turn, UpstreamRemoved{id});
    }
  });
  const bool arrived = Arrived(event);
  AfterFailure(turn, *record, event.run, arrived, std::move(event.problem));
}

}  // namespace mimosagauge::detail
