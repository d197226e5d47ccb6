// Typed reading of one section of a YAML text, with every fault collected.

#include "mimosagauge/impl/settings/section.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <string_view>

#include "mimosagauge/impl/core/unit_text.h"
#include "mimosagauge/impl/settings/settings_keys.h"

namespace mimosagauge::detail {
namespace {

/// Most entries of one list; client accounts are the longest.
constexpr std::size_t kMaxListEntries = 20'000;
constexpr std::size_t kMaxNameLength = 128;

[[nodiscard]] std::uint32_t LineAt(const YAML::Mark& mark) {
  return static_cast<std::uint32_t>(std::max(mark.line, 0) + 1);
}

void NoteLine(SettingsReport& report, const std::string& path,
              const YAML::Node& node) {
  report.lines.emplace(path, LineAt(node.Mark()));
}

/// \returns The key's name within its section, or nothing when it belongs to
/// another one.
[[nodiscard]] std::string_view LocalName(const SettingsKey& key,
                                         const std::string& key_prefix) {
  if (!key.path.starts_with(key_prefix)) {
    return {};
  }
  const std::string_view name = key.path.substr(key_prefix.size());
  return name.find('.') == std::string_view::npos ? name : std::string_view{};
}

[[nodiscard]] std::vector<std::string> KnownNames(
    const std::string& key_prefix) {
  std::vector<std::string> names;
  for (const SettingsKey& key : SettingsKeys()) {
    if (const auto name = LocalName(key, key_prefix); !name.empty()) {
      names.emplace_back(name);
    }
  }
  return names;
}

void TakeValue(Section& section, const YAML::Node& key, const YAML::Node& value,
               const std::vector<std::string>& known) {
  const std::string name = key.IsScalar() ? key.Scalar() : "";
  const std::string path = section.prefix + name;
  if (std::find(known.begin(), known.end(), name) == known.end()) {
    section.report.faults.push_back(
        {section.report.file, LineAt(key.Mark()),
         fmt::format("'{}' is not a key of the settings", path),
         fmt::format("use one of {}", fmt::join(known, ", "))});
    return;
  }
  if (section.values.count(name) != 0) {
    section.report.faults.push_back({section.report.file, LineAt(key.Mark()),
                                     fmt::format("'{}' is given twice", path),
                                     "keep one of the two"});
    return;
  }
  NoteLine(section.report, path, key);
  section.values.emplace(name, value);
}

void NameMissing(Section& section) {
  for (const SettingsKey& key : SettingsKeys()) {
    const auto name = LocalName(key, section.key_prefix);
    if (!name.empty() && key.required() &&
        section.values.count(std::string(name)) == 0) {
      AddFault(section.report, section.prefix,
               fmt::format("'{}{}' is missing", section.prefix, name),
               fmt::format("add it: {}, {}", key.form, key.meaning));
    }
  }
}

[[nodiscard]] Section Open(SettingsReport& report, const YAML::Node& node,
                           std::string prefix, std::string key_prefix) {
  Section section{report, std::move(prefix), std::move(key_prefix), {}};
  const auto known = KnownNames(section.key_prefix);
  for (const auto& entry : node) {
    TakeValue(section, entry.first, entry.second, known);
  }
  NameMissing(section);
  return section;
}

template <typename T>
[[nodiscard]] Result<T> ParseNumber(const std::string& text) {
  T number{};
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (parsed.ec != std::errc{} || parsed.ptr != end) {
    return Error{ErrorKind::kInvalidSettings,
                 fmt::format("'{}' is not a number", text),
                 "write a number that fits, without a unit"};
  }
  return number;
}

[[nodiscard]] bool IsNameCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
}

}  // namespace

std::uint32_t LineOf(const SettingsReport& report, std::string path) {
  while (!path.empty()) {
    if (const auto found = report.lines.find(path);
        found != report.lines.end()) {
      return found->second;
    }
    const std::size_t cut = path.find_last_of(".[");
    path.resize(cut == std::string::npos ? 0 : cut);
  }
  return 1;
}

void AddFault(SettingsReport& report, const std::string& path,
              std::string message, std::string remedy) {
  report.faults.push_back({report.file, LineOf(report, path),
                           std::move(message), std::move(remedy)});
}

Section OpenFile(const YAML::Node& root, SettingsReport& report) {
  return Open(report, root, "", "");
}

std::optional<Section> OpenSection(Section& parent, const std::string& key) {
  if (!Has(parent, key)) {
    return std::nullopt;
  }
  const YAML::Node& node = parent.values.at(key);
  const std::string path = parent.prefix + key;
  if (!node.IsMap()) {
    AddFault(parent.report, path, fmt::format("'{}' is not a section", path),
             "write its keys below it, indented, each with its value");
    return std::nullopt;
  }
  return Open(parent.report, node, path + ".", parent.key_prefix + key + ".");
}

std::vector<Section> OpenSections(Section& parent, const std::string& key) {
  std::vector<Section> sections;
  std::size_t index = 0;
  for (const YAML::Node& node : ListEntries(parent, key)) {
    const std::string path = EntryPath(parent, key, index++);
    NoteLine(parent.report, path, node);
    if (!node.IsMap()) {
      AddFault(parent.report, path, fmt::format("'{}' is not a section", path),
               "write the keys of the entry, each with its value");
      // It keeps its place, so that later faults name the right line.
      sections.push_back({parent.report, path + ".", "", {}});
      continue;
    }
    sections.push_back(
        Open(parent.report, node, path + ".", parent.key_prefix + key + "[]."));
  }
  return sections;
}

