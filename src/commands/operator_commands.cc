// Edits of the rules and draining, through an instance's operators address.

#include "mimosagauge/impl/app/operator_commands.h"

#include <fmt/format.h>

#include <charconv>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <sstream>
#include <string_view>
#include <thread>
#include <utility>

#include "mimosagauge/impl/app/arguments.h"
#include "mimosagauge/impl/queries/live.h"
#include "mimosagauge/impl/queries/operators_client.h"

namespace mimosagauge {
namespace {

using nlohmann::json;

constexpr unsigned kStatusOk = 200;
constexpr unsigned kStatusAccepted = 202;
constexpr unsigned kFirstServerError = 500;
constexpr int kTries = 3;
constexpr std::chrono::seconds kPauseBetweenTries{1};

[[nodiscard]] std::string RandomChangeId() {
  std::random_device random;
  std::string id;
  for (int i = 0; i < 4; ++i) {
    id += fmt::format("{:08x}", random());
  }
  return id;
}

/// \brief A rules file, without the line that names its base.
struct RulesFile {
  std::string text;
  std::optional<std::uint64_t> base;
  std::uint32_t lines_removed = 0;
};

[[nodiscard]] std::optional<std::string> ReadFile(const std::string& name) {
  std::ifstream stream(name);
  if (!stream) {
    return std::nullopt;
  }
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

[[nodiscard]] RulesFile SplitBase(std::string text) {
  RulesFile file{std::move(text), std::nullopt, 0};
  if (!file.text.starts_with(kRevisionLine)) {
    return file;
  }
  const std::size_t end = file.text.find('\n');
  const std::string_view number = std::string_view(file.text).substr(
      kRevisionLine.size(), end - kRevisionLine.size());
  std::uint64_t base = 0;
  const char* last = number.data() + number.size();
  const auto parsed = std::from_chars(number.data(), last, base);
  if (parsed.ec != std::errc{}) {
    return file;
  }
  file.base = base;
  file.text.erase(0, end == std::string::npos ? file.text.size() : end + 1);
  file.lines_removed = 1;
  return file;
}

// An edit carries its change id, so that sending it again does no harm.
[[nodiscard]] Result<OperatorReply> SendEdit(const OperatorTarget& target,
                                             const json& edit) {
  const OperatorCall call{
      "POST", "/v1/rules",
      edit.dump(-1, ' ', false, json::error_handler_t::replace)};
  for (int tries = 1;; ++tries) {
    Result<OperatorReply> reply = CallInstance(target, call);
    const bool answered = reply && reply.value().status < kFirstServerError;
    if (answered || tries == kTries) {
      return reply;
    }
    std::this_thread::sleep_for(kPauseBetweenTries);
  }
}

void PrintAccepted(const json& document) {
  const auto revision = document.at("revision").get<std::uint64_t>();
  if (!document.at("written").get<bool>()) {
    fmt::print("the rules read so already, in revision {}\n", revision);
    return;
  }
  fmt::print("accepted as revision {}{}\n", revision,
             document.at("merged").get<bool>()
                 ? ", merged with changes that others made meanwhile"
                 : "");
}

[[nodiscard]] int ReportEdit(const Result<OperatorReply>& reply,
                             const json& edit, bool as_json,
                             const std::string& file,
                             std::uint32_t line_offset) {
  const bool accepted = reply && reply.value().status == kStatusOk;
  if (as_json && reply) {
    fmt::print("{}\n", reply.value().body);
    return accepted ? kExitOk : kExitFailed;
  }
  if (!accepted) {
    PrintFailure(reply, file, line_offset);
    const bool unknown = !reply || reply.value().status >= kFirstServerError;
    if (unknown) {
      fmt::print(stderr, "to send the same change again add --change {}\n",
                 edit.at("change").get<std::string>());
    }
    return kExitFailed;
  }
  try {
    PrintAccepted(json::parse(reply.value().body));
  } catch (const json::exception&) {
    fmt::print(stderr,
               "the instance's answer is malformed; check --instance\n");
    return kExitFailed;
  }
  return kExitOk;
}

/// \brief The arguments that all edits share.
struct EditArguments {
  explicit EditArguments(TCLAP::CmdLine& parser)
      : instance(parser),
        change("", "change",
               "Id of the change, to send one again whose outcome is not "
               "known.",
               false, "", "ID", parser) {}

  [[nodiscard]] std::string change_id() const {
    return change.isSet() ? change.getValue() : RandomChangeId();
  }

  OperatorArguments instance;
  TCLAP::ValueArg<std::string> change;
};

[[nodiscard]] int RunEdit(const EditArguments& arguments, json edit,
                          const std::string& file,
                          std::uint32_t line_offset = 0) {
  const auto target = arguments.instance.target();
  if (!target) {
    return kExitUsage;
  }
  edit["change"] = arguments.change_id();
  return ReportEdit(SendEdit(*target, edit), edit, arguments.instance.json(),
                    file, line_offset);
}

}  // namespace

int RulesApply(const std::vector<std::string>& words) {
  CommandLine line(
      "rules apply",
      "Puts a file in place of the rules. Changes that others made since the "
      "file's base revision are merged line by line; lines that both changed "
      "are shown and nothing is changed. The base is named by the first line, "
      "as `rules show` prints it, or by --base. Exits 0 when the rules were "
      "accepted, 1 when not and 2 for wrong usage.");
  const EditArguments arguments(line.parser);
  TCLAP::ValueArg<std::uint64_t> base("", "base",
                                      "Revision that the file is based on.",
                                      false, 0, "REVISION", line.parser);
  TCLAP::SwitchArg overwrite("", "overwrite",
                             "Accept the file whatever the rules are now.",
                             line.parser);
  TCLAP::UnlabeledValueArg<std::string> name("file", "The rules file.", true,
                                             "", "FILE", line.parser);
  if (const auto exit = line.Parse(words)) {
    return *exit;
  }
  auto text = ReadFile(name.getValue());
  if (!text) {
    fmt::print(stderr, "{} cannot be read; check its name and permissions\n",
               name.getValue());
    return kExitFailed;
  }
  RulesFile file = SplitBase(std::move(*text));
  json edit{{"text", file.text}};
  if (base.isSet()) {
    edit["base"] = base.getValue();
  } else if (file.base) {
    edit["base"] = *file.base;
  }
  if (overwrite.getValue()) {
    edit["overwrite"] = true;
  }
  return RunEdit(arguments, std::move(edit), name.getValue(),
                 file.lines_removed);
}

int RulesAdd(const std::vector<std::string>& words) {
  CommandLine line("rules add",
                   "Adds one line to the rules, after all others. Exits 0 when "
                   "it was accepted, 1 when not and 2 for wrong usage.");
  const EditArguments arguments(line.parser);
  TCLAP::SwitchArg first("", "first", "Add it before all others.", line.parser);
  TCLAP::UnlabeledValueArg<std::string> rule(
      "line", "The rule, with its comment.", true, "", "LINE", line.parser);
  if (const auto exit = line.Parse(words)) {
    return *exit;
  }
  return RunEdit(arguments,
                 {{"add", rule.getValue()}, {"first", first.getValue()}},
                 "line");
}

int RulesRemove(const std::vector<std::string>& words) {
  CommandLine line("rules remove",
                   "Removes a line from the rules, given as `rules show` "
                   "prints it. Exits 0 when it was accepted, 1 when not and 2 "
                   "for wrong usage.");
  const EditArguments arguments(line.parser);
  TCLAP::UnlabeledValueArg<std::string> rule(
      "line", "The rule, with its comment.", true, "", "LINE", line.parser);
  if (const auto exit = line.Parse(words)) {
    return *exit;
  }
  json edit = json::object();
  edit["remove"] = rule.getValue();
  return RunEdit(arguments, std::move(edit), "rules");
}

int Drain(const std::vector<std::string>& words) {
  CommandLine line("drain",
                   "Makes an instance take no new work, finish what it has and "
                   "exit. Exits 0 when the instance began, 1 when not and 2 "
                   "for wrong usage.");
  const OperatorArguments arguments(line.parser);
  if (const auto exit = line.Parse(words)) {
    return *exit;
  }
  const auto target = arguments.target();
  if (!target) {
    return kExitUsage;
  }
  const auto reply = CallInstance(*target, {"POST", "/v1/drain", ""});
  if (!reply || reply.value().status != kStatusAccepted) {
    PrintFailure(reply);
    return kExitFailed;
  }
  fmt::print("{}\n", arguments.json() ? reply.value().body
                                      : "graceful shutdown has begun");
  return kExitOk;
}

}  // namespace mimosagauge
