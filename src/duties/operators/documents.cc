// JSON documents of the operators' API.

#include "documents.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <utility>

namespace mimosagauge::detail {
namespace {

using nlohmann::json;

constexpr const char* kProblemTypePrefix = "urn:mimosagauge:problem:";

[[nodiscard]] std::string Serialize(const json& document) {
  return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

[[nodiscard]] OperatorAnswer JsonAnswer(const json& document) {
  return {200, "application/json", Serialize(document)};
}

[[nodiscard]] std::string ProblemTypeFor(ErrorKind kind) {
  std::string type = ToString(kind);
  std::replace(type.begin(), type.end(), ' ', '-');
  return kProblemTypePrefix + type;
}

[[nodiscard]] json ProblemDocument(unsigned status, const Error& error) {
  return {{"type", ProblemTypeFor(error.kind)},
          {"title", ToString(error.kind)},
          {"status", status},
          {"detail", error.message},
          {"remedy", error.remedy}};
}

[[nodiscard]] unsigned HttpStatusFor(ErrorKind kind) {
  switch (kind) {
    case ErrorKind::kInvalidInput:
      return 400;
    case ErrorKind::kInvalidRules:
      return 422;
    case ErrorKind::kUnauthenticated:
      return 401;
    case ErrorKind::kNotFound:
      return 404;
    case ErrorKind::kConflict:
      return 409;
    case ErrorKind::kOverloaded:
    case ErrorKind::kUnavailable:
      return 503;
    case ErrorKind::kTimeout:
    case ErrorKind::kUnknownOutcome:
      return 504;
    default:
      return 500;
  }
}

[[nodiscard]] json ToJson(const RuleFault& fault) {
  return {{"line", fault.line},
          {"column", fault.column},
          {"message", fault.message},
          {"remedy", fault.remedy}};
}

[[nodiscard]] json ToJson(const MergeSide& side) {
  return {
      {"line", side.line}, {"text", side.text}, {"asked_by", side.asked_by}};
}

[[nodiscard]] json ToJson(const MergeConflict& conflict) {
  return {{"base", ToJson(conflict.base)},
          {"theirs", ToJson(conflict.theirs)},
          {"mine", ToJson(conflict.mine)}};
}

struct OutcomeAnswerVisitor {
  [[nodiscard]] OperatorAnswer operator()(const RulesAccepted& accepted) const {
    return JsonAnswer({{"revision", accepted.revision.value()},
                       {"merged", accepted.merged},
                       {"written", accepted.written}});
  }

  [[nodiscard]] OperatorAnswer operator()(const RulesRefused& refused) const {
    const unsigned status = HttpStatusFor(refused.error.kind);
    json document = ProblemDocument(status, refused.error);
    const bool outcome_unknown =
        refused.error.kind == ErrorKind::kUnknownOutcome;
    document["run"] = outcome_unknown ? "unknown" : "not_run";
    for (const RuleFault& fault : refused.faults) {
      document["faults"].push_back(ToJson(fault));
    }
    for (const MergeConflict& conflict : refused.conflicts) {
      document["conflicts"].push_back(ToJson(conflict));
    }
    return {status, "application/problem+json", Serialize(document)};
  }
};

[[nodiscard]] json RevisionDocument(const InstanceId& id,
                                    const RegionId& region) {
  return {{"instance", id.value()},
          {"region", region.value()},
          {"revision", nullptr},
          {"age_ms", nullptr}};
}

[[nodiscard]] json ToJson(const EntryInstance& entry) {
  return {{"instance", entry.id.value()},
          {"region", entry.region.value()},
          {"zone", entry.zone.value()},
          {"entry", ToString(entry.entry)}};
}

[[nodiscard]] json ToJson(const UpstreamView& upstream) {
  return {
      {"upstream", upstream.id.value()}, {"service", upstream.service.value()},
      {"zone", upstream.zone.value()},   {"state", upstream.state},
      {"in_flight", upstream.in_flight}, {"limit", upstream.limit}};
}

[[nodiscard]] Error InvalidEdit(const std::string& message) {
  return {ErrorKind::kInvalidInput, message,
          "send a JSON object with `change` and one of `text`, `add` or "
          "`remove`"};
}

// Returns whether every field of the object is a known one and has its type.
// Fields may be missing.
[[nodiscard]] bool HasValidFields(const json& object) {
  for (const auto& [name, value] : object.items()) {
    const bool is_text =
        name == "change" || name == "text" || name == "add" || name == "remove";
    const bool is_flag = name == "overwrite" || name == "first";
    const bool is_number = name == "base";
    const bool is_valid = (is_text && value.is_string()) ||
                          (is_flag && value.is_boolean()) ||
                          (is_number && value.is_number_unsigned());
    if (!is_valid) {
      return false;
    }
  }
  return true;
}

}  // namespace

OperatorAnswer ProblemAnswer(unsigned status, const Error& error) {
  return {status, "application/problem+json",
          Serialize(ProblemDocument(status, error))};
}

OperatorAnswer RulesAnswer(const InstanceView& view) {
  if (view.rules == nullptr) {
    return ProblemAnswer(
        404, {ErrorKind::kNotFound, "no rules are in force on this instance",
              "apply rules; `rules status` shows the other instances"});
  }
  return JsonAnswer(
      {{"revision", view.rules->revision.value()}, {"text", view.rules->text}});
}

OperatorAnswer RulesStatusAnswer(const Settings& settings,
                                 const InstanceView& view) {
  std::map<std::string, json> by_instance;
  for (const PeerSettings& peer : settings.peers) {
    by_instance[peer.id.value()] = RevisionDocument(peer.id, peer.region);
  }
  for (const EntryInstance& entry : view.entries) {
    by_instance[entry.id.value()] = RevisionDocument(entry.id, entry.region);
  }
  for (const InstanceRevisionView& known : view.revisions) {
    json& document = by_instance[known.id.value()];
    document = RevisionDocument(known.id, known.region);
    if (known.revision) {
      document["revision"] = known.revision->value();
      document["age_ms"] =
          std::chrono::duration_cast<std::chrono::milliseconds>(known.age)
              .count();
    }
  }
  json& own = by_instance[settings.instance.value()];
  own = RevisionDocument(settings.instance, settings.region);
  if (view.rules != nullptr) {
    own["revision"] = view.rules->revision.value();
    own["age_ms"] = 0;
  }
  json instances = json::array();
  for (auto& [id, document] : by_instance) {
    instances.push_back(std::move(document));
  }
  return JsonAnswer({{"instance", settings.instance.value()},
                     {"instances", std::move(instances)}});
}

OperatorAnswer InstancesAnswer(const Settings& settings,
                               const InstanceView& view) {
  json entries = json::array();
  for (const EntryInstance& entry : view.entries) {
    entries.push_back(ToJson(entry));
  }
  return JsonAnswer({{"instance", settings.instance.value()},
                     {"region", settings.region.value()},
                     {"zone", settings.zone.value()},
                     {"ready", view.ready},
                     {"draining", view.draining},
                     {"entries", std::move(entries)}});
}

OperatorAnswer UpstreamsAnswer(const InstanceView& view) {
  json upstreams = json::array();
  for (const UpstreamView& upstream : view.upstreams) {
    upstreams.push_back(ToJson(upstream));
  }
  return JsonAnswer({{"upstreams", std::move(upstreams)}});
}

OperatorAnswer OutcomeAnswer(const RulesOutcome& outcome) {
  return std::visit(OutcomeAnswerVisitor{}, outcome);
}

Result<RulesEdit> DecodeEdit(const std::string& body) {
  const json object = json::parse(body, nullptr, false);
  if (!object.is_object()) {
    return InvalidEdit("the body is not a JSON object");
  }
  if (!HasValidFields(object)) {
    return InvalidEdit("a field is unknown or has the wrong type");
  }
  const std::size_t edit_count =
      object.count("text") + object.count("add") + object.count("remove");
  if (edit_count != 1 || !object.contains("change")) {
    return InvalidEdit("`change` is missing, or there is not exactly one edit");
  }
  RulesEdit edit;
  edit.change = ChangeId{object["change"].get<std::string>()};
  if (object.contains("add")) {
    edit.edit =
        AddRule{object["add"].get<std::string>(), object.value("first", false)};
  } else if (object.contains("remove")) {
    edit.edit = RemoveRule{object["remove"].get<std::string>()};
  } else {
    ReplaceRules replace{object["text"].get<std::string>(), std::nullopt,
                         object.value("overwrite", false)};
    if (object.contains("base")) {
      replace.base = Revision{object["base"].get<std::uint64_t>()};
    }
    edit.edit = std::move(replace);
  }
  return edit;
}

}  // namespace mimosagauge::detail
