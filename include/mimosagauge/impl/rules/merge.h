// Three-way merge of rules texts by lines.

#ifndef MIMOSAGAUGE_IMPL_RULES_MERGE_H_
#define MIMOSAGAUGE_IMPL_RULES_MERGE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace mimosagauge {

/// \brief The version of the conflicting lines in one of the three texts.
struct MergeSide {
  /// Number of the first line, from 1; for removed lines, where they stood.
  std::uint32_t line = 0;
  std::string text;  ///< The unchanged lines; empty when they were removed.
  /// Taken from the comments; empty when there are none.
  std::string asked_by;
};

/// \brief Lines that both sides changed in different ways.
struct MergeConflict {
  MergeSide base;
  MergeSide theirs;
  MergeSide mine;
};

/// \brief The result of a merge.
struct MergeResult {
  std::string text;  ///< The merged text; empty when there is a conflict.
  std::vector<MergeConflict> conflicts;

  /// \returns Whether there is no conflict, so that `text` holds the changes of
  /// both sides.
  [[nodiscard]] bool clean() const noexcept { return conflicts.empty(); }
};

/// \brief Merges two changed versions of the same text.
///
/// A line that only one side changed or removed gets that side's version. Lines
/// that both sides insert at the same position are all kept, those of `theirs`
/// first; a line that both sides insert is kept once. The merged text must be
/// checked with `ParseRules`: lines that were valid on each side may conflict
/// with each other in the merged text.
///
/// \param base The text that both sides started from.
/// \param theirs The text that has been accepted in the meantime.
/// \param mine The text that is to be accepted now.
/// \returns The merged text, or the conflicts.
[[nodiscard]] MergeResult MergeRules(std::string_view base,
                                     std::string_view theirs,
                                     std::string_view mine);

/// \returns Both versions of the conflicting lines and who asked for each, as a
/// message for the operator.
[[nodiscard]] std::string ToString(const MergeConflict& conflict);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_RULES_MERGE_H_
