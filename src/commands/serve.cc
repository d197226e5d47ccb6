// `serve`: runs one instance.

#include "mimosagauge/impl/app/serve.h"

#include <fmt/format.h>

#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

#include "mimosagauge/impl/app/arguments.h"
#include "mimosagauge/impl/app/subcommands.h"
#include "mimosagauge/impl/duties/common/log.h"
#include "mimosagauge/impl/duties/instance.h"
#include "mimosagauge/impl/settings/settings.h"
#include "platform/adapter.h"

namespace mimosagauge {

namespace {

// Where the platform names the settings file in the environment.
constexpr const char* kSettingsVariable = "MIMOSAGAUGE_SETTINGS";

[[nodiscard]] std::string SettingsFile(const std::string& argument) {
  const char* named = std::getenv(kSettingsVariable);
  return argument.empty() && named != nullptr ? named : argument;
}

[[nodiscard]] Dialects FleetDialects() {
  return {&platform::Callers(), &platform::Upstreams(), &platform::Store(),
          &platform::Fleet()};
}

}  // namespace

int Serve(const std::vector<std::string>& words) {
  CommandLine line("serve", "Runs one instance until SIGTERM.");
  TCLAP::ValueArg<std::string> file(
      "", "settings",
      "Settings file; without it the one that MIMOSAGAUGE_SETTINGS names.",
      false, "", "FILE", line.parser);
  if (const auto exit = line.Parse(words)) {
    return *exit;
  }
  std::vector<SettingsFault> faults;
  const Settings settings = LoadSettings(SettingsFile(file.getValue()), faults);
  if (!faults.empty()) {
    for (const SettingsFault& fault : faults) {
      fmt::print(stderr, "{}:{}: {}; {}\n", fault.file, fault.line,
                 fault.message, fault.remedy);
    }
    return kExitFailed;
  }
  StartLog(settings.log_level);
  const bool own = settings.dialect == PlatformDialect::kOwn;
  const Result<bool> finished =
      RunInstance(settings, own ? Dialects{} : FleetDialects());
  StopLog();
  if (!finished) {
    fmt::print(stderr, "{}\n", ToString(finished.error()));
    return kExitFailed;
  }
  return finished.value() ? kExitOk : kExitFailed;
}

}  // namespace mimosagauge
