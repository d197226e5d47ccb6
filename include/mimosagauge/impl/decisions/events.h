// Events: the inputs of the gateway state machine, one type each.

#ifndef MIMOSAGAUGE_IMPL_DECISIONS_EVENTS_H_
#define MIMOSAGAUGE_IMPL_DECISIONS_EVENTS_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "mimosagauge/impl/core/error.h"
#include "mimosagauge/impl/core/ids.h"
#include "mimosagauge/impl/core/units.h"
#include "mimosagauge/impl/decisions/accounts/confirmation.h"
#include "mimosagauge/impl/decisions/allowance/messages.h"
#include "mimosagauge/impl/decisions/allowance/seniority.h"
#include "mimosagauge/impl/decisions/coordination/messages.h"
#include "mimosagauge/impl/decisions/freshness/upstream_signals.h"
#include "mimosagauge/impl/decisions/freshness/written_answers.h"
#include "mimosagauge/impl/decisions/load_digest.h"
#include "mimosagauge/impl/decisions/once/claim_committer.h"
#include "mimosagauge/impl/decisions/request.h"
#include "mimosagauge/impl/decisions/routes.h"
#include "mimosagauge/impl/decisions/streams/stream_origins.h"
#include "mimosagauge/impl/decisions/traffic_plan/region_reports.h"
#include "mimosagauge/impl/decisions/upstream_table.h"
#include "mimosagauge/impl/rules/rule_set.h"

