// Index that finds, among thousands of rules, the few that can match a request.

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

/// \brief Rules that share the same literal text or prefix: for each kind,
/// their positions in `RuleSet::rules` in ascending order.
struct RuleBucket {
  std::array<std::vector<std::uint32_t>, kRuleKinds.size()> positions;
};

/// \brief Hashes strings and string views, so that a map with string keys can
/// be searched by a view.
struct TextHash {
  using is_transparent = void;  // NOLINT(readability-identifier-naming)
  [[nodiscard]] std::size_t operator()(std::string_view text) const noexcept {
    return std::hash<std::string_view>{}(text);
  }
};

using RuleBuckets =
    std::unordered_map<std::string, RuleBucket, TextHash, std::equal_to<>>;

/// \brief The buckets of the rules that are indexed by the same trait.
struct TraitIndex {
  /// Buckets by the whole pattern, for patterns without `*`.
  RuleBuckets literals;
  RuleBuckets prefixes;  ///< Buckets by the literal text before the first `*`.
  /// The different lengths of the keys of `prefixes`, ascending; never 0.
  std::vector<std::size_t> prefix_lengths;
};

/// \brief Index of all rules of a rule set, each in exactly one bucket.
///
/// A rule is stored in the bucket of that one of its conditions that the fewest
/// other rules share.
struct RuleIndex {
  std::array<TraitIndex, kRuleTraits.size()> traits;
  RuleBucket unkeyed;  ///< Rules without any literal text or prefix.
};

/// The buckets that may contain matching rules.
using BucketList = boost::container::small_vector<const RuleBucket*, 32>;

/// \returns An index of the rules.
[[nodiscard]] RuleIndex BuildRuleIndex(const std::vector<Rule>& rules);

/// \brief Appends the buckets of the rules whose condition may cover `pattern`.
/// A text without `*` is a pattern that matches only this text.
void AppendCandidateBuckets(const TraitIndex& index, std::string_view pattern,
                            BucketList& buckets);

/// Position that stands for no rule.
inline constexpr std::uint32_t kNoRule = UINT32_MAX;

/// \brief Finds the first rule of one kind for which `matches` returns true.
/// \param buckets The buckets to search.
/// \param end Only rules at positions below this one are searched.
/// \returns The position of the rule in `RuleSet::rules`, or `kNoRule`.
template <typename Matches>
[[nodiscard]] std::uint32_t FindFirstRule(const BucketList& buckets,
                                          RuleKind kind, std::uint32_t end,
                                          Matches matches) {
  std::uint32_t first = end;
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
  return first == end ? kNoRule : first;
}

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_RULES_RULE_INDEX_H_
