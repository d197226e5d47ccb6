// Parsed rules, ready to be applied to requests.

#ifndef MIMOSAGAUGE_IMPL_RULES_RULE_SET_H_
#define MIMOSAGAUGE_IMPL_RULES_RULE_SET_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "mimosagauge/impl/core/ids.h"
#include "mimosagauge/impl/rules/verdict.h"

namespace mimosagauge {

/// \brief A fault in a rules text and its position.
struct RuleFault {
  std::uint32_t line = 0;    ///< Counted from 1.
  std::uint32_t column = 0;  ///< Counted in bytes, from 1.
  std::string message;       ///< What is wrong.
  std::string remedy;        ///< What to do about it.
};

/// \brief A condition on a request: a trait and the pattern that its value must
/// match, where `*` matches any sequence of characters.
struct RuleCondition {
  enum class Trait : std::uint8_t {
    kService,
    kModel,
    kPath,
    kMethod,
    kAccount,
    kRegion,
  };
  Trait trait = Trait::kService;
  std::string pattern;
};

/// Routes the matching requests to a service.
struct RouteAction {
  ServiceId service;
};
/// Restricts the matching requests to these regions.
struct StayAction {
  std::vector<RegionId> regions;
};
/// Sets the priority of the matching requests; 1 is the highest.
struct PriorityAction {
  std::uint8_t priority = Verdict::kDefaultPriority;
};
/// Declares whether the matching requests are idempotent, so that they may be
/// retried.
struct RetryAction {
  bool idempotent = false;
};
/// Sets the time from entry in which the matching requests must be answered.
struct DueAction {
  Duration within{};
};
using RuleAction = std::variant<RouteAction, StayAction, PriorityAction,
                                RetryAction, DueAction>;

/// \brief One rule, from one line of the text.
struct Rule {
  std::uint32_t line = 0;  ///< Counted from 1.
  RuleAction action;
  std::vector<RuleCondition> conditions;  ///< A request must meet all of them.
  std::string asked_by;  ///< Who asked for the rule; never empty.
};

struct RuleIndex;

/// \brief The rules of a parsed text.
///
/// For each kind of action, the first matching line is applied. The `route`
/// lines are evaluated first; the lines of other kinds match on the service
/// that was routed to.
struct RuleSet {
  Revision revision;  ///< Assigned by the store; zero before it is accepted.
  std::string text;   ///< The exact text that the rules were parsed from.
  std::vector<Rule> rules;
  /// Index of `rules`. Null when the rule set was not made by `ParseRules`;
  /// then every decision builds the index again.
  std::shared_ptr<const RuleIndex> index;
};

/// \brief Parses and checks a whole rules text.
/// \param faults Every fault is appended to it.
/// \returns The rules; valid only if no fault was appended.
[[nodiscard]] RuleSet ParseRules(std::string_view text,
                                 std::vector<RuleFault>& faults);

/// \brief Applies the rules to a request.
/// \returns The verdict; it has the default for every kind without a matching
/// rule.
[[nodiscard]] Verdict DecideByRules(const RuleSet& rules,
                                    const RequestTraits& traits);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_RULES_RULE_SET_H_
