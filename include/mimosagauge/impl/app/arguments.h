// Parsing of a subcommand's arguments with TCLAP, so that every subcommand
// treats help and wrong usage alike.

#ifndef MIMOSAGAUGE_IMPL_APP_ARGUMENTS_H_
#define MIMOSAGAUGE_IMPL_APP_ARGUMENTS_H_

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <cstdio>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "mimosagauge/impl/app/subcommands.h"
#include "mimosagauge/impl/preprocessor.h"

namespace mimosagauge {

/// \brief The command line of one subcommand; arguments are added to it.
///
/// \code
/// CommandLine line("rules check", "Checks a rules text.");
/// TCLAP::SwitchArg json("", "json", "Print JSON.", line.parser);
/// if (const auto exit = line.Parse(words)) {
///   return *exit;
/// }
/// \endcode
class CommandLine {
 public:
  /// \param name The subcommand, as in `rules check`.
  /// \param description What it does, in sentences.
  CommandLine(std::string name, const std::string& description)
      : parser(description, ' ', MIMOSAGAUGE_VERSION_STRING),
        name_(std::move(name)) {
    parser.setExceptionHandling(false);
  }

  /// \param words The words after the subcommand's name.
  /// \returns Nothing when the subcommand is to go on; else its exit code,
  /// after help or a fault has been printed.
  [[nodiscard]] std::optional<int> Parse(
      const std::vector<std::string>& words) {
    std::vector<std::string> all{"mimosagauge " + name_};
    all.insert(all.end(), words.begin(), words.end());
    try {
      RefuseUnknownOptions(words);
      parser.parse(all);
    } catch (const TCLAP::ArgException& exception) {
      fmt::print(stderr, "{} ({}); see mimosagauge {} --help\n",
                 exception.error(), exception.argId(), name_);
      return kExitUsage;
    } catch (const TCLAP::ExitException& exit) {
      return exit.getExitStatus() == 0 ? kExitOk : kExitUsage;
    }
    return std::nullopt;
  }

  TCLAP::CmdLine parser;  ///< Arguments register themselves here.

 private:
  /// TCLAP would take an unknown option for an argument without a name.
  void RefuseUnknownOptions(const std::vector<std::string>& words) {
    for (const std::string& word : words) {
      if (word == "--") {
        return;
      }
      if (word.starts_with("--") && !IsOption(word.substr(2))) {
        throw TCLAP::CmdLineParseException("Unknown option", word);
      }
    }
  }

  [[nodiscard]] bool IsOption(const std::string& option) {
    for (const TCLAP::Arg* argument : parser.getArgList()) {
      if (argument->getName() == option) {
        return true;
      }
    }
    return false;
  }

  std::string name_;
};

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_APP_ARGUMENTS_H_
