// Applies rules to one request.

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
                       return PatternMatches(condition.pattern,
                                             TraitOf(traits, condition.trait));
                     });
}

void AppendTrait(const RuleIndex& index, const RequestTraits& traits,
                 RuleCondition::Trait trait, BucketList& buckets) {
  AppendBuckets(index.traits[static_cast<std::size_t>(trait)],
                TraitOf(traits, trait), buckets);
}

/// \returns The buckets for all traits but the service, which may change.
[[nodiscard]] BucketList FixedBuckets(const RuleIndex& index,
                                      const RequestTraits& traits) {
  BucketList buckets;
  buckets.push_back(&index.rest);
  for (const RuleCondition::Trait trait : kRuleTraits) {
    if (trait != RuleCondition::Trait::kService) {
      AppendTrait(index, traits, trait, buckets);
    }
  }
  return buckets;
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

void ApplyFirst(const RuleSet& rules, const BucketList& buckets, RuleKind kind,
                const RequestTraits& traits, Verdict& verdict) {
  const std::uint32_t first =
      FindFirstRule(buckets, kind, kNoRule, [&](std::uint32_t position) {
        return Matches(rules.rules[position], traits);
      });
  if (first == kNoRule) {
    return;
  }
  const Rule& rule = rules.rules[first];
  std::visit([&verdict](const auto& action) { Apply(action, verdict); },
             rule.action);
  verdict.lines.push_back(rule.line);
}

[[nodiscard]] Verdict DecideWith(const RuleIndex& index, const RuleSet& rules,
                                 const RequestTraits& traits) {
  constexpr auto kService = RuleCondition::Trait::kService;
  Verdict verdict;
  verdict.service = traits.service;
  verdict.lines.reserve(kRuleKinds.size());
  BucketList buckets = FixedBuckets(index, traits);
  const std::size_t fixed = buckets.size();
  AppendTrait(index, traits, kService, buckets);
  ApplyFirst(rules, buckets, RuleKind::kRoute, traits, verdict);
  RequestTraits routed = traits;
  routed.service = verdict.service;
  buckets.resize(fixed);
  AppendTrait(index, routed, kService, buckets);
  for (const RuleKind kind : kRuleKinds) {
    if (kind != RuleKind::kRoute) {
      ApplyFirst(rules, buckets, kind, routed, verdict);
    }
  }
  return verdict;
}

}  // namespace

Verdict Decide(const RuleSet& rules, const RequestTraits& traits) {
  if (!rules.index) {
    return DecideWith(BuildRuleIndex(rules.rules), rules, traits);
  }
  return DecideWith(*rules.index, rules, traits);
}

}  // namespace mimosagauge
