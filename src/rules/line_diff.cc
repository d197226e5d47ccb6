// Patience diff: lines that occur once on both sides are matched first, then
// their equal neighbours.

#include "mimosagauge/impl/rules/line_diff.h"

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace mimosagauge {
namespace {

constexpr std::size_t kNone = static_cast<std::size_t>(-1);

/// \brief How often a line occurs and where it was last seen.
struct Occurrence {
  std::size_t base_count = 0;
  std::size_t side_count = 0;
  std::size_t base = kNone;
  std::size_t side = kNone;
};

/// A line of each text, equal to each other.
using Pair = std::pair<std::size_t, std::size_t>;

/// \returns Lines that occur once in each text, in the order of `base`.
[[nodiscard]] std::vector<Pair> UniquePairs(const Lines& base,
                                            const Lines& side) {
  std::unordered_map<std::string_view, Occurrence> occurrences;
  for (std::size_t i = 0; i < base.size(); ++i) {
    Occurrence& occurrence = occurrences[base[i]];
    ++occurrence.base_count;
    occurrence.base = i;
  }
  for (std::size_t i = 0; i < side.size(); ++i) {
    Occurrence& occurrence = occurrences[side[i]];
    ++occurrence.side_count;
    occurrence.side = i;
  }
  std::vector<Pair> pairs;
  for (std::size_t i = 0; i < base.size(); ++i) {
    const Occurrence& occurrence = occurrences[base[i]];
    if (occurrence.base_count == 1 && occurrence.side_count == 1) {
      pairs.emplace_back(i, occurrence.side);
    }
  }
  return pairs;
}

/// \returns The longest part of `pairs` that also rises in `second`.
[[nodiscard]] std::vector<Pair> LongestRising(const std::vector<Pair>& pairs) {
  std::vector<std::size_t> tails;  // Ends of the best runs, by length.
  std::vector<std::size_t> previous(pairs.size(), kNone);
  for (std::size_t i = 0; i < pairs.size(); ++i) {
    const auto place =
        std::lower_bound(tails.begin(), tails.end(), pairs[i].second,
                         [&pairs](std::size_t tail, std::size_t second) {
                           return pairs[tail].second < second;
                         });
    if (place != tails.begin()) {
      previous[i] = *std::prev(place);
    }
    if (place == tails.end()) {
      tails.push_back(i);
    } else {
      *place = i;
    }
  }
  std::vector<Pair> rising;
  for (std::size_t i = tails.empty() ? kNone : tails.back(); i != kNone;
       i = previous[i]) {
    rising.push_back(pairs[i]);
  }
  std::reverse(rising.begin(), rising.end());
  return rising;
}

void AddEdits(std::size_t base_begin, std::size_t base_end,
              std::size_t side_begin, std::size_t side_end,
              std::vector<LineEdit>& edits) {
  const std::size_t count = base_end - base_begin;
  if (count == side_end - side_begin) {
    for (std::size_t i = 0; i < count; ++i) {
      edits.push_back({base_begin + i, base_begin + i + 1, side_begin + i,
                       side_begin + i + 1});
    }
    return;
  }
  if (side_begin == side_end) {
    for (std::size_t i = base_begin; i < base_end; ++i) {
      edits.push_back({i, i + 1, side_begin, side_begin});
    }
    return;
  }
  edits.push_back({base_begin, base_end, side_begin, side_end});
}

/// \brief Matches equal lines from both ends of a gap and edits the rest.
void DiffGap(const Lines& base, Pair base_range, const Lines& side,
             Pair side_range, std::vector<LineEdit>& edits) {
  auto [base_begin, base_end] = base_range;
  auto [side_begin, side_end] = side_range;
  while (base_begin < base_end && side_begin < side_end &&
         base[base_begin] == side[side_begin]) {
    ++base_begin;
    ++side_begin;
  }
  while (base_begin < base_end && side_begin < side_end &&
         base[base_end - 1] == side[side_end - 1]) {
    --base_end;
    --side_end;
  }
  AddEdits(base_begin, base_end, side_begin, side_end, edits);
}

}  // namespace

Lines SplitLines(std::string_view text) {
  Lines lines;
  std::size_t start = 0;
  while (start < text.size()) {
    const std::size_t end = std::min(text.find('\n', start), text.size());
    lines.push_back(text.substr(start, end - start));
    start = end + 1;
  }
  return lines;
}

std::vector<LineEdit> DiffLines(const Lines& base, const Lines& side) {
  std::vector<LineEdit> edits;
  std::size_t base_begin = 0;
  std::size_t side_begin = 0;
  for (const auto& [base_at, side_at] :
       LongestRising(UniquePairs(base, side))) {
    DiffGap(base, {base_begin, base_at}, side, {side_begin, side_at}, edits);
    base_begin = base_at + 1;
    side_begin = side_at + 1;
  }
  DiffGap(base, {base_begin, base.size()}, side, {side_begin, side.size()},
          edits);
  return edits;
}

}  // namespace mimosagauge
