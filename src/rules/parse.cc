// Parses and checks a rules text line by line.

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <memory>
#include <optional>
#include <utility>

#include "mimosagauge/impl/core/unit_text.h"
#include "mimosagauge/impl/rules/conflicts.h"
#include "mimosagauge/impl/rules/rule_index.h"
#include "mimosagauge/impl/rules/rule_set.h"
#include "mimosagauge/impl/rules/rule_text.h"
#include "mimosagauge/impl/rules/utf8.h"

namespace mimosagauge {
namespace {

constexpr std::string_view kBlanks = " \t";
constexpr Duration kMinDue = std::chrono::milliseconds(1);
constexpr Duration kMaxDue = std::chrono::hours(24);

/// \brief A word of a line, and its column from 1.
struct Word {
  std::string_view text;
  std::uint32_t column = 1;
};

/// \brief The line being parsed, and the faults found so far.
struct Line {
  std::string_view text;
  std::uint32_t number = 1;
  std::vector<RuleFault>& faults;
};

void AddFault(Line& line, std::size_t column, std::string message,
              std::string remedy) {
  line.faults.push_back({line.number, static_cast<std::uint32_t>(column),
                         std::move(message), std::move(remedy)});
}

[[nodiscard]] std::vector<Word> SplitWords(std::string_view text) {
  std::vector<Word> words;
  std::size_t start = text.find_first_not_of(kBlanks);
  while (start != std::string_view::npos) {
    const std::size_t end =
        std::min(text.find_first_of(kBlanks, start), text.size());
    words.push_back({text.substr(start, end - start),
                     static_cast<std::uint32_t>(start + 1)});
    start = text.find_first_not_of(kBlanks, end);
  }
  return words;
}

[[nodiscard]] std::string_view Trim(std::string_view text) {
  const std::size_t first = text.find_first_not_of(kBlanks);
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(kBlanks) - first + 1);
}

[[nodiscard]] bool IsNameCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
}

[[nodiscard]] bool IsName(std::string_view text) {
  return !text.empty() &&
         std::all_of(text.begin(), text.end(), IsNameCharacter);
}

[[nodiscard]] std::optional<RuleAction> ParseRoute(Line& line, Word value) {
  if (!IsName(value.text)) {
    AddFault(line, value.column,
             fmt::format("'{}' is not the name of a service", value.text),
             "use letters, digits, '-', '_' and '.' only");
    return std::nullopt;
  }
  return RouteAction{ServiceId{std::string(value.text)}};
}

[[nodiscard]] std::optional<RuleAction> ParseStay(Line& line, Word value) {
  StayAction action;
  std::size_t start = 0;
  while (start <= value.text.size()) {
    const std::size_t end =
        std::min(value.text.find(',', start), value.text.size());
    const std::string_view name = value.text.substr(start, end - start);
    RegionId region{std::string(name)};
    if (!IsName(name)) {
      AddFault(line, value.column + start,
               fmt::format("'{}' is not the name of a region", name),
               "write region names with commas and no blanks between them, as "
               "in nairobi-a,mombasa-a");
      return std::nullopt;
    }
    if (std::find(action.regions.begin(), action.regions.end(), region) !=
        action.regions.end()) {
      AddFault(line, value.column + start,
               fmt::format("region '{}' is named twice", name),
               "name each region once");
      return std::nullopt;
    }
    action.regions.push_back(std::move(region));
    start = end + 1;
  }
  return action;
}

[[nodiscard]] std::optional<RuleAction> ParsePriority(Line& line, Word value) {
  unsigned number = 0;
  const char* end = value.text.data() + value.text.size();
  const auto parsed = std::from_chars(value.text.data(), end, number);
  if (parsed.ec != std::errc{} || parsed.ptr != end || number < 1 ||
      number > Verdict::kLowestPriority) {
    AddFault(line, value.column,
             fmt::format("'{}' is not a priority", value.text),
             fmt::format("write a number from 1, which comes first, to {}",
                         Verdict::kLowestPriority));
    return std::nullopt;
  }
  return PriorityAction{static_cast<std::uint8_t>(number)};
}

