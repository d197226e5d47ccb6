// How instances learn the rules from each other, so that neither a store
// outage nor a late start holds them back.
//
// Instances tell each other the revision they have, a few at once when it is
// new and one at every heartbeat otherwise. Whoever hears of a newer revision
// asks for its text; whoever hears of an older one tells its own. Revisions
// only rise.

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

/// \brief Times and bounds of the spreading.
struct RulesSpreadConfig {
  std::size_t fan_out = 4;  ///< Instances told at once of a new revision.
  Duration heartbeat = std::chrono::seconds(1);
  Duration fetch_timeout = std::chrono::seconds(2);
  std::size_t texts_per_heartbeat = 8;  ///< Sent to others.
};

/// "I have this revision"; zero: none.
struct RevisionTold {
  Revision revision;
};
/// "Send me your rules, if they are newer than this."
struct RulesAsked {
  Revision revision;
};
/// The text of a revision.
struct RulesSent {
  Revision revision;
  std::string text;
};
using RulesMessage = std::variant<RevisionTold, RulesAsked, RulesSent>;

/// First byte of an encoded rules message; tells it from other control state.
inline constexpr char kRulesMessageTag = 'R';

/// \returns The message as bytes, for `SendGossip`.
[[nodiscard]] std::string EncodeRulesMessage(const RulesMessage& message);
/// \returns The message, or `kInvalidInput`.
[[nodiscard]] Result<RulesMessage> DecodeRulesMessage(std::string_view bytes);

/// \brief A message and whom it is for.
struct RulesMessageTo {
  InstanceId to;
  RulesMessage message;
};

/// \brief What an input leads to.
struct RulesSpreadOutput {
  std::vector<RulesMessageTo> messages;
  std::shared_ptr<const RuleSet> adopted;  ///< Null: none. In force from now.
  /// Another instance sent rules that this release cannot read.
  std::vector<RuleFault> faults;
};

/// \brief What another instance is known to have.
struct KnownRevision {
  Revision revision;  ///< It has this one or a later one.
  TimePoint heard;
};

/// \brief The state of one instance.
struct RulesSpread {
  RulesSpreadConfig config;
  std::minstd_rand random;
  std::shared_ptr<const RuleSet> rules;  ///< Null: none yet.
  std::vector<InstanceId> members;       ///< The others within reach.
  std::map<InstanceId, KnownRevision> known;
  std::optional<InstanceId> asked;  ///< Whose rules are awaited.
  TimePoint asked_until;
  TimePoint next_heartbeat;
  std::size_t texts_sent = 0;  ///< Since the last heartbeat.
};

/// \returns The revision in force; zero: none.
[[nodiscard]] Revision RevisionOf(const RulesSpread& spread) noexcept;

/// \param seed Of the choice of whom to tell.
[[nodiscard]] RulesSpread MakeRulesSpread(const RulesSpreadConfig& config,
                                          std::uint64_t seed);

/// \brief Another instance has come within reach, or gone out of it.
[[nodiscard]] RulesSpreadOutput ChangeMember(RulesSpread& spread,
                                             const InstanceId& instance,
                                             bool within_reach);
/// \brief Rules came from the store. Older ones are ignored.
[[nodiscard]] RulesSpreadOutput LearnRules(
    RulesSpread& spread, std::shared_ptr<const RuleSet> rules);
/// \brief A message came from another instance.
[[nodiscard]] RulesSpreadOutput HearRules(RulesSpread& spread,
                                          const InstanceId& from,
                                          const RulesMessage& message,
                                          TimePoint now);
/// \brief Time went on.
[[nodiscard]] RulesSpreadOutput AdvanceRules(RulesSpread& spread,
                                             TimePoint now);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_RULES_SPREAD_H_
