// Patience diff: lines that occur exactly once in each text are matched first,
// then equal lines next to them.

#include "mimosagauge/impl/rules/line_diff.h"

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace mimosagauge {
namespace {

constexpr std::size_t kNoPosition = static_cast<std::size_t>(-1);

/// \brief How often a line occurs in each text, and its last position there, or
/// `kNoPosition`.
struct Occurrence {
  std::size_t base_count = 0;
  std::size_t side_count = 0;
  std::size_t base_line = kNoPosition;
  std::size_t side_line = kNoPosition;
};

/// Positions of two equal lines, the first in the base, the second in the side;
/// also used for the begin and the end of a range of lines.
using LinePair = std::pair<std::size_t, std::size_t>;

/// \returns The lines that occur exactly once in each text, in the order of
/// `base`.
[[nodiscard]] std::vector<LinePair> UniqueLinePairs(const Lines& base,
                                                    const Lines& side) {
  std::unordered_map<std::string_view, Occurrence> occurrences;
  for (std::size_t i = 0; i < base.size(); ++i) {
    Occurrence& occurrence = occurrences[base[i]];
    ++occurrence.base_count;
    occurrence.base_line = i;
  }
  for (std::size_t i = 0; i < side.size(); ++i) {
    Occurrence& occurrence = occurrences[side[i]];
    ++occurrence.side_count;
    occurrence.side_line = i;
  }
  std::vector<LinePair> pairs;
  for (std::size_t i = 0; i < base.size(); ++i) {
    const Occurrence& occurrence = occurrences[base[i]];
    if (occurrence.base_count == 1 && occurrence.side_count == 1) {
      pairs.emplace_back(i, occurrence.side_line);
    }
  }
  return pairs;
}

/// \returns The longest subsequence of `pairs` whose positions in the side are
/// increasing too.
[[nodiscard]] std::vector<LinePair> LongestIncreasing(
    const std::vector<LinePair>& pairs) {
  // At index `n`, the pair that ends the subsequence of `n + 1` pairs with the
  // lowest last position in the side.
  std::vector<std::size_t> tails;
  std::vector<std::size_t> previous(pairs.size(), kNoPosition);
  for (std::size_t i = 0; i < pairs.size(); ++i) {
    const auto position =
        std::lower_bound(tails.begin(), tails.end(), pairs[i].second,
                         [&pairs](std::size_t tail, std::size_t second) {
                           return pairs[tail].second < second;
                         });
    if (position != tails.begin()) {
      previous[i] = *std::prev(position);
    }
    if (position == tails.end()) {
      tails.push_back(i);
    } else {
      *position = i;
    }
  }
  std::vector<LinePair> increasing;
  for (std::size_t i = tails.empty() ? kNoPosition : tails.back();
       i != kNoPosition; i = previous[i]) {
    increasing.push_back(pairs[i]);
  }
  std::reverse(increasing.begin(), increasing.end());
  return increasing;
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

/// \brief Matches equal lines from both ends of a gap between two matched
/// lines, and adds edits for the lines that remain.
void DiffGap(const Lines& base, LinePair base_range, const Lines& side,
             LinePair side_range, std::vector<LineEdit>& edits) {
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
  for (const auto& [base_line, side_line] :
       LongestIncreasing(UniqueLinePairs(base, side))) {
    DiffGap(base, {base_begin, base_line}, side, {side_begin, side_line},
            edits);
    base_begin = base_line + 1;
    side_begin = side_line + 1;
  }
  DiffGap(base, {base_begin, base.size()}, side, {side_begin, side.size()},
          edits);
  return edits;
}

}  // namespace mimosagauge
