// Gateway state machine: a stream that broke off is continued only by upstreams
// of the software version that began it.

#include <algorithm>
#include <chrono>
#include <utility>

#include "mimosagauge/impl/decisions/gateway_detail.h"
#include "mimosagauge/impl/decisions/problems.h"

namespace mimosagauge::detail {
namespace {

// Instances that keep the origin of a stream, beside the one that began it.
constexpr std::size_t kKeepers = 2;
// Instances that are asked: one more, since the instances that began the stream
// and that resumes it may know of different instances.
constexpr std::size_t kAsked = 3;
// Time in which origins are gathered into one message.
constexpr Duration kSendDelay = std::chrono::milliseconds(20);
// Time limit for the answers to a question.
constexpr Duration kAnswerWithin = std::chrono::milliseconds(250);
constexpr Duration kDefaultTimeout = std::chrono::seconds(10);

// Returns the time from the first event of a stream for which it may be
// resumed. A caller returns until its own deadline, whatever the time-out of
// the route is, or will be after a change of the configuration.
[[nodiscard]] Duration ResumptionPeriod(const Gateway& gateway) {
  Duration longest = gateway.streams.longest_deadline;
  for (const Route& route : gateway.catalogue->routes) {
    if (route.stream) {
      longest =
          std::max(longest, route.timeout == Duration::zero() ? kDefaultTimeout
                                                              : route.timeout);
    }
  }
  return std::min(longest, kLongestResumption);
}

[[nodiscard]] std::optional<SoftwareVersion> SoleSoftwareOf(
    const Gateway& gateway, const ServiceId& service, TimePoint now) {
  // Without contact with the store, new versions may be unknown.
  return gateway.freshness.store_in_contact
             ? SoleSoftware(gateway.streams.history, service,
                            ResumptionPeriod(gateway), now)
             : std::nullopt;
}

void RecordDeadline(StreamContinuity& streams, const RequestRecord& record) {
  if (record.verdict.resumable) {
    streams.longest_deadline =
        std::max(streams.longest_deadline, record.caller_due - record.arrived);
  }
}

// Returns the request under which the origin of this one's stream is known.
[[nodiscard]] const RequestId& StreamOf(const RequestRecord& record) {
  const RequestHead& head = *record.arrival.head;
  return head.resume_after ? head.resumes : head.id;
}

// Returns the other instances of this region that may keep the origin.
[[nodiscard]] std::vector<InstanceId> OtherKeepers(const Gateway& gateway,
                                                   const RequestId& request,
                                                   std::size_t count) {
  std::vector<InstanceId> candidates;
  for (const PeerState& peer : gateway.peers) {
    if (peer.up && IsInOwnRegion(gateway, peer)) {
      candidates.push_back(peer.config.id);
    }
  }
  return KeepersOf(request, candidates, count);
}

StreamMessage& MessageTo(StepContext& context, const InstanceId& to,
                         Duration delay) {
  StreamContinuity& streams = context.gateway.streams;
  const TimePoint send_at = context.now + delay;
  streams.send_at =
      streams.outbox.empty() ? send_at : std::min(streams.send_at, send_at);
  return streams.outbox[to];
}

void TellKeepers(StepContext& context, const StreamOrigin& origin) {
  for (const InstanceId& keeper :
       OtherKeepers(context.gateway, origin.request, kKeepers)) {
    MessageTo(context, keeper, kSendDelay).origins.push_back(origin);
  }
}

void CloseLookup(Gateway& gateway, RequestRecord& record) {
  record.lookup.open_questions = 0;
  gateway.streams.asking.erase(record.arrival.number);
}

void Settle(RequestRecord& record, const SoftwareVersion& software) {
  record.software = software;
  record.lookup.settled = true;
}

void RefuseUnknownOrigin(StepContext& context, RequestRecord& record) {
  CloseLookup(context.gateway, record);
  context.effects.emplace_back(
      WriteLog{log_events::kStreamOriginUnknown,
               {{"request", record.arrival.head->id.value()},
                {"resumes", StreamOf(record).value()},
                {"service", record.verdict.service.value()}}});
  RefuseOrAbort(context, record, StreamOriginUnknown(record.outcome.run));
}

// Asks the instances that keep the origin of the stream.
// \returns Whether there are any.
[[nodiscard]] bool AskKeepers(StepContext& context, RequestRecord& record) {
  StreamContinuity& streams = context.gateway.streams;
  const RequestId& stream = StreamOf(record);
  const std::vector<InstanceId> keepers =
      stream.empty() ? std::vector<InstanceId>()
                     : OtherKeepers(context.gateway, stream, kAsked);
  for (const InstanceId& keeper : keepers) {
    MessageTo(context, keeper, Duration::zero())
        .questions.push_back({stream, record.verdict.service});
  }
  if (keepers.empty()) {
    return false;
  }
  record.lookup.open_questions = keepers.size();
  streams.asking.emplace(record.arrival.number, stream);
  streams.deadlines.emplace(context.now + kAnswerWithin, record.arrival.number);
  return true;
}

// Returns the requests that wait for the origin of this stream.
[[nodiscard]] std::vector<RequestNumber> Asking(const Gateway& gateway,
                                                const RequestId& stream) {
  std::vector<RequestNumber> numbers;
  for (const auto& [number, asked] : gateway.streams.asking) {
    if (asked == stream) {
      numbers.push_back(number);
    }
  }
  return numbers;
}

void ApplyOrigin(StepContext& context, const InstanceId& from,
                 const StreamOrigin& origin) {
  Gateway& gateway = context.gateway;
  RecordOrigin(gateway.streams.origins, origin, context.now);
  const PeerState* sender = FindPeer(gateway, from);
  // The upstream is in another region, whose instances a caller that resumes
  // the stream does not reach.
  if (sender != nullptr && !IsInOwnRegion(gateway, *sender)) {
    TellKeepers(context, origin);
  }
  for (const RequestNumber number : Asking(gateway, origin.request)) {
    RequestRecord* record = FindRequest(gateway, number);
    if (record == nullptr) {
      continue;
    }
    CloseLookup(gateway, *record);
    Settle(*record, origin.software);
    PlaceRequest(context, number);
  }
}

void ApplyUnknown(StepContext& context, const RequestId& stream) {
  for (const RequestNumber number : Asking(context.gateway, stream)) {
    RequestRecord* record = FindRequest(context.gateway, number);
    if (record != nullptr && --record->lookup.open_questions == 0) {
      RefuseUnknownOrigin(context, *record);
    }
  }
}

void AnswerStreamQuestion(StepContext& context, const InstanceId& from,
                          const StreamQuestion& question) {
  Gateway& gateway = context.gateway;
  StreamMessage& answer = MessageTo(context, from, Duration::zero());
  if (auto origin =
          FindOrigin(gateway.streams.origins, question.request, context.now)) {
    answer.origins.push_back(*std::move(origin));
  } else if (const auto sole =
                 SoleSoftwareOf(gateway, question.service, context.now)) {
    answer.origins.push_back({question.request, *sole, Duration::zero()});
  } else {
    answer.unknown.push_back(question.request);
  }
}

}  // namespace

bool SettleSoftware(StepContext& context, RequestRecord& record) {
  Gateway& gateway = context.gateway;
  const RequestHead& head = *record.arrival.head;
  RecordDeadline(gateway.streams, record);
  if (gateway.catalogue == nullptr || !head.resume_after ||
      record.lookup.settled || !record.software.empty() ||
      !StatesSoftware(gateway.streams.history, record.verdict.service)) {
    return true;
  }
  if (record.lookup.open_questions > 0) {
    return false;
  }
  if (const auto origin =
          FindOrigin(gateway.streams.origins, head.resumes, context.now)) {
    Settle(record, origin->software);
    return true;
  }
  if (const auto sole =
          SoleSoftwareOf(gateway, record.verdict.service, context.now)) {
    Settle(record, *sole);
    return true;
  }
  if (!AskKeepers(context, record)) {
    RefuseUnknownOrigin(context, record);
  }
  return false;
}

bool IsBoundToSoftware(const Gateway& gateway, const RequestRecord& record,
                       TimePoint now) {
  return gateway.catalogue != nullptr && !record.software.empty() &&
         !SoleSoftwareOf(gateway, record.verdict.service, now);
}

void RecordStreamOrigin(StepContext& context, RequestRecord& record) {
  Gateway& gateway = context.gateway;
  const RequestHead& head = *record.arrival.head;
  const SoftwareVersion software =
      record.running ? record.running->software : SoftwareVersion{};
  if (gateway.catalogue == nullptr || software.empty() ||
      std::exchange(record.origin_recorded, true)) {
    return;
  }
  record.software = software;
  const RequestId& stream = StreamOf(record);
  if (stream.empty()) {
    return;
  }
  const StreamOrigin origin{stream, software, record.caller_due - context.now};
  RecordOrigin(gateway.streams.origins, origin, context.now);
  if (SoleSoftwareOf(gateway, record.verdict.service, context.now)) {
    return;
  }
  TellKeepers(context, origin);
  if (record.arrival.origin == Origin::kLink && !head.path.empty()) {
    MessageTo(context, InstanceId{head.path.back().name}, kSendDelay)
        .origins.push_back(origin);
  }
}

void MaintainStreams(StepContext& context) {
  Gateway& gateway = context.gateway;
  StreamContinuity& streams = gateway.streams;
  ExpireOrigins(streams.origins, context.now);
  while (!streams.deadlines.empty() &&
         streams.deadlines.begin()->first <= context.now) {
    const RequestNumber number = streams.deadlines.begin()->second;
    streams.deadlines.erase(streams.deadlines.begin());
    streams.asking.erase(number);
    RequestRecord* record = FindRequest(gateway, number);
    if (record != nullptr && record->lookup.open_questions > 0) {
      RefuseUnknownOrigin(context, *record);
    }
  }
  if (streams.outbox.empty() || streams.send_at > context.now) {
    return;
  }
  for (auto& [to, message] : std::exchange(streams.outbox, {})) {
    context.effects.emplace_back(ForLinks{SendStreams{to, std::move(message)}});
  }
}

void Handle(StepContext& context, StreamsReceived&& event) {
  if (context.gateway.catalogue == nullptr) {
    return;
  }
  for (const StreamOrigin& origin : event.message.origins) {
    ApplyOrigin(context, event.from, origin);
  }
  for (const RequestId& stream : event.message.unknown) {
    ApplyUnknown(context, stream);
  }
  for (const StreamQuestion& question : event.message.questions) {
    AnswerStreamQuestion(context, event.from, question);
  }
}

void Handle(StepContext& context, SoftwareSeen&& event) {
  RecordSoftware(context.gateway.streams.history, event.upstream, event.service,
                 event.software, context.now);
}

}  // namespace mimosagauge::detail
