// What the gateway reads from a chat completions request's JSON.

#ifndef MIMOSAGAUGE_IMPL_DUTIES_CALLERS_CHAT_REQUEST_H_
#define MIMOSAGAUGE_IMPL_DUTIES_CALLERS_CHAT_REQUEST_H_

#include <string_view>

#include "mimosagauge/impl/core/error.h"
#include "mimosagauge/impl/core/ids.h"

namespace mimosagauge {

/// \brief The part of a chat completions request that decides its way.
struct ChatRequest {
  ModelId model;
  bool stream = false;
};

/// \brief Reads a chat completions request without keeping the document.
///
/// The whole text is checked: valid JSON, bounded depth, `model` once and a
/// string, `stream` at most once and a boolean, `messages` once and an array.
/// \returns The request, or `kInvalidInput`.
[[nodiscard]] Result<ChatRequest> ParseChatRequest(std::string_view text);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DUTIES_CALLERS_CHAT_REQUEST_H_
