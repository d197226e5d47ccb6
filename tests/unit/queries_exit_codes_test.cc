// Queries exit 0 when all is well, 1 for faults and 2 for wrong usage.

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

#include "mimosagauge/impl/app/subcommands.h"

namespace mimosagauge {
namespace {

[[nodiscard]] int Run(std::vector<std::string> words) {
  words.insert(words.begin(), "mimosagauge");
  std::vector<char*> argv;
  argv.reserve(words.size() + 1);
  for (std::string& word : words) {
    argv.push_back(word.data());
  }
  argv.push_back(nullptr);
  return RunSubcommand(static_cast<int>(words.size()), argv.data());
}

struct Example {
  std::vector<std::string> words;
  int exit_code;
};

TEST_CASE("queries tell faults from wrong usage by their exit codes") {
  const std::string examples = MIMOSAGAUGE_SOURCE_DIR "/examples/kamau/";
  const std::string good_rules = examples + "rules.txt";
  const std::string good_settings = examples + "nairobi-a-1.yaml";
  const std::string other_settings =
      MIMOSAGAUGE_SOURCE_DIR "/examples/cabine-nordeste/salvador-pituba-1.yaml";
  const std::string faulty = MIMOSAGAUGE_SOURCE_DIR "/CMakeLists.txt";
  const auto example = GENERATE_COPY(values<Example>({
      {{"rules", "check", good_rules}, kExitOk},
      {{"rules", "check", good_rules, "--json"}, kExitOk},
      {{"rules", "check", good_rules, "--settings", good_settings}, kExitOk},
      {{"rules", "check", good_rules, "--settings", other_settings},
       kExitFailed},
      {{"rules", "check", good_rules, "--settings", faulty}, kExitFailed},
      {{"rules", "check", faulty}, kExitFailed},
      {{"rules", "check", faulty, "--json"}, kExitFailed},
      {{"rules", "check", examples}, kExitFailed},
      {{"rules", "check", "no-such-file"}, kExitFailed},
      {{"rules", "check"}, kExitUsage},
      {{"rules", "check", "--no-such-option"}, kExitUsage},
      {{"rules", "check", "--help"}, kExitOk},
      {{"settings", "check", "--settings", good_settings}, kExitOk},
      {{"settings", "check", "--settings", good_settings, "--json"}, kExitOk},
      {{"settings", "check", "--settings", faulty}, kExitFailed},
      {{"settings", "check", "--settings", "no-such-file"}, kExitFailed},
      {{"settings", "check", "--settings", examples}, kExitFailed},
      {{"settings", "check", "--settings"}, kExitUsage},
      {{"settings", "check"}, kExitUsage},
      {{"settings", "check", "--help"}, kExitOk},
      {{"rules", "explain", "--rules", good_rules, "--model", "quote-full"},
       kExitOk},
      {{"rules", "explain", "--rules", good_rules, "--json"}, kExitOk},
      {{"rules", "explain", "--rules", faulty}, kExitFailed},
      {{"rules", "explain", "--model", "quote-full"}, kExitUsage},
      {{"rules", "explain", "--help"}, kExitOk},
  }));
  CAPTURE(example.words);
  CHECK(Run(example.words) == example.exit_code);
}

}  // namespace
}  // namespace mimosagauge
