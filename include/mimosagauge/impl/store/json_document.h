// Parsing of JSON documents that other writers put into the store.

#ifndef MIMOSAGAUGE_IMPL_STORE_JSON_DOCUMENT_H_
#define MIMOSAGAUGE_IMPL_STORE_JSON_DOCUMENT_H_

#include <nlohmann/json.hpp>
#include <string_view>

namespace mimosagauge {

/// Lists and objects that are nested deeper are dropped.
inline constexpr int kMaxJsonDepth = 16;

/// \brief Parses a document in which lists and objects are nested at most
/// `kMaxJsonDepth` deep; deeper ones are left out, so that they take no memory.
/// \returns The document; a discarded value if the text is not valid JSON.
[[nodiscard]] nlohmann::json ParseJsonDocument(std::string_view text);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_STORE_JSON_DOCUMENT_H_
