// Explains which rules apply to a request, and why the others do not.

#ifndef MIMOSAGAUGE_IMPL_RULES_EXPLAIN_H_
#define MIMOSAGAUGE_IMPL_RULES_EXPLAIN_H_

#include <optional>
#include <string>
#include <vector>

#include "mimosagauge/impl/rules/rule_set.h"
#include "mimosagauge/impl/rules/rule_text.h"
#include "mimosagauge/impl/rules/verdict.h"

namespace mimosagauge {

/// \brief A rule that was not applied to the request.
struct UnappliedRule {
  Rule rule;
  /// The first condition that the request does not meet; empty when it meets
  /// all of them but an earlier rule was applied.
  std::optional<RuleCondition> failed;
  std::string value;  ///< The request's value of the trait in `failed`.
};

/// \brief How the rules of one kind were evaluated.
struct KindExplanation {
  RuleKind kind = RuleKind::kRoute;
  /// The rule that was applied; empty when the default applies.
  std::optional<Rule> decided;
  /// The other rules, in order of their lines.
  std::vector<UnappliedRule> passed;
};

/// \brief The verdict on a request and how each kind of rule contributed to it.
struct Explanation {
  Verdict verdict;
  /// One entry for each kind, `route` first.
  std::vector<KindExplanation> kinds;
};

/// \returns The verdict, with the rules that were applied and those that were
/// not.
[[nodiscard]] Explanation ExplainRequest(const RuleSet& rules,
                                         const RequestTraits& traits);

/// \returns Why the rule was not applied, as in
/// `model=quote-*: the request has none`.
[[nodiscard]] std::string ReasonNotApplied(const UnappliedRule& passed);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_RULES_EXPLAIN_H_
