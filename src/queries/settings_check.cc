// `settings check`: names every fault of a settings file.

#include <fmt/format.h>

#include <nlohmann/json.hpp>

#include "mimosagauge/impl/app/arguments.h"
#include "mimosagauge/impl/queries/checks.h"
#include "mimosagauge/impl/settings/settings.h"

namespace mimosagauge {
namespace {

void PrintJson(const std::vector<SettingsFault>& faults) {
  nlohmann::json report;
  report["ok"] = faults.empty();
  report["faults"] = nlohmann::json::array();
  for (const SettingsFault& fault : faults) {
    report["faults"].push_back({{"file", fault.file},
                                {"line", fault.line},
                                {"message", fault.message},
                                {"remedy", fault.remedy}});
  }
  fmt::print("{}\n", report.dump(2, ' ', false,
                                 nlohmann::json::error_handler_t::replace));
}

void PrintText(const std::string& file,
               const std::vector<SettingsFault>& faults) {
  for (const SettingsFault& fault : faults) {
    fmt::print("{}:{}: {}; {}\n", fault.file, fault.line, fault.message,
               fault.remedy);
  }
  if (faults.empty()) {
    fmt::print("{}: no fault\n", file);
  }
}

}  // namespace

int SettingsCheck(const std::vector<std::string>& words) {
  CommandLine line("settings check",
                   "Checks a settings file whole and names every fault with "
                   "its line and its remedy. Exits 0 when there is none, 1 "
                   "when there are faults and 2 for wrong usage.");
  TCLAP::ValueArg<std::string> file("", "settings", "The settings file, YAML.",
                                    true, "", "FILE", line.parser);
  TCLAP::SwitchArg json("", "json", "Print the faults as JSON.", line.parser);
  if (const auto exit = line.Parse(words)) {
    return *exit;
  }
  std::vector<SettingsFault> faults;
  static_cast<void>(LoadSettings(file.getValue(), faults));
  if (json.getValue()) {
    PrintJson(faults);
  } else {
    PrintText(file.getValue(), faults);
  }
  return faults.empty() ? kExitOk : kExitFailed;
}

}  // namespace mimosagauge
