// Reading of settings files.

#include "mimosagauge/impl/settings/settings.h"
#include "mimosagauge/impl/settings/text_file.h"

namespace mimosagauge {

Settings LoadSettings(const std::string& file,
                      std::vector<SettingsFault>& faults) {
  const Result<std::string> text = ReadTextFile(file, kMaxSettingsText);
  if (!text) {
    faults.push_back({file, 0, text.error().message, text.error().remedy});
    return {};
  }
  return ParseSettings(text.value(), file, faults);
}

}  // namespace mimosagauge
