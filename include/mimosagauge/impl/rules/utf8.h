// Checks of the characters in untrusted text.

#ifndef MIMOSAGAUGE_IMPL_RULES_UTF8_H_
#define MIMOSAGAUGE_IMPL_RULES_UTF8_H_

#include <cstddef>
#include <string_view>

namespace mimosagauge {

/// \returns The offset of the first byte that is not part of a well-formed
/// UTF-8 sequence, or `npos`.
[[nodiscard]] std::size_t FindInvalidUtf8(std::string_view text) noexcept;

/// \returns The offset of the first control character other than a tab (C0,
/// DEL, or C1 in UTF-8), or `npos`.
[[nodiscard]] std::size_t FindControlCharacter(std::string_view text) noexcept;

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_RULES_UTF8_H_
