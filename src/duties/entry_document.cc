// The instance's own resources.

#include "mimosagauge/impl/duties/entry_document.h"

#include <chrono>
#include <nlohmann/json.hpp>

#include "mimosagauge/impl/duties/caller_problems.h"

namespace mimosagauge {
namespace {

constexpr std::uint16_t kOk = 200;
constexpr const char* kText = "text/plain; charset=utf-8";

[[nodiscard]] OwnAnswer Readiness(const InstanceView& view) {
  if (view.draining) {
    return {status::kServiceUnavailable, kText, "draining\n"};
  }
  if (!view.ready) {
    return {status::kServiceUnavailable, kText, "not ready\n"};
  }
  return {kOk, kText, "ready\n"};
}

}  // namespace

std::string FormatEntries(const InstanceView& view) {
  nlohmann::ordered_json document;
  document["entries"] = nlohmann::ordered_json::array();
  for (const EntryInstance& entry : view.entries) {
    document["entries"].push_back({{"address", ToString(entry.entry)},
                                   {"instance", entry.id.value()},
                                   {"region", entry.region.value()},
                                   {"availability_zone", entry.zone.value()}});
  }
  document["good_for_ms"] =
      std::chrono::floor<std::chrono::milliseconds>(view.entries_good_for)
          .count();
  return document.dump(-1, ' ', false,
                       nlohmann::ordered_json::error_handler_t::replace);
}

OwnAnswer AnswerFor(OwnResource resource, const InstanceView& view) {
  switch (resource) {
    case OwnResource::kEntry:
      return {kOk, "application/json", FormatEntries(view)};
    case OwnResource::kReady:
      return Readiness(view);
    case OwnResource::kMetrics:
      return {kOk, "text/plain; version=0.0.4; charset=utf-8", view.metrics};
    case OwnResource::kHealth:
      break;
  }
  return {kOk, kText, "ok\n"};
}

}  // namespace mimosagauge
