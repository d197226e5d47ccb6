// Patterns of rule conditions: literal text, and `*` for any sequence of
// characters, which may be empty.

#ifndef MIMOSAGAUGE_IMPL_RULES_PATTERN_H_
#define MIMOSAGAUGE_IMPL_RULES_PATTERN_H_

#include <string_view>

namespace mimosagauge {

/// \returns Whether `pattern` matches the whole of `text`. No pattern matches
/// an empty text, which stands for a trait that the request does not have.
[[nodiscard]] bool PatternMatches(std::string_view pattern,
                                  std::string_view text) noexcept;

/// \returns Whether `wide` matches every text that `narrow` matches.
[[nodiscard]] bool PatternCovers(std::string_view wide,
                                 std::string_view narrow) noexcept;

/// \returns The literal text before the first `*`.
[[nodiscard]] std::string_view LiteralPrefix(std::string_view pattern) noexcept;

/// \returns Whether the pattern has no `*`.
[[nodiscard]] bool IsLiteral(std::string_view pattern) noexcept;

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_RULES_PATTERN_H_
