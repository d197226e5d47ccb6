// Gateway state machine: expiry of requests, and the graceful shutdown.

#include <algorithm>
#include <utility>

#include "mimosagauge/impl/decisions/gateway_detail.h"
#include "mimosagauge/impl/decisions/problems.h"

namespace mimosagauge::detail {
namespace {

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

}  // namespace

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

void Handle(StepContext& context, DrainRequested&&) {
  Gateway& gateway = context.gateway;
  if (gateway.drain_started) {
    return;
  }
  gateway.drain_started = context.now;
  gateway.last_view_at = TimePoint{};
  UpdateInstanceShares(gateway);
  UpdateCoordinators(gateway, {});
  context.effects.emplace_back(WriteLog{log_events::kDraining, {}});
  context.effects.emplace_back(AnnounceDeparture{});
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
  // An answer that has ended here may still wait for its receiver to read it.
  const std::size_t unwritten = gateway.unwritten.unwritten.size();
  const bool in_time = gateway.requests.empty() && unwritten == 0;
  if (!in_time && draining < gateway.config.limits.drain) {
    return;
  }
  if (!in_time) {
    context.effects.emplace_back(
        WriteLog{log_events::kDrainTimeout,
                 {{"in_progress", std::to_string(gateway.requests.size())},
                  {"unwritten", std::to_string(unwritten)}}});
    RefuseRemaining(context);
  }
  gateway.finished = true;
  context.effects.emplace_back(Finished{in_time});
}

}  // namespace mimosagauge::detail
