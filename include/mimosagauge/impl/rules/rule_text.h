// The words of the rules grammar, and rules as text.

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

/// Largest rules text; with its envelope it fits a value of the store.
inline constexpr Bytes kMaxRulesText = Kibibytes(960);
/// Longest line, in bytes, its end not counted.
inline constexpr std::size_t kMaxRuleLine = 1024;
/// Most rules in one text.
inline constexpr std::size_t kMaxRules = 10'000;
/// Most faults that are reported of one text.
inline constexpr std::size_t kMaxRuleFaults = 1'000;

/// \brief The kinds of action, in the order of `RuleAction`'s alternatives.
enum class RuleKind : std::uint8_t { kRoute, kStay, kPriority, kRetry, kDue };
inline constexpr std::array kRuleKinds = {RuleKind::kRoute, RuleKind::kStay,
                                          RuleKind::kPriority, RuleKind::kRetry,
                                          RuleKind::kDue};
inline constexpr std::array kRuleTraits = {
    RuleCondition::Trait::kService, RuleCondition::Trait::kModel,
    RuleCondition::Trait::kPath,    RuleCondition::Trait::kMethod,
    RuleCondition::Trait::kAccount, RuleCondition::Trait::kRegion};

/// \returns The kind of a rule's action.
[[nodiscard]] RuleKind KindOf(const Rule& rule) noexcept;

/// \returns The word that begins a line of this kind, as in `route`.
[[nodiscard]] std::string_view ToString(RuleKind kind) noexcept;
/// \returns The word before the `=` of a condition, as in `service`.
[[nodiscard]] std::string_view ToString(RuleCondition::Trait trait) noexcept;

/// \returns The kind that a word names.
[[nodiscard]] std::optional<RuleKind> ParseRuleKind(
    std::string_view word) noexcept;
/// \returns The trait that a word names.
[[nodiscard]] std::optional<RuleCondition::Trait> ParseTrait(
    std::string_view word) noexcept;

/// \returns The value of the action, as in `nairobi-a,mombasa-a`.
[[nodiscard]] std::string ToString(const RuleAction& action);

/// \returns The rule as one line without its end; parsing it again gives the
/// same rule.
[[nodiscard]] std::string ToString(const Rule& rule);

/// \returns The part of the request that a condition is about.
[[nodiscard]] const std::string& TraitOf(const RequestTraits& traits,
                                         RuleCondition::Trait trait) noexcept;

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_RULES_RULE_TEXT_H_
