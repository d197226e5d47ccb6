// Rules files as the queries read them and report on them.

#include "mimosagauge/impl/queries/rules_file.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>

#include "mimosagauge/impl/rules/rule_text.h"
#include "mimosagauge/impl/settings/text_file.h"

namespace mimosagauge {

RuleSet LoadRules(const std::string& file, std::vector<RuleFault>& faults) {
  const Result<std::string> text = ReadTextFile(file, kMaxRulesTextSize);
  if (!text) {
    faults.push_back({0, 0, text.error().message, text.error().remedy});
    return {};
  }
  return ParseRules(text.value(), faults);
}

std::string FaultsAsText(const std::string& file,
                         const std::vector<RuleFault>& faults) {
  std::string text;
  for (const RuleFault& fault : faults) {
    text += fmt::format("{}:{}:{}: {}; {}\n", file, fault.line, fault.column,
                        fault.message, fault.remedy);
  }
  return text;
}

std::string FaultsAsJson(const std::string& file,
                         const std::vector<RuleFault>& faults) {
  nlohmann::json report;
  report["ok"] = faults.empty();
  report["file"] = file;
  report["faults"] = nlohmann::json::array();
  for (const RuleFault& fault : faults) {
    report["faults"].push_back({{"line", fault.line},
                                {"column", fault.column},
                                {"message", fault.message},
                                {"remedy", fault.remedy}});
  }
  return report.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) +
         "\n";
}

}  // namespace mimosagauge
