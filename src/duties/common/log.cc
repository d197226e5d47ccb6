// The log duty: spdlog's asynchronous logger, one JSON object a line.

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

// How often the writer's losses are looked at, in entries.
constexpr std::uint64_t kEntriesPerLossCheck = 256;

// Entries that the ring had no room for, since they were told last.
[[nodiscard]] std::size_t LossesToTell() {
  static std::atomic<std::uint64_t> entries{0};
  static std::atomic<std::size_t> told{0};
  if (++entries % kEntriesPerLossCheck != 0 || !spdlog::thread_pool()) {
    return 0;
  }
  const std::size_t lost = spdlog::thread_pool()->overrun_counter();
  return lost - told.exchange(lost);
}

// Writes the entry; `add_fields` completes it.
template <typename AddFields>
void Write(const LogEvent& event, AddFields&& add_fields) {
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
  // The braces come from the pattern.
  logger->log(level, "{}", text.substr(1, text.size() - 2));
  if (const std::size_t lost = LossesToTell(); lost > 0) {
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
  Write(event, [&fields](nlohmann::ordered_json& entry) {
    for (const LogField& field : fields) {
      entry[std::string(field.name)] = field.value;
    }
  });
}

void LogCollected(
    const LogEvent& event,
    const std::vector<std::pair<std::string, std::string>>& fields) {
  Write(event, [&fields](nlohmann::ordered_json& entry) {
    for (const auto& [name, value] : fields) {
      entry[name] = value;
    }
  });
}

}  // namespace mimosagauge
