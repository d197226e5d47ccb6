// Encodes and decodes the head of the rules as JSON.

#include "mimosagauge/impl/store/rules_record.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <utility>

namespace mimosagauge {
namespace {

using nlohmann::json;

constexpr int kFormatVersion = 1;

[[nodiscard]] Error MalformedHead() {
  return Error{ErrorKind::kInvalidInput,
               "the value of the rules key is not in this product's format",
               "replace all rules with `rules apply --overwrite`"};
}

[[nodiscard]] bool ReadRevision(const json& object, Revision& revision) {
  const auto field = object.find("revision");
  if (field == object.end() || !field->is_number_unsigned()) {
    return false;
  }
  revision = Revision{field->get<std::uint64_t>()};
  return revision != Revision{};
}

[[nodiscard]] bool ReadChange(const json& object, AcceptedChange& change) {
  if (!object.is_object() || !ReadRevision(object, change.revision)) {
    return false;
  }
  const auto id = object.find("change");
  if (id == object.end() || !id->is_string()) {
    return false;
  }
  change.change = ChangeId{id->get<std::string>()};
  return true;
}

}  // namespace

std::string RulesHeadKey(const std::string& prefix) { return prefix + "rules"; }

std::string RulesTextKey(const std::string& prefix, Revision revision) {
  return prefix + "rules-texts/" + std::to_string(revision.value());
}

std::string EncodeRulesHead(const RulesHead& head) {
  json changes = json::array();
  for (const AcceptedChange& change : head.changes) {
    changes.push_back({{"change", change.change.value()},
                       {"revision", change.revision.value()}});
  }
  const json object{{"format", kFormatVersion},
                    {"revision", head.revision.value()},
                    {"changes", std::move(changes)}};
  return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

Result<RulesHead> DecodeRulesHead(std::string_view value) {
  const json object = json::parse(value, nullptr, false);
  RulesHead head;
  const bool valid = object.is_object() &&
                     object.value("format", json()) == kFormatVersion &&
                     ReadRevision(object, head.revision) &&
                     object.value("changes", json()).is_array();
  if (!valid) {
    return MalformedHead();
  }
  for (const json& item : object["changes"]) {
    AcceptedChange change;
    if (!ReadChange(item, change)) {
      return MalformedHead();
    }
    head.changes.push_back(std::move(change));
  }
  return head;
}

}  // namespace mimosagauge
