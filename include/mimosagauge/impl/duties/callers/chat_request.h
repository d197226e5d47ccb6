// Parsing of the JSON body of chat completions requests.

#ifndef MIMOSAGAUGE_IMPL_DUTIES_CALLERS_CHAT_REQUEST_H_
#define MIMOSAGAUGE_IMPL_DUTIES_CALLERS_CHAT_REQUEST_H_

#include <string_view>

#include "mimosagauge/impl/core/error.h"
#include "mimosagauge/impl/core/ids.h"

namespace mimosagauge {

/// \brief The members of a chat completions request that routing depends on.
struct ChatRequest {
  ModelId model;
  bool stream = false;
};

/// \brief Parses a chat completions request without building a document tree.
///
/// The whole text is checked: it must be valid JSON of bounded depth, with
/// `model` once as a string, `stream` at most once as a boolean, and
/// `messages` once as an array.
/// \returns The request, or `kInvalidInput` when a check fails.
[[nodiscard]] Result<ChatRequest> ParseChatRequest(std::string_view text);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DUTIES_CALLERS_CHAT_REQUEST_H_
