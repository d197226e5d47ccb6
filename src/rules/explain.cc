// Explains which rules apply to a request, and why the others do not.

#include "mimosagauge/impl/rules/explain.h"

#include <fmt/format.h>

#include "mimosagauge/impl/rules/pattern.h"

namespace mimosagauge {
namespace {

[[nodiscard]] UnappliedRule EvaluateRule(const Rule& rule,
                                         const RequestTraits& traits) {
  for (const RuleCondition& condition : rule.conditions) {
    const std::string& value = TraitValue(traits, condition.trait);
    if (!PatternMatches(condition.pattern, value)) {
      return {rule, condition, value};
    }
  }
  return {rule, std::nullopt, ""};
}

[[nodiscard]] KindExplanation ExplainKind(const RuleSet& rules, RuleKind kind,
                                          const RequestTraits& traits) {
  KindExplanation explanation;
  explanation.kind = kind;
  for (const Rule& rule : rules.rules) {
    if (KindOf(rule) != kind) {
      continue;
    }
    UnappliedRule passed = EvaluateRule(rule, traits);
    if (!passed.failed && !explanation.decided) {
      explanation.decided = rule;
    } else {
      explanation.passed.push_back(std::move(passed));
    }
  }
  return explanation;
}

}  // namespace

Explanation ExplainRequest(const RuleSet& rules, const RequestTraits& traits) {
  Explanation explanation;
  explanation.verdict = DecideByRules(rules, traits);
  RequestTraits routed = traits;
  routed.service = explanation.verdict.service;
  for (const RuleKind kind : kRuleKinds) {
    explanation.kinds.push_back(
        ExplainKind(rules, kind, kind == RuleKind::kRoute ? traits : routed));
  }
  return explanation;
}

std::string ReasonNotApplied(const UnappliedRule& passed) {
  if (!passed.failed) {
    return "an earlier line decided";
  }
  const std::string actual = passed.value.empty()
                                 ? std::string("none")
                                 : fmt::format("'{}'", passed.value);
  return fmt::format("{}={}: the request has {}",
                     ToString(passed.failed->trait), passed.failed->pattern,
                     actual);
}

}  // namespace mimosagauge
