// The commands that change something through a running instance.

#ifndef MIMOSAGAUGE_IMPL_APP_OPERATOR_COMMANDS_H_
#define MIMOSAGAUGE_IMPL_APP_OPERATOR_COMMANDS_H_

#include <string>
#include <vector>

namespace mimosagauge {

/// \brief `rules apply`: puts a file in place of the rules.
[[nodiscard]] int RulesApply(const std::vector<std::string>& words);
/// \brief `rules add`: adds one line to the rules.
[[nodiscard]] int RulesAdd(const std::vector<std::string>& words);
/// \brief `rules remove`: removes one line from the rules.
[[nodiscard]] int RulesRemove(const std::vector<std::string>& words);
/// \brief `drain`: makes an instance shut down gracefully.
[[nodiscard]] int Drain(const std::vector<std::string>& words);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_APP_OPERATOR_COMMANDS_H_
