// Rules files as the queries read them and report on them.

#ifndef MIMOSAGAUGE_IMPL_QUERIES_RULES_FILE_H_
#define MIMOSAGAUGE_IMPL_QUERIES_RULES_FILE_H_

#include <string>
#include <vector>

#include "mimosagauge/impl/rules/rule_set.h"

namespace mimosagauge {

/// \brief Reads and checks a rules file.
/// \returns The rules; every fault is appended to `faults`, and the rule set
/// holds only when none was. A file that cannot be read is a fault on line 0.
[[nodiscard]] RuleSet LoadRules(const std::string& file,
                                std::vector<RuleFault>& faults);

/// \returns One line a fault: file, line, column, message and remedy.
[[nodiscard]] std::string FaultsAsText(const std::string& file,
                                       const std::vector<RuleFault>& faults);

/// \returns A JSON object with `ok`, `file` and `faults`.
[[nodiscard]] std::string FaultsAsJson(const std::string& file,
                                       const std::vector<RuleFault>& faults);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_QUERIES_RULES_FILE_H_