bool Has(const Section& section, const std::string& key) {
  return section.values.count(key) != 0;
}

std::optional<std::string> ScalarText(Section& section, const YAML::Node& node,
                                      const std::string& path) {
  if (node.IsScalar() && !node.Scalar().empty()) {
    return node.Scalar();
  }
  const bool empty = node.IsNull() || node.IsScalar();
  AddFault(section.report, path,
           empty ? fmt::format("'{}' has no value", path)
                 : fmt::format("'{}' is not a single value", path),
           empty ? "write its value or remove the key"
                 : "write one value on the same line");
  return std::nullopt;
}

std::vector<YAML::Node> ListEntries(Section& section, const std::string& key) {
  if (!Has(section, key)) {
    return {};
  }
  const YAML::Node& node = section.values.at(key);
  const std::string path = section.prefix + key;
  if (!node.IsSequence()) {
    AddFault(section.report, path, fmt::format("'{}' is not a list", path),
             "write each entry on a line of its own after '- '");
    return {};
  }
  if (node.size() > kMaxListEntries) {
    AddFault(
        section.report, path,
        fmt::format("'{}' has more than {} entries", path, kMaxListEntries),
        "shorten the list");
    return {};
  }
  return {node.begin(), node.end()};
}

std::string EntryPath(const Section& section, const std::string& key,
                      std::size_t index) {
  return fmt::format("{}{}[{}]", section.prefix, key, index);
}

Result<std::string> FromText(const std::string& text, std::string* /*type*/) {
  return text;
}

Result<TokenText> FromText(const std::string& text, TokenText* /*type*/) {
  const bool printable = std::all_of(
      text.begin(), text.end(), [](char c) { return c > ' ' && c < '\x7F'; });
  if (!printable || text.empty()) {
    return Error{ErrorKind::kInvalidSettings,
                 "the token cannot be sent in a header",
                 "use printable ASCII characters without blanks"};
  }
  return TokenText{text};
}

Result<std::size_t> FromText(const std::string& text, std::size_t* /*type*/) {
  return ParseNumber<std::size_t>(text);
}

Result<std::uint8_t> FromText(const std::string& text, std::uint8_t* /*type*/) {
  return ParseNumber<std::uint8_t>(text);
}

Result<double> FromText(const std::string& text, double* /*type*/) {
  return ParseNumber<double>(text);
}

Result<bool> FromText(const std::string& text, bool* /*type*/) {
  if (text == "true" || text == "false") {
    return text == "true";
  }
  return Error{ErrorKind::kInvalidSettings,
               fmt::format("'{}' is neither true nor false", text),
               "write true or false"};
}

Result<Duration> FromText(const std::string& text, Duration* /*type*/) {
  return ParseDuration(text);
}

Result<Bytes> FromText(const std::string& text, Bytes* /*type*/) {
  return ParseBytes(text);
}

Result<BitsPerSecond> FromText(const std::string& text,
                               BitsPerSecond* /*type*/) {
  return ParseBitsPerSecond(text);
}

Result<Share> FromText(const std::string& text, Share* /*type*/) {
  return ParseShare(text);
}

Result<Endpoint> FromText(const std::string& text, Endpoint* /*type*/) {
  return ParseEndpoint(text);
}

Result<UpstreamKind> FromText(const std::string& text, UpstreamKind* /*type*/) {
  if (text == "engine" || text == "plain") {
    return text == "engine" ? UpstreamKind::kEngine : UpstreamKind::kPlain;
  }
  return Error{ErrorKind::kInvalidSettings,
               fmt::format("'{}' is not a kind of upstream", text),
               "write engine or plain"};
}

Result<PlatformDialect> FromText(const std::string& text,
                                 PlatformDialect* /*type*/) {
  if (text == "own" || text == "fleet") {
    return text == "own" ? PlatformDialect::kOwn : PlatformDialect::kFleet;
  }
  return Error{ErrorKind::kInvalidSettings,
               fmt::format("'{}' is not a dialect", text),
               "write own or fleet"};
}

Result<PlacementMode> FromText(const std::string& text,
                               PlacementMode* /*type*/) {
  if (text == "never") {
    return PlacementMode::kNever;
  }
  if (text == "auto" || text == "always") {
    return text == "auto" ? PlacementMode::kAuto : PlacementMode::kAlways;
  }
  return Error{
      ErrorKind::kInvalidSettings,
      fmt::format("'{}' does not say when placement is coordinated", text),
      "write never, auto or always"};
}

Result<FencingSupport> FromText(const std::string& text,
                                FencingSupport* /*type*/) {
  if (text == "refuses" || text == "ignores") {
    return text == "refuses" ? FencingSupport::kRefuses
                             : FencingSupport::kIgnores;
  }
  return Error{
      ErrorKind::kInvalidSettings,
      fmt::format("'{}' does not say what an engine does with orders", text),
      "write refuses or ignores"};
}

Result<std::string> CheckName(const std::string& text) {
  if (text.size() <= kMaxNameLength &&
      std::all_of(text.begin(), text.end(), IsNameCharacter)) {
    return text;
  }
  return Error{ErrorKind::kInvalidSettings,
               fmt::format("'{}' is not a name", text),
               fmt::format("use at most {} letters, digits, '-', '_' and '.'",
                           kMaxNameLength)};
}

}  // namespace mimosagauge::detail
