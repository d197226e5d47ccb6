// Base64 with the standard alphabet and padding (RFC 4648, section 4).

#ifndef MIMOSAGAUGE_IMPL_STORE_BASE64_H_
#define MIMOSAGAUGE_IMPL_STORE_BASE64_H_

#include <optional>
#include <string>
#include <string_view>

namespace mimosagauge {

/// \returns `bytes` as Base64 text.
[[nodiscard]] std::string EncodeBase64(std::string_view bytes);

/// \returns The decoded bytes, or none when `text` is not valid Base64.
[[nodiscard]] std::optional<std::string> DecodeBase64(std::string_view text);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_STORE_BASE64_H_
