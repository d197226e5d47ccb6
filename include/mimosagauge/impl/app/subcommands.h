// The subcommands of the binary: queries read, commands change something.

#ifndef MIMOSAGAUGE_IMPL_APP_SUBCOMMANDS_H_
#define MIMOSAGAUGE_IMPL_APP_SUBCOMMANDS_H_

#include <string>
#include <vector>

namespace mimosagauge {

/// Exit codes of every subcommand.
inline constexpr int kExitOk = 0;
inline constexpr int kExitFailed = 1;  ///< Refused or failed.
inline constexpr int kExitUsage = 2;

/// \param words The words after the subcommand's name.
/// \returns The exit code.
using SubcommandFunction = int (*)(const std::vector<std::string>& words);

/// \brief A subcommand of one or two words, as in `rules check`.
struct Subcommand {
  std::string name;
  std::string summary;
  SubcommandFunction run;
};

/// \returns The subcommands that only read.
[[nodiscard]] std::vector<Subcommand> Queries();
/// \returns The subcommands that change something, and `serve`.
[[nodiscard]] std::vector<Subcommand> Commands();

/// \brief Runs the subcommand that the arguments name.
[[nodiscard]] int RunSubcommand(int argc, char** argv);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_APP_SUBCOMMANDS_H_
