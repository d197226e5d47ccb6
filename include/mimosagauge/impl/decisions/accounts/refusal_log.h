// Refusals of requests for their keys, counted between two log entries, so that
// a caller with a revoked key does not fill the log.

#ifndef MIMOSAGAUGE_IMPL_DECISIONS_ACCOUNTS_REFUSAL_LOG_H_
#define MIMOSAGAUGE_IMPL_DECISIONS_ACCOUNTS_REFUSAL_LOG_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "mimosagauge/impl/core/time.h"

namespace mimosagauge {

/// \brief Refusals that no log entry has reported yet.
struct RefusalLog {
  static constexpr Duration kInterval = std::chrono::seconds(10);

  std::map<std::string, std::uint64_t> unreported;  ///< By reason.
  TimePoint next_entry_at{};  ///< When the next entry may be written.
};

/// \brief Takes the fields of the log entry that is due: the number of refusals
/// by reason.
/// \returns No fields if no entry is due.
[[nodiscard]] inline std::vector<std::pair<std::string, std::string>>
TakeRefusals(RefusalLog& log, TimePoint now) {
  std::vector<std::pair<std::string, std::string>> fields;
  if (log.unreported.empty() || now < log.next_entry_at) {
    return fields;
  }
  log.next_entry_at = now + RefusalLog::kInterval;
  for (const auto& [reason, count] : std::exchange(log.unreported, {})) {
    fields.emplace_back(reason, std::to_string(count));
  }
  return fields;
}

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_ACCOUNTS_REFUSAL_LOG_H_
