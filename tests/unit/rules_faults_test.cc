// Every fault of a rules text is named by line and column, with a remedy.

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "mimosagauge/impl/rules/rule_set.h"
#include "mimosagauge/impl/rules/rule_text.h"

namespace mimosagauge {
namespace {

struct Example {
  std::string text;
  std::uint32_t line;
  std::uint32_t column;
  std::string message;
};

TEST_CASE("a fault in the rules is named where it stands") {
  const std::string long_line(kMaxRuleLineBytes, 'x');
  const auto example = GENERATE_COPY(values<Example>({
      {"\n# note\nretry yes", 3, 10, "the line does not name who asked for it"},
      {"retry yes #  ", 1, 11,
       "the comment does not name who asked for the rule"},
      {"allow all # A", 1, 1, "'allow' is not a kind of rule"},
      {"  retry # A", 1, 8, "'retry' has no value"},
      {"retry maybe # A", 1, 7, "'maybe' is neither yes nor no"},
      {"priority 0 # A", 1, 10, "'0' is not a priority"},
      {"priority 10 # A", 1, 10, "'10' is not a priority"},
      {"priority 1x # A", 1, 10, "'1x' is not a priority"},
      {"due 20 # A", 1, 5, "'20' is not a whole number with its unit"},
      {"due 0s # A", 1, 5, "'0s' is out of range"},
      {"due 25h # A", 1, 5, "'25h' is out of range"},
      {"due 99999999999999999h # A", 1, 5, "'99999999999999999h' is too large"},
      {"stay , # A", 1, 6, "'' is not the name of a region"},
      {"stay a,a # A", 1, 8, "region 'a' is named twice"},
      {"stay a,b* # A", 1, 8, "'b*' is not the name of a region"},
      {"route a/b # A", 1, 7, "'a/b' is not the name of a service"},
      {"retry no model # A", 1, 10, "'model' is not a condition"},
      {"retry no colour=red # A", 1, 10, "'colour=red' is not a condition"},
      {"retry no model= # A", 1, 16, "the condition has no pattern"},
      {"retry no path=a # A", 1, 15, "no path matches 'a'"},
      {"retry no path=/a?b # A", 1, 15, "no path matches '/a?b'"},
      {"retry no method=get # A", 1, 17, "no method matches 'get'"},
      {"retry no model=a model=b # A", 1, 18,
       "the line has two conditions on model"},
      {"retry no # A\r", 1, 13, "the line has a control character"},
      {"retry no # A\x1b[2J", 1, 13, "the line has a control character"},
      {"retry no # \xc2\x9b", 1, 12, "the line has a control character"},
      {"retry no # \xff", 1, 12, "the line is not valid UTF-8"},
      {"retry no # \xc0\xaf", 1, 12, "the line is not valid UTF-8"},
      {"retry no # \xed\xa0\x80", 1, 12, "the line is not valid UTF-8"},
      {"retry no # \xf0\x9f\x98", 1, 12, "the line is not valid UTF-8"},
      {"retry no # " + long_line, 1, kMaxRuleLineBytes + 1,
       "the line is longer than 1024 bytes"},
      {"retry no # A\nretry no # B", 2, 1, "the line repeats line 1"},
      {"retry no # A\nretry yes # B", 2, 1,
       "the line contradicts line 1, which sets 'retry no' for the same "
       "requests and was asked for by A"},
      {"due 1s model=a* method=GET # A\ndue 2s method=GET model=a* # B", 2, 1,
       "the line contradicts line 1, which sets 'due 1s' for the same "
       "requests and was asked for by A"},
      {"due 1s model=a* # A\ndue 2s model=ab # B", 2, 1,
       "the line never decides: line 1 matches all its requests"},
      {"due 1s # A\ndue 2s model=*b # B", 2, 1,
       "the line never decides: line 1 matches all its requests"},
  }));
  CAPTURE(example.text);
  std::vector<RuleFault> faults;
  static_cast<void>(ParseRules(example.text, faults));
  REQUIRE(faults.size() == 1);
  CHECK(faults[0].line == example.line);
  CHECK(faults[0].column == example.column);
  CHECK(faults[0].message == example.message);
  CHECK_FALSE(faults[0].remedy.empty());
}

TEST_CASE("all faults of a rules text are named at once") {
  std::vector<RuleFault> faults;
  static_cast<void>(
      ParseRules("retry maybe colour=red\nallow\npriority 1 # A\n", faults));
  std::vector<std::uint32_t> lines;
  lines.reserve(faults.size());
  for (const RuleFault& fault : faults) {
    lines.push_back(fault.line);
  }
  CHECK(lines == std::vector<std::uint32_t>{1, 1, 1, 2, 2});
}

TEST_CASE("lines that decide different requests stand together") {
  const std::string text =
      GENERATE(as<std::string>{}, "", "\n \t\n# note",
               "due 1s model=ab # A\ndue 2s model=a* # B",
               "due 1s model=a* # A\ndue 2s # B",
               "due 1s model=a* method=GET # A\ndue 2s model=ab # B",
               "retry no # A\npriority 1 # A",
               "due 1s model=*a # A\ndue 2s model=a* # B",
               "retry\tyes\tpath=*  # Jo\xc3\xa3o");
  CAPTURE(text);
  std::vector<RuleFault> faults;
  const RuleSet rules = ParseRules(text, faults);
  CHECK(faults.empty());
  CHECK(rules.text == text);
}

TEST_CASE("rules texts are bounded") {
  std::string many;
  for (std::size_t i = 0; i <= kMaxRules; ++i) {
    many += "priority 1 account=a" + std::to_string(i) + " # A\n";
  }
  std::string wrong;
  for (std::size_t i = 0; i < 2 * kMaxRuleFaults; ++i) {
    wrong += "x\n";
  }
  const std::string large(kMaxRulesTextSize.count() + 1, '\n');
  const auto [text, most] = GENERATE_COPY(table<std::string, std::size_t>(
      {{many, 1}, {wrong, kMaxRuleFaults + 2}, {large, 1}}));
  std::vector<RuleFault> faults;
  static_cast<void>(ParseRules(text, faults));
  CHECK_FALSE(faults.empty());
  CHECK(faults.size() <= most);
}

}  // namespace
}  // namespace mimosagauge
