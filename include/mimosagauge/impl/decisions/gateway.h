// Gateway state machine of one instance: admits requests, queues them, starts
// attempts and passes answers on.

#ifndef MIMOSAGAUGE_IMPL_DECISIONS_GATEWAY_H_
#define MIMOSAGAUGE_IMPL_DECISIONS_GATEWAY_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "mimosagauge/impl/decisions/accounts/confirmation.h"
#include "mimosagauge/impl/decisions/accounts/refusal_log.h"
#include "mimosagauge/impl/decisions/allowance/allowances.h"
#include "mimosagauge/impl/decisions/config.h"
#include "mimosagauge/impl/decisions/coordination/asker.h"
#include "mimosagauge/impl/decisions/effects.h"
#include "mimosagauge/impl/decisions/events.h"
#include "mimosagauge/impl/decisions/freshness/freshness.h"
#include "mimosagauge/impl/decisions/freshness/written_answers.h"
#include "mimosagauge/impl/decisions/gateway_metrics.h"
#include "mimosagauge/impl/decisions/hedging/hedging.h"
#include "mimosagauge/impl/decisions/once/claim_committer.h"
#include "mimosagauge/impl/decisions/once/key_table.h"
#include "mimosagauge/impl/decisions/outcome.h"
#include "mimosagauge/impl/decisions/poison_content.h"
#include "mimosagauge/impl/decisions/retry_budget.h"
#include "mimosagauge/impl/decisions/routes.h"
#include "mimosagauge/impl/decisions/rules_spread.h"
#include "mimosagauge/impl/decisions/streams/stream_continuity.h"
#include "mimosagauge/impl/decisions/traffic_plan/region_reports.h"
#include "mimosagauge/impl/decisions/upstream_table.h"
#include "mimosagauge/impl/decisions/waiting_queue.h"

