// Line diff: the edits that turn one text into another.

#ifndef MIMOSAGAUGE_IMPL_RULES_LINE_DIFF_H_
#define MIMOSAGAUGE_IMPL_RULES_LINE_DIFF_H_

#include <cstddef>
#include <string_view>
#include <vector>

namespace mimosagauge {

/// Lines without their line feeds.
using Lines = std::vector<std::string_view>;

/// \returns The lines of a text. A line feed at the end of the text does not
/// begin another, empty line.
[[nodiscard]] Lines SplitLines(std::string_view text);

/// \brief Replaces a range of lines of the base text by a range of lines of the
/// side, which is the changed text. Ends are exclusive.
struct LineEdit {
  // Invariant: at least one of the two ranges is not empty.
  std::size_t base_begin = 0;
  /// Equal to `base_begin` for an insertion before that line.
  std::size_t base_end = 0;
  std::size_t side_begin = 0;
  std::size_t side_end = 0;  ///< Equal to `side_begin` for a removal.

  [[nodiscard]] bool is_insertion() const noexcept {
    return base_begin == base_end;
  }
};

/// \returns The edits that turn `base` into `side`, in order of position and
/// without overlaps. Where a range is replaced by the same number of lines,
/// each replaced line is a separate edit.
[[nodiscard]] std::vector<LineEdit> DiffLines(const Lines& base,
                                              const Lines& side);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_RULES_LINE_DIFF_H_
