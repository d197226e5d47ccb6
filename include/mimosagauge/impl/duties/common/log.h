// Writing of numbered log events.

#ifndef MIMOSAGAUGE_IMPL_DUTIES_COMMON_LOG_H_
#define MIMOSAGAUGE_IMPL_DUTIES_COMMON_LOG_H_

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "mimosagauge/impl/core/log_catalogue.h"

namespace mimosagauge {

/// \brief A named value in a log entry. Never a key or a token.
struct LogField {
  std::string_view name;
  std::string value;
};

/// \brief Starts the thread that writes the log, to standard output.
/// \param level `debug`, `info`, `warning` or `error`.
void StartLog(const std::string& level);

/// \brief Writes what is left and ends the thread.
void StopLog();

/// \brief Logs one event; any thread, never blocks.
///
/// \code
/// Log(log_events::kStarted, {{"instance", settings.instance.value()}});
/// \endcode
void Log(const LogEvent& event, std::initializer_list<LogField> fields = {});
/// \brief The same, for fields collected before: names and values.
void LogCollected(
    const LogEvent& event,
    const std::vector<std::pair<std::string, std::string>>& fields);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DUTIES_COMMON_LOG_H_
