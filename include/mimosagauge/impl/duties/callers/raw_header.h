// Checks of the bytes of an HTTP/1.1 request header before it is parsed. They
// prevent request smuggling: all parsers on the request's path must interpret
// the header in the same way.

#ifndef MIMOSAGAUGE_IMPL_DUTIES_CALLERS_RAW_HEADER_H_
#define MIMOSAGAUGE_IMPL_DUTIES_CALLERS_RAW_HEADER_H_

#include <cstddef>
#include <optional>
#include <string_view>

#include "mimosagauge/impl/decisions/request.h"

namespace mimosagauge {

/// \brief Searches for the empty line that ends a header.
/// \param bytes The bytes received so far.
/// \param searched_bytes The number of leading bytes that earlier calls have
/// searched.
/// \returns The size of the header in bytes, including the empty line, or
/// nothing when the header is incomplete.
[[nodiscard]] std::optional<std::size_t> FindHeaderEnd(
    std::string_view bytes, std::size_t searched_bytes) noexcept;

/// \brief Rejects bare CR or LF and control characters. The header may be
/// incomplete.
/// \returns The problem, or nothing if the bytes are valid.
[[nodiscard]] std::optional<Problem> CheckLineEnds(std::string_view bytes);

/// \brief Rejects constructs that parsers interpret differently: bare CR or LF,
/// control characters, folded lines, space before a colon, repeated length or
/// `Host` fields, a length together with a transfer coding, and transfer
/// codings other than `chunked`.
/// \param header A complete header, including its empty line.
/// \returns The problem, or nothing if the header is valid.
[[nodiscard]] std::optional<Problem> CheckRawHeader(std::string_view header);

/// \brief Rejects a target whose path has other spellings: one that is not in
/// origin form, or contains dot segments, empty segments, backslashes, or
/// percent-encoded characters that need no encoding.
/// \returns The problem, or nothing if the target is valid.
[[nodiscard]] std::optional<Problem> CheckTarget(std::string_view target);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DUTIES_CALLERS_RAW_HEADER_H_
