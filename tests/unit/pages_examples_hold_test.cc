// The settings and rules that the pages for operators show have no fault.

#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include "mimosagauge/impl/rules/rule_set.h"
#include "mimosagauge/impl/settings/settings.h"

namespace mimosagauge {
namespace {

constexpr std::string_view kFence = "```";

[[nodiscard]] std::string Unindent(const std::string& line,
                                   std::size_t indent) {
  return line.size() < indent ? "" : line.substr(indent);
}

// The blocks of the page that begin with `first`, after the fence's `word`.
[[nodiscard]] std::vector<std::string> Blocks(const std::string& page,
                                              const std::string& word,
                                              const std::string& first) {
  std::ifstream stream(std::string(MIMOSAGAUGE_SOURCE_DIR) + "/" + page);
  std::vector<std::string> blocks;
  std::string line;
  while (std::getline(stream, line)) {
    const std::size_t indent = line.find(kFence);
    if (indent == std::string::npos) {
      continue;
    }
    const bool wanted = line.substr(indent + kFence.size()) == word;
    std::string block;
    while (std::getline(stream, line) &&
           line.find(kFence) == std::string::npos) {
      block += Unindent(line, indent) + "\n";
    }
    if (wanted && block.starts_with(first)) {
      blocks.push_back(block);
    }
  }
  return blocks;
}

TEST_CASE("settings on the pages hold") {
  const std::string page =
      GENERATE(as<std::string>{}, "README.md", "docs/OPERATIONS.md");
  CAPTURE(page);
  const auto blocks = Blocks(page, "yaml", "instance:");
  REQUIRE(blocks.size() == 1);
  // A token file that the page names is not there.
  std::string text = blocks.front();
  const std::string file = "token_file: operator.token";
  if (const auto at = text.find(file); at != std::string::npos) {
    text.replace(at, file.size(), "token: operator-token");
  }
  std::vector<SettingsFault> faults;
  (void)ParseSettings(text, page, faults);
  for (const SettingsFault& fault : faults) {
    FAIL_CHECK(fault.line << ": " << fault.message);
  }
}

TEST_CASE("rules on the pages hold") {
  const auto [page, first] = GENERATE(table<std::string, std::string>({
      {"README.md", "retry "},
      {"docs/OPERATIONS.md", "stay "},
      {"docs/RULES.md", "route "},
  }));
  CAPTURE(page);
  const auto blocks = Blocks(page, "", first);
  REQUIRE(blocks.size() == 1);
  std::vector<RuleFault> faults;
  (void)ParseRules(blocks.front(), faults);
  for (const RuleFault& fault : faults) {
    FAIL_CHECK(fault.line << ": " << fault.message);
  }
}

}  // namespace
}  // namespace mimosagauge
