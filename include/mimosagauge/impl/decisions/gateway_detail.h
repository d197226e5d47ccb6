// Internal functions of the gateway state machine that its source files share.

#ifndef MIMOSAGAUGE_IMPL_DECISIONS_GATEWAY_DETAIL_H_
#define MIMOSAGAUGE_IMPL_DECISIONS_GATEWAY_DETAIL_H_

#include <cstddef>
#include <string>
#include <type_traits>
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

/// Whether an effect is the last one of its answer.
template <typename AnswerPart>
inline constexpr bool kEndsAnswer = std::is_same_v<AnswerPart, SendAnswerEnd> ||
                                    std::is_same_v<AnswerPart, AbortAnswer> ||
                                    std::is_same_v<AnswerPart, SendProblem>;

/// \brief Emits the effect that sends part of an answer, to the duty that
/// received the request. Does nothing for a detached request.
template <typename AnswerPart>
void EmitAnswerPart(StepContext& context, const RequestRecord& record,
                    AnswerPart part) {
  if (record.detached) {
    return;
  }
  if constexpr (kEndsAnswer<AnswerPart>) {
    AddUnwritten(context.gateway.unwritten, record.arrival.number);
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

/// \brief Charges a request from a caller to its account's allowance, and
/// serves, holds or refuses it.
void ServeUnderAllowance(StepContext& context, RequestNumber number);

/// \brief Places a request again of which an attempt has failed. If that
/// attempt may have run, the request is charged again first, and fails if its
/// account is beyond its allowance. \param run The run state of the attempt
/// that failed.
void PlaceFurtherRun(StepContext& context, RequestRecord& record, RunState run);

/// \brief Returns the charge of a request that ends without having run, and
/// no longer holds it.
void ReleaseAllowance(StepContext& context, RequestRecord& record);

/// \brief Adopts the accounts of the configuration in force.
void AdoptAllowances(StepContext& context);

/// \brief Records whether an instance can be sent messages.
void SetAllowanceLink(StepContext& context, const InstanceId& instance,
                      bool up);

/// \brief Does the periodic work of allowances, and requests the links to
/// lenders that are needed.
void TickAllowances(StepContext& context);

/// \returns The metrics of allowances in the Prometheus text format; empty if
/// none are enforced.
[[nodiscard]] std::string AllowanceMetricsText(const Gateway& gateway,
                                               TimePoint now);

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

/// \brief Starts an attempt at an instance of another region if one may serve
/// the request and is expected to do so in time.
/// \returns Whether it was started.
bool StartElsewhere(StepContext& context, RequestRecord& record);

/// \returns Whether the starts of the service's requests in this region are
/// coordinated.
[[nodiscard]] bool IsCoordinated(const Gateway& gateway,
                                 const ServiceId& service);

/// \returns Whether the service's coordinator responds, so that the instances
/// of the region need no shares of each other's load on its engines.
[[nodiscard]] bool HasActiveCoordinator(const Gateway& gateway,
                                        const ServiceId& service);

/// \brief Asks the coordinator of the request's service where it may start.
/// \returns Whether the request waits for the answer; otherwise it is to be
/// placed locally.
bool AskCoordinator(StepContext& context, RequestRecord& record);

/// \brief Reports to the coordinator that an attempt at an engine has started.
void ReportStart(StepContext& context, RequestRecord& record,
                 const UpstreamState& upstream);
/// \brief Reports that the response of the running attempt has begun.
void ReportBegun(StepContext& context, RequestRecord& record);
/// \brief Reports the load that an engine stated with a response.
void ReportLoad(StepContext& context, const UpstreamState& upstream,
                const LoadReport& report);
/// \brief Reports that the attempt has ended, or that the request does not
/// wait for an answer any more; has no effect when there is nothing to report.
void ReportEnd(StepContext& context, RequestRecord& record);

/// \brief Marks that the state of links, instances or engines has changed, on
/// which the choice of coordinators depends.
/// \param returned An instance whose link came up; empty: none.
void UpdateCoordinators(Gateway& gateway, const InstanceId& returned);

/// \brief Ends waits for answers that are over, answers as a coordinator, and
/// sends what is due to the other instances.
void CoordinatePlacement(StepContext& context);

/// \brief Grants the running attempt credit to send more body bytes.
void GrantAttemptCredit(StepContext& context, const RequestRecord& record,
                        Bytes bytes);

/// \returns The route of the request under the configuration in force, or null.
[[nodiscard]] const Route* RouteOf(const RouteCatalogue& catalogue,
                                   const RequestHead& head);

/// \brief Authenticates a request that has arrived, where the configuration
/// requires accounts. Its head is then replaced by one with its account and
/// without the caller's key.
/// \returns The problem to refuse the request with, or nothing.
[[nodiscard]] std::optional<Problem> AuthenticateArrival(
    StepContext& context, RequestArrived& arrival);

/// \brief Applies the priority and the home regions of the request's account.
void ApplyAccount(const Gateway& gateway, const RequestHead& head,
                  Verdict& verdict);

/// \brief Refuses the request, or aborts its answer, if the configuration no
/// longer contains its account, or if its route and its account have no home
/// region in common.
/// \returns Whether it was refused; the record is then no longer valid.
bool RefuseIfAccountForbids(StepContext& context, RequestRecord& record);

/// \brief Removes the callers' keys from the requests in progress, which
/// arrived before the configuration required accounts.
void RemoveCredentials(Gateway& gateway);

/// \brief Asks other instances for the newest configuration when that is due,
/// and logs when keys are accepted and refused from now on.
void MaintainConfirmation(StepContext& context);

/// \brief Marks the upstream's service as having new capacity, so that
/// `Dispatch` tries its waiting requests.
void MarkCapacityFreed(Gateway& gateway, const UpstreamId& upstream);

/// \brief Tries to place the first waiting requests of each service that has
/// new capacity.
void Dispatch(StepContext& context);

/// \brief Computes the verdict again, which is necessary before each attempt:
/// the configuration may have changed while the request waited. Refuses the
/// request, or aborts its answer, if it may not be served any more.
/// \returns Whether it may be served; otherwise the record is no longer valid.
[[nodiscard]] bool RenewVerdict(StepContext& context, RequestRecord& record);

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

/// \brief Records the demand of a request that a caller sent, if the traffic
/// between regions is planned.
void RecordCallerDemand(StepContext& context, const RequestRecord& record);

/// \brief Exchanges reports on demand and capacity and updates the plan for the
/// traffic between regions when that is due.
void SendTrafficMessages(StepContext& context);

/// \returns The instance of another region that the plan sends the request to;
/// null if it is served here.
[[nodiscard]] const PeerConfig* ChoosePlannedPeer(StepContext& context,
                                                  const RequestRecord& record);

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

/// \brief The instances of this region that this one reaches over links.
struct RegionReach {
  std::size_t known = 1;    ///< Instances that may be running, with this one.
  std::size_t reached = 1;  ///< Of those, the ones with a link, and this one.
  /// Whether more than half are reached. With exactly half, it is the half with
  /// the instance of the smallest name.
  bool has_majority = true;
};
[[nodiscard]] RegionReach ReachOfRegion(const Gateway& gateway);

/// \brief Applies what an upstream stated in a response, unless another process
/// has taken its place since the request was sent.
void ApplySignals(StepContext& context, const UpstreamId& id,
                  const UpstreamStart& start, const UpstreamSignals& signals);

/// \brief Limits the rate to an upstream whose process has ended, while its
/// entry in the store cannot be read: its successor begins cold.
void AssumeColdSuccessor(StepContext& context, const UpstreamId& id);

/// \returns The start of the upstream's process as its record names it.
[[nodiscard]] inline UpstreamStart StartOf(const UpstreamConfig& config) {
  return {config.incarnation, config.endpoint};
}

/// \returns Cold periods that this instance has to report to the instances of
/// its region, at most a few.
[[nodiscard]] std::vector<ColdReport> TakeColdReports(Gateway& gateway,
                                                      TimePoint now);

/// \returns Departures that this instance has to report to the instances of its
/// region, at most a few.
[[nodiscard]] std::vector<DepartureReport> TakeDepartureReports(
    Gateway& gateway, TimePoint now);

/// \brief Keeps an upstream out of use that stated that it is leaving, whatever
/// its entry in the store says. For a later process the statement is dropped;
/// if it is recent, that process is asked, since it may have made it.
void ApplyDeparture(StepContext& context, UpstreamState& upstream);

/// \brief Finds out which software version began the stream that a caller
/// resumes. The request is refused if that cannot be known.
/// \returns Whether the request may be placed now; otherwise it waits for the
/// answers of other instances, or the record is no longer valid.
[[nodiscard]] bool SettleSoftware(StepContext& context, RequestRecord& record);

/// \returns Whether the request continues a stream and its service runs other
/// versions too, so that not every upstream can continue it.
[[nodiscard]] bool IsBoundToSoftware(const Gateway& gateway,
                                     const RequestRecord& record);

/// \brief Checks whether the request continues a stream of a version that this
/// instance has not heard of: its knowledge of the upstreams is out of date.
/// The store is then asked for what it missed.
/// \returns Whether upstreams of that version may become known.
[[nodiscard]] bool AwaitsUnheardSoftware(StepContext& context,
                                         const RequestRecord& record);

/// \brief Records which version began the stream of the running attempt, when
/// its first event is received.
void RecordStreamOrigin(StepContext& context, RequestRecord& record);

/// \brief Sends the messages and questions about the origins of streams that
/// are due, and ends the searches that were not answered in time.
void MaintainStreams(StepContext& context);

/// \brief Applies what another instance of this region knows of upstreams.
void ApplyFreshness(StepContext& context, const InstanceId& from,
                    const LoadDigest& digest);

/// \brief Sends the health requests that are due: while neither this instance
/// nor another one that it reaches is in contact with the store.
void SendHealthRequests(StepContext& context);

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
void Handle(StepContext& context, AnswersWritten&& event);
void Handle(StepContext& context, AnswerConsumed&& event);
void Handle(StepContext& context, RulesReceived&& event);
void Handle(StepContext& context, CatalogueReceived&& event);
void Handle(StepContext& context, UpstreamUpdated&& event);
void Handle(StepContext& context, UpstreamRemoved&& event);
void Handle(StepContext& context, ZoneEvacuated&& event);
void Handle(StepContext& context, InstanceUpdated&& event);
void Handle(StepContext& context, InstanceRemoved&& event);
void Handle(StepContext& context, StoreRevisionSeen&& event);
void Handle(StepContext& context, StoreReread&& event);
void Handle(StepContext& context, StoreCaughtUp&& event);
void Handle(StepContext& context, StoreContactChanged&& event);
void Handle(StepContext& context, UpstreamHealthReceived&& event);
void Handle(StepContext& context, LoadReceived&& event);
void Handle(StepContext& context, TrafficReceived&& event);
void Handle(StepContext& context, PlacementReceived&& event);
void Handle(StepContext& context, LinkChanged&& event);
void Handle(StepContext& context, GossipReceived&& event);
void Handle(StepContext& context, ClaimStoreAnswered&& event);
void Handle(StepContext& context, ConfigurationConfirmed&& event);
void Handle(StepContext& context, ConfirmationReceived&& event);
void Handle(StepContext& context, DrainRequested&& event);
void Handle(StepContext& context, RegistrationsReceived&& event);
void Handle(StepContext& context, LeaseRenewed&& event);
void Handle(StepContext& context, AllowanceReceived&& event);
void Handle(StepContext& context, StreamsReceived&& event);
void Handle(StepContext& context, SoftwareSeen&& event);
void Handle(StepContext& context, Tick&& event);
void Handle(StepContext& context, AttemptHeadReceived&& event);
void Handle(StepContext& context, AttemptBodyReceived&& event);
void Handle(StepContext& context, AttemptEnded&& event);
void Handle(StepContext& context, AttemptFailed&& event);

}  // namespace mimosagauge::detail

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_GATEWAY_DETAIL_H_
