// Effects: the actions that the gateway state machine requests from the duties
// (the modules that do the I/O), one type each.

#ifndef MIMOSAGAUGE_IMPL_DECISIONS_EFFECTS_H_
#define MIMOSAGAUGE_IMPL_DECISIONS_EFFECTS_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "mimosagauge/impl/core/error.h"
#include "mimosagauge/impl/core/ids.h"
#include "mimosagauge/impl/core/log_catalogue.h"
#include "mimosagauge/impl/core/units.h"
#include "mimosagauge/impl/decisions/events.h"
#include "mimosagauge/impl/decisions/request.h"
#include "mimosagauge/impl/decisions/streams/stream_origins.h"
#include "mimosagauge/impl/decisions/view.h"
#include "mimosagauge/impl/rules/verdict.h"

namespace mimosagauge {

/// \brief Adds an upstream, or updates its configuration, so that attempts can
/// be started on it.
struct AddUpstream {
  UpstreamConfig config;
  UpstreamKind kind = UpstreamKind::kPlain;
};

/// \brief Removes an upstream: it gets no more requests, and those in progress
/// continue.
struct RemoveUpstream {
  UpstreamId id;
};

/// \brief Opens a link to another instance and keeps it open; also sent when
/// the instance's address may have changed.
struct ConnectInstance {
  PeerConfig peer;
};

/// \brief Closes the link to another instance and does not open it again.
struct DisconnectInstance {
  InstanceId id;
};

/// \brief Starts an attempt: sends the request to an upstream of this region.
struct StartUpstreamAttempt {
  AttemptNumber attempt;
  UpstreamId upstream;
  RequestHeadPtr head;
  BodyPtr body;
  Duration remaining{};  ///< Time until the answer is due.
  Bytes credit;          ///< Body bytes that may be passed on before
                         ///< more credit is granted.
  /// Id of the event after which the stream is resumed; empty: a new answer.
  std::optional<std::string> last_event_id;
  /// Priority that the rules assign.
  std::uint8_t priority = Verdict::kDefaultPriority;
  /// Engine that has the leading part of the prompt in its cache, to copy it
  /// from; empty: nothing is copied.
  std::optional<Endpoint> cache_source{};
};

/// \brief Starts an attempt: forwards the request to another instance.
struct StartLinkAttempt {
  AttemptNumber attempt;
  InstanceId instance;
  RequestHeadPtr head;  ///< Its path lists every instance and upstream
                        ///< passed so far, including this instance.
  BodyPtr body;
  Duration remaining{};  ///< Time until the answer is due.
  Bytes credit;  ///< Body bytes that may be passed on before more credit.
};

/// \brief Cancels an attempt; no more events may be sent for it.
struct CancelAttempt {
  AttemptNumber attempt;
};

/// \brief Grants an attempt credit to pass on more body bytes.
struct AddAttemptCredit {
  AttemptNumber attempt;
  Bytes bytes;
};

/// \brief Sends the status and header fields of an answer, at most once per
/// request and before any part of the body.
struct SendAnswerHead {
  RequestNumber number;
  AnswerHead head;
};

/// \brief Sends part of an answer's body.
struct SendAnswerBody {
  RequestNumber number;
  std::string data;
  std::optional<std::string> last_event_id;
};

/// \brief Ends an answer that is complete. No effect follows for this request.
struct SendAnswerEnd {
  RequestNumber number;
};

/// \brief Aborts an answer that has begun, in a way that the receiver can
/// detect. No effect follows for this request.
struct AbortAnswer {
  RequestNumber number;
  Problem problem;
};

/// \brief Answers with a problem document. No effect follows for this request.
struct SendProblem {
  RequestNumber number;
  Problem problem;
};

/// \brief Sends control state to another instance. The message may be lost.
struct SendGossip {
  InstanceId to;
  std::string bytes;
};

/// \brief Sends a load digest of this instance to another one. The message may
/// be lost.
struct SendLoad {
  InstanceId to;
  std::shared_ptr<const LoadDigest> digest;  ///< Never null.
};

/// \brief Sends a message about the traffic between regions to another
/// instance. The message may be lost.
struct SendTraffic {
  InstanceId to;
  std::shared_ptr<const TrafficMessage> message;  ///< Never null.
};

/// \brief Sends a message about placement to another instance of this region.
/// The message may be lost.
struct SendPlacement {
  InstanceId to;
  PlacementMessage message;
};

/// \brief Sends another instance a question for the newest configuration, or
/// the answer to its question. The message may be lost.
struct SendConfirmation {
  InstanceId to;
  ConfirmationMessage message;
};

/// \brief Sends a message about allowances to another instance, over a link in
/// either direction. The message may be lost.
struct SendAllowance {
  InstanceId to;
  std::shared_ptr<const AllowanceMessage> message;  ///< Never null.
};

/// \brief Sends a message about the origins of streams to another instance,
/// over a link in either direction. The message may be lost.
struct SendStreams {
  InstanceId to;
  StreamMessage message;
};

/// \brief Publishes a view of this instance, which replaces the previous one.
struct PublishView {
  InstanceViewPtr view;  ///< Never null.
};

/// \brief Reopens the watch on the store and receives all changes up to now,
/// because changes were missed, or because a decision depends on what the store
/// contains now.
struct ReopenWatch {};

/// \brief Sends a health request to an upstream, which takes one of its slots.
struct RequestHealth {
  UpstreamId upstream;
  UpstreamStart start;  ///< Returned with the answer.
  std::string path;
};

/// Effects for the duty that accesses the key-value service.
using StoreEffect = std::variant<LoadSlot, CommitClaims, ReopenWatch>;

/// Effects for the duty that sends requests to upstreams.
using UpstreamEffect =
    std::variant<StartUpstreamAttempt, CancelAttempt, AddAttemptCredit,
                 AddUpstream, RemoveUpstream, RequestHealth>;
/// Effects for the duty that serves callers.
using CallerEffect = std::variant<SendAnswerHead, SendAnswerBody, SendAnswerEnd,
                                  AbortAnswer, SendProblem, PublishView>;
/// Effects for the duty that manages the links to other instances.
using LinkEffect =
    std::variant<StartLinkAttempt, CancelAttempt, AddAttemptCredit,
                 SendAnswerHead, SendAnswerBody, SendAnswerEnd, AbortAnswer,
                 SendProblem, SendGossip, SendLoad, ConnectInstance,
                 DisconnectInstance, SendTraffic, SendPlacement,
                 SendConfirmation, SendAllowance, SendStreams>;

/// \brief An effect for one duty; the wrapper's type names the duty.
struct ForUpstreams {
  UpstreamEffect effect;
};
struct ForCallers {
  CallerEffect effect;
};
struct ForLinks {
  LinkEffect effect;
};
/// \brief Writes an entry to the log.
struct WriteLog {
  LogEvent event;
  std::vector<std::pair<std::string, std::string>> fields;
};

/// \brief Announces to the other instances that this one is leaving.
struct AnnounceDeparture {};

/// \brief Stops accepting connections from callers.
struct StopAccepting {};

/// \brief No request is in progress any more; the process may exit.
struct Finished {
  bool in_time = true;  ///< False: requests were cancelled at the drain
                        ///< timeout.
};

/// \brief An effect for the duty that accesses the key-value service.
struct ForPlatform {
  StoreEffect effect;
};
/// \brief An effect for the duty that serves operators.
struct ForOperators {
  PublishView effect;
};
using Effect =
    std::variant<ForUpstreams, ForCallers, ForLinks, ForPlatform, ForOperators,
                 WriteLog, AnnounceDeparture, StopAccepting, Finished>;

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_EFFECTS_H_
