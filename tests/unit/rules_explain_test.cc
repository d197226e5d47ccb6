// An explanation names the deciding line of each kind and why others did not
// decide, and agrees with the verdict.

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "mimosagauge/impl/rules/explain.h"
#include "mimosagauge/impl/rules/rule_set.h"

namespace mimosagauge {
namespace {

constexpr const char* kRules =
    "route desk path=/desk/*          # A\n"
    "route quotes model=quote-*       # A\n"
    "stay north service=desk          # B\n"
    "priority 1 account=gold-*        # B\n"
    "priority 2 service=desk          # B\n"
    "retry yes method=GET region=n*   # C\n";

struct Example {
  RequestTraits traits;
  std::vector<std::uint32_t> lines;
  std::vector<std::string> reasons;
};

TEST_CASE("an explanation names deciding lines and reasons") {
  const auto example = GENERATE(values<Example>({
      {{ServiceId{"old"}, ModelId{}, "GET", "/desk/1", AccountId{"gold-a"},
        RegionId{"north"}},
       {1, 3, 4, 6},
       {"2 model=quote-*: the request has none", "5 an earlier line decided"}},
      {{ServiceId{}, ModelId{"quote-x"}, "POST", "/v1/chat/completions",
        AccountId{"a"}, RegionId{"south"}},
       {2},
       {"1 path=/desk/*: the request has '/v1/chat/completions'",
        "3 service=desk: the request has 'quotes'",
        "4 account=gold-*: the request has 'a'",
        "5 service=desk: the request has 'quotes'",
        "6 method=GET: the request has 'POST'"}},
      {{ServiceId{"desk"}, ModelId{}, "GET", "/other", AccountId{}, RegionId{}},
       {3, 5},
       {"1 path=/desk/*: the request has '/other'",
        "2 model=quote-*: the request has none",
        "4 account=gold-*: the request has none",
        "6 region=n*: the request has none"}},
  }));
  std::vector<RuleFault> faults;
  const RuleSet rules = ParseRules(kRules, faults);
  REQUIRE(faults.empty());
  const Explanation explanation = ExplainRequest(rules, example.traits);
  std::vector<std::uint32_t> lines;
  std::vector<std::string> reasons;
  for (const KindExplanation& kind : explanation.kinds) {
    if (kind.decided) {
      lines.push_back(kind.decided->line);
    }
    for (const UnappliedRule& passed : kind.passed) {
      reasons.push_back(std::to_string(passed.rule.line) + " " +
                        ReasonNotApplied(passed));
    }
  }
  CHECK(lines == example.lines);
  CHECK(explanation.verdict.lines == example.lines);
  CHECK(reasons == example.reasons);
}

}  // namespace
}  // namespace mimosagauge
