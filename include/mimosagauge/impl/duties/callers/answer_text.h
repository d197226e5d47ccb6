// Serialization of answers to callers as HTTP/1.1.

#ifndef MIMOSAGAUGE_IMPL_DUTIES_CALLERS_ANSWER_TEXT_H_
#define MIMOSAGAUGE_IMPL_DUTIES_CALLERS_ANSWER_TEXT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "mimosagauge/impl/core/ids.h"
#include "mimosagauge/impl/decisions/request.h"

namespace mimosagauge::detail {

/// \brief How an answer marks the end of its body.
enum class BodyFraming : std::uint8_t {
  kNone,     ///< The status or the method forbids a body.
  kLength,   ///< The answer has a `Content-Length` field.
  kChunked,  ///< The body is sent in chunks; an empty chunk ends it.
};

/// \brief The status line, header fields and body framing of an answer.
struct FramedAnswerHead {
  std::uint16_t status = 0;
  std::vector<Header> headers;
  BodyFraming framing = BodyFraming::kNone;
  std::uint64_t length = 0;  ///< Body bytes; used with `kLength` only.
  bool keep_alive = true;    ///< False adds `Connection: close`.
};

/// \brief Appends the status line and the header fields to `out`. Fields whose
/// name or value is not valid in HTTP are left out.
void AppendAnswerHead(std::string& out, const FramedAnswerHead& head);

/// \brief Appends one chunk of a chunked body to `out`. Appends nothing when
/// `data` is empty, since an empty chunk would end the body.
void AppendChunk(std::string& out, std::string_view data);

/// \brief Appends the empty chunk that ends a chunked body to `out`.
void AppendLastChunk(std::string& out);

/// \returns The header fields that trace an answer: the request id, and the
/// places that served it. Each is left out when it is empty.
[[nodiscard]] std::vector<Header> TraceFields(const RequestId& id,
                                              const std::vector<Place>& path);

/// \returns The header fields of an answer that carries a problem document.
[[nodiscard]] std::vector<Header> ProblemFields(const Problem& problem,
                                                const RequestId& id);

/// \brief Removes `Content-Length`, `Transfer-Encoding` and `Connection` from
/// the fields.
/// \returns The value of `Content-Length` in bytes, or nothing when the field
/// is missing or not a number.
[[nodiscard]] std::optional<std::uint64_t> ExtractContentLength(
    std::vector<Header>& headers);

/// \returns Whether HTTP forbids a body in an answer with this status.
[[nodiscard]] bool StatusForbidsBody(std::uint16_t status) noexcept;

}  // namespace mimosagauge::detail

#endif  // MIMOSAGAUGE_IMPL_DUTIES_CALLERS_ANSWER_TEXT_H_
