// Gateway state machine: requests that were cut off by a crash, and the refusal
// of requests with poison content.

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "mimosagauge/impl/decisions/gateway_detail.h"
#include "mimosagauge/impl/decisions/problems.h"

namespace mimosagauge::detail {
namespace {

// Time for which news wait for more of the same crash. With many recipients it
// is longer, because each of them reports to all others too.
constexpr Duration kNewsDelay = std::chrono::milliseconds(20);
constexpr Duration kNewsDelayPerPeer = std::chrono::milliseconds(5);

void ScheduleNews(Gateway& gateway, TimePoint now) {
  const auto peers = static_cast<Duration::rep>(gateway.peers.size());
  const TimePoint due = now + std::max(kNewsDelay, kNewsDelayPerPeer * peers);
  if (!gateway.poison.news_for_region.news.empty()) {
    gateway.next_digest_at = std::min(gateway.next_digest_at, due);
  }
  if (!gateway.poison.news_for_other_regions.news.empty()) {
    gateway.next_offers_at = std::min(gateway.next_offers_at, due);
  }
}

void RefusePoison(StepContext& context, RequestRecord& record, ContentId id,
                  const PoisonContent& poison) {
  const TimePoint end = EndOfRefusal(context.gateway.poison, id, poison);
  RefuseOrAbort(
      context, record,
      PoisonRefused(
          fmt::format("content {} crashed {} upstreams, the last one {} ms "
                      "ago, as found by {}; it is refused for another {} ms",
                      ToString(id), poison.crashes,
                      Milliseconds(context.now - poison.last_crash_at),
                      poison.found_by.value(), Milliseconds(end - context.now)),
          record.outcome.run, end - context.now));
}

void LogPoison(StepContext& context, ContentId id) {
  const PoisonContent& poison = context.gateway.poison.poison.at(id);
  context.effects.emplace_back(WriteLog{
      log_events::kPoisonFound,
      {{"content", ToString(id)},
       {"crashes", std::to_string(poison.crashes)},
       {"last_crash_ms", Milliseconds(context.now - poison.last_crash_at)},
       {"refused_ms", Milliseconds(poison.refused_until - context.now)},
       {"found_by", poison.found_by.value()}}});
}

// Logs new poison, and refuses the requests with it that wait or of whose
// answers no body was received.
void ApplyNewPoison(StepContext& context, const std::vector<ContentId>& ids) {
  if (ids.empty()) {
    return;
  }
  Gateway& gateway = context.gateway;
  for (const ContentId id : ids) {
    LogPoison(context, id);
  }
  std::vector<RequestNumber> affected;
  for (const auto& [number, record] : gateway.requests) {
    const bool stoppable = !record.running || !record.running->body_began;
    if (stoppable && FindPoison(gateway.poison, *record.arrival.head,
                                context.now) != nullptr) {
      affected.push_back(number);
    }
  }
  std::sort(affected.begin(), affected.end());
  for (const RequestNumber number : affected) {
    if (RequestRecord* record = FindRequest(gateway, number)) {
      CancelRunningAttempt(context, *record);
      RefuseIfPoison(context, *record);
    }
  }
}

}  // namespace

bool RefuseIfPoison(StepContext& context, RequestRecord& record) {
  const auto* poison =
      FindPoison(context.gateway.poison, *record.arrival.head, context.now);
  if (poison == nullptr) {
    return false;
  }
  RefusePoison(context, record, poison->first, poison->second);
  return true;
}

bool CheckForCrash(StepContext& context, const RequestRecord& record,
                   const AttemptFailed& event) {
  Gateway& gateway = context.gateway;
  const auto* id = std::get_if<UpstreamId>(&record.running->target);
  const bool connection_lost = event.error.kind == ErrorKind::kUnavailable ||
                               event.error.kind == ErrorKind::kUnknownOutcome;
  // Connections without a status are lost for many reasons, such as overload.
  const bool begun = record.running->answered && !record.running->body_began;
  if (id == nullptr || event.run == RunState::kNotRun || !connection_lost ||
      !begun) {
    return false;
  }
  const UpstreamState* upstream = FindUpstream(gateway.upstreams, *id);
  RecordLostRequest(
      gateway.poison, HashUpstreamId(*id),
      upstream == nullptr ? Incarnation{} : upstream->config.incarnation,
      *record.arrival.head, begun, context.now);
  ScheduleNews(gateway, context.now);
  return true;
}

void MarkBodyBegun(StepContext& context, RequestRecord& record) {
  Gateway& gateway = context.gateway;
  Attempt& attempt = *record.running;
  if (std::exchange(attempt.body_began, true) ||
      !std::holds_alternative<UpstreamId>(attempt.target)) {
    return;
  }
  RecordSoundAnswer(gateway.poison, *record.arrival.head, context.now);
  ScheduleNews(gateway, context.now);
}

void ApplyPoisonNews(StepContext& context, const PeerState& from,
                     const PoisonNews& news) {
  Gateway& gateway = context.gateway;
  ApplyNewPoison(context, AddNews(gateway.poison, news, from.config.id,
                                  IsInOwnRegion(gateway, from), context.now));
  ScheduleNews(gateway, context.now);
}

void SearchForPoison(StepContext& context) {
  ApplyNewPoison(context, FindNewPoison(context.gateway.poison, context.now));
}

}  // namespace mimosagauge::detail
