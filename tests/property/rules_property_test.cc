// The index finds what a walk over all lines finds, a pattern covers another
// exactly when no text tells them apart, and printing keeps rules.

#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <vector>

#include "mimosagauge/impl/rules/conflicts.h"
#include "mimosagauge/impl/rules/pattern.h"
#include "mimosagauge/impl/rules/rule_set.h"
#include "mimosagauge/impl/rules/rule_text.h"

namespace mimosagauge {
namespace {

[[nodiscard]] rc::Gen<std::string> SomeText(const std::string& characters,
                                            int longest) {
  return rc::gen::resize(
      longest, rc::gen::container<std::string>(rc::gen::elementOf(characters)));
}

[[nodiscard]] std::string SomePattern() {
  return *rc::gen::nonEmpty(SomeText("ab*", 5));
}

[[nodiscard]] Rule SomeRule(std::uint32_t line) {
  Rule rule;
  rule.line = line;
  rule.asked_by = "test";
  rule.action = *rc::gen::element<RuleAction>(
      RouteAction{ServiceId{"a"}}, RouteAction{ServiceId{"ab"}},
      StayAction{{RegionId{"r"}}}, PriorityAction{2}, RetryAction{true},
      DueAction{std::chrono::seconds(1)});
  for (const RuleCondition::Trait trait : kRuleTraits) {
    if (*rc::gen::inRange(0, 3) == 0) {
      rule.conditions.push_back({trait, SomePattern()});
    }
  }
  return rule;
}

[[nodiscard]] RequestTraits SomeRequest() {
  const auto text = [] { return *SomeText("ab", 4); };
  return {ServiceId{text()}, ModelId{text()}, text(), text(),
          AccountId{text()}, RegionId{text()}};
}

/// The definition: the first line of a kind whose conditions all hold.
[[nodiscard]] std::optional<Rule> FirstByWalk(const std::vector<Rule>& rules,
                                              RuleKind kind,
                                              const RequestTraits& traits) {
  for (const Rule& rule : rules) {
    const bool holds = std::all_of(
        rule.conditions.begin(), rule.conditions.end(),
        [&](const RuleCondition& condition) {
          return PatternMatches(condition.pattern,
                                TraitValue(traits, condition.trait));
        });
    if (KindOf(rule) == kind && holds) {
      return rule;
    }
  }
  return std::nullopt;
}

TEST_CASE("the index decides as a walk over all lines does") {
  rc::prop("for any rules and request", [] {
    RuleSet rules;
    const auto count = *rc::gen::inRange<std::uint32_t>(0, 30);
    for (std::uint32_t line = 1; line <= count; ++line) {
      rules.rules.push_back(SomeRule(line));
    }
    RequestTraits traits = SomeRequest();
    const Verdict verdict = DecideByRules(rules, traits);
    std::vector<std::uint32_t> lines;
    for (const RuleKind kind : kRuleKinds) {
      const auto rule = FirstByWalk(rules.rules, kind, traits);
      if (rule) {
        lines.push_back(rule->line);
      }
      if (rule && kind == RuleKind::kRoute) {
        traits.service = std::get<RouteAction>(rule->action).service;
      }
    }
    RC_ASSERT(verdict.lines == lines);
    RC_ASSERT(verdict.service == traits.service);
  });
}

TEST_CASE("a covering pattern matches every text of the covered one") {
  rc::prop("for any two patterns", [] {
    const std::string wide = SomePattern();
    const std::string narrow = SomePattern();
    // `c` stands for any run: a pattern that matches it there has a `*`.
    std::string witness = narrow;
    std::replace(witness.begin(), witness.end(), '*', 'c');
    RC_ASSERT(PatternCovers(wide, narrow) == PatternMatches(wide, witness));
    std::string text;
    for (const char c : narrow) {
      text += c == '*' ? *SomeText("ab", 3) : std::string(1, c);
    }
    if (text.empty() || !PatternCovers(wide, narrow)) {
      return;
    }
    RC_ASSERT(PatternMatches(wide, text));
  });
}

TEST_CASE("a line that is reported as unreachable never decides") {
  rc::prop("for any rules and request", [] {
    std::string text;
    const auto count = *rc::gen::inRange<std::uint32_t>(1, 12);
    std::vector<Rule> rules;
    for (std::uint32_t line = 1; line <= count; ++line) {
      rules.push_back(SomeRule(line));
      // Paths and methods have a form of their own.
      for (RuleCondition& condition : rules.back().conditions) {
        if (condition.trait == RuleCondition::Trait::kPath) {
          condition.pattern = "/" + condition.pattern;
        }
        if (condition.trait == RuleCondition::Trait::kMethod) {
          condition.pattern = "GET";
        }
      }
      text += ToString(rules.back()) + "\n";
    }
    std::vector<RuleFault> faults;
    const RuleSet parsed = ParseRules(text, faults);
    RC_ASSERT(parsed.rules.size() == rules.size());
    for (std::size_t i = 0; i < rules.size(); ++i) {
      RC_ASSERT(ToString(parsed.rules[i]) == ToString(rules[i]));
    }
    RequestTraits traits = SomeRequest();
    traits.path = "/" + traits.path;
    traits.method = "GET";
    const std::vector<std::uint32_t> lines =
        DecideByRules(parsed, traits).lines;
    for (const RuleFault& fault : faults) {
      RC_ASSERT(std::count(lines.begin(), lines.end(), fault.line) == 0);
    }
  });
}

}  // namespace
}  // namespace mimosagauge
