// Comparison of a session's text with the golden file that records it.

#ifndef TESTS_SUPPORT_GOLDEN_H_
#define TESTS_SUPPORT_GOLDEN_H_

#include <string>

namespace mimosagauge::testing {

/// \brief Compares `text` with tests/golden/`name`.txt, to the letter.
///
/// With `MIMOSAGAUGE_GOLDEN=write` in the environment the file is rewritten
/// instead; `git diff tests/golden` then shows what changed.
///
/// \returns Empty when they are the same; else the first line that differs,
/// with both texts of it.
[[nodiscard]] std::string CheckGolden(const std::string& name,
                                      const std::string& text);

}  // namespace mimosagauge::testing

#endif  // TESTS_SUPPORT_GOLDEN_H_
