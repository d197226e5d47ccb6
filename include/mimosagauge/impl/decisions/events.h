// What the decisions learn, one typed event each.

#ifndef MIMOSAGAUGE_IMPL_DECISIONS_EVENTS_H_
#define MIMOSAGAUGE_IMPL_DECISIONS_EVENTS_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "mimosagauge/impl/core/error.h"
#include "mimosagauge/impl/core/ids.h"
#include "mimosagauge/impl/core/units.h"
#include "mimosagauge/impl/decisions/load_digest.h"
#include "mimosagauge/impl/decisions/once/claim_committer.h"
#include "mimosagauge/impl/decisions/request.h"
#include "mimosagauge/impl/decisions/routes.h"
#include "mimosagauge/impl/decisions/upstream_table.h"
#include "mimosagauge/impl/rules/rule_set.h"

namespace mimosagauge {

/// \brief Which duty a request came in by, and its answer goes out by.
enum class Origin : std::uint8_t { kCaller, kLink };

/// \brief A whole request came in.
struct RequestArrived {
  RequestNumber number;  ///< Even from callers, odd from links.
  Origin origin = Origin::kCaller;
  RequestHeadPtr head;
  BodyPtr body;  ///< Never null.
};

/// \brief The other side of a request went away or cancelled it.
struct RequestAbandoned {
  RequestNumber number;
};

/// \brief The other side of a request took answer bytes.
struct AnswerTaken {
  RequestNumber number;
  Bytes bytes;
};

/// \brief Status and fields of an answer came in. Once per attempt.
struct AttemptAnswered {
  AttemptNumber attempt;
  AnswerHead head;
  std::optional<LoadReport> load{};  ///< What the upstream says of itself.
};

/// \brief Part of an answer's body came in.
struct AttemptBody {
  AttemptNumber attempt;
  std::string data;
  /// Of server-sent events: `id` of the last event in `data`, which then
  /// holds whole events only.
  std::optional<std::string> last_event_id;
};

/// \brief The answer is complete. Nothing follows for this attempt.
struct AttemptEnded {
  AttemptNumber attempt;
};

/// \brief The attempt came to nothing. Nothing follows for it.
struct AttemptFailed {
  AttemptNumber attempt;
  RunState run = RunState::kUnknown;  ///< What is known of this attempt.
  Error error;
  std::optional<Problem> problem;  ///< What another instance answered.
  /// The address belongs to another upstream by now.
  bool misdirected = false;
};

/// \brief Rules came from the store or from another instance.
struct RulesArrived {
  std::shared_ptr<const RuleSet> rules;  ///< Never null.
};

/// \brief The operators' configuration came from the store.
struct CatalogueArrived {
  std::shared_ptr<const RouteCatalogue> catalogue;  ///< Never null.
};

/// \brief An upstream of this region appeared or changed.
struct UpstreamLearned {
  UpstreamRecord record;
};

/// \brief An upstream of this region is gone.
struct UpstreamRemoved {
  UpstreamId id;
};

/// \brief The upstreams of a zone are to get nothing, or may get work again.
struct ZoneEvacuated {
  ZoneId zone;
  bool on = false;
};

/// \brief Another instance appeared or changed its addresses.
struct InstanceLearned {
  PeerConfig peer;
};

/// \brief Another instance is gone.
struct InstanceRemoved {
  InstanceId id;
};

/// \brief Whether a link to another instance is usable.
struct LinkChanged {
  InstanceId instance;
  bool up = false;
  bool leaving = false;  ///< The other side says so, and finishes its work.
};

/// \brief Control state of another instance came over a link.
struct GossipArrived {
  InstanceId from;
  std::string bytes;  ///< Opaque to the link duty.
};

/// \brief The store has told everything up to this change.
struct StoreSeen {
  std::uint64_t revision = 0;
};

/// \brief Another instance told of its load.
struct LoadTold {
  InstanceId from;
  LoadDigest digest;
};

/// \brief The store has answered, or failed to answer, a call about claims.
struct ClaimStoreAnswered {
  StoreEvent answer;
};

/// \brief The instance has been told to stop gracefully.
struct DrainRequested {};

/// \brief Time went on.
struct Tick {};

using Event =
    std::variant<RequestArrived, RequestAbandoned, AnswerTaken, AttemptAnswered,
                 AttemptBody, AttemptEnded, AttemptFailed, RulesArrived,
                 CatalogueArrived, UpstreamLearned, UpstreamRemoved,
                 ZoneEvacuated, InstanceLearned, InstanceRemoved, LinkChanged,
                 StoreSeen, LoadTold, GossipArrived, ClaimStoreAnswered,
                 DrainRequested, Tick>;

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_EVENTS_H_
