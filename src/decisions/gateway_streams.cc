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
// Time limit for the answers of the own region's instances.
constexpr Duration kAnswerWithin = std::chrono::milliseconds(250);
// Time limit for the answers of the store, in another region and on a new
// connection.
constexpr Duration kBeyondWithin = std::chrono::milliseconds(500);
// Shortest interval at which the store is asked for an answer that covers the
// present.
constexpr Duration kStoreInterval = std::chrono::milliseconds(100);
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

// Returns the only version that may have begun a stream which a caller resumes
// now, as far as this instance has heard: the store may know of another one.
[[nodiscard]] std::optional<SoftwareVersion> SoleSoftwareHeard(
    const Gateway& gateway, const ServiceId& service, TimePoint now) {
  return SoleSoftware(gateway.streams.history, service,
                      ResumptionPeriod(gateway), now);
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

void Settle(RequestRecord& record, const SoftwareVersion& software) {
  record.software = software;
  record.awaits_origin = false;
}

void RefuseUnknownOrigin(StepContext& context, RequestRecord& record) {
  context.effects.emplace_back(
      WriteLog{log_events::kStreamOriginUnknown,
               {{"request", record.arrival.head->id.value()},
                {"resumes", StreamOf(record).value()},
                {"service", record.verdict.service.value()}}});
  RefuseOrAbort(context, record, StreamOriginUnknown(record.outcome.run));
}

// Asks these instances for the origin of the stream.
void Ask(StepContext& context, const RequestId& stream, StreamLookup& lookup,
         const std::vector<InstanceId>& instances) {
  for (const InstanceId& instance : instances) {
    MessageTo(context, instance, Duration::zero())
        .questions.push_back({stream, lookup.service});
    lookup.awaited.insert(instance);
  }
}

// Asks the store for an answer that covers the present, if the last one was
// asked for long enough ago.
void AskStore(StepContext& context) {
  StreamContinuity& streams = context.gateway.streams;
  streams.store_question_due =
      context.now < streams.store_asked_at + kStoreInterval;
  if (!streams.store_question_due) {
    streams.store_asked_at = context.now;
    context.effects.emplace_back(ForPlatform{ReopenWatch{}});
  }
}

// Waits until the store has shown whether only one version has run, if this
// instance has not heard of several.
void AwaitStore(StepContext& context, StreamLookup& lookup) {
  const Gateway& gateway = context.gateway;
  lookup.awaits_store =
      gateway.freshness.store_in_contact &&
      SoleSoftwareHeard(gateway, lookup.service, context.now).has_value();
  if (lookup.awaits_store) {
    AskStore(context);
  }
}

// Ends the search. The version is known if `software` is not null; whether it
// is a fact or a conclusion does not matter to the requests that wait.
void EndLookup(StepContext& context, const RequestId& stream,
               const SoftwareVersion* software) {
  Gateway& gateway = context.gateway;
  const StreamLookup lookup = CloseLookup(gateway.streams.lookups, stream);
  for (const RequestNumber number : lookup.requests) {
    RequestRecord* record = FindRequest(gateway, number);
    if (record == nullptr) {
      continue;
    }
    if (software == nullptr) {
      RefuseUnknownOrigin(context, *record);
      continue;
    }
    Settle(*record, *software);
    PlaceRequest(context, number);
  }
}

// Goes on to the next stage of the search, or ends it.
void StartNextStage(StepContext& context, const RequestId& stream,
                    StreamLookup& lookup) {
  if (lookup.stage == LookupStage::kBeyond) {
    return EndLookup(context, stream, nullptr);
  }
  lookup.stage = LookupStage::kBeyond;
  lookup.awaited.clear();
  AwaitStore(context, lookup);
  if (!IsAwaiting(lookup)) {
    return EndLookup(context, stream, nullptr);
  }
  SetDeadline(context.gateway.streams.lookups, stream, lookup,
              context.now + kBeyondWithin);
}

// Searches for the origin of the stream that the request resumes. The record
// may have ended when this returns.
void SearchOrigin(StepContext& context, RequestRecord& record) {
  StreamLookups& lookups = context.gateway.streams.lookups;
  const RequestId stream = StreamOf(record);
  StreamLookup* lookup = FindLookup(lookups, stream);
  const bool is_new = lookup == nullptr;
  if (is_new) {
    lookup = &OpenLookup(lookups, stream, record.verdict.service);
  }
  record.awaits_origin = true;
  lookup->requests.push_back(record.arrival.number);
  lookup->arrived = context.now;
  if (!is_new) {
    if (lookup->awaits_store) {
      AskStore(context);
    }
    return;
  }
  // Without the name of the stream nobody can look it up.
  if (!stream.empty()) {
    Ask(context, stream, *lookup,
        OtherKeepers(context.gateway, stream, kAsked));
  }
  if (!IsAwaiting(*lookup)) {
    return StartNextStage(context, stream, *lookup);
  }
  SetDeadline(lookups, stream, *lookup, context.now + kAnswerWithin);
}

void ApplyOrigin(StepContext& context, const InstanceId& from,
                 const StreamOrigin& origin) {
  Gateway& gateway = context.gateway;
  if (origin.request.empty()) {
    return;
  }
  RecordOrigin(gateway.streams.origins, origin, context.now);
  const PeerState* sender = FindPeer(gateway, from);
  // The upstream is in another region, whose instances a caller that resumes
  // the stream does not reach.
  if (sender != nullptr && !IsInOwnRegion(gateway, *sender)) {
    TellKeepers(context, origin);
  }
  EndLookup(context, origin.request, &origin.software);
}

void ApplyUnknown(StepContext& context, const InstanceId& from,
                  const RequestId& stream) {
  StreamLookup* lookup = FindLookup(context.gateway.streams.lookups, stream);
  if (lookup != nullptr && lookup->awaited.erase(from) > 0 &&
      !IsAwaiting(*lookup)) {
    StartNextStage(context, stream, *lookup);
  }
}

// Answers only with what this instance knows as a fact. That only one version
// has run is a conclusion, which the instance that asks has to draw itself.
void AnswerStreamQuestion(StepContext& context, const InstanceId& from,
                          const StreamQuestion& question) {
  Gateway& gateway = context.gateway;
  StreamMessage& answer = MessageTo(context, from, Duration::zero());
  if (auto origin =
          FindOrigin(gateway.streams.origins, question.request, context.now)) {
    answer.origins.push_back(*std::move(origin));
  } else {
    answer.unknown.push_back(question.request);
  }
}

// Returns the searches that an answer of the store decides which covers all up
// to `as_of`.
[[nodiscard]] std::vector<RequestId> LookupsCoveredBy(
    const StreamLookups& lookups, TimePoint as_of) {
  std::vector<RequestId> covered;
  for (const auto& [stream, lookup] : lookups.open) {
    if (lookup.awaits_store && lookup.arrived <= as_of) {
      covered.push_back(stream);
    }
  }
  return covered;
}

}  // namespace

