// Writes numbered log events.

#ifndef MIMOSAGAUGE_IMPL_DUTIES_COMMON_LOG_H_
#define MIMOSAGAUGE_IMPL_DUTIES_COMMON_LOG_H_

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "mimosagauge/impl/core/log_catalogue.h"

namespace mimosagauge {

/// \brief A named value in a log entry. Keys and tokens must not be logged.
struct LogField {
  std::string_view name;
  std::string value;
};

/// \brief Starts the thread that writes the log to standard output.
/// \param level The lowest level that is written: `debug`, `info`, `warning` or
/// `error`.
void StartLog(const std::string& level);

/// \brief Writes the entries that are still queued and stops the thread.
void StopLog();

/// \brief Logs one event. It may be called on any thread and never blocks: when
/// the queue is full, the oldest entry is dropped.
///
/// \code
/// Log(log_events::kStarted, {{"instance", settings.instance.value()}});
/// \endcode
void Log(const LogEvent& event, std::initializer_list<LogField> fields = {});
/// \brief Logs one event with fields given as pairs of name and value.
void LogWithFields(
    const LogEvent& event,
    const std::vector<std::pair<std::string, std::string>>& fields);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DUTIES_COMMON_LOG_H_
