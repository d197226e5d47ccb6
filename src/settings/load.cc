// Reading of settings files.

#include <fstream>
#include <sstream>

#include "mimosagauge/impl/settings/settings.h"

namespace mimosagauge {

Settings LoadSettings(const std::string& file,
                      std::vector<SettingsFault>& faults) {
  std::ifstream stream(file);
  if (!stream) {
    faults.push_back(
        {file, 0, "the file cannot be read", "check its name and permissions"});
    return {};
  }
  std::ostringstream text;
  text << stream.rdbuf();
  return ParseSettings(text.str(), file, faults);
}

}  // namespace mimosagauge
