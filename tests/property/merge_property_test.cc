// Edits of different lines merge into both edits, whatever they are.

#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <cstddef>
#include <string>
#include <vector>

#include "mimosagauge/impl/rules/merge.h"

namespace mimosagauge {
namespace {

TEST_CASE("edits of different lines merge into both") {
  rc::prop("for any replaced and removed lines", [] {
    std::string base;
    std::string theirs;
    std::string mine;
    std::string both;
    const auto count = *rc::gen::inRange<std::size_t>(0, 20);
    for (std::size_t i = 0; i < count; ++i) {
      const std::string line = "line " + std::to_string(i) + "\n";
      const int editor = *rc::gen::inRange(0, 3);
      const bool removed = *rc::gen::arbitrary<bool>();
      const std::string edited = removed ? "" : "new " + line;
      base += line;
      theirs += editor == 1 ? edited : line;
      mine += editor == 2 ? edited : line;
      both += editor == 0 ? line : edited;
    }
    const MergeResult result = MergeRules(base, theirs, mine);
    RC_ASSERT(result.clean());
    RC_ASSERT(result.text == both);
  });
  rc::prop("for any texts, without losing a side", [] {
    const auto text = [] {
      const auto lines = *rc::gen::container<std::vector<char>>(
          rc::gen::elementOf(std::string("abc#")));
      std::string joined;
      for (const char line : lines) {
        joined += std::string(1, line) + "\n";
      }
      return joined;
    };
    const std::string base = text();
    const std::string side = text();
    const std::string other = text();
    RC_ASSERT(MergeRules(base, side, base).text == side);
    RC_ASSERT(MergeRules(base, base, side).text == side);
    RC_ASSERT(MergeRules(base, side, side).text == side);
    const bool clean = MergeRules(base, side, other).clean();
    RC_ASSERT(clean == MergeRules(base, other, side).clean());
  });
}

}  // namespace
}  // namespace mimosagauge
