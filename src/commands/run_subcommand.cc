// Finds the subcommand that the arguments name, or explains the choice.

#include <fmt/format.h>

#include <algorithm>
#include <cstddef>
#include <cstdio>

#include "mimosagauge/impl/app/subcommands.h"
#include "mimosagauge/impl/preprocessor.h"

namespace mimosagauge {
namespace {

void PrintUsage(std::FILE* out, const std::vector<Subcommand>& queries,
                const std::vector<Subcommand>& commands) {
  fmt::print(out, "usage: mimosagauge SUBCOMMAND [--help] [...]\n\nqueries:\n");
  for (const Subcommand& query : queries) {
    fmt::print(out, "  {:<16} {}\n", query.name, query.summary);
  }
  fmt::print(out, "\ncommands:\n");
  for (const Subcommand& command : commands) {
    fmt::print(out, "  {:<16} {}\n", command.name, command.summary);
  }
}

[[nodiscard]] std::size_t WordCount(const std::string& name) {
  return 1 +
         static_cast<std::size_t>(std::count(name.begin(), name.end(), ' '));
}

[[nodiscard]] bool Names(const Subcommand& subcommand,
                         const std::vector<std::string>& words) {
  const std::size_t count = WordCount(subcommand.name);
  if (words.size() < count) {
    return false;
  }
  std::string joined = words[0];
  for (std::size_t i = 1; i < count; ++i) {
    joined += " " + words[i];
  }
  return joined == subcommand.name;
}

}  // namespace

int RunSubcommand(int argc, char** argv) {
  const std::vector<std::string> words(argv + 1, argv + argc);
  const std::vector<Subcommand> queries = Queries();
  const std::vector<Subcommand> commands = Commands();
  std::vector<Subcommand> all = queries;
  all.insert(all.end(), commands.begin(), commands.end());
  for (const Subcommand& subcommand : all) {
    if (Names(subcommand, words)) {
      const auto skip = static_cast<std::ptrdiff_t>(WordCount(subcommand.name));
      return subcommand.run({words.begin() + skip, words.end()});
    }
  }
  if (words.size() == 1 && words[0] == "--version") {
    fmt::print("mimosagauge {}\n", MIMOSAGAUGE_VERSION_STRING);
    return kExitOk;
  }
  const bool help = words.size() == 1 && words[0] == "--help";
  PrintUsage(help ? stdout : stderr, queries, commands);
  return help ? kExitOk : kExitUsage;
}

}  // namespace mimosagauge
