// Logging through spdlog's asynchronous logger, one JSON object per line.

#include "mimosagauge/impl/duties/common/log.h"

#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>

namespace mimosagauge {
namespace {

constexpr std::size_t kLogRingEntries = 8192;
constexpr std::size_t kLogThreads = 1;

[[nodiscard]] spdlog::level::level_enum ToSpdlog(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return spdlog::level::debug;
    case LogLevel::kInfo:
      return spdlog::level::info;
    case LogLevel::kWarning:
      return spdlog::level::warn;
    case LogLevel::kError:
      return spdlog::level::err;
  }
  return spdlog::level::info;
}

// The number of lost entries is checked once per this many entries.
constexpr std::uint64_t kEntriesPerLossCheck = 256;

// Returns how many entries were dropped from the full ring since the last
// report; 0 when no check is due.
[[nodiscard]] std::size_t TakeUnreportedLosses() {
  static std::atomic<std::uint64_t> entry_count{0};
  static std::atomic<std::size_t> reported{0};
  if (++entry_count % kEntriesPerLossCheck != 0 || !spdlog::thread_pool()) {
    return 0;
  }
  const std::size_t lost = spdlog::thread_pool()->overrun_counter();
  return lost - reported.exchange(lost);
}

// Writes one log entry; `add_fields` adds the fields of the event to it.
template <typename AddFields>
void WriteEntry(const LogEvent& event, AddFields&& add_fields) {
  spdlog::logger* logger = spdlog::default_logger_raw();
  const auto level = ToSpdlog(event.level);
  if (logger == nullptr || !logger->should_log(level)) {
    return;
  }
  nlohmann::ordered_json entry;
  entry["event"] = event.number;
  entry["text"] = event.text;
  add_fields(entry);
  if (!event.remedy.empty()) {
    entry["remedy"] = event.remedy;
  }
  const std::string text =
      entry.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  // The outer braces are removed, because the logger's pattern writes them.
  logger->log(level, "{}", text.substr(1, text.size() - 2));
  if (const std::size_t lost = TakeUnreportedLosses(); lost > 0) {
    Log(log_events::kLogLinesLost, {{"entries", std::to_string(lost)}});
  }
}

}  // namespace

void StartLog(const std::string& level) {
  spdlog::init_thread_pool(kLogRingEntries, kLogThreads);
  auto sink = std::make_shared<spdlog::sinks::stdout_sink_mt>();
  auto logger = std::make_shared<spdlog::async_logger>(
      "mimosagauge", std::move(sink), spdlog::thread_pool(),
      spdlog::async_overflow_policy::overrun_oldest);
  logger->set_level(spdlog::level::from_str(level));
  logger->set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%e%z","level":"%l",%v})",
                      spdlog::pattern_time_type::utc);
  logger->flush_on(spdlog::level::info);
  spdlog::set_default_logger(std::move(logger));
}

void StopLog() { spdlog::shutdown(); }

void Log(const LogEvent& event, std::initializer_list<LogField> fields) {
  WriteEntry(event, [&fields](nlohmann::ordered_json& entry) {
    for (const LogField& field : fields) {
      entry[std::string(field.name)] = field.value;
    }
  });
}

void LogWithFields(
    const LogEvent& event,
    const std::vector<std::pair<std::string, std::string>>& fields) {
  WriteEntry(event, [&fields](nlohmann::ordered_json& entry) {
    for (const auto& [name, value] : fields) {
      entry[name] = value;
    }
  });
}

}  // namespace mimosagauge
