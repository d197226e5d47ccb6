// Finds the few rules that can match one request among thousands.

#ifndef MIMOSAGAUGE_IMPL_RULES_RULE_INDEX_H_
#define MIMOSAGAUGE_IMPL_RULES_RULE_INDEX_H_

#include <array>
#include <boost/container/small_vector.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "mimosagauge/impl/rules/rule_set.h"
#include "mimosagauge/impl/rules/rule_text.h"

namespace mimosagauge {

/// \brief Rules that share one literal text or prefix: for each kind their
/// positions in `RuleSet::rules`, ascending.
struct RuleBucket {
  std::array<std::vector<std::uint32_t>, kRuleKinds.size()> positions;
};

/// \brief Hashes texts and views of texts alike.
struct TextHash {
  using is_transparent = void;  // NOLINT(readability-identifier-naming)
  [[nodiscard]] std::size_t operator()(std::string_view text) const noexcept {
    return std::hash<std::string_view>{}(text);
  }
};

using RuleBuckets =
    std::unordered_map<std::string, RuleBucket, TextHash, std::equal_to<>>;

/// \brief The buckets of the rules that are found by one trait.
struct TraitIndex {
  RuleBuckets literals;  ///< By a pattern without `*`.
  RuleBuckets prefixes;  ///< By the literal text before the first `*`.
  /// Lengths of the keys of `prefixes`, ascending, each once, never 0.
  std::vector<std::size_t> prefix_lengths;
};

/// \brief All rules of a rule set, each in exactly one bucket.
///
/// A rule lies in the bucket of the one of its conditions that the fewest
/// other rules share.
struct RuleIndex {
  std::array<TraitIndex, kRuleTraits.size()> traits;
  RuleBucket rest;  ///< Rules without a literal text or prefix.
};

/// Buckets that may hold matching rules.
using BucketList = boost::container::small_vector<const RuleBucket*, 32>;

/// \brief Sorts the rules into buckets.
[[nodiscard]] RuleIndex BuildRuleIndex(const std::vector<Rule>& rules);

/// \brief Appends the buckets of the rules that may cover `pattern`; a text
/// without `*` counts as a pattern that matches it alone.
void AppendBuckets(const TraitIndex& index, std::string_view pattern,
                   BucketList& buckets);

inline constexpr std::uint32_t kNoRule = UINT32_MAX;

/// \brief Finds the first rule of one kind that `matches` accepts.
/// \param before Only rules before this position count.
/// \returns Its position, or `kNoRule`.
template <typename Matches>
[[nodiscard]] std::uint32_t FindFirstRule(const BucketList& buckets,
                                          RuleKind kind, std::uint32_t before,
                                          Matches matches) {
  std::uint32_t first = before;
  for (const RuleBucket* bucket : buckets) {
    for (const std::uint32_t position :
         bucket->positions[static_cast<std::size_t>(kind)]) {
      if (position >= first) {
        break;
      }
      if (matches(position)) {
        first = position;
        break;
      }
    }
  }
  return first == before ? kNoRule : first;
}

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_RULES_RULE_INDEX_H_
