// `rules check`: names every fault of a rules file.

#include <fmt/format.h>

#include "mimosagauge/impl/app/arguments.h"
#include "mimosagauge/impl/queries/checks.h"
#include "mimosagauge/impl/queries/rules_file.h"
#include "mimosagauge/impl/settings/settings.h"
#include "mimosagauge/impl/settings/unknown_regions.h"

namespace mimosagauge {
namespace {

/// Adds the faults of the settings to those of the rules, since the rules were
/// not compared with them.
void CompareWithSettings(const std::string& file, const RuleSet& rules,
                         std::vector<RuleFault>& faults) {
  std::vector<SettingsFault> settings_faults;
  const Settings settings = LoadSettings(file, settings_faults);
  if (settings_faults.empty()) {
    FindUnknownRegions(rules, settings, faults);
    return;
  }
  faults.push_back({0, 0, fmt::format("the settings '{}' have faults", file),
                    "run mimosagauge settings check and mend them"});
}

}  // namespace

int RulesCheck(const std::vector<std::string>& words) {
  CommandLine line("rules check",
                   "Checks a rules file whole and names every fault with its "
                   "line, column and remedy; lines that can never decide and "
                   "lines that contradict each other are faults. Exits 0 when "
                   "there is none, 1 when there are faults and 2 for wrong "
                   "usage.");
  TCLAP::UnlabeledValueArg<std::string> file("file", "The rules file.", true,
                                             "", "FILE", line.parser);
  TCLAP::ValueArg<std::string> settings(
      "", "settings",
      "A settings file; regions that it does not know are faults.", false, "",
      "FILE", line.parser);
  TCLAP::SwitchArg json("", "json", "Print the faults as JSON.", line.parser);
  if (const auto exit = line.Parse(words)) {
    return *exit;
  }
  std::vector<RuleFault> faults;
  const RuleSet rules = LoadRules(file.getValue(), faults);
  if (settings.isSet()) {
    CompareWithSettings(settings.getValue(), rules, faults);
  }
  if (json.getValue()) {
    fmt::print("{}", FaultsAsJson(file.getValue(), faults));
  } else if (faults.empty()) {
    fmt::print("{}: {} rules, no fault\n", file.getValue(), rules.rules.size());
  } else {
    fmt::print("{}", FaultsAsText(file.getValue(), faults));
  }
  return faults.empty() ? kExitOk : kExitFailed;
}

}  // namespace mimosagauge
