// `serve`: runs one instance.

#include "mimosagauge/impl/app/serve.h"

#include <fmt/format.h>

#include <cstdio>
#include <vector>

#include "mimosagauge/impl/app/arguments.h"
#include "mimosagauge/impl/app/subcommands.h"
#include "mimosagauge/impl/duties/common/log.h"
#include "mimosagauge/impl/duties/instance.h"
#include "mimosagauge/impl/settings/settings.h"

namespace mimosagauge {

int Serve(const std::vector<std::string>& words) {
  CommandLine line("serve", "Runs one instance until SIGTERM.");
  TCLAP::ValueArg<std::string> file("", "settings", "Settings file.", true, "",
                                    "FILE", line.parser);
  if (const auto exit = line.Parse(words)) {
    return *exit;
  }
  std::vector<SettingsFault> faults;
  const Settings settings = LoadSettings(file.getValue(), faults);
  if (!faults.empty()) {
    for (const SettingsFault& fault : faults) {
      fmt::print(stderr, "{}:{}: {}; {}\n", fault.file, fault.line,
                 fault.message, fault.remedy);
    }
    return kExitFailed;
  }
  StartLog(settings.log_level);
  const Result<bool> finished = RunInstance(settings);
  StopLog();
  if (!finished) {
    fmt::print(stderr, "{}\n", ToString(finished.error()));
    return kExitFailed;
  }
  return finished.value() ? kExitOk : kExitFailed;
}

}  // namespace mimosagauge
