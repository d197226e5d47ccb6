// The life of requests in one instance: admitted, waiting, tried, answered.

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

#include "mimosagauge/impl/decisions/config.h"
#include "mimosagauge/impl/decisions/effects.h"
#include "mimosagauge/impl/decisions/events.h"
#include "mimosagauge/impl/decisions/gateway_metrics.h"
#include "mimosagauge/impl/decisions/once/claim_committer.h"
#include "mimosagauge/impl/decisions/once/key_table.h"
#include "mimosagauge/impl/decisions/outcome.h"
#include "mimosagauge/impl/decisions/retry_budget.h"
#include "mimosagauge/impl/decisions/routes.h"
#include "mimosagauge/impl/decisions/rules_spread.h"
#include "mimosagauge/impl/decisions/upstream_table.h"
#include "mimosagauge/impl/decisions/waiting_queue.h"

namespace mimosagauge {

/// \brief One try to have a request run.
struct Attempt {
  AttemptNumber number;
  std::variant<UpstreamId, InstanceId> target;
  TimePoint started{};
  Expectation expected;
  double prompt_tokens = 0;  ///< Counted as unread at its upstream.
  bool answered = false;
  bool error_answer = false;  ///< The answer says that the upstream failed.
};

/// \brief What a request under an idempotency key has to do with its key.
struct KeyedState {
  KeyFingerprint key;
  bool runs = false;       ///< This request is the one that runs the key.
  bool forwarded = false;  ///< The key's owner has been asked.
  /// The answer so far, kept for resends; null: not kept.
  std::shared_ptr<RecordedAnswer> recording;
};

/// \brief A request in progress.
struct RequestRecord {
  RequestArrived arrival;
  Verdict verdict;  ///< Under the rules in force at the last decision.
  TimePoint arrived;
  TimePoint due;
  Outcome outcome;
  std::vector<Place> passed;  ///< Places before and tried from here, in order.
  std::size_t attempts = 0;   ///< Started so far.
  std::size_t runs = 0;       ///< Of them, those that may have run.
  double draw = 0;            ///< From 0 to 1; chooses a route's service.
  Duration first_part{};      ///< From arrival to the answer's head.
  std::optional<Attempt> running;     ///< At most one at a time.
  std::optional<WaitingPlace> place;  ///< Set while it waits for an upstream.
  TimePoint wait_until{};  ///< Then it is refused; set while it waits.
  bool resuming = false;   ///< The attempt continues an answer begun before.
  std::optional<std::string> last_event_id;  ///< Passed on to the caller.
  bool resumable = false;                    ///< The answer is a stream.
  Bytes untaken;  ///< Sent to the other side and not taken yet.
  std::optional<KeyedState> keyed;  ///< Set for non-idempotent keyed requests.
  bool whole = false;               ///< The answer came to its proper end.
  bool detached = false;     ///< Its other side is gone; the run goes on.
  std::string last_failure;  ///< Why the last attempt came to nothing.
};

/// \brief Another instance as this one sees it.
struct PeerState {
  PeerConfig config;
  bool up = false;
  /// Since when it says that it leaves; empty: it does not.
  std::optional<TimePoint> leaving;
  bool listed = true;   ///< Registered, or named in the settings.
  bool linked = false;  ///< A link to it is kept.
};

/// \brief What another region could do for this one.
struct RegionOffers {
  std::unordered_map<ServiceId, ServiceOffer> services;
  TimePoint told_at{};
};

/// \brief Everything that the decisions of one instance know.
struct Gateway {
  GatewayConfig config;
  std::shared_ptr<const RuleSet> rules;  ///< Null until the first arrive.
  /// Decides in place of the rules once there is one.
  std::shared_ptr<const RouteCatalogue> catalogue;
  RulesSpread spread;  ///< Its rules are `rules`.
  UpstreamTable upstreams;
  /// What each learned upstream said last, for a change of the catalogue.
  std::unordered_map<UpstreamId, UpstreamRecord> records;
  std::set<ZoneId> evacuated;
  /// Read since the last digest, for the instances of this region.
  std::vector<PartRead> parts_read;
  TimePoint next_digest{};  ///< To the instances of this region.
  TimePoint next_offers{};  ///< To those of other regions.
  std::vector<PeerState> peers;
  std::unordered_map<RegionId, RegionOffers> offers;  ///< Of other regions.
  /// Of this region, as other regions are told.
  std::unordered_map<ServiceId, ServiceOffer> own_offers;
  std::uint64_t store_seen = 0;  ///< Newest change of the store told here.
  /// Since when others have been told more; empty: they have not.
  std::optional<TimePoint> store_behind;
  /// Each request in progress; one is erased when its outcome is closed.
  std::unordered_map<RequestNumber, RequestRecord> requests;
  /// The running attempts; a number not in here is of the past, and events
  /// that name it are discarded.
  std::unordered_map<AttemptNumber, RequestNumber> attempts;
  std::set<std::pair<TimePoint, RequestNumber>> deadlines;
  WaitingQueue waiting;
  /// Services whose waiting requests may find a place now.
  std::set<ServiceId> freed;
  bool all_freed = false;  ///< That holds for every service.
  KeyTable keys;
  ClaimCommitter claims;
  std::unordered_map<ServiceId, RetryBudget> budgets;
  AttemptNumber last_attempt;
  std::optional<TimePoint> drain_began;
  bool refusing = false;  ///< The leave notice is over.
  bool finished = false;  ///< `Finished` has been said.
  GatewayMetrics metrics;
  TimePoint last_view{};
  std::string metrics_text;  ///< As of `metrics_at`.
  TimePoint metrics_at{};
  std::mt19937_64 random;
};

/// \param now The start, from which tickets count.
/// \param seed For everything that is drawn at random.
[[nodiscard]] Gateway MakeGateway(GatewayConfig config, TimePoint now,
                                  std::uint64_t seed);

/// \brief Learns one event.
/// \param now Never earlier than in the call before.
/// \returns What is to be done, in order.
[[nodiscard]] std::vector<Effect> Step(Gateway& gateway, TimePoint now,
                                       Event event);

/// \returns The picture to show to callers and operators.
[[nodiscard]] InstanceView View(const Gateway& gateway, TimePoint now);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_GATEWAY_H_
