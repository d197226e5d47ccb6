// `rules explain`: says which rules decide one described request.

#include <fmt/format.h>

#include <nlohmann/json.hpp>

#include "mimosagauge/impl/app/arguments.h"
#include "mimosagauge/impl/core/unit_text.h"
#include "mimosagauge/impl/queries/checks.h"
#include "mimosagauge/impl/queries/rules_file.h"
#include "mimosagauge/impl/rules/explain.h"

namespace mimosagauge {
namespace {

[[nodiscard]] nlohmann::json RuleAsJson(const Rule& rule) {
  return {{"line", rule.line},
          {"rule", ToString(rule)},
          {"asked_by", rule.asked_by}};
}

[[nodiscard]] nlohmann::json VerdictAsJson(const Verdict& verdict) {
  nlohmann::json json;
  json["service"] = verdict.service.value();
  json["priority"] = verdict.priority;
  json["idempotent"] = verdict.idempotent;
  json["regions"] = nullptr;
  json["due"] = nullptr;
  if (verdict.due) {
    json["due"] = ToString(*verdict.due);
  }
  if (verdict.regions) {
    json["regions"] = nlohmann::json::array();
    for (const RegionId& region : *verdict.regions) {
      json["regions"].push_back(region.value());
    }
  }
  json["lines"] = verdict.lines;
  return json;
}

void PrintJson(const Explanation& explanation) {
  nlohmann::json report;
  report["verdict"] = VerdictAsJson(explanation.verdict);
  for (const KindExplanation& kind : explanation.kinds) {
    nlohmann::json entry;
    entry["kind"] = ToString(kind.kind);
    entry["decided"] =
        kind.decided ? RuleAsJson(*kind.decided) : nlohmann::json();
    entry["passed"] = nlohmann::json::array();
    for (const UnappliedRule& passed : kind.passed) {
      nlohmann::json rule = RuleAsJson(passed.rule);
      rule["reason"] = ReasonNotApplied(passed);
      entry["passed"].push_back(std::move(rule));
    }
    report["kinds"].push_back(std::move(entry));
  }
  fmt::print("{}\n", report.dump(2, ' ', false,
                                 nlohmann::json::error_handler_t::replace));
}

[[nodiscard]] std::string DefaultText(RuleKind kind, const Verdict& verdict) {
  switch (kind) {
    case RuleKind::kRoute:
      return verdict.service.empty()
                 ? "nowhere: no line names a service"
                 : verdict.service.value() + ", the service of the path";
    case RuleKind::kStay:
      return "any region";
    case RuleKind::kPriority:
      return fmt::format("{}", Verdict::kDefaultPriority);
    case RuleKind::kRetry:
      return "no";
    case RuleKind::kDue:
      return "limits.default_due of the settings";
  }
  return "";
}

void PrintText(const Explanation& explanation) {
  for (const KindExplanation& kind : explanation.kinds) {
    if (kind.decided) {
      fmt::print("{:<8} {}  (line {}, asked by {})\n", ToString(kind.kind),
                 ToString(kind.decided->action), kind.decided->line,
                 kind.decided->asked_by);
    } else {
      fmt::print("{:<8} {}  (no line decides)\n", ToString(kind.kind),
                 DefaultText(kind.kind, explanation.verdict));
    }
    for (const UnappliedRule& passed : kind.passed) {
      fmt::print("         passed line {}: {}\n", passed.rule.line,
                 ReasonNotApplied(passed));
    }
  }
}

/// \brief The arguments that describe a request.
struct RequestArguments {
  explicit RequestArguments(TCLAP::CmdLine& parser)
      : service("", "service", "Service from the first part of the path.",
                false, "", "NAME", parser),
        model("", "model", "Model that the request names.", false, "", "NAME",
              parser),
        path("", "path", "Path without query.", false, "", "PATH", parser),
        method("", "method", "HTTP method.", false, "", "METHOD", parser),
        account("", "account", "Client account.", false, "", "NAME", parser),
        region("", "region", "Region where the request enters.", false, "",
               "NAME", parser) {}

  TCLAP::ValueArg<std::string> service;
  TCLAP::ValueArg<std::string> model;
  TCLAP::ValueArg<std::string> path;
  TCLAP::ValueArg<std::string> method;
  TCLAP::ValueArg<std::string> account;
  TCLAP::ValueArg<std::string> region;
};

[[nodiscard]] RequestTraits ToTraits(const RequestArguments& arguments) {
  return {ServiceId{arguments.service.getValue()},
          ModelId{arguments.model.getValue()},
          arguments.method.getValue(),
          arguments.path.getValue(),
          AccountId{arguments.account.getValue()},
          RegionId{arguments.region.getValue()}};
}

}  // namespace

int RulesExplain(const std::vector<std::string>& words) {
  CommandLine line("rules explain",
                   "Says what the rules of a file decide about one request, "
                   "which line of each kind decided, and why the others did "
                   "not. Describe the request by the options; what is left "
                   "out, the request does not have. Exits 0, 1 when the file "
                   "has faults and 2 for wrong usage.");
  TCLAP::SwitchArg json("", "json", "Print JSON.", line.parser);
  RequestArguments request(line.parser);
  TCLAP::ValueArg<std::string> file("", "rules", "The rules file.", true, "",
                                    "FILE", line.parser);
  if (const auto exit = line.Parse(words)) {
    return *exit;
  }
  std::vector<RuleFault> faults;
  const RuleSet rules = LoadRules(file.getValue(), faults);
  if (!faults.empty()) {
    fmt::print(stderr, "{}", FaultsAsText(file.getValue(), faults));
    return kExitFailed;
  }
  const Explanation explanation = ExplainRequest(rules, ToTraits(request));
  if (json.getValue()) {
    PrintJson(explanation);
  } else {
    PrintText(explanation);
  }
  return kExitOk;
}

}  // namespace mimosagauge
