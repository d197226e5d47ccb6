// Gateway state machine: a stream that broke off is continued only by upstreams
// of the software version that began it.

#include <algorithm>
#include <chrono>
#include <map>
#include <utility>

#include "mimosagauge/impl/decisions/gateway_detail.h"
#include "mimosagauge/impl/decisions/problems.h"

namespace mimosagauge::detail {
namespace {

// Instances of its region that keep the origin of a stream, beside the one that
// began it.
constexpr std::size_t kKeepers = 2;
// The same in each other region, beside the one that was told from here.
constexpr std::size_t kKeepersElsewhere = 1;
// Instances that are asked: one more, since the instances that began the stream
// and that resumes it may know of different instances.
constexpr std::size_t kAsked = 3;
// Instances of each other region that are asked; two, so that one of them may
// not answer.
constexpr std::size_t kAskedElsewhere = 2;
// Time in which origins are gathered into one message.
constexpr Duration kSendDelay = std::chrono::milliseconds(20);
// The same for other regions. They need the origins only if this region is
// lost.
constexpr Duration kSendElsewhereDelay = std::chrono::milliseconds(50);
// Time limit for the answers of the own region's instances.
constexpr Duration kAnswerWithin = std::chrono::milliseconds(250);
// Time limit for the answers of the other regions' instances, which ask others
// for up to `kAnswerWithin`, and of the store, in another region and on a new
// connection.
constexpr Duration kBeyondWithin = std::chrono::milliseconds(500);
// Shortest interval at which the store is asked for an answer that covers the
// present.
constexpr Duration kStoreInterval = std::chrono::milliseconds(100);
// Time-out of a route that states none, and the shortest time for which a
// stream is taken to be resumable.
constexpr Duration kDefaultTimeout = std::chrono::seconds(10);

// Returns the time from the first event of a stream for which it may be
// resumed. A caller returns until its own deadline, whatever the time-out of
// the route is, or will be after a change of the configuration.
[[nodiscard]] Duration ResumptionPeriod(const Gateway& gateway) {
  Duration longest =
      std::max(kDefaultTimeout, gateway.streams.longest_deadline);
  for (const Route& route : gateway.catalogue->routes) {
    if (route.stream) {
      longest = std::max(longest, route.timeout);
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
  const auto [entry, created] =
      streams.outbox.try_emplace(to, QueuedStreamMessage{{}, send_at});
  entry->second.send_at = std::min(entry->second.send_at, send_at);
  return entry->second.message;
}

// Returns the instances of other regions with a link to this one, by region.
[[nodiscard]] std::map<RegionId, std::vector<InstanceId>> LinkedElsewhere(
    const Gateway& gateway) {
  std::map<RegionId, std::vector<InstanceId>> linked;
  for (const PeerState& peer : gateway.peers) {
    if (peer.up && !peer.only_for_allowances && !IsInOwnRegion(gateway, peer)) {
      linked[peer.config.region].push_back(peer.config.id);
    }
  }
  return linked;
}

void Tell(StepContext& context, const InstanceId& to, Duration delay,
          const StreamOrigin& origin) {
  MessageTo(context, to, delay).origins.push_back(origin);
  ++context.gateway.metrics.streams.told;
}

void TellOwnRegion(StepContext& context, const StreamOrigin& origin,
                   std::size_t keepers, Duration delay) {
  for (const InstanceId& keeper :
       OtherKeepers(context.gateway, origin.request, keepers)) {
    Tell(context, keeper, delay, origin);
  }
}

// Tells one instance of each other region, which passes the origin on there: a
// stream of a region that is lost is resumed in another one. The instance that
// forwarded the request is told in its region, and earlier, since the caller
// resumes the stream there.
void TellElsewhere(StepContext& context, const StreamOrigin& origin,
                   const std::optional<InstanceId>& forwarder) {
  const PeerState* forwarding =
      forwarder ? FindPeer(context.gateway, *forwarder) : nullptr;
  if (forwarder) {
    Tell(context, *forwarder, kSendDelay, origin);
  }
  for (const auto& [region, linked] : LinkedElsewhere(context.gateway)) {
    if (forwarding == nullptr || forwarding->config.region != region) {
      Tell(context, KeepersOf(origin.request, linked, 1).front(),
           kSendElsewhereDelay, origin);
    }
  }
}

void Settle(RequestRecord& record, const SoftwareVersion& software) {
  record.software = software;
  record.awaits_origin = false;
}

void RefuseUnknownOrigin(StepContext& context, RequestRecord& record) {
  ++context.gateway.metrics.streams.refused;
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
    ++context.gateway.metrics.streams.questions;
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

// Answers the instances of other regions that asked. A conclusion is not passed
// on, so they are told only what is known here as a fact.
void AnswerAskers(StepContext& context, const RequestId& stream,
                  const std::vector<InstanceId>& askers) {
  const auto origin =
      FindOrigin(context.gateway.streams.origins, stream, context.now);
  for (const InstanceId& asker : askers) {
    StreamMessage& answer = MessageTo(context, asker, Duration::zero());
    if (origin) {
      answer.origins.push_back(*origin);
    } else {
      answer.unknown.push_back(stream);
    }
  }
}

// Ends the search. The version is known if `software` is not null; whether it
// is a fact or a conclusion does not matter to the requests that wait.
void EndLookup(StepContext& context, const RequestId& stream,
               const SoftwareVersion* software) {
  Gateway& gateway = context.gateway;
  const StreamLookup lookup = CloseLookup(gateway.streams.lookups, stream);
  AnswerAskers(context, stream, lookup.askers);
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
  // An instance of another region that asked goes on by itself.
  if (lookup.stage == LookupStage::kBeyond || lookup.requests.empty()) {
    return EndLookup(context, stream, nullptr);
  }
  lookup.stage = LookupStage::kBeyond;
  lookup.awaited.clear();
  if (!stream.empty()) {
    for (const auto& [region, linked] : LinkedElsewhere(context.gateway)) {
      Ask(context, stream, lookup, KeepersOf(stream, linked, kAskedElsewhere));
    }
  }
  AwaitStore(context, lookup);
  if (!IsAwaiting(lookup)) {
    return EndLookup(context, stream, nullptr);
  }
  SetDeadline(context.gateway.streams.lookups, stream, lookup,
              context.now + kBeyondWithin);
}

// Starts a search that someone waits for. It may have ended when this returns.
void StartLookup(StepContext& context, const RequestId& stream,
                 StreamLookup& lookup) {
  // Without the name of the stream nobody can look it up.
  if (!stream.empty()) {
    Ask(context, stream, lookup, OtherKeepers(context.gateway, stream, kAsked));
  }
  if (!IsAwaiting(lookup)) {
    return StartNextStage(context, stream, lookup);
  }
  SetDeadline(context.gateway.streams.lookups, stream, lookup,
              context.now + kAnswerWithin);
}

// Searches for the origin of the stream that the request resumes. The record
// may have ended when this returns.
void SearchOrigin(StepContext& context, RequestRecord& record) {
  StreamLookups& lookups = context.gateway.streams.lookups;
  const RequestId stream = StreamOf(record);
  StreamLookup* running = FindLookup(lookups, stream);
  StreamLookup& lookup =
      running != nullptr ? *running
                         : OpenLookup(lookups, stream, record.verdict.service);
  record.awaits_origin = true;
  lookup.requests.push_back(record.arrival.number);
  lookup.arrived = context.now;
  if (running == nullptr) {
    StartLookup(context, stream, lookup);
  } else if (lookup.awaits_store) {
    AskStore(context);
  }
}

// Searches for the origin of a stream in this region for an instance of another
// one.
void SearchOriginFor(StepContext& context, const InstanceId& asker,
                     const StreamQuestion& question) {
  StreamLookups& lookups = context.gateway.streams.lookups;
  StreamLookup* running = FindLookup(lookups, question.request);
  StreamLookup& lookup =
      running != nullptr
          ? *running
          : OpenLookup(lookups, question.request, question.service);
  lookup.askers.push_back(asker);
  if (running == nullptr) {
    StartLookup(context, question.request, lookup);
  }
}

[[nodiscard]] bool IsElsewhere(Gateway& gateway, const InstanceId& instance) {
  const PeerState* peer = FindPeer(gateway, instance);
  return peer != nullptr && !IsInOwnRegion(gateway, *peer);
}

// Returns the number of requests that wait for the origin of the stream.
[[nodiscard]] std::size_t WaitingRequests(Gateway& gateway,
                                          const RequestId& stream) {
  const StreamLookup* lookup = FindLookup(gateway.streams.lookups, stream);
  return lookup == nullptr ? 0 : lookup->requests.size();
}

void ApplyOrigin(StepContext& context, const InstanceId& from,
                 const StreamOrigin& origin) {
  Gateway& gateway = context.gateway;
  if (origin.request.empty()) {
    return;
  }
  RecordOrigin(gateway.streams.origins, origin, context.now);
  if (IsElsewhere(gateway, from)) {
    TellOwnRegion(context, origin, kKeepersElsewhere, kSendElsewhereDelay);
  }
  gateway.metrics.streams.found += WaitingRequests(gateway, origin.request);
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
  const bool known =
      FindOrigin(gateway.streams.origins, question.request, context.now)
          .has_value();
  // An instance of this region asks all that may know the origin by itself.
  if (!known && !question.request.empty() && IsElsewhere(gateway, from)) {
    return SearchOriginFor(context, from, question);
  }
  AnswerAskers(context, question.request, {from});
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

void SendDueMessages(StepContext& context) {
  StreamContinuity& streams = context.gateway.streams;
  if (streams.outbox.empty() || streams.send_at > context.now) {
    return;
  }
  streams.send_at = TimePoint::max();
  for (auto entry = streams.outbox.begin(); entry != streams.outbox.end();) {
    QueuedStreamMessage& queued = entry->second;
    if (queued.send_at > context.now) {
      streams.send_at = std::min(streams.send_at, queued.send_at);
      ++entry;
      continue;
    }
    ++context.gateway.metrics.streams.messages;
    context.effects.emplace_back(
        ForLinks{SendStreams{entry->first, std::move(queued.message)}});
    entry = streams.outbox.erase(entry);
  }
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
    ++gateway.metrics.streams.found;
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

bool AwaitsUnheardSoftware(StepContext& context, const RequestRecord& record) {
  const Gateway& gateway = context.gateway;
  if (gateway.catalogue == nullptr || record.software.empty() ||
      !gateway.freshness.store_in_contact ||
      HasRun(gateway.streams.history, record.verdict.service,
             record.software)) {
    return false;
  }
  if (!record.queue_position) {
    context.effects.emplace_back(
        WriteLog{log_events::kSoftwareUnheard,
                 {{"request", record.arrival.head->id.value()},
                  {"service", record.verdict.service.value()},
                  {"software", record.software.value()}}});
  }
  AskStore(context);
  return true;
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
  if (!record.verdict.resumable) {
    return;
  }
  ++gateway.metrics.streams.begun;
  TellOwnRegion(context, origin, kKeepers, kSendDelay);
  std::optional<InstanceId> forwarder;
  if (record.arrival.origin == Origin::kLink && !head.path.empty()) {
    forwarder = InstanceId{head.path.back().name};
  }
  TellElsewhere(context, origin, forwarder);
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
  SendDueMessages(context);
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
    StreamLookup* lookup = FindLookup(lookups, stream);
    if (lookup == nullptr) {
      continue;
    }
    const auto sole = SoleSoftwareHeard(gateway, lookup->service, context.now);
    lookup->awaits_store = false;
    if (sole) {
      gateway.metrics.streams.concluded += lookup->requests.size();
      context.effects.emplace_back(
          WriteLog{log_events::kStreamOriginConcluded,
                   {{"resumes", stream.value()},
                    {"service", lookup->service.value()},
                    {"software", sole->value()}}});
      EndLookup(context, stream, &*sole);
    } else if (!IsAwaiting(*lookup)) {
      StartNextStage(context, stream, *lookup);
    }
  }
}

void Handle(StepContext& context, SoftwareSeen&& event) {
  RecordSoftware(context.gateway.streams.history, event.upstream, event.service,
                 event.software, context.now);
}

}  // namespace mimosagauge::detail