namespace mimosagauge {

/// \brief The duty that received a request and sends its answer: from a caller,
/// or over a link from another instance.
enum class Origin : std::uint8_t { kCaller, kLink };

/// \brief A request was received completely.
struct RequestArrived {
  RequestNumber number;  ///< Even if from a caller, odd if from a link.
  Origin origin = Origin::kCaller;
  RequestHeadPtr head;
  BodyPtr body;  ///< Never null.
};

/// \brief The sender of a request, a caller or another instance, disconnected
/// or cancelled the request.
struct RequestAbandoned {
  RequestNumber number;
};

/// \brief The duties have finished these answers: their last bytes were written
/// to the receiver's connection, or that connection has closed.
struct AnswersWritten {
  std::vector<WrittenAnswer> answers;
};

/// \brief The receiver of an answer consumed this many bytes of its body.
struct AnswerConsumed {
  RequestNumber number;
  Bytes bytes;
};

/// \brief The status and header fields of an answer were received; at most once
/// per attempt.
struct AttemptHeadReceived {
  AttemptNumber attempt;
  AnswerHead head;
  std::optional<LoadReport> load{};  ///< Load that the upstream reported;
                                     ///< empty: none was reported.
  /// Requests per second that the upstream accepts from all instances together;
  /// empty: it names no limit.
  std::optional<double> rate_limit{};
  UpstreamSignals signals{};
};

/// \brief Part of an answer's body was received.
struct AttemptBodyReceived {
  AttemptNumber attempt;
  std::string data;
  /// For server-sent events, the `id` of the last event in `data`, which then
  /// contains complete events only; otherwise empty.
  std::optional<std::string> last_event_id;
};

/// \brief The answer is complete. No event follows for this attempt.
struct AttemptEnded {
  AttemptNumber attempt;
};

/// \brief The attempt failed. No event follows for this attempt.
struct AttemptFailed {
  AttemptNumber attempt;
  RunState run = RunState::kUnknown;  ///< Whether this attempt ran the request.
  Error error;
  std::optional<Problem> problem;  ///< Problem that another instance answered
                                   ///< with; empty: there is none.
  /// Whether the address now belongs to another upstream.
  bool misdirected = false;
  /// Limit that the upstream named in its refusal, as in
  /// `AttemptHeadReceived`.
  std::optional<double> rate_limit{};
  /// Whether no process listens at the upstream's address.
  bool connection_refused = false;
  /// As in `AttemptHeadReceived`.
  UpstreamSignals signals{};
};

/// \brief An upstream answered a health request.
struct UpstreamHealthReceived {
  UpstreamId upstream;
  UpstreamStart start;  ///< Of the upstream when the request was sent.
  UpstreamSignals signals;
};

/// \brief Rules were received from the store or from another instance.
struct RulesReceived {
  std::shared_ptr<const RuleSet> rules;  ///< Never null.
};

/// \brief The operators' configuration was received from the store.
struct CatalogueReceived {
  std::shared_ptr<const RouteCatalogue> catalogue;  ///< Never null.
};

/// \brief An upstream of this region was registered, or its record changed.
struct UpstreamUpdated {
  UpstreamRecord record;
};

/// \brief An upstream of this region was removed.
struct UpstreamRemoved {
  UpstreamId id;
};

/// \brief An availability zone was evacuated, so that its upstreams get no
/// requests, or the evacuation has ended.
struct ZoneEvacuated {
  ZoneId zone;
  bool on = false;  ///< Whether the zone is evacuated from now on.
};

/// \brief Another instance was registered, or its addresses changed.
struct InstanceUpdated {
  PeerConfig peer;
};

/// \brief The registration of another instance ended.
struct InstanceRemoved {
  InstanceId id;
};

/// \brief The state of a link to another instance changed.
struct LinkChanged {
  InstanceId instance;
  bool up = false;       ///< Whether the link is usable.
  bool leaving = false;  ///< The other instance announced that it is
                         ///< leaving; it finishes its requests first.
};

/// \brief Control state of another instance was received over a link.
struct GossipReceived {
  InstanceId from;
  std::string bytes;  ///< Encoded message; the link duty does not read it.
};

/// \brief All changes of the store up to this position have been received.
struct StoreRevisionSeen {
  StorePosition position;
};

/// \brief The whole store was read anew: what was written and removed between
/// the last change received before and this read is not known.
struct StoreReread {};

/// \brief All changes that the store had acknowledged at `as_of` have been
/// received, because a call that was sent then reported no further one.
struct StoreCaughtUp {
  TimePoint as_of{};
};

/// \brief Calls to the platform's store began to fail, or succeed again.
struct StoreContactChanged {
  bool in_contact = true;
};

/// \brief A load digest of another instance was received.
struct LoadReceived {
  InstanceId from;
  LoadDigest digest;
};

/// \brief A message about the traffic between regions was received.
struct TrafficReceived {
  InstanceId from;
  TrafficMessage message;
};

/// \brief A message about placement was received from an instance of this
/// region.
struct PlacementReceived {
  InstanceId from;
  PlacementMessage message;
};

/// \brief The store's newest configuration was known at a time. Posted only
/// under strict revocation, after the configuration itself.
struct ConfigurationConfirmed {
  Revision version;
  TimePoint as_of;  ///< When the answered call to the store was sent.
};

/// \brief A question for the newest configuration, or the answer to one, was
/// received from another instance.
struct ConfirmationReceived {
  InstanceId from;
  ConfirmationMessage message;
};

/// \brief The registrations of instances in the store, after they changed.
struct RegistrationsReceived {
  RegistrationTable table;
};

/// \brief The lease of this instance's registration was granted or renewed.
struct LeaseRenewed {
  std::uint64_t lease = 0;
  TimePoint end{};  ///< Counted from when the renewal was sent.
};

/// \brief A message of another instance about allowances was received.
struct AllowanceReceived {
  InstanceId from;
  AllowanceMessage message;
};

/// \brief A message of another instance about the origins of streams was
/// received.
struct StreamsReceived {
  InstanceId from;
  StreamMessage message;
};

/// \brief An upstream of another region runs this software version.
struct SoftwareSeen {
  UpstreamId upstream;
  ServiceId service;
  SoftwareVersion software;
};

/// \brief A call to the store about claims of keys was answered or failed.
struct ClaimStoreAnswered {
  StoreEvent answer;
};

/// \brief A graceful shutdown of this instance was requested.
struct DrainRequested {};

/// \brief Periodic event that lets time-based work run.
struct Tick {};

using Event = std::variant<
    RequestArrived, RequestAbandoned, AnswersWritten, AnswerConsumed,
    AttemptHeadReceived, AttemptBodyReceived, AttemptEnded, AttemptFailed,
    UpstreamHealthReceived, RulesReceived, CatalogueReceived, UpstreamUpdated,
    UpstreamRemoved, ZoneEvacuated, InstanceUpdated, InstanceRemoved,
    LinkChanged, StoreRevisionSeen, StoreReread, StoreCaughtUp,
    StoreContactChanged, LoadReceived, GossipReceived, ClaimStoreAnswered,
    DrainRequested, Tick, TrafficReceived, PlacementReceived,
    ConfigurationConfirmed, ConfirmationReceived, RegistrationsReceived,
    LeaseRenewed, AllowanceReceived, StreamsReceived, SoftwareSeen>;

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_EVENTS_H_
