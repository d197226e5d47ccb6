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

// The entry of an upstream that has crashed is removed from the store within
// this time.
constexpr Duration kMaxConfirmationDelay = std::chrono::seconds(10);

void AddUnconfirmedLoss(Gateway& gateway, const UpstreamId& upstream,
                        Incarnation incarnation, const RequestRecord& record,
                        TimePoint now) {
  UnconfirmedLoss& loss = gateway.unconfirmed_losses[upstream];
  if (loss.incarnation != incarnation) {
    loss = {};
  }
  loss.incarnation = incarnation;
  loss.service = record.verdict.service;
  AddLostRequest(loss, *record.arrival.head, now);
}

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
  if (id != nullptr && event.connection_refused) {
    ConfirmLoss(context, *id);
  }
  if (id == nullptr || event.run == RunState::kNotRun || !connection_lost ||
      record.running->body_began) {
    return false;
  }
  const UpstreamState* upstream = FindUpstream(gateway.upstreams, *id);
  const Incarnation incarnation =
      upstream == nullptr ? Incarnation{} : upstream->config.incarnation;
  if (!record.running->answered) {
    // Connections without a status are lost for many reasons, such as overload.
    AddUnconfirmedLoss(gateway, *id, incarnation, record, context.now);
    return false;
  }
  RecordLostRequest(gateway.poison, HashUpstreamId(*id), incarnation,
                    *record.arrival.head, true, context.now);
  ScheduleNews(gateway, context.now);
  return true;
}

void ConfirmLoss(StepContext& context, const UpstreamId& upstream) {
  Gateway& gateway = context.gateway;
  const auto loss = gateway.unconfirmed_losses.find(upstream);
  if (loss == gateway.unconfirmed_losses.end()) {
    return;
  }
  RecordConfirmedLoss(gateway.poison, HashUpstreamId(upstream), loss->second,
                      context.now);
  context.effects.emplace_back(
      WriteLog{log_events::kUpstreamCrashed,
               {{"upstream", upstream.value()},
                {"lost_ms", Milliseconds(context.now - loss->second.lost_at)},
                {"requests", std::to_string(loss->second.requests.size())}}});
  gateway.unconfirmed_losses.erase(loss);
  ScheduleNews(gateway, context.now);
}

void DisproveLoss(StepContext& context, const Attempt& attempt) {
  auto& losses = context.gateway.unconfirmed_losses;
  const auto* id = std::get_if<UpstreamId>(&attempt.target);
  const auto loss = id == nullptr ? losses.end() : losses.find(*id);
  if (loss != losses.end() && attempt.started > loss->second.lost_at) {
    losses.erase(loss);
  }
}

void MarkBodyBegun(StepContext& context, RequestRecord& record) {
  Gateway& gateway = context.gateway;
  Attempt& attempt = *record.running;
  if (std::exchange(attempt.body_began, true) ||
      !std::holds_alternative<UpstreamId>(attempt.target)) {
    return;
  }
  RecordSoundAnswer(gateway.poison, *record.arrival.head, context.now,
                    record.verdict.service);
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
  std::erase_if(context.gateway.unconfirmed_losses, [&](const auto& entry) {
    return context.now - entry.second.lost_at > kMaxConfirmationDelay;
  });
  ApplyNewPoison(context, FindNewPoison(context.gateway.poison, context.now));
}

}  // namespace mimosagauge::detail
