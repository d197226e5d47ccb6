// A rules text, checked and ready to decide requests.

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

/// \brief A fault in a rules text, by place.
struct RuleFault {
  std::uint32_t line = 0;    ///< From 1.
  std::uint32_t column = 0;  ///< From 1.
  std::string message;
  std::string remedy;
};

/// \brief One condition on a request: a trait and a pattern, `*` for any run
/// of characters.
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

/// Names the service that the matching requests go to.
struct RouteAction {
  ServiceId service;
};
/// Names the only regions that may serve the matching requests.
struct StayAction {
  std::vector<RegionId> regions;
};
/// Gives the matching requests a priority, 1 first.
struct PriorityAction {
  std::uint8_t priority = Verdict::kDefaultPriority;
};
/// Says whether the matching requests are idempotent.
struct RetryAction {
  bool idempotent = false;
};
/// Says by when the matching requests are to be answered.
struct DueAction {
  Duration within{};
};
using RuleAction = std::variant<RouteAction, StayAction, PriorityAction,
                                RetryAction, DueAction>;

/// \brief One line of the rules.
struct Rule {
  std::uint32_t line = 0;
  RuleAction action;
  std::vector<RuleCondition> conditions;  ///< All must hold.
  std::string asked_by;                   ///< Never empty.
};

struct RuleIndex;

/// \brief A rules text, checked.
///
/// For each kind of action the first line that matches decides. The `route`
/// lines decide first; the others see the service they named.
struct RuleSet {
  Revision revision;  ///< Given by the store; zero before it is accepted.
  std::string text;   ///< The text it was made from, to the letter.
  std::vector<Rule> rules;
  /// Of `rules`; null when they were put together by hand, which makes every
  /// decision build it anew.
  std::shared_ptr<const RuleIndex> index;
};

/// \brief Checks a rules text whole.
/// \returns The rules; every fault is appended to `faults`, and the rule set
/// holds only when none was.
[[nodiscard]] RuleSet ParseRules(std::string_view text,
                                 std::vector<RuleFault>& faults);

/// \brief Applies the rules to one request.
[[nodiscard]] Verdict Decide(const RuleSet& rules, const RequestTraits& traits);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_RULES_RULE_SET_H_
