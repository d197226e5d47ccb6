// The rules record as JSON.

#include "mimosagauge/impl/platform/rules_record.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <utility>

namespace mimosagauge {
namespace {

using nlohmann::json;

constexpr int kFormat = 1;

[[nodiscard]] Error Malformed() {
  return Error{ErrorKind::kInvalidInput,
               "the value of the rules key is not a rules record",
               "write rules with `mimosagauge rules apply` only"};
}

[[nodiscard]] bool ReadRevision(const json& object, Revision& revision) {
  const auto field = object.find("revision");
  if (field == object.end() || !field->is_number_unsigned()) {
    return false;
  }
  revision = Revision{field->get<std::uint64_t>()};
  return revision != Revision{};
}

[[nodiscard]] bool ReadText(const json& object, const char* name,
                            std::string& text) {
  const auto field = object.find(name);
  if (field == object.end() || !field->is_string()) {
    return false;
  }
  text = field->get<std::string>();
  return true;
}

[[nodiscard]] bool ReadChange(const json& object, AcceptedChange& change) {
  std::string id;
  if (!object.is_object() || !ReadText(object, "change", id) ||
      !ReadRevision(object, change.revision)) {
    return false;
  }
  change.change = ChangeId{std::move(id)};
  return true;
}

}  // namespace

std::string RulesKey(const std::string& prefix) { return prefix + "rules"; }

std::string RulesTextKey(const std::string& prefix, Revision revision) {
  return prefix + "rules-texts/" + std::to_string(revision.value());
}

std::string EncodeRulesRecord(const RulesRecord& record) {
  json changes = json::array();
  for (const AcceptedChange& change : record.changes) {
    changes.push_back({{"change", change.change.value()},
                       {"revision", change.revision.value()}});
  }
  const json object{{"format", kFormat},
                    {"revision", record.revision.value()},
                    {"changes", std::move(changes)},
                    {"text", record.text}};
  return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

Result<RulesRecord> DecodeRulesRecord(std::string_view value) {
  const json object = json::parse(value, nullptr, false);
  RulesRecord record;
  const bool read = object.is_object() &&
                    object.value("format", json()) == kFormat &&
                    ReadRevision(object, record.revision) &&
                    ReadText(object, "text", record.text) &&
                    object.value("changes", json()).is_array();
  if (!read || record.text.size() > kMaxRulesBytes) {
    return Malformed();
  }
  for (const json& item : object["changes"]) {
    AcceptedChange change;
    if (!ReadChange(item, change)) {
      return Malformed();
    }
    record.changes.push_back(std::move(change));
  }
  return record;
}

}  // namespace mimosagauge
