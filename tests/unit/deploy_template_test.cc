// The template of deployments: what it adds to the basic one.

#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>
#include <string>

namespace mimosagauge {
namespace {

[[nodiscard]] std::string ReadLines(const std::string& name) {
  std::ifstream file(MIMOSAGAUGE_SOURCE_DIR "/deploy/" + name);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

// Guards against templates that drift apart: programs of the review render the
// basic one, deployments the one with the sections for accounts and placement.
TEST_CASE("the template of deployments has each line of the basic one") {
  const std::string full = ReadLines("fleet.yaml");
  std::istringstream basic(ReadLines("settings.yaml"));
  REQUIRE_FALSE(full.empty());
  std::size_t position = 0;
  for (std::string line; std::getline(basic, line);) {
    const std::size_t found = full.find(line + "\n", position);
    CAPTURE(line);
    REQUIRE(found != std::string::npos);
    position = found + line.size();
  }
}

}  // namespace
}  // namespace mimosagauge
