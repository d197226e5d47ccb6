// Parsing with a bound on the depth.

#include "mimosagauge/impl/store/json_document.h"

namespace mimosagauge {

nlohmann::json ParseJsonDocument(std::string_view text) {
  const auto keep = [](int depth, nlohmann::json::parse_event_t /*event*/,
                       nlohmann::json& /*parsed*/) {
    return depth <= kMaxJsonDepth;
  };
  return nlohmann::json::parse(text, keep, false);
}

}  // namespace mimosagauge