[[nodiscard]] std::optional<RuleAction> ParseRetry(Line& line, Word value) {
  if (value.text != "yes" && value.text != "no") {
    AddFault(line, value.column,
             fmt::format("'{}' is neither yes nor no", value.text),
             "write yes for idempotent requests and no for the others");
    return std::nullopt;
  }
  return RetryAction{value.text == "yes"};
}

[[nodiscard]] std::optional<RuleAction> ParseDue(Line& line, Word value) {
  const Result<Duration> within = ParseDuration(value.text);
  if (!within) {
    AddFault(line, value.column, within.error().message, within.error().remedy);
    return std::nullopt;
  }
  if (within.value() < kMinDue || within.value() > kMaxDue) {
    AddFault(line, value.column,
             fmt::format("'{}' is out of range", value.text),
             fmt::format("write a time from {} to {}", ToString(kMinDue),
                         ToString(kMaxDue)));
    return std::nullopt;
  }
  return DueAction{within.value()};
}

[[nodiscard]] std::optional<RuleAction> ParseAction(Line& line, RuleKind kind,
                                                    Word value) {
  switch (kind) {
    case RuleKind::kRoute:
      return ParseRoute(line, value);
    case RuleKind::kStay:
      return ParseStay(line, value);
    case RuleKind::kPriority:
      return ParsePriority(line, value);
    case RuleKind::kRetry:
      return ParseRetry(line, value);
    case RuleKind::kDue:
      return ParseDue(line, value);
  }
  return std::nullopt;
}

[[nodiscard]] bool CheckPattern(Line& line, RuleCondition::Trait trait,
                                Word pattern) {
  if (pattern.text.empty()) {
    AddFault(line, pattern.column, "the condition has no pattern",
             "write a pattern after the '=', '*' for any text");
    return false;
  }
  const char first = pattern.text.front();
  if (trait == RuleCondition::Trait::kPath && first != '/' && first != '*') {
    AddFault(line, pattern.column,
             fmt::format("no path matches '{}'", pattern.text),
             "begin the pattern with '/' or '*'");
    return false;
  }
  if (trait == RuleCondition::Trait::kPath &&
      pattern.text.find('?') != std::string_view::npos) {
    AddFault(line, pattern.column,
             fmt::format("no path matches '{}'", pattern.text),
             "leave out the query string, which rules do not match on");
    return false;
  }
  const bool lower_case =
      std::any_of(pattern.text.begin(), pattern.text.end(),
                  [](char c) { return c >= 'a' && c <= 'z'; });
  if (trait == RuleCondition::Trait::kMethod && lower_case) {
    AddFault(line, pattern.column,
             fmt::format("no method matches '{}'", pattern.text),
             "write methods in upper case, as in GET");
    return false;
  }
  return true;
}

[[nodiscard]] std::optional<RuleCondition> ParseCondition(Line& line,
                                                          Word word) {
  const std::size_t equals = word.text.find('=');
  const auto trait = ParseTrait(word.text.substr(0, equals));
  if (equals == std::string_view::npos || !trait) {
    AddFault(line, word.column,
             fmt::format("'{}' is not a condition", word.text),
             "write trait=pattern, the trait one of service, model, path, "
             "method, account and region");
    return std::nullopt;
  }
  const Word pattern{word.text.substr(equals + 1),
                     static_cast<std::uint32_t>(word.column + equals + 1)};
  if (!CheckPattern(line, *trait, pattern)) {
    return std::nullopt;
  }
  return RuleCondition{*trait, std::string(pattern.text)};
}

void AddCondition(Line& line, Word word, Rule& rule) {
  auto condition = ParseCondition(line, word);
  if (!condition) {
    return;
  }
  for (const RuleCondition& other : rule.conditions) {
    if (other.trait == condition->trait) {
      AddFault(line, word.column,
               fmt::format("the line has two conditions on {}",
                           ToString(other.trait)),
               "keep one, and write a second line for other requests");
      return;
    }
  }
  rule.conditions.push_back(std::move(*condition));
}

void ParseAskedBy(Line& line, std::size_t hash, Rule& rule) {
  if (hash == std::string_view::npos) {
    AddFault(line, line.text.size() + 1,
             "the line does not name who asked for it",
             "end it with a comment, as in '# Wanjiru Kamau, order desk'");
    return;
  }
  const std::string_view asked_by = Trim(line.text.substr(hash + 1));
  if (asked_by.empty()) {
    AddFault(line, hash + 1, "the comment does not name who asked for the rule",
             "write the name of that person after the '#'");
  }
  rule.asked_by = asked_by;
}

