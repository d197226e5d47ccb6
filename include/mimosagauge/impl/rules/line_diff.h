// The lines that two texts have in common, and the edits between them.

#ifndef MIMOSAGAUGE_IMPL_RULES_LINE_DIFF_H_
#define MIMOSAGAUGE_IMPL_RULES_LINE_DIFF_H_

#include <cstddef>
#include <string_view>
#include <vector>

namespace mimosagauge {

/// Lines without their ends.
using Lines = std::vector<std::string_view>;

/// \returns The lines of a text; a last line feed ends a line and begins none.
[[nodiscard]] Lines SplitLines(std::string_view text);

/// \brief Replaces some lines of one text by lines of another.
struct LineEdit {
  // Invariant: not both ranges are empty.
  std::size_t base_begin = 0;
  std::size_t base_end = 0;  ///< As `base_begin`: an insertion before it.
  std::size_t side_begin = 0;
  std::size_t side_end = 0;  ///< As `side_begin`: a removal.

  [[nodiscard]] bool is_insertion() const noexcept {
    return base_begin == base_end;
  }
};

/// \returns The edits that make `side` of `base`, by place, none overlapping.
/// Where as many lines were replaced as came in, each is an edit of its own.
[[nodiscard]] std::vector<LineEdit> DiffLines(const Lines& base,
                                              const Lines& side);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_RULES_LINE_DIFF_H_
