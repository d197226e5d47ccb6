// Three-way merge of rules texts, line by line.

#include "mimosagauge/impl/rules/merge.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstddef>

#include "mimosagauge/impl/rules/line_diff.h"

namespace mimosagauge {
namespace {

/// \brief One side's edits and how far the merge has come in them.
struct Side {
  Lines lines;
  std::vector<LineEdit> edits;
  std::size_t next = 0;
};

/// \brief A range of lines of one text.
struct Range {
  std::size_t begin = 0;
  std::size_t end = 0;
};

[[nodiscard]] Side MakeSide(const Lines& base, std::string_view text) {
  Side side;
  side.lines = SplitLines(text);
  side.edits = DiffLines(base, side.lines);
  return side;
}

/// \returns The next edit if it begins before `base_end`, or null.
[[nodiscard]] const LineEdit* PeekBefore(const Side& side,
                                         std::size_t base_end) {
  if (side.next == side.edits.size() ||
      side.edits[side.next].base_begin >= base_end) {
    return nullptr;
  }
  return &side.edits[side.next];
}

/// \returns The lines inserted just before a line of the base.
[[nodiscard]] Lines TakeInsertion(Side& side, std::size_t base_at) {
  const LineEdit* edit = PeekBefore(side, base_at + 1);
  if (edit == nullptr || !edit->is_insertion()) {
    return {};
  }
  ++side.next;
  const auto first = side.lines.begin();
  return {first + static_cast<std::ptrdiff_t>(edit->side_begin),
          first + static_cast<std::ptrdiff_t>(edit->side_end)};
}

/// \returns Who asked for the lines, one after the other.
[[nodiscard]] std::string AskedBy(const Lines& lines, Range range) {
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

[[nodiscard]] MergeSide ToMergeSide(const Lines& lines, Range range) {
  MergeSide side;
  side.line = static_cast<std::uint32_t>(range.begin + 1);
  for (std::size_t i = range.begin; i < range.end; ++i) {
    side.text += side.text.empty() ? "" : "\n";
    side.text += lines[i];
  }
  side.asked_by = AskedBy(lines, range);
  return side;
}

/// \brief What both sides made of one range of the base.
struct Overlap {
  Range base;
  Range theirs;
  Range mine;
  bool theirs_edits = false;
  bool mine_edits = false;
};

/// Takes one side's edits that touch the overlap, and widens it by them.
[[nodiscard]] bool Absorb(Side& side, Overlap& overlap, Range& side_range,
                          bool& edited) {
  const LineEdit* edit = PeekBefore(side, overlap.base.end);
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

/// Ends a side's range where the overlap ends; the lines after its last edit
/// are those of the base.
void AlignEnd(const Side& side, const Overlap& overlap, Range& side_range,
              bool edited) {
  if (edited) {
    const LineEdit& last = side.edits[side.next - 1];
    side_range.end = last.side_end + (overlap.base.end - last.base_end);
  }
}

[[nodiscard]] Overlap TakeOverlap(Side& theirs, Side& mine,
                                  std::size_t base_at) {
  Overlap overlap;
  overlap.base = {base_at, base_at + 1};
  bool widened = true;
  while (widened) {
    widened = Absorb(theirs, overlap, overlap.theirs, overlap.theirs_edits) ||
              Absorb(mine, overlap, overlap.mine, overlap.mine_edits);
  }
  AlignEnd(theirs, overlap, overlap.theirs, overlap.theirs_edits);
  AlignEnd(mine, overlap, overlap.mine, overlap.mine_edits);
  return overlap;
}

[[nodiscard]] bool SameLines(const Lines& a, Range a_range, const Lines& b,
                             Range b_range) {
  const auto at = [](const Lines& lines, std::size_t i) {
    return lines.begin() + static_cast<std::ptrdiff_t>(i);
  };
  return std::equal(at(a, a_range.begin), at(a, a_range.end),
                    at(b, b_range.begin), at(b, b_range.end));
}

/// \brief The text so far, and the conflicts.
struct Merger {
  Lines base;
  Side theirs;
  Side mine;
  Lines merged;
  std::vector<MergeConflict> conflicts;
};

void EmitInsertions(Merger& merger, std::size_t base_at) {
  const Lines theirs = TakeInsertion(merger.theirs, base_at);
  merger.merged.insert(merger.merged.end(), theirs.begin(), theirs.end());
  for (const std::string_view line : TakeInsertion(merger.mine, base_at)) {
    if (std::find(theirs.begin(), theirs.end(), line) == theirs.end()) {
      merger.merged.push_back(line);
    }
  }
}

void EmitLines(Merger& merger, const Lines& lines, Range range) {
  for (std::size_t i = range.begin; i < range.end; ++i) {
    merger.merged.push_back(lines[i]);
  }
}

/// \returns The line of the base that comes next.
[[nodiscard]] std::size_t EmitLine(Merger& merger, std::size_t base_at) {
  const Overlap overlap = TakeOverlap(merger.theirs, merger.mine, base_at);
  const Lines& theirs = merger.theirs.lines;
  const Lines& mine = merger.mine.lines;
  if (!overlap.theirs_edits && !overlap.mine_edits) {
    EmitLines(merger, merger.base, overlap.base);
  } else if (!overlap.mine_edits) {
    EmitLines(merger, theirs, overlap.theirs);
  } else if (!overlap.theirs_edits ||
             SameLines(theirs, overlap.theirs, mine, overlap.mine)) {
    EmitLines(merger, mine, overlap.mine);
  } else {
    merger.conflicts.push_back({ToMergeSide(merger.base, overlap.base),
                                ToMergeSide(theirs, overlap.theirs),
                                ToMergeSide(mine, overlap.mine)});
  }
  return overlap.base.end;
}

[[nodiscard]] std::string Join(const Lines& lines) {
  std::string text;
  for (const std::string_view line : lines) {
    text += line;
    text += '\n';
  }
  return text;
}

[[nodiscard]] std::string SideText(const MergeSide& side, const char* name) {
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
  Merger merger;
  merger.base = SplitLines(base);
  merger.theirs = MakeSide(merger.base, theirs);
  merger.mine = MakeSide(merger.base, mine);
  std::size_t at = 0;
  EmitInsertions(merger, at);
  while (at < merger.base.size()) {
    at = EmitLine(merger, at);
    EmitInsertions(merger, at);
  }
  if (!merger.conflicts.empty()) {
    return {"", std::move(merger.conflicts)};
  }
  return {Join(merger.merged), {}};
}

std::string ToString(const MergeConflict& conflict) {
  return fmt::format("line {} was changed twice: {}; {}", conflict.base.line,
                     SideText(conflict.theirs, "accepted"),
                     SideText(conflict.mine, "yours"));
}

}  // namespace mimosagauge