bool SettleSoftware(StepContext& context, RequestRecord& record) {
  Gateway& gateway = context.gateway;
  const RequestHead& head = *record.arrival.head;
  RecordDeadline(gateway.streams, record);
  if (gateway.catalogue == nullptr || !head.resume_after ||
      !record.software.empty() ||
      !StatesSoftware(gateway.streams.history, record.verdict.service)) {
    return true;
  }
  if (record.awaits_origin) {
    return false;
  }
  if (const auto origin =
          FindOrigin(gateway.streams.origins, head.resumes, context.now)) {
    Settle(record, origin->software);
    return true;
  }
  SearchOrigin(context, record);
  return false;
}

bool IsBoundToSoftware(const Gateway& gateway, const RequestRecord& record) {
  return gateway.catalogue != nullptr && !record.software.empty() &&
         !RunsOnly(gateway.streams.history, record.verdict.service,
                   record.software);
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
  if (SoleSoftwareHeard(gateway, record.verdict.service, context.now)) {
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
  while (const auto due = FirstDue(streams.lookups, context.now)) {
    StartNextStage(context, *due, *FindLookup(streams.lookups, *due));
  }
  if (streams.store_question_due) {
    AskStore(context);
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
    ApplyUnknown(context, event.from, stream);
  }
  for (const StreamQuestion& question : event.message.questions) {
    AnswerStreamQuestion(context, event.from, question);
  }
}

void Handle(StepContext& context, StoreReread&& /*event*/) {
  RecordFullRead(context.gateway.streams.history, context.now);
}

void Handle(StepContext& context, StoreCaughtUp&& event) {
  Gateway& gateway = context.gateway;
  StreamLookups& lookups = gateway.streams.lookups;
  for (const RequestId& stream : LookupsCoveredBy(lookups, event.as_of)) {
    StreamLookup& lookup = *FindLookup(lookups, stream);
    const auto sole = SoleSoftwareHeard(gateway, lookup.service, context.now);
    lookup.awaits_store = false;
    if (sole) {
      EndLookup(context, stream, &*sole);
    } else if (!IsAwaiting(lookup)) {
      StartNextStage(context, stream, lookup);
    }
  }
}

void Handle(StepContext& context, SoftwareSeen&& event) {
  RecordSoftware(context.gateway.streams.history, event.upstream, event.service,
                 event.software, context.now);
}

}  // namespace mimosagauge::detail