/// \brief Rejects lines that are too long, invalid UTF-8 and control
/// characters: input that no operator types and a terminal might not display.
/// \returns Whether the line is free of them.
[[nodiscard]] bool CheckCharacters(Line& line) {
  if (line.text.size() > kMaxRuleLineBytes) {
    AddFault(line, kMaxRuleLineBytes + 1,
             fmt::format("the line is longer than {} bytes", kMaxRuleLineBytes),
             "split it into several rules");
    return false;
  }
  const std::size_t invalid = FindInvalidUtf8(line.text);
  if (invalid != std::string_view::npos) {
    AddFault(line, invalid + 1, "the line is not valid UTF-8",
             "save the file as UTF-8");
    return false;
  }
  const std::size_t control = FindControlCharacter(line.text);
  if (control != std::string_view::npos) {
    AddFault(line, control + 1, "the line has a control character",
             "remove it; end lines with a line feed only");
    return false;
  }
  return true;
}

/// \returns The rule; nothing for blank lines, comments and lines with a fault.
[[nodiscard]] std::optional<Rule> ParseLine(Line line) {
  const std::size_t faults_before = line.faults.size();
  if (!CheckCharacters(line)) {
    return std::nullopt;
  }
  const std::size_t hash = line.text.find('#');
  const std::vector<Word> words = SplitWords(line.text.substr(0, hash));
  if (words.empty()) {
    return std::nullopt;
  }
  Rule rule;
  rule.line = line.number;
  const auto kind = ParseRuleKind(words[0].text);
  if (!kind) {
    AddFault(line, words[0].column,
             fmt::format("'{}' is not a kind of rule", words[0].text),
             "begin the line with route, stay, priority, retry or due");
  } else if (words.size() < 2) {
    AddFault(line, words[0].column + words[0].text.size(),
             fmt::format("'{}' has no value", words[0].text),
             "write the value after a blank, as in 'priority 1'");
  } else if (auto action = ParseAction(line, *kind, words[1])) {
    rule.action = std::move(*action);
  }
  for (std::size_t i = 2; i < words.size(); ++i) {
    AddCondition(line, words[i], rule);
  }
  ParseAskedBy(line, hash, rule);
  if (line.faults.size() != faults_before) {
    return std::nullopt;
  }
  return rule;
}

[[nodiscard]] bool CheckSize(std::string_view text,
                             std::vector<RuleFault>& faults) {
  if (text.size() <= kMaxRulesTextSize.count()) {
    return true;
  }
  faults.push_back(
      {1, 1,
       fmt::format("the text is larger than {}", ToString(kMaxRulesTextSize)),
       "replace several rules by one with a pattern"});
  return false;
}

}  // namespace

RuleSet ParseRules(std::string_view text, std::vector<RuleFault>& faults) {
  RuleSet rule_set;
  if (!CheckSize(text, faults)) {
    return rule_set;
  }
  rule_set.text = text;
  const std::size_t faults_before = faults.size();
  std::uint32_t number = 0;
  std::size_t start = 0;
  while (start < text.size()) {
    const std::size_t end = std::min(text.find('\n', start), text.size());
    const std::string_view line = text.substr(start, end - start);
    start = end + 1;
    auto rule = ParseLine({line, ++number, faults});
    if (rule && rule_set.rules.size() == kMaxRules) {
      faults.push_back({number, 1,
                        fmt::format("there are more than {} rules", kMaxRules),
                        "replace several rules by one with a pattern"});
      break;
    }
    if (rule) {
      rule_set.rules.push_back(std::move(*rule));
    }
    if (faults.size() - faults_before >= kMaxRuleFaults) {
      faults.push_back({number, 1, "the lines after this one were not checked",
                        "correct the faults above first"});
      break;
    }
  }
  rule_set.index =
      std::make_shared<const RuleIndex>(BuildRuleIndex(rule_set.rules));
  FindConflicts(rule_set, faults);
  return rule_set;
}

}  // namespace mimosagauge
