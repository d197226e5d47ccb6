// Applies rules to a request.

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <variant>

#include "mimosagauge/impl/rules/pattern.h"
#include "mimosagauge/impl/rules/rule_index.h"
#include "mimosagauge/impl/rules/rule_set.h"
#include "mimosagauge/impl/rules/rule_text.h"

namespace mimosagauge {
namespace {

[[nodiscard]] bool Matches(const Rule& rule, const RequestTraits& traits) {
  return std::all_of(rule.conditions.begin(), rule.conditions.end(),
                     [&traits](const RuleCondition& condition) {
                       return PatternMatches(
                           condition.pattern,
                           TraitValue(traits, condition.trait));
                     });
}

void AppendTraitBuckets(const RuleIndex& index, const RequestTraits& traits,
                        RuleCondition::Trait trait, BucketList& buckets) {
  AppendCandidateBuckets(index.traits[static_cast<std::size_t>(trait)],
                         TraitValue(traits, trait), buckets);
}

/// \returns The buckets for all traits except the service, which a `route` rule
/// may change.
[[nodiscard]] BucketList BucketsExceptService(const RuleIndex& index,
                                              const RequestTraits& traits) {
  BucketList buckets;
  buckets.push_back(&index.unkeyed);
  for (const RuleCondition::Trait trait : kRuleTraits) {
    if (trait != RuleCondition::Trait::kService) {
      AppendTraitBuckets(index, traits, trait, buckets);
    }
  }
  return buckets;
}

void ApplyAction(const RouteAction& action, Verdict& verdict) {
  verdict.service = action.service;
}

void ApplyAction(const StayAction& action, Verdict& verdict) {
  verdict.regions = action.regions;
}

void ApplyAction(const PriorityAction& action, Verdict& verdict) {
  verdict.priority = action.priority;
}

void ApplyAction(const RetryAction& action, Verdict& verdict) {
  verdict.idempotent = action.idempotent;
}

void ApplyAction(const DueAction& action, Verdict& verdict) {
  verdict.due = action.within;
}

void ApplyFirstMatch(const RuleSet& rules, const BucketList& buckets,
                     RuleKind kind, const RequestTraits& traits,
                     Verdict& verdict) {
  const std::uint32_t first =
      FindFirstRule(buckets, kind, kNoRule, [&](std::uint32_t position) {
        return Matches(rules.rules[position], traits);
      });
  if (first == kNoRule) {
    return;
  }
  const Rule& rule = rules.rules[first];
  std::visit([&verdict](const auto& action) { ApplyAction(action, verdict); },
             rule.action);
  verdict.lines.push_back(rule.line);
}

[[nodiscard]] Verdict DecideWithIndex(const RuleIndex& index,
                                      const RuleSet& rules,
                                      const RequestTraits& traits) {
  constexpr auto kService = RuleCondition::Trait::kService;
  Verdict verdict;
  verdict.service = traits.service;
  verdict.lines.reserve(kRuleKinds.size());
  BucketList buckets = BucketsExceptService(index, traits);
  const std::size_t count_except_service = buckets.size();
  AppendTraitBuckets(index, traits, kService, buckets);
  ApplyFirstMatch(rules, buckets, RuleKind::kRoute, traits, verdict);
  RequestTraits routed = traits;
  routed.service = verdict.service;
  buckets.resize(count_except_service);
  AppendTraitBuckets(index, routed, kService, buckets);
  for (const RuleKind kind : kRuleKinds) {
    if (kind != RuleKind::kRoute) {
      ApplyFirstMatch(rules, buckets, kind, routed, verdict);
    }
  }
  return verdict;
}

}  // namespace

Verdict DecideByRules(const RuleSet& rules, const RequestTraits& traits) {
  if (!rules.index) {
    return DecideWithIndex(BuildRuleIndex(rules.rules), rules, traits);
  }
  return DecideWithIndex(*rules.index, rules, traits);
}

}  // namespace mimosagauge
