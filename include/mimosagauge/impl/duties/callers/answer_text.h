// Answers to callers as bytes.

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

/// \brief How the reader of an answer learns where its body ends.
enum class BodyFraming : std::uint8_t {
  kNone,     ///< The status or method allows no body.
  kLength,   ///< `Content-Length`.
  kChunked,  ///< Chunks, the last one empty.
};

/// \brief What is written before the body.
struct AnswerStart {
  std::uint16_t status = 0;
  std::vector<Header> headers;
  BodyFraming framing = BodyFraming::kNone;
  std::uint64_t length = 0;  ///< Of the body, with `kLength`.
  bool keep_alive = true;
};

/// \brief Appends status line and fields. Fields whose name or value could
/// not stand in a header are left out.
void AppendStart(std::string& out, const AnswerStart& start);

/// \brief Appends one chunk of a chunked body; nothing for no data.
void AppendChunk(std::string& out, std::string_view data);

/// \brief Appends the end of a chunked body.
void AppendLastChunk(std::string& out);

/// \returns The fields that tell a caller how its answer came about.
[[nodiscard]] std::vector<Header> TraceFields(const RequestId& id,
                                              const std::vector<Place>& path);

/// \returns The fields of a problem document's answer.
[[nodiscard]] std::vector<Header> ProblemFields(const Problem& problem,
                                                const RequestId& id);

/// \brief Removes `Content-Length` from the fields.
/// \returns Its value, or nothing when it was missing or no number.
[[nodiscard]] std::optional<std::uint64_t> TakeContentLength(
    std::vector<Header>& headers);

/// \returns Whether an answer with this status has no body.
[[nodiscard]] bool HasNoBody(std::uint16_t status) noexcept;

}  // namespace mimosagauge::detail

#endif  // MIMOSAGAUGE_IMPL_DUTIES_CALLERS_ANSWER_TEXT_H_
