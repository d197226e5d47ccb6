// Matching and comparing of patterns.

#include "mimosagauge/impl/rules/pattern.h"

#include <cstddef>

namespace mimosagauge {
namespace {

/// Greedy match that goes back to the last `*` only, which is enough when `*`
/// is the only wildcard. A `*` in `text` matches a `*` of the pattern only, so
/// that the same walk answers whether one pattern covers another.
[[nodiscard]] bool Walk(std::string_view pattern,
                        std::string_view text) noexcept {
  std::size_t p = 0;
  std::size_t t = 0;
  std::size_t star = std::string_view::npos;
  std::size_t resume = 0;
  while (t < text.size()) {
    if (p < pattern.size() && pattern[p] == '*') {
      star = p++;
      resume = t;
    } else if (p < pattern.size() && pattern[p] == text[t]) {
      ++p;
      ++t;
    } else if (star != std::string_view::npos) {
      p = star + 1;
      t = ++resume;
    } else {
      return false;
    }
  }
  while (p < pattern.size() && pattern[p] == '*') {
    ++p;
  }
  return p == pattern.size();
}

}  // namespace

bool PatternMatches(std::string_view pattern, std::string_view text) noexcept {
  return !text.empty() && Walk(pattern, text);
}

bool PatternCovers(std::string_view wide, std::string_view narrow) noexcept {
  return Walk(wide, narrow);
}

std::string_view LiteralPrefix(std::string_view pattern) noexcept {
  return pattern.substr(0, pattern.find('*'));
}

bool IsLiteral(std::string_view pattern) noexcept {
  return pattern.find('*') == std::string_view::npos;
}

}  // namespace mimosagauge
