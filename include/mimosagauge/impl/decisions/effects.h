// What the decisions want done, one typed effect each.

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
#include "mimosagauge/impl/decisions/view.h"
#include "mimosagauge/impl/rules/verdict.h"

namespace mimosagauge {

/// \brief Be ready to give requests to an upstream.
struct UseUpstream {
  UpstreamConfig config;
  UpstreamKind kind = UpstreamKind::kPlain;
};

/// \brief An upstream gets no more requests; those in progress go on.
struct DropUpstream {
  UpstreamId id;
};

/// \brief Keep a link to another instance.
struct UseInstance {
  PeerConfig peer;
};

/// \brief Keep no link to another instance.
struct DropInstance {
  InstanceId id;
};

/// \brief Give the request to an upstream of this region.
struct StartUpstreamAttempt {
  AttemptNumber attempt;
  UpstreamId upstream;
  RequestHeadPtr head;
  BodyPtr body;
  Duration remaining{};  ///< Until the answer is due.
  Bytes credit;          ///< Body bytes it may pass on before more credit.
  std::optional<std::string> last_event_id;  ///< Resume after this event.
  std::uint8_t priority = Verdict::kDefaultPriority;  ///< From the rules.
  /// An engine that keeps a part of the prompt, to copy it from.
  std::optional<Endpoint> cache_source{};
};

/// \brief Give the request to another instance.
struct StartLinkAttempt {
  AttemptNumber attempt;
  InstanceId instance;
  RequestHeadPtr head;  ///< Its path holds all places passed, this one too.
  BodyPtr body;
  Duration remaining{};
  Bytes credit;
};

/// \brief Forget an attempt; nothing is to be said about it any more.
struct CancelAttempt {
  AttemptNumber attempt;
};

/// \brief Let an attempt pass on more body bytes.
struct CreditAttempt {
  AttemptNumber attempt;
  Bytes bytes;
};

/// \brief Send status and fields. Once per request, before any body.
struct SendAnswerHead {
  RequestNumber number;
  AnswerHead head;
};

/// \brief Send part of the body.
struct SendAnswerBody {
  RequestNumber number;
  std::string data;
  std::optional<std::string> last_event_id;
};

/// \brief The answer is complete. Nothing follows for this request.
struct SendAnswerEnd {
  RequestNumber number;
};

/// \brief Break the answer off visibly. Nothing follows for this request.
struct AbortAnswer {
  RequestNumber number;
  Problem problem;
};

/// \brief Answer with a problem document. Nothing follows for this request.
struct SendProblem {
  RequestNumber number;
  Problem problem;
};

/// \brief Send control state to another instance; may be lost.
struct SendGossip {
  InstanceId to;
  std::string bytes;
};

/// \brief Tell another instance of the load here; may be lost.
struct SendLoad {
  InstanceId to;
  std::shared_ptr<const LoadDigest> digest;  ///< Never null.
};

/// \brief Show this from now on.
struct PublishView {
  InstanceViewPtr view;  ///< Never null.
};

/// \brief The watch of the store has missed a change that others were told:
/// open it anew.
struct ReopenWatch {};

/// For the duty that talks to the key-value service.
using StoreEffect = std::variant<LoadSlot, CommitClaims, ReopenWatch>;

/// For the duty that talks to upstreams.
using UpstreamEffect = std::variant<StartUpstreamAttempt, CancelAttempt,
                                    CreditAttempt, UseUpstream, DropUpstream>;
/// For the duty that talks to callers.
using CallerEffect = std::variant<SendAnswerHead, SendAnswerBody, SendAnswerEnd,
                                  AbortAnswer, SendProblem, PublishView>;
/// For the duty that keeps links to other instances.
using LinkEffect =
    std::variant<StartLinkAttempt, CancelAttempt, CreditAttempt, SendAnswerHead,
                 SendAnswerBody, SendAnswerEnd, AbortAnswer, SendProblem,
                 SendGossip, SendLoad, UseInstance, DropInstance>;

/// \brief Any effect, with the duty it is for.
struct ForUpstreams {
  UpstreamEffect effect;
};
struct ForCallers {
  CallerEffect effect;
};
struct ForLinks {
  LinkEffect effect;
};
/// For the duty that talks to operators.
/// \brief Write to the log.
struct WriteLog {
  LogEvent event;
  std::vector<std::pair<std::string, std::string>> fields;
};

/// \brief Tell the other instances that this one is leaving.
struct BeginLeaving {};

/// \brief Take no new callers from now on.
struct StopAccepting {};

/// \brief Everything in progress is finished; the process may end.
struct Finished {
  bool in_time = true;  ///< Nothing had to be cut off.
};

struct ForPlatform {
  StoreEffect effect;
};
struct ForOperators {
  PublishView effect;
};
using Effect =
    std::variant<ForUpstreams, ForCallers, ForLinks, ForPlatform, ForOperators,
                 WriteLog, BeginLeaving, StopAccepting, Finished>;

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_EFFECTS_H_
