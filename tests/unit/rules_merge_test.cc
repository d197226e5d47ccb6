// Edits that race each other are joined line by line, and a line that both
// changed is shown with both authors.

#include <catch2/catch.hpp>
#include <string>

#include "mimosagauge/impl/rules/merge.h"

namespace mimosagauge {
namespace {

struct Example {
  std::string what;
  std::string base;
  std::string theirs;
  std::string mine;
  std::string merged;
};

TEST_CASE("edits of different lines are joined") {
  const auto example = GENERATE(values<Example>({
      {"only mine", "a\nb\n", "a\nb\n", "a\nB\n", "a\nB\n"},
      {"only theirs", "a\nb\n", "A\nb\n", "a\nb\n", "A\nb\n"},
      {"neighbouring lines", "a\nb\nc\n", "A\nb\nc\n", "a\nB\nc\n",
       "A\nB\nc\n"},
      {"both append", "a\n", "a\nt\n", "a\nm\n", "a\nt\nm\n"},
      {"both append the same", "a\n", "a\nx\nt\n", "a\nm\nx\n", "a\nx\nt\nm\n"},
      {"both to an empty text", "", "t\n", "m\n", "t\nm\n"},
      {"the same change", "a\nb\n", "a\nX\n", "a\nX\n", "a\nX\n"},
      {"removal and change elsewhere", "a\nb\nc\n", "a\nc\n", "a\nb\nC\n",
       "a\nC\n"},
      {"insertion before a changed line", "a\nb\n", "a\nt\nb\n", "a\nB\n",
       "a\nt\nB\n"},
      {"two removals", "a\nb\nc\nd\n", "a\nc\nd\n", "a\nb\nd\n", "a\nd\n"},
      {"lines that occur twice", "#\na\n#\nb\n", "#\nA\n#\nb\n", "#\na\n#\nB\n",
       "#\nA\n#\nB\n"},
      {"no line feed at the end", "a\nb", "A\nb", "a\nb\nm", "A\nb\nm\n"},
  }));
  CAPTURE(example.what);
  const MergeResult result =
      MergeRules(example.base, example.theirs, example.mine);
  CHECK(result.clean());
  CHECK(result.text == example.merged);
}

struct Conflict {
  std::string what;
  std::string base;
  std::string theirs;
  std::string mine;
  std::string text;
};

TEST_CASE("a line that both changed is a conflict that names both") {
  const auto example = GENERATE(values<Conflict>({
      {"two changes", "x\nretry no # A\n", "x\nretry yes # Wanjiru\n",
       "new\nx\nretry no path=/a # Kiptoo\n",
       "line 2 was changed twice: accepted line 2 (asked by Wanjiru): retry "
       "yes # Wanjiru; yours line 3 (asked by Kiptoo): retry no path=/a # "
       "Kiptoo"},
      {"removal and change", "a\nb # A\n", "a\n", "a\nB # Kiptoo\n",
       "line 2 was changed twice: accepted removed it; yours line 2 (asked by "
       "Kiptoo): B # Kiptoo"},
      {"change across lines", "a\nb\nc\nd\n", "a\nx # T\ny # T\nz # T\nd\n",
       "a\nb\nC # M\nd\n",
       "line 2 was changed twice: accepted line 2 (asked by T; T; T): x # T\n"
       "y # T\nz # T; yours line 2 (asked by M): b\nC # M"},
  }));
  CAPTURE(example.what);
  const MergeResult result =
      MergeRules(example.base, example.theirs, example.mine);
  REQUIRE(result.conflicts.size() == 1);
  CHECK(result.text.empty());
  CHECK(ToString(result.conflicts[0]) == example.text);
}

}  // namespace
}  // namespace mimosagauge
