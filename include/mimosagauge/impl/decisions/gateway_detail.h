// Internal functions of the gateway state machine that its source files share.

#ifndef MIMOSAGAUGE_IMPL_DECISIONS_GATEWAY_DETAIL_H_
#define MIMOSAGAUGE_IMPL_DECISIONS_GATEWAY_DETAIL_H_

#include <string>
#include <utility>
#include <vector>

#include "mimosagauge/impl/decisions/gateway.h"

namespace mimosagauge::detail {

/// \brief Context of one call of `Step`: the state, the current time and the
/// effects collected so far.
struct StepContext {
  Gateway& gateway;
  TimePoint now;
  std::vector<Effect>& effects;
};

/// \returns The metrics of the request's service. Services without an upstream
/// in this region share the entry `other`.
[[nodiscard]] ServiceMetrics& MetricsOf(Gateway& gateway,
                                        const RequestRecord& record);

/// \returns The request, or null when it is no longer in progress.
[[nodiscard]] RequestRecord* FindRequest(Gateway& gateway,
                                         RequestNumber number) noexcept;

/// \brief Emits the effect that sends part of an answer, to the duty that
/// received the request. Does nothing for a detached request.
template <typename AnswerPart>
void EmitAnswerPart(StepContext& context, const RequestRecord& record,
                    AnswerPart part) {
  if (record.detached) {
    return;
  }
  part.number = record.arrival.number;
  if (record.arrival.origin == Origin::kCaller) {
    context.effects.emplace_back(ForCallers{std::move(part)});
  } else {
    context.effects.emplace_back(ForLinks{std::move(part)});
  }
}

/// \brief Answers the request with a problem, or aborts its answer if that has
/// begun, and removes the request.
///
/// The problem's `run` is set to the run state of the request.
void RefuseOrAbort(StepContext& context, RequestRecord& record,
                   Problem problem);

/// \returns Whether the other instance is in the region of this one.
[[nodiscard]] inline bool IsInOwnRegion(const Gateway& gateway,
                                        const PeerState& peer) {
  return peer.config.region == gateway.config.region;
}

/// \returns The duration in whole milliseconds as text, for log entries.
[[nodiscard]] std::string Milliseconds(Duration duration);

/// \returns The instance, or null when there is no such peer.
[[nodiscard]] PeerState* FindPeer(Gateway& gateway,
                                  const InstanceId& id) noexcept;

/// \brief Logs how a request ended.
/// \param status The HTTP status sent to the caller or instance; zero: none.
void LogRequestEnd(StepContext& context, const RequestRecord& record,
                   const LogEvent& event, std::uint16_t status,
                   const std::string& detail);

/// \brief Removes a request from the queue and from the requests in progress; a
/// running attempt is cancelled.
void RemoveRequest(StepContext& context, RequestNumber number);

/// \brief Cancels the running attempt and the hedge, if any. An upstream whose
/// answer is overdue gets a failure counted; otherwise no result is recorded
/// for the target.
void CancelRunningAttempt(StepContext& context, RequestRecord& record);

/// \brief Cancels an attempt that was removed from the record.
/// \param failed Whether a failure of its upstream is counted even if the
/// answer is not overdue.
void CancelRemovedAttempt(StepContext& context, RequestRecord& record,
                          Attempt attempt, bool failed);

/// \brief Places the request on an upstream, on another instance or in the
/// waiting queue, or refuses it if none of them is possible.
void PlaceRequest(StepContext& context, RequestNumber number);

/// \brief Determines which instance may run a keyed request, and runs,
/// forwards, holds, replays or refuses it accordingly.
void AdmitKeyed(StepContext& context, RequestNumber number);

/// \brief Records in the key table how the run of a keyed request ended, and
/// answers the requests that waited for it.
void RecordKeyOutcome(StepContext& context, RequestRecord& record);

/// \brief Counts a failure of the upstream, which may eject it.
void RecordUpstreamFailure(StepContext& context, const UpstreamId& id,
                           UpstreamFailure failure);

/// \brief Logs that an upstream was ejected and gets no requests for a while.
/// \param reported_by The instance whose reported failure led to the ejection.
void LogEjection(StepContext& context, const UpstreamState& upstream,
                 const std::string& reported_by);

/// \brief Carries out the effects of the key table.
void Apply(StepContext& context, KeyEffects&& effects);
/// \brief Puts adopted rules into force, sends messages about rules to other
/// instances and logs rules that cannot be read.
void Apply(StepContext& context, RulesGossipOutput&& output);
/// \brief Carries out the effects of the claim committer.
void Apply(StepContext& context, ClaimEffects&& effects);

/// \returns Whether the request may be forwarded to another instance. Only the
/// instance that received it from a caller forwards it, so that no request
/// crosses more than one link; a keyed request stays with the owner of its key.
[[nodiscard]] bool IsForwardingAllowed(const RequestRecord& record) noexcept;

/// \returns Whether the rules allow the instance's region and the request has
/// not visited the instance yet.
[[nodiscard]] bool IsPeerAllowed(const RequestRecord& record,
                                 const PeerConfig& peer);

/// \returns The need together with the prompt and the tie-breaking values that
/// the choice among upstreams takes into account.
[[nodiscard]] UpstreamNeed PlacementNeedOf(const Gateway& gateway,
                                           const RequestRecord& record);

/// \brief Starts an attempt at the given upstream.
void StartOnUpstream(StepContext& context, RequestRecord& record,
                     const UpstreamChoice& choice);

/// \brief Prepares for a hedge of the attempt that has just been started on an
/// upstream: credits the hedge budget and sets the time of the first check.
void ScheduleHedge(StepContext& context, RequestRecord& record);

/// \brief Starts the hedges that are due.
void StartDueHedges(StepContext& context);

/// \returns Whether the account's allowance permits a hedge of the request,
/// which counts like another request.
[[nodiscard]] bool MayHedge(const Gateway& gateway, const RequestRecord& record,
                            TimePoint now);

/// \brief Makes the attempt of an event the one in `running`; the other one, if
/// any, is then in `hedge`.
void SelectAttempt(RequestRecord& record, AttemptNumber number);

/// \brief Records the start of the running attempt's answer for the percentile
/// of the service.
void RecordAnswerStart(StepContext& context, const RequestRecord& record);

/// \brief Makes the running attempt the only one, because its answer has begun,
/// and cancels the hedge, if any.
void SettleRace(StepContext& context, RequestRecord& record);

/// \brief Lets a request go on with its other attempt after `running` failed.
/// \returns Whether there is one; it is then in `running`.
[[nodiscard]] bool PromoteHedge(StepContext& context, RequestRecord& record);

/// \brief Records the time until a canceled attempt was canceled, if that shows
/// that its answer was late.
void RecordUnansweredAttempt(StepContext& context, const RequestRecord& record,
                             const Attempt& attempt);

/// \brief Removes the request's check for a hedge.
void RemoveHedgeCheck(Gateway& gateway, RequestRecord& record);

/// \brief Starts an attempt at the given instance.
void StartOnInstance(StepContext& context, RequestRecord& record,
                     const PeerConfig& peer);

/// \brief Grants the running attempt credit to send more body bytes.
void GrantAttemptCredit(StepContext& context, const RequestRecord& record,
                        Bytes bytes);

/// \brief Marks the upstream's service as having new capacity, so that
/// `Dispatch` tries its waiting requests.
void MarkCapacityFreed(Gateway& gateway, const UpstreamId& upstream);

/// \brief Tries to place the first waiting requests of each service that has
/// new capacity.
void Dispatch(StepContext& context);

/// \returns The verdict of the catalogue, or else of the rules, on the request
/// now; without a matching route its service is empty.
[[nodiscard]] Verdict VerdictFor(const Gateway& gateway,
                                 const RequestRecord& record);

/// \returns Whether rules or a configuration for routing requests have been
/// received.
[[nodiscard]] bool HasRoutingRules(const Gateway& gateway) noexcept;

/// \brief Stops counting an attempt's prompt as unread at its upstream, because
/// the attempt has ended or its answer has begun.
/// \param answered Whether the answer has begun; the time until then is then
/// recorded for an engine.
void MarkPromptRead(StepContext& context, Attempt& attempt, bool answered);

/// \returns The retry budget of the service. Under the operators' configuration
/// a new budget is empty: an instance that has just started may have spent its
/// share before, in the same time window.
[[nodiscard]] RetryBudget& RetryBudgetOf(Gateway& gateway,
                                         const ServiceId& service);

/// \brief Updates this instance's share of what the instances divide among
/// themselves: the cold upstreams and the retry budgets.
void UpdateInstanceShares(Gateway& gateway);

/// \brief Requests links to every instance of this region and to a few of each
/// other region.
void MaintainLinks(StepContext& context);

/// \brief Refuses or aborts the requests whose time is over.
void ExpireRequests(StepContext& context);

/// \brief Continues a graceful shutdown: refuses new requests after the leave
/// notice, and finishes when no request is in progress or the time is over.
void ContinueDrain(StepContext& context);

/// \brief Publishes a view of this instance when that is due.
void PublishViews(StepContext& context);

/// \brief Sends load digests and offers to other instances when they are due.
void SendLoadDigests(StepContext& context);

/// \brief Records the rate limit that an upstream named in an answer, or that
/// it named none.
void RecordRateLimit(StepContext& context, const UpstreamId& id,
                     std::optional<double> requests_per_second);

/// \returns The limits heard since the last digest to the instances of this
/// region, which are cleared.
[[nodiscard]] std::vector<LimitReport> TakeLimitReports(Gateway& gateway,
                                                        TimePoint now);

/// \brief Applies the limits that another instance of this region has heard.
void ApplyLimitReports(StepContext& context, const InstanceId& from,
                       const std::vector<LimitReport>& reports);

/// \brief Refuses the request, or aborts its answer, if it has poison content.
/// \returns Whether it was refused; the record is then no longer valid.
bool RefuseIfPoison(StepContext& context, RequestRecord& record);

/// \brief Records the request as evidence if its running attempt failed by the
/// loss of its upstream.
/// \returns Whether the request is strongly suspected of the loss: its answer
/// had begun, without a body.
bool CheckForCrash(StepContext& context, const RequestRecord& record,
                   const AttemptFailed& event);

/// \brief Records that the upstream's process has ended, with which requests
/// may have been lost.
void ConfirmLoss(StepContext& context, const UpstreamId& upstream);

/// \brief Records that the running attempt has an answer. Requests lost before
/// it began were not lost because the upstream's process ended.
void DisproveLoss(StepContext& context, const Attempt& attempt);

/// \brief Marks that the running attempt's answer has a body, or is complete
/// without one, which shows that its content does not crash the upstream.
void MarkBodyBegun(StepContext& context, RequestRecord& record);

/// \brief Adds another instance's news about crashes and poison content.
void ApplyPoisonNews(StepContext& context, const PeerState& from,
                     const PoisonNews& news);

/// \brief Searches for poison content when that is due, and refuses the
/// requests with it of whose answers no body was received.
void SearchForPoison(StepContext& context);

/// \brief An instance of another region and the estimate for a request there.
struct RemoteChoice {
  const PeerConfig* peer = nullptr;  ///< Null: no instance may serve it.
  LatencyEstimate expected;
  double prompt_tokens =
      0;  ///< Prompt tokens that the region would have to read.
  bool part_cached = false;  ///< The region caches the prompt's shared part.
};

/// \returns An instance of another region whose answer is expected to begin
/// earliest; instances that are almost as good are chosen among at random.
[[nodiscard]] RemoteChoice ChooseRemote(Gateway& gateway,
                                        const RequestRecord& record,
                                        TimePoint now);

/// \returns An instance of the region that caches the shared part of the
/// prompt, if serving the request there costs less than reading the part at
/// `local`; else none.
[[nodiscard]] RemoteChoice ChooseCachingRegion(Gateway& gateway,
                                               const RequestRecord& record,
                                               const UpstreamChoice& local,
                                               TimePoint now);

/// \returns An instance of another region for a request of a plain service, or
/// none. The choice is random: the sooner the request is expected to be served
/// there, the more probable another region is.
[[nodiscard]] RemoteChoice SampleRegionByLatency(Gateway& gateway,
                                                 const RequestRecord& record,
                                                 const UpstreamChoice& local,
                                                 TimePoint now);

/// \brief Handles an event; there is one overload for each event type.
void Handle(StepContext& context, RequestArrived&& event);
void Handle(StepContext& context, RequestAbandoned&& event);
void Handle(StepContext& context, AnswerConsumed&& event);
void Handle(StepContext& context, RulesReceived&& event);
void Handle(StepContext& context, CatalogueReceived&& event);
void Handle(StepContext& context, UpstreamUpdated&& event);
void Handle(StepContext& context, UpstreamRemoved&& event);
void Handle(StepContext& context, ZoneEvacuated&& event);
void Handle(StepContext& context, InstanceUpdated&& event);
void Handle(StepContext& context, InstanceRemoved&& event);
void Handle(StepContext& context, StoreRevisionSeen&& event);
void Handle(StepContext& context, LoadReceived&& event);
void Handle(StepContext& context, LinkChanged&& event);
void Handle(StepContext& context, GossipReceived&& event);
void Handle(StepContext& context, ClaimStoreAnswered&& event);
void Handle(StepContext& context, DrainRequested&& event);
void Handle(StepContext& context, Tick&& event);
void Handle(StepContext& context, AttemptHeadReceived&& event);
void Handle(StepContext& context, AttemptBodyReceived&& event);
void Handle(StepContext& context, AttemptEnded&& event);
void Handle(StepContext& context, AttemptFailed&& event);

}  // namespace mimosagauge::detail

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_GATEWAY_DETAIL_H_
