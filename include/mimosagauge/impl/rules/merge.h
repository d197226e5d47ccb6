// Three-way merge of rules texts, line by line.

#ifndef MIMOSAGAUGE_IMPL_RULES_MERGE_H_
#define MIMOSAGAUGE_IMPL_RULES_MERGE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace mimosagauge {

/// \brief One side of a conflict.
struct MergeSide {
  std::uint32_t line = 0;  ///< From 1; where the text stands or stood.
  std::string text;        ///< Lines as they are; empty: removed.
  std::string asked_by;    ///< From the comments; empty when there is none.
};

/// \brief Lines that both sides changed, and not alike.
struct MergeConflict {
  MergeSide base;
  MergeSide theirs;
  MergeSide mine;
};

/// \brief The outcome of a merge.
struct MergeResult {
  std::string text;  ///< Empty when there is a conflict.
  std::vector<MergeConflict> conflicts;

  /// \returns Whether `text` holds the changes of both sides.
  [[nodiscard]] bool clean() const noexcept { return conflicts.empty(); }
};

/// \brief Joins two changes of one text.
///
/// A line that one side changed or removed and the other left alone follows
/// the first. Lines that both sides insert at one place are all kept, theirs
/// first, those that are alike once. The merged text is still to be checked by
/// `ParseRules`: lines that were sound on either side may stand in each
/// other's way now.
///
/// \param base What both started from.
/// \param theirs What has been accepted meanwhile.
/// \param mine What is to be accepted now.
[[nodiscard]] MergeResult MergeRules(std::string_view base,
                                     std::string_view theirs,
                                     std::string_view mine);

/// \returns Both lines of the conflict and who asked for each.
[[nodiscard]] std::string ToString(const MergeConflict& conflict);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_RULES_MERGE_H_
