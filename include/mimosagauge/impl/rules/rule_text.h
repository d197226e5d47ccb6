// Keywords of the rules grammar, and formatting of rules as text.

#ifndef MIMOSAGAUGE_IMPL_RULES_RULE_TEXT_H_
#define MIMOSAGAUGE_IMPL_RULES_RULE_TEXT_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "mimosagauge/impl/core/units.h"
#include "mimosagauge/impl/rules/rule_set.h"

namespace mimosagauge {

/// Maximum size of a rules text; chosen so that the text and its envelope fit
/// into one value of the store.
inline constexpr Bytes kMaxRulesTextSize = Kibibytes(960);
/// Maximum length of a line in bytes, without its line feed.
inline constexpr std::size_t kMaxRuleLineBytes = 1024;
/// Maximum number of rules in a text.
inline constexpr std::size_t kMaxRules = 10'000;
/// Maximum number of faults that are reported for a text.
inline constexpr std::size_t kMaxRuleFaults = 1'000;

/// \brief The kinds of rules, in the order of `RuleAction`'s alternatives.
enum class RuleKind : std::uint8_t { kRoute, kStay, kPriority, kRetry, kDue };
inline constexpr std::array kRuleKinds = {RuleKind::kRoute, RuleKind::kStay,
                                          RuleKind::kPriority, RuleKind::kRetry,
                                          RuleKind::kDue};
inline constexpr std::array kRuleTraits = {
    RuleCondition::Trait::kService, RuleCondition::Trait::kModel,
    RuleCondition::Trait::kPath,    RuleCondition::Trait::kMethod,
    RuleCondition::Trait::kAccount, RuleCondition::Trait::kRegion};

/// \returns The kind of the rule, which is that of its action.
[[nodiscard]] RuleKind KindOf(const Rule& rule) noexcept;

/// \returns The keyword at the beginning of a line of this kind, such as
/// `route`.
[[nodiscard]] std::string_view ToString(RuleKind kind) noexcept;
/// \returns The keyword before the `=` of a condition, such as `service`.
[[nodiscard]] std::string_view ToString(RuleCondition::Trait trait) noexcept;

/// \returns The kind with this keyword; nothing when there is none.
[[nodiscard]] std::optional<RuleKind> ParseRuleKind(
    std::string_view word) noexcept;
/// \returns The trait with this keyword; nothing when there is none.
[[nodiscard]] std::optional<RuleCondition::Trait> ParseTrait(
    std::string_view word) noexcept;

/// \returns The value of the action, such as `nairobi-a,mombasa-a`.
[[nodiscard]] std::string ToString(const RuleAction& action);

/// \returns The rule as one line without a line feed. Parsing the line results
/// in the same rule.
[[nodiscard]] std::string ToString(const Rule& rule);

/// \returns The request's value of a trait; empty when the request has none.
[[nodiscard]] const std::string& TraitValue(
    const RequestTraits& traits, RuleCondition::Trait trait) noexcept;

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_RULES_RULE_TEXT_H_
