// Sorts rules into buckets and finds the buckets of a request.

#include "mimosagauge/impl/rules/rule_index.h"

#include <algorithm>
#include <utility>

#include "mimosagauge/impl/rules/pattern.h"

namespace mimosagauge {
namespace {

/// \brief What the rules of one bucket share.
struct BucketKey {
  RuleCondition::Trait trait = RuleCondition::Trait::kService;
  bool literal = false;
  std::string_view text;
};

/// Rules by key, over all kinds.
using Counts =
    std::array<std::array<std::unordered_map<std::string_view, std::size_t>, 2>,
               kRuleTraits.size()>;

[[nodiscard]] BucketKey KeyOf(const RuleCondition& condition) {
  return {condition.trait, IsLiteral(condition.pattern),
          LiteralPrefix(condition.pattern)};
}

[[nodiscard]] std::size_t& CountOf(Counts& counts, const BucketKey& key) {
  return counts[static_cast<std::size_t>(key.trait)][key.literal ? 1 : 0]
               [key.text];
}

[[nodiscard]] Counts CountKeys(const std::vector<Rule>& rules) {
  Counts counts;
  for (const Rule& rule : rules) {
    for (const RuleCondition& condition : rule.conditions) {
      ++CountOf(counts, KeyOf(condition));
    }
  }
  return counts;
}

/// \returns The bucket of the rule's rarest key.
[[nodiscard]] RuleBucket& BucketFor(const Rule& rule, Counts& counts,
                                    RuleIndex& index) {
  BucketKey best;
  std::size_t best_count = SIZE_MAX;
  for (const RuleCondition& condition : rule.conditions) {
    const BucketKey key = KeyOf(condition);
    const std::size_t count = CountOf(counts, key);
    if (!key.text.empty() && count < best_count) {
      best = key;
      best_count = count;
    }
  }
  if (best.text.empty()) {
    return index.rest;
  }
  TraitIndex& trait = index.traits[static_cast<std::size_t>(best.trait)];
  RuleBuckets& buckets = best.literal ? trait.literals : trait.prefixes;
  return buckets[std::string(best.text)];
}

void NoteLengths(TraitIndex& index) {
  std::vector<std::size_t>& lengths = index.prefix_lengths;
  for (const auto& [prefix, bucket] : index.prefixes) {
    lengths.push_back(prefix.size());
  }
  std::sort(lengths.begin(), lengths.end());
  lengths.erase(std::unique(lengths.begin(), lengths.end()), lengths.end());
}

void AppendBucket(const RuleBuckets& buckets, std::string_view text,
                  BucketList& list) {
  const auto found = buckets.find(text);
  if (found != buckets.end()) {
    list.push_back(&found->second);
  }
}

}  // namespace

RuleIndex BuildRuleIndex(const std::vector<Rule>& rules) {
  RuleIndex index;
  Counts counts = CountKeys(rules);
  for (std::uint32_t position = 0; position < rules.size(); ++position) {
    const Rule& rule = rules[position];
    RuleBucket& bucket = BucketFor(rule, counts, index);
    bucket.positions[rule.action.index()].push_back(position);
  }
  for (TraitIndex& trait : index.traits) {
    NoteLengths(trait);
  }
  return index;
}

void AppendBuckets(const TraitIndex& index, std::string_view pattern,
                   BucketList& buckets) {
  const std::string_view prefix = LiteralPrefix(pattern);
  if (prefix.empty()) {
    return;
  }
  if (prefix.size() == pattern.size() && !index.literals.empty()) {
    AppendBucket(index.literals, pattern, buckets);
  }
  for (const std::size_t length : index.prefix_lengths) {
    if (length > prefix.size()) {
      break;
    }
    AppendBucket(index.prefixes, prefix.substr(0, length), buckets);
  }
}

}  // namespace mimosagauge
