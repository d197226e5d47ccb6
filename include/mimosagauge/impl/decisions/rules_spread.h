// Gossip of the rules between instances, so that an instance gets the current
// rules even during a store outage or after a late start.
//
// Instances announce the revision that they have in force: to a few others at
// once when it is new, and to one other at every heartbeat. An instance that
// receives the announcement of a newer revision requests its text; one that
// receives the announcement of an older revision replies with its own. The
// revision of an instance only increases.

#ifndef MIMOSAGAUGE_IMPL_DECISIONS_RULES_SPREAD_H_
#define MIMOSAGAUGE_IMPL_DECISIONS_RULES_SPREAD_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "mimosagauge/impl/core/error.h"
#include "mimosagauge/impl/core/ids.h"
#include "mimosagauge/impl/core/time.h"
#include "mimosagauge/impl/rules/rule_set.h"

namespace mimosagauge {

/// \brief Times and limits of the gossip.
struct RulesGossipConfig {
  /// Instances to which a new revision is announced at once.
  std::size_t fan_out = 4;
  /// Time between two announcements of an unchanged revision.
  Duration heartbeat = std::chrono::seconds(1);
  /// A request for rules that is not answered in this time is abandoned.
  Duration fetch_timeout = std::chrono::seconds(2);
  std::size_t max_texts_per_heartbeat =
      8;  ///< Maximum number of rules texts sent.
};

/// Announces the revision that the sender has in force; zero when it has none.
struct RevisionAnnouncement {
  Revision revision;
};
/// Requests the receiver's rules if they are newer than this revision.
struct RulesRequest {
  Revision revision;
};
/// Carries the rules text of a revision.
struct RulesResponse {
  Revision revision;
  std::string text;
};
using RulesMessage =
    std::variant<RevisionAnnouncement, RulesRequest, RulesResponse>;

/// First byte of an encoded rules message, which distinguishes it from other
/// gossip.
inline constexpr char kRulesMessageTag = 'R';

/// \returns The encoded message, to be sent with `SendGossip`.
[[nodiscard]] std::string EncodeRulesMessage(const RulesMessage& message);
/// \returns The decoded message, or `kInvalidInput` when the bytes are
/// malformed.
[[nodiscard]] Result<RulesMessage> DecodeRulesMessage(std::string_view bytes);

/// \brief A message and the instance that it is sent to.
struct AddressedRulesMessage {
  InstanceId to;
  RulesMessage message;
};

/// \brief The effects of one input.
struct RulesGossipOutput {
  std::vector<AddressedRulesMessage> messages;
  /// Rules that are in force from now on; null when they did not change.
  std::shared_ptr<const RuleSet> adopted;
  /// Faults in the rules text of another instance, which this release could not
  /// parse and did not adopt.
  std::vector<RuleFault> faults;
};

/// \brief The revision that another instance last reported.
struct ReportedRevision {
  Revision revision;  ///< The instance has this revision or a later one.
  TimePoint heard;    ///< When its last message was received.
};

/// \brief The gossip state of one instance.
struct RulesGossip {
  RulesGossipConfig config;
  std::minstd_rand random;
  /// The rules in force; null when there are none yet.
  std::shared_ptr<const RuleSet> rules;
  /// The other instances that can be reached.
  std::vector<InstanceId> members;
  /// The last reported revision of each instance that has sent a message.
  std::map<InstanceId, ReportedRevision> known;
  /// The instance whose rules have been requested; empty when there is no
  /// request.
  std::optional<InstanceId> fetching_from;
  TimePoint fetch_deadline;  ///< When the pending request times out.
  TimePoint next_heartbeat;
  /// Rules texts sent since the last heartbeat.
  std::size_t texts_since_heartbeat = 0;
};

/// \returns The revision in force; zero when there is none.
[[nodiscard]] Revision RevisionOf(const RulesGossip& spread) noexcept;

/// \returns A state without rules and members.
/// \param seed Seed of the random choice of receivers.
[[nodiscard]] RulesGossip MakeRulesGossip(const RulesGossipConfig& config,
                                          std::uint64_t seed);

/// \brief Records whether another instance can be reached.
/// \returns A first announcement if this instance has no rules and few members
/// yet.
[[nodiscard]] RulesGossipOutput SetMemberReachable(RulesGossip& spread,
                                                   const InstanceId& instance,
                                                   bool reachable);
/// \brief Adopts rules that were read from the store, unless the rules in force
/// are as new or newer.
[[nodiscard]] RulesGossipOutput AdoptRulesFromStore(
    RulesGossip& spread, std::shared_ptr<const RuleSet> rules);
/// \brief Handles a message from another instance.
/// \returns The replies, and the rules if the message brought newer ones.
[[nodiscard]] RulesGossipOutput HandleRulesMessage(RulesGossip& spread,
                                                   const InstanceId& from,
                                                   const RulesMessage& message,
                                                   TimePoint now);
/// \brief Does the work that depends on time; to be called regularly.
/// \returns The heartbeat announcement if one is due, and a new request if the
/// pending one has timed out.
[[nodiscard]] RulesGossipOutput TickRulesGossip(RulesGossip& spread,
                                                TimePoint now);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_RULES_SPREAD_H_
