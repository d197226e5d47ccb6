// Checks on the bytes of an HTTP/1.1 request header before it is parsed, so
// that no two parsers on the way can read it differently.

#ifndef MIMOSAGAUGE_IMPL_DUTIES_CALLERS_RAW_HEADER_H_
#define MIMOSAGAUGE_IMPL_DUTIES_CALLERS_RAW_HEADER_H_

#include <cstddef>
#include <optional>
#include <string_view>

#include "mimosagauge/impl/decisions/request.h"

namespace mimosagauge {

/// \brief Looks for the empty line that ends a header.
/// \param bytes What arrived so far.
/// \param searched How much of it an earlier call has seen.
/// \returns Size of the header with the empty line, or nothing yet.
[[nodiscard]] std::optional<std::size_t> FindHeaderEnd(
    std::string_view bytes, std::size_t searched) noexcept;

/// \brief Refuses bare CR or LF and control characters, also in the part of
/// a header that has arrived so far.
/// \returns The problem, or nothing.
[[nodiscard]] std::optional<Problem> CheckLineEnds(std::string_view bytes);

/// \brief Refuses what parsers disagree on: bare CR or LF, control
/// characters, folded lines, space before a colon, repeated length or host
/// fields, a length beside a transfer coding, other codings than `chunked`.
/// \param header A whole header with its empty line.
/// \returns The problem, or nothing.
[[nodiscard]] std::optional<Problem> CheckRawHeader(std::string_view header);

/// \brief Refuses a target that names its path in more than one way: not in
/// origin form, dot segments, empty segments, backslashes, or characters
/// encoded that need no encoding.
/// \returns The problem, or nothing.
[[nodiscard]] std::optional<Problem> CheckTarget(std::string_view target);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DUTIES_CALLERS_RAW_HEADER_H_
