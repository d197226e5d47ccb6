// Three-way merge of rules texts by lines.

#include "mimosagauge/impl/rules/merge.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstddef>

#include "mimosagauge/impl/rules/line_diff.h"

namespace mimosagauge {
namespace {

/// \brief One side's lines and edits; `next` is the first edit that has not
/// been merged.
struct EditedSide {
  Lines lines;
  std::vector<LineEdit> edits;
  std::size_t next = 0;
};

/// \brief A range of lines of one text; `end` is exclusive.
struct LineRange {
  std::size_t begin = 0;
  std::size_t end = 0;
};

[[nodiscard]] EditedSide MakeEditedSide(const Lines& base,
                                        std::string_view text) {
  EditedSide side;
  side.lines = SplitLines(text);
  side.edits = DiffLines(base, side.lines);
  return side;
}

/// \returns The next edit if it begins before line `base_end` of the base;
/// otherwise null.
[[nodiscard]] const LineEdit* PeekEditBefore(const EditedSide& side,
                                             std::size_t base_end) {
  if (side.next == side.edits.size() ||
      side.edits[side.next].base_begin >= base_end) {
    return nullptr;
  }
  return &side.edits[side.next];
}

/// \brief Consumes the insertion immediately before a line of the base.
/// \returns The inserted lines; empty when there are none.
[[nodiscard]] Lines TakeInsertedLines(EditedSide& side, std::size_t base_line) {
  const LineEdit* edit = PeekEditBefore(side, base_line + 1);
  if (edit == nullptr || !edit->is_insertion()) {
    return {};
  }
  ++side.next;
  const auto first = side.lines.begin();
  return {first + static_cast<std::ptrdiff_t>(edit->side_begin),
          first + static_cast<std::ptrdiff_t>(edit->side_end)};
}

/// \returns The names in the comments of the lines, separated by semicolons.
[[nodiscard]] std::string CollectAskedBy(const Lines& lines, LineRange range) {
  std::string names;
  for (std::size_t i = range.begin; i < range.end; ++i) {
    const std::size_t hash = lines[i].find('#');
    const std::size_t name = lines[i].find_first_not_of(" \t#", hash);
    if (hash != std::string_view::npos && name != std::string_view::npos) {
      names += names.empty() ? "" : "; ";
      names += lines[i].substr(name);
    }
  }
  return names;
}

[[nodiscard]] MergeSide ToMergeSide(const Lines& lines, LineRange range) {
  MergeSide side;
  side.line = static_cast<std::uint32_t>(range.begin + 1);
  for (std::size_t i = range.begin; i < range.end; ++i) {
    side.text += side.text.empty() ? "" : "\n";
    side.text += lines[i];
  }
  side.asked_by = CollectAskedBy(lines, range);
  return side;
}

/// \brief A range of the base and the corresponding ranges of both sides. A
/// side's range is set only if the side has edits in it.
struct Overlap {
  LineRange base;
  LineRange theirs;
  LineRange mine;
  bool edited_by_theirs = false;
  bool edited_by_mine = false;
};

/// \brief Consumes one side's next edit if it begins in the overlap, and
/// extends the overlap by it.
/// \returns Whether there was such an edit.
[[nodiscard]] bool AbsorbNextEdit(EditedSide& side, Overlap& overlap,
                                  LineRange& side_range, bool& edited) {
  const LineEdit* edit = PeekEditBefore(side, overlap.base.end);
  if (edit == nullptr) {
    return false;
  }
  if (!edited) {
    side_range.begin =
        edit->side_begin - (edit->base_begin - overlap.base.begin);
  }
  edited = true;
  overlap.base.end = std::max(overlap.base.end, edit->base_end);
  ++side.next;
  return true;
}

/// \brief Sets the end of a side's range to the end of the overlap. The lines
/// after the side's last edit are those of the base.
void AlignRangeEnd(const EditedSide& side, const Overlap& overlap,
                   LineRange& side_range, bool edited) {
  if (edited) {
    const LineEdit& last = side.edits[side.next - 1];
    side_range.end = last.side_end + (overlap.base.end - last.base_end);
  }
}

/// \returns The smallest range from a line of the base on that no edit of
/// either side extends beyond.
[[nodiscard]] Overlap TakeOverlap(EditedSide& theirs, EditedSide& mine,
                                  std::size_t base_line) {
  Overlap overlap;
  overlap.base = {base_line, base_line + 1};
  bool widened = true;
  while (widened) {
    widened =
        AbsorbNextEdit(theirs, overlap, overlap.theirs,
                       overlap.edited_by_theirs) ||
        AbsorbNextEdit(mine, overlap, overlap.mine, overlap.edited_by_mine);
  }
  AlignRangeEnd(theirs, overlap, overlap.theirs, overlap.edited_by_theirs);
  AlignRangeEnd(mine, overlap, overlap.mine, overlap.edited_by_mine);
  return overlap;
}

[[nodiscard]] bool LinesEqual(const Lines& a, LineRange a_range, const Lines& b,
                              LineRange b_range) {
  const auto iterator_at = [](const Lines& lines, std::size_t i) {
    return lines.begin() + static_cast<std::ptrdiff_t>(i);
  };
  return std::equal(iterator_at(a, a_range.begin), iterator_at(a, a_range.end),
                    iterator_at(b, b_range.begin), iterator_at(b, b_range.end));
}

/// \brief The inputs of the merge, and its result so far.
struct MergeState {
  Lines base;
  EditedSide theirs;
  EditedSide mine;
  Lines merged;
  std::vector<MergeConflict> conflicts;
};

void EmitInsertions(MergeState& state, std::size_t base_line) {
  const Lines theirs = TakeInsertedLines(state.theirs, base_line);
  state.merged.insert(state.merged.end(), theirs.begin(), theirs.end());
  for (const std::string_view line : TakeInsertedLines(state.mine, base_line)) {
    if (std::find(theirs.begin(), theirs.end(), line) == theirs.end()) {
      state.merged.push_back(line);
    }
  }
}

void EmitLines(MergeState& state, const Lines& lines, LineRange range) {
  for (std::size_t i = range.begin; i < range.end; ++i) {
    state.merged.push_back(lines[i]);
  }
}

/// \brief Merges the overlap that begins at a line of the base.
/// \returns The line of the base after the overlap.
[[nodiscard]] std::size_t EmitOverlap(MergeState& state,
                                      std::size_t base_line) {
  const Overlap overlap = TakeOverlap(state.theirs, state.mine, base_line);
  const Lines& theirs = state.theirs.lines;
  const Lines& mine = state.mine.lines;
  if (!overlap.edited_by_theirs && !overlap.edited_by_mine) {
    EmitLines(state, state.base, overlap.base);
  } else if (!overlap.edited_by_mine) {
    EmitLines(state, theirs, overlap.theirs);
  } else if (!overlap.edited_by_theirs ||
             LinesEqual(theirs, overlap.theirs, mine, overlap.mine)) {
    EmitLines(state, mine, overlap.mine);
  } else {
    state.conflicts.push_back({ToMergeSide(state.base, overlap.base),
                               ToMergeSide(theirs, overlap.theirs),
                               ToMergeSide(mine, overlap.mine)});
  }
  return overlap.base.end;
}

[[nodiscard]] std::string JoinLines(const Lines& lines) {
  std::string text;
  for (const std::string_view line : lines) {
    text += line;
    text += '\n';
  }
  return text;
}

[[nodiscard]] std::string DescribeSide(const MergeSide& side,
                                       const char* name) {
  if (side.text.empty()) {
    return fmt::format("{} removed it", name);
  }
  return fmt::format("{} line {} (asked by {}): {}", name, side.line,
                     side.asked_by.empty() ? "nobody" : side.asked_by,
                     side.text);
}

}  // namespace

MergeResult MergeRules(std::string_view base, std::string_view theirs,
                       std::string_view mine) {
  if (theirs == base || theirs == mine) {
    return {std::string(mine), {}};
  }
  if (mine == base) {
    return {std::string(theirs), {}};
  }
  MergeState state;
  state.base = SplitLines(base);
  state.theirs = MakeEditedSide(state.base, theirs);
  state.mine = MakeEditedSide(state.base, mine);
  std::size_t base_line = 0;
  EmitInsertions(state, base_line);
  while (base_line < state.base.size()) {
    base_line = EmitOverlap(state, base_line);
    EmitInsertions(state, base_line);
  }
  if (!state.conflicts.empty()) {
    return {"", std::move(state.conflicts)};
  }
  return {JoinLines(state.merged), {}};
}

std::string ToString(const MergeConflict& conflict) {
  return fmt::format("line {} was changed twice: {}; {}", conflict.base.line,
                     DescribeSide(conflict.theirs, "accepted"),
                     DescribeSide(conflict.mine, "yours"));
}

}  // namespace mimosagauge
