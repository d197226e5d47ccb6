// The log duty: spdlog's asynchronous logger, one JSON object a line.

#include "mimosagauge/impl/duties/log.h"

#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <cstddef>
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

}  // namespace

void StartLog(const std::string& level) {
  spdlog::init_thread_pool(kLogRingEntries, kLogThreads);
  auto sink = std::make_shared<spdlog::sinks::stderr_sink_mt>();
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
  spdlog::logger* logger = spdlog::default_logger_raw();
  const auto level = ToSpdlog(event.level);
  if (logger == nullptr || !logger->should_log(level)) {
    return;
  }
  nlohmann::json entry;
  entry["event"] = event.number;
  entry["text"] = event.text;
  for (const LogField& field : fields) {
    entry[std::string(field.name)] = field.value;
  }
  const std::string text =
      entry.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  // The braces come from the pattern.
  logger->log(level, "{}", text.substr(1, text.size() - 2));
}

}  // namespace mimosagauge
