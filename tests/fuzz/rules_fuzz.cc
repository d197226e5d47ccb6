// Any bytes as a rules text: the check never crashes, what it accepts prints
// and parses back the same, and decides and merges without a crash.

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>
#include <vector>

#include "mimosagauge/impl/rules/explain.h"
#include "mimosagauge/impl/rules/merge.h"
#include "mimosagauge/impl/rules/rule_set.h"
#include "mimosagauge/impl/rules/rule_text.h"

namespace mimosagauge {
namespace {

void Require(bool holds) {
  if (!holds) {
    std::abort();
  }
}

[[nodiscard]] std::string Print(const RuleSet& rules) {
  std::string text;
  for (const Rule& rule : rules.rules) {
    text += ToString(rule) + "\n";
  }
  return text;
}

/// The lines that hold, whatever the others are.
void CheckPrinting(const RuleSet& rules) {
  const std::string printed = Print(rules);
  std::vector<RuleFault> faults;
  const RuleSet again = ParseRules(printed, faults);
  // A printed line may be longer than the one it was made from.
  for (const RuleFault& fault : faults) {
    if (fault.column > kMaxRuleLineBytes) {
      return;
    }
  }
  Require(again.rules.size() == rules.rules.size());
  Require(Print(again) == printed);
}

void CheckDeciding(const RuleSet& rules, std::string_view bytes) {
  const std::string text(bytes.substr(0, 32));
  const RequestTraits traits{ServiceId{text}, ModelId{text},   "GET",
                             "/" + text,      AccountId{text}, RegionId{text}};
  const Verdict verdict = DecideByRules(rules, traits);
  Require(!verdict.regions || !verdict.regions->empty());
  Require(ExplainRequest(rules, traits).verdict.lines == verdict.lines);
}

void CheckMerging(std::string_view text) {
  const std::size_t third = text.size() / 3;
  const std::string_view base = text.substr(0, third);
  const std::string_view theirs = text.substr(third, third);
  const std::string_view mine = text.substr(2 * third);
  const MergeResult result = MergeRules(base, theirs, mine);
  Require(result.clean() || result.text.empty());
  Require(MergeRules(base, theirs, base).text == theirs);
}

}  // namespace
}  // namespace mimosagauge

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string text(data, data + size);
  std::vector<mimosagauge::RuleFault> faults;
  const mimosagauge::RuleSet rules = mimosagauge::ParseRules(text, faults);
  mimosagauge::CheckPrinting(rules);
  mimosagauge::CheckDeciding(rules, text);
  mimosagauge::CheckMerging(text);
  return 0;
}
