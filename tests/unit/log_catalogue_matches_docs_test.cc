// docs/EVENTS.md and the catalogue in the code list the same events.

#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <fstream>
#include <set>
#include <string>
#include <string_view>

#include "mimosagauge/impl/core/log_catalogue.h"

namespace mimosagauge {
namespace {

constexpr std::string_view kRowStart = "| ";
constexpr std::string_view kHeader = "| number |";
constexpr std::string_view kRule = "| ---";

[[nodiscard]] std::string_view LevelName(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return "debug";
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarning:
      return "warning";
    case LogLevel::kError:
      return "error";
  }
  return "";
}

[[nodiscard]] std::set<std::string> RowsOfPage() {
  std::ifstream page(std::string(MIMOSAGAUGE_SOURCE_DIR) + "/docs/EVENTS.md");
  std::set<std::string> rows;
  std::string line;
  while (std::getline(page, line)) {
    if (line.starts_with(kRowStart) && !line.starts_with(kHeader) &&
        !line.starts_with(kRule)) {
      rows.insert(line);
    }
  }
  return rows;
}

[[nodiscard]] std::set<std::string> RowsOfCode() {
  std::set<std::string> rows;
  for (const LogEvent& event : LogCatalogue()) {
    rows.insert(fmt::format("| {} | {} | {} | {} |", event.number,
                            LevelName(event.level), event.text, event.remedy));
  }
  return rows;
}

TEST_CASE("the page of events and the code list the same") {
  CHECK(RowsOfPage() == RowsOfCode());
}

TEST_CASE("no number of an event is used twice") {
  std::set<std::uint16_t> numbers;
  for (const LogEvent& event : LogCatalogue()) {
    CAPTURE(event.number);
    CHECK(numbers.insert(event.number).second);
  }
}

}  // namespace
}  // namespace mimosagauge