namespace mimosagauge {

/// \brief One attempt to run a request on an upstream or on another instance.
struct Attempt {
  AttemptNumber number;
  std::variant<UpstreamId, InstanceId> target;
  TimePoint started{};
  LatencyEstimate expected{};  ///< Estimate when the attempt was started.
  double prompt_tokens = 0;    ///< Prompt tokens that are counted as unread
                               ///< at the upstream until the answer begins.
  bool answered = false;       ///< The prompt is no longer counted as unread.
  bool has_error_status = false;  ///< The answer's status is 500 or higher.
  bool body_began = false;        ///< Part of the answer's body was received.
  UpstreamStart start{};  ///< Of the upstream when the attempt was started.
  SoftwareVersion software{};    ///< Of the upstream, at the same time.
  bool paused_upstream = false;  ///< The upstream asked for a pause in its
                                 ///< answer, which is not a failure.
  Duration reference{};   ///< Time until the answer begins at an idle upstream.
  bool is_hedge = false;  ///< It was started because another attempt is late.
};

/// \brief State of a request that has an idempotency key.
struct KeyedState {
  KeyFingerprint key;
  bool is_runner = false;  ///< This request was chosen to run the key.
  bool forwarded = false;  ///< The request was sent to the key's owner.
  /// The answer received so far, recorded for resends; null: not recorded.
  std::shared_ptr<RecordedAnswer> recording;
};

/// \brief A request in progress.
struct RequestRecord {
  RequestArrived arrival;
  Verdict verdict;  ///< From the rules in force at the last decision.
  TimePoint arrived;
  TimePoint due;  ///< When the answer is due.
  /// Until when the caller may send the request again, by its own deadline; at
  /// least `due`.
  TimePoint caller_due;
  Outcome outcome;
  std::vector<Place> visited;      ///< Instances and upstreams that the request
                                   ///< passed before and was tried on from
                                   ///< here, in order.
  std::size_t attempts = 0;        ///< Attempts started here so far.
  std::size_t runs = 0;            ///< Attempts that may have run, including
                                   ///< those before it arrived here.
  double route_draw = 0;           ///< Random number from 0 to 1 that selects
                                   ///< one of the route's services.
  Duration time_to_head{};         ///< Time from arrival to the answer's head;
                                   ///< zero: no head was received yet.
  std::optional<Attempt> running;  ///< The running attempt, if any.
  /// A second running attempt, at another upstream. Set only while `running` is
  /// set and neither has a usable answer.
  std::optional<Attempt> hedge;
  bool hedged = false;     ///< A hedge was started.
  bool hedge_won = false;  ///< The answer is the hedge's.
  /// When the request is checked for a second attempt; empty: it is not.
  std::optional<TimePoint> hedge_check_at;
  /// Position in the waiting queue; empty: the request does not wait.
  std::optional<QueuedRequest> queue_position;
  TimePoint wait_until{};  ///< When a request that still waits is refused;
                           ///< zero: it is not limited.
  /// Version that began the stream, which alone may continue it; empty: no
  /// event has been received, or the version is not known.
  SoftwareVersion software;
  /// It waits until the version that began the stream is found.
  bool awaits_origin = false;
  bool origin_recorded = false;  ///< Of the stream that is its answer.
  bool resuming = false;         ///< The attempt continues a stream that broke.
  std::optional<std::string> last_event_id;  ///< Id of the last event that
                                             ///< the caller received.
  bool resumable = false;  ///< The answer is an event stream whose
                           ///< events have ids so far.
  Bytes unconsumed;        ///< Body bytes sent to the receiver of the answer
                           ///< and not yet consumed by it.
  std::optional<KeyedState> keyed;  ///< Set only for requests that have
                                    ///< a key and are not idempotent.
  bool completed = false;           ///< The answer was received completely.
  bool detached = false;       ///< The sender disconnected; the run continues.
  std::string last_failure;    ///< Error message of the last failed attempt.
  RequestPlacement placement;  ///< Of the current attempt at an engine.
  /// Units of the account's allowance charged for its run; empty: none.
  std::optional<AllowanceCharge> charge;
  bool awaits_allowance = false;  ///< It is held until it is charged.
};

/// \brief State of another instance, as seen by this one.
struct PeerState {
  PeerConfig config;
  bool up = false;  ///< The link to it is usable.
  /// When it announced that it is leaving; empty: it is not leaving.
  std::optional<TimePoint> leaving_since;
  bool listed = true;  ///< It is registered, or listed in the settings.
  bool link_requested = false;  ///< A link to it has been requested.
  /// The link was requested for messages about allowances, and no requests are
  /// forwarded over it: all instances have such links to the same few others.
  bool only_for_allowances = false;
};

/// \brief The capacity that another region offers, by service.
struct RegionOffers {
  std::unordered_map<ServiceId, ServiceOffer> services;
  TimePoint received_at{};  ///< When the last digest with offers was received.
};

/// \brief The complete state of the gateway state machine of one instance.
struct Gateway {
  GatewayConfig config;
  std::shared_ptr<const RuleSet> rules;  ///< Null until rules are received.
  /// The operators' configuration; null until one is received. Once set, it is
  /// used instead of the rules.
  std::shared_ptr<const RouteCatalogue> catalogue;
  RulesGossip spread;  ///< Exchanges rules with the other instances; its
                       ///< rules are the same as `rules`.
  UpstreamTable upstreams;
  /// Last record of each upstream that was registered at run time. The records
  /// are applied again when the catalogue changes.
  std::unordered_map<UpstreamId, UpstreamRecord> upstream_records;
  std::set<ZoneId> evacuated_zones;  ///< Zones whose upstreams get no requests.
  /// Prompt parts that upstreams have read since the last digest, to be sent to
  /// the instances of this region.
  std::vector<PartRead> parts_read;
  TimePoint next_digest_at{};  ///< When the next digest is sent to the
                               ///< instances of this region.
  TimePoint next_offers_at{};  ///< When the next offers are sent to other
                               ///< regions.
  std::vector<PeerState> peers;
  std::unordered_map<RegionId, RegionOffers> offers;  ///< Offers of the other
                                                      ///< regions.
  /// Offers of this region, as sent to other regions.
  std::unordered_map<ServiceId, ServiceOffer> own_offers;
  RegionTraffic traffic;  ///< Used only if the traffic is planned.
  /// The newest change of the store received here.
  StorePosition store_seen;
  /// When another instance was first found to have received a newer change of
  /// the store; empty: none has.
  std::optional<TimePoint> store_behind_since;
  /// All requests in progress. A request is erased when its answer is closed.
  std::unordered_map<RequestNumber, RequestRecord> requests;
  /// The running attempts. Events of an attempt that is not listed here are
  /// discarded, because the attempt has ended.
  std::unordered_map<AttemptNumber, RequestNumber> attempts;
  /// When requests are checked for expiry: at their due time, at the end of its
  /// grace period and at the end of their time in the queue.
  std::set<std::pair<TimePoint, RequestNumber>> deadlines;
  WaitingQueue waiting;
  /// Services with new capacity, whose waiting requests are tried next.
  std::set<ServiceId> freed_services;
  bool all_services_freed = false;  ///< All services are tried next.
  KeyTable keys;
  ClaimCommitter claims;
  std::unordered_map<ServiceId, RetryBudget> budgets;
  HedgingState hedging;
  PoisonTable poison;
  PlacementState placement;
  /// Requests lost at upstreams of which it is not known yet whether their
  /// process has ended.
  std::unordered_map<UpstreamId, UnconfirmedLoss> unconfirmed_losses;
  /// Rate limits of upstreams heard since the last digest to the instances of
  /// this region.
  std::unordered_map<UpstreamHash, NamedLimit> limits_heard;
  Confirmation confirmation;
  /// Whether the last log entry about it said that keys are accepted.
  bool logged_accepting_keys = false;
  RefusalLog account_refusals;
  Freshness freshness;
  StreamContinuity streams;
  WrittenAnswers unwritten;
  AttemptNumber last_attempt;
  std::optional<TimePoint> drain_started;  ///< Empty: not draining.
  bool refusing_requests = false;  ///< The leave notice is over, and new
                                   ///< requests are refused.
  bool finished = false;  ///< The effect that ends the drain was emitted.
  Allowances allowances;
  /// When the lack of a lender was last logged.
  TimePoint lender_missing_logged{};
  GatewayMetrics metrics;
  /// When a view was last published; zero: the next one is published at once.
  TimePoint last_view_at{};
  std::string metrics_text;  ///< Prometheus text as of `metrics_text_at`.
  TimePoint metrics_text_at{};
  std::mt19937_64 random;
};

/// \brief Creates the state machine.
/// \param now The start time, from which the expiry of tickets is counted.
/// \param seed The seed of all random numbers.
/// \returns The initial state, with no requests.
[[nodiscard]] Gateway MakeGateway(GatewayConfig config, TimePoint now,
                                  std::uint64_t seed);

/// \brief Processes one event, including all work that is due at `now`.
/// \param now The current time; never earlier than in the previous call.
/// \returns The effects to carry out, in order.
[[nodiscard]] std::vector<Effect> Step(Gateway& gateway, TimePoint now,
                                       Event event);

/// \returns The view of this instance to show to callers and operators.
[[nodiscard]] InstanceView View(const Gateway& gateway, TimePoint now);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_GATEWAY_H_
