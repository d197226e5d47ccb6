// Applies rules to one request.

#include <algorithm>

#include "mimosagauge/impl/rules/pattern.h"
#include "mimosagauge/impl/rules/rule_set.h"
#include "mimosagauge/impl/rules/rule_text.h"

namespace mimosagauge {
namespace {

[[nodiscard]] bool Matches(const Rule& rule, const RequestTraits& traits) {
  return std::all_of(rule.conditions.begin(), rule.conditions.end(),
                     [&traits](const RuleCondition& condition) {
                       return PatternMatches(condition.pattern,
                                             TraitOf(traits, condition.trait));
                     });
}

[[nodiscard]] const Rule* FindFirst(const RuleSet& rules, RuleKind kind,
                                    const RequestTraits& traits) {
  for (const Rule& rule : rules.rules) {
    if (KindOf(rule) == kind && Matches(rule, traits)) {
      return &rule;
    }
  }
  return nullptr;
}

void Apply(const RouteAction& action, Verdict& verdict) {
  verdict.service = action.service;
}

void Apply(const StayAction& action, Verdict& verdict) {
  verdict.regions = action.regions;
}

void Apply(const PriorityAction& action, Verdict& verdict) {
  verdict.priority = action.priority;
}

void Apply(const RetryAction& action, Verdict& verdict) {
  verdict.idempotent = action.idempotent;
}

void Apply(const DueAction& action, Verdict& verdict) {
  verdict.due = action.within;
}

void ApplyFirst(const RuleSet& rules, RuleKind kind,
                const RequestTraits& traits, Verdict& verdict) {
  const Rule* rule = FindFirst(rules, kind, traits);
  if (rule == nullptr) {
    return;
  }
  std::visit([&verdict](const auto& action) { Apply(action, verdict); },
             rule->action);
  verdict.lines.push_back(rule->line);
}

}  // namespace

Verdict Decide(const RuleSet& rules, const RequestTraits& traits) {
  Verdict verdict;
  verdict.service = traits.service;
  ApplyFirst(rules, RuleKind::kRoute, traits, verdict);
  RequestTraits routed = traits;
  routed.service = verdict.service;
  for (const RuleKind kind : kRuleKinds) {
    if (kind != RuleKind::kRoute) {
      ApplyFirst(rules, kind, routed, verdict);
    }
  }
  return verdict;
}

}  // namespace mimosagauge
