// Why the rules decide one request as they do.

#ifndef MIMOSAGAUGE_IMPL_RULES_EXPLAIN_H_
#define MIMOSAGAUGE_IMPL_RULES_EXPLAIN_H_

#include <optional>
#include <string>
#include <vector>

#include "mimosagauge/impl/rules/rule_set.h"
#include "mimosagauge/impl/rules/rule_text.h"
#include "mimosagauge/impl/rules/verdict.h"

namespace mimosagauge {

/// \brief A line that did not decide.
struct PassedRule {
  Rule rule;
  /// The first condition that does not hold; empty: all hold, but an earlier
  /// line decided.
  std::optional<RuleCondition> failed;
  std::string value;  ///< What the request has for the failed condition.
};

/// \brief What the lines of one kind did.
struct KindExplanation {
  RuleKind kind = RuleKind::kRoute;
  std::optional<Rule> decided;     ///< Empty: the default holds.
  std::vector<PassedRule> passed;  ///< By line.
};

/// \brief Why the rules decide one request as they do.
struct Explanation {
  Verdict verdict;
  std::vector<KindExplanation> kinds;  ///< One for each kind, `route` first.
};

/// \returns The verdict with the lines that decided and those that did not.
[[nodiscard]] Explanation ExplainRequest(const RuleSet& rules,
                                         const RequestTraits& traits);

/// \returns Why the line did not decide, as in
/// `model=quote-*: the request has none`.
[[nodiscard]] std::string Reason(const PassedRule& passed);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_RULES_EXPLAIN_H_
