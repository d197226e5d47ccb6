// Matching and comparison of patterns.

#include "mimosagauge/impl/rules/pattern.h"

#include <cstddef>

namespace mimosagauge {
namespace {

/// \returns Whether `pattern` matches the whole of `text`. The match is greedy
/// and backtracks to the last `*` only, which is sufficient when `*` is the
/// only wildcard. A `*` in `text` is matched only by a `*` of the pattern, so
/// that the same function determines whether one pattern covers another.
[[nodiscard]] bool GlobMatches(std::string_view pattern,
                               std::string_view text) noexcept {
  std::size_t pattern_at = 0;
  std::size_t text_at = 0;
  std::size_t last_star = std::string_view::npos;
  std::size_t star_text_end = 0;
  while (text_at < text.size()) {
    if (pattern_at < pattern.size() && pattern[pattern_at] == '*') {
      last_star = pattern_at++;
      star_text_end = text_at;
    } else if (pattern_at < pattern.size() &&
               pattern[pattern_at] == text[text_at]) {
      ++pattern_at;
      ++text_at;
    } else if (last_star != std::string_view::npos) {
      pattern_at = last_star + 1;
      text_at = ++star_text_end;
    } else {
      return false;
    }
  }
  while (pattern_at < pattern.size() && pattern[pattern_at] == '*') {
    ++pattern_at;
  }
  return pattern_at == pattern.size();
}

}  // namespace

bool PatternMatches(std::string_view pattern, std::string_view text) noexcept {
  return !text.empty() && GlobMatches(pattern, text);
}

bool PatternCovers(std::string_view wide, std::string_view narrow) noexcept {
  return GlobMatches(wide, narrow);
}

std::string_view LiteralPrefix(std::string_view pattern) noexcept {
  return pattern.substr(0, pattern.find('*'));
}

bool IsLiteral(std::string_view pattern) noexcept {
  return pattern.find('*') == std::string_view::npos;
}

}  // namespace mimosagauge
