// The queries that need no running instance.

#ifndef MIMOSAGAUGE_IMPL_QUERIES_CHECKS_H_
#define MIMOSAGAUGE_IMPL_QUERIES_CHECKS_H_

#include <string>
#include <vector>

namespace mimosagauge {

/// \brief `settings check`: names every fault of a settings file.
[[nodiscard]] int SettingsCheck(const std::vector<std::string>& words);

/// \brief `rules check`: names every fault of a rules file.
[[nodiscard]] int RulesCheck(const std::vector<std::string>& words);

/// \brief `rules explain`: says which rules decide one described request.
[[nodiscard]] int RulesExplain(const std::vector<std::string>& words);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_QUERIES_CHECKS_H_
