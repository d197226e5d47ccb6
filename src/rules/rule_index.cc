// Distributes rules to buckets and finds the buckets for a request.

#include "mimosagauge/impl/rules/rule_index.h"

#include <algorithm>
#include <utility>

#include "mimosagauge/impl/rules/pattern.h"

namespace mimosagauge {
namespace {

/// \brief The condition key that all rules of a bucket share.
struct BucketKey {
  RuleCondition::Trait trait = RuleCondition::Trait::kService;
  bool literal = false;
  std::string_view text;
};

/// Number of rules of all kinds with each key, by trait and by whether the key
/// is a whole pattern.
using KeyCounts =
    std::array<std::array<std::unordered_map<std::string_view, std::size_t>, 2>,
               kRuleTraits.size()>;

[[nodiscard]] BucketKey KeyOf(const RuleCondition& condition) {
  return {condition.trait, IsLiteral(condition.pattern),
          LiteralPrefix(condition.pattern)};
}

[[nodiscard]] std::size_t& CountOf(KeyCounts& counts, const BucketKey& key) {
  return counts[static_cast<std::size_t>(key.trait)][key.literal ? 1 : 0]
               [key.text];
}

[[nodiscard]] KeyCounts CountKeys(const std::vector<Rule>& rules) {
  KeyCounts counts;
  for (const Rule& rule : rules) {
    for (const RuleCondition& condition : rule.conditions) {
      ++CountOf(counts, KeyOf(condition));
    }
  }
  return counts;
}

/// \returns The bucket for that key of the rule which the fewest rules have.
[[nodiscard]] RuleBucket& BucketFor(const Rule& rule, KeyCounts& counts,
                                    RuleIndex& index) {
  BucketKey rarest;
  std::size_t rarest_count = SIZE_MAX;
  for (const RuleCondition& condition : rule.conditions) {
    const BucketKey key = KeyOf(condition);
    const std::size_t count = CountOf(counts, key);
    if (!key.text.empty() && count < rarest_count) {
      rarest = key;
      rarest_count = count;
    }
  }
  if (rarest.text.empty()) {
    return index.unkeyed;
  }
  TraitIndex& trait = index.traits[static_cast<std::size_t>(rarest.trait)];
  RuleBuckets& buckets = rarest.literal ? trait.literals : trait.prefixes;
  return buckets[std::string(rarest.text)];
}

void CollectPrefixLengths(TraitIndex& index) {
  std::vector<std::size_t>& lengths = index.prefix_lengths;
  for (const auto& [prefix, bucket] : index.prefixes) {
    lengths.push_back(prefix.size());
  }
  std::sort(lengths.begin(), lengths.end());
  lengths.erase(std::unique(lengths.begin(), lengths.end()), lengths.end());
}

void AppendIfFound(const RuleBuckets& buckets, std::string_view text,
                   BucketList& list) {
  const auto found = buckets.find(text);
  if (found != buckets.end()) {
    list.push_back(&found->second);
  }
}

}  // namespace

RuleIndex BuildRuleIndex(const std::vector<Rule>& rules) {
  RuleIndex index;
  KeyCounts counts = CountKeys(rules);
  for (std::uint32_t position = 0; position < rules.size(); ++position) {
    const Rule& rule = rules[position];
    RuleBucket& bucket = BucketFor(rule, counts, index);
    bucket.positions[rule.action.index()].push_back(position);
  }
  for (TraitIndex& trait : index.traits) {
    CollectPrefixLengths(trait);
  }
  return index;
}

void AppendCandidateBuckets(const TraitIndex& index, std::string_view pattern,
                            BucketList& buckets) {
  const std::string_view prefix = LiteralPrefix(pattern);
  if (prefix.empty()) {
    return;
  }
  if (prefix.size() == pattern.size() && !index.literals.empty()) {
    AppendIfFound(index.literals, pattern, buckets);
  }
  for (const std::size_t length : index.prefix_lengths) {
    if (length > prefix.size()) {
      break;
    }
    AppendIfFound(index.prefixes, prefix.substr(0, length), buckets);
  }
}

}  // namespace mimosagauge
