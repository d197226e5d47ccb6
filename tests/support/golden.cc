// Reading, comparing and rewriting of golden files.

#include "tests/support/golden.h"

#include <cstddef>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string_view>

namespace mimosagauge::testing {
namespace {

constexpr std::string_view kEndOfFile = "(end of file)";

std::string PathOf(const std::string& name) {
  return std::string(MIMOSAGAUGE_SOURCE_DIR) + "/tests/golden/" + name + ".txt";
}

bool Rewrites() {
  const char* mode = std::getenv("MIMOSAGAUGE_GOLDEN");
  return mode != nullptr && std::string_view(mode) == "write";
}

std::string NextLine(std::istream& text) {
  std::string line;
  return std::getline(text, line) ? line : std::string(kEndOfFile);
}

std::string FirstDifference(const std::string& name, const std::string& want,
                            const std::string& got) {
  std::istringstream wanted(want);
  std::istringstream seen(got);
  std::size_t number = 1;
  while (wanted && seen) {
    const std::string wanted_line = NextLine(wanted);
    const std::string seen_line = NextLine(seen);
    if (wanted_line != seen_line) {
      std::ostringstream difference;
      difference << name << ".txt:" << number << "\n  golden: " << wanted_line
                 << "\n  now:    " << seen_line;
      return difference.str();
    }
    ++number;
  }
  return name + ".txt: the texts differ in their last line's end";
}

}  // namespace

std::string CheckGolden(const std::string& name, const std::string& text) {
  const std::string path = PathOf(name);
  if (Rewrites()) {
    std::filesystem::create_directories(
        std::filesystem::path(path).parent_path());
    std::ofstream file(path, std::ios::binary);
    file << text;
    return file.flush() ? "" : path + " cannot be written";
  }
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return path + " is missing: run the test with MIMOSAGAUGE_GOLDEN=write";
  }
  std::ostringstream golden;
  golden << file.rdbuf();
  if (golden.str() == text) {
    return "";
  }
  return FirstDifference(name, golden.str(), text);
}

}  // namespace mimosagauge::testing
