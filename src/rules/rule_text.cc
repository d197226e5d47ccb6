// Keywords of the rules grammar, and formatting of rules as text.

#include "mimosagauge/impl/rules/rule_text.h"

#include <fmt/format.h>

#include <string>

#include "mimosagauge/impl/core/unit_text.h"

namespace mimosagauge {
namespace {

[[nodiscard]] std::string ValueText(const RouteAction& action) {
  return action.service.value();
}

[[nodiscard]] std::string ValueText(const StayAction& action) {
  std::string text;
  for (const RegionId& region : action.regions) {
    text += text.empty() ? "" : ",";
    text += region.value();
  }
  return text;
}

[[nodiscard]] std::string ValueText(const PriorityAction& action) {
  return fmt::format("{}", action.priority);
}

[[nodiscard]] std::string ValueText(const RetryAction& action) {
  return action.idempotent ? "yes" : "no";
}

[[nodiscard]] std::string ValueText(const DueAction& action) {
  return ToString(action.within);
}

}  // namespace

RuleKind KindOf(const Rule& rule) noexcept {
  return static_cast<RuleKind>(rule.action.index());
}

std::string_view ToString(RuleKind kind) noexcept {
  switch (kind) {
    case RuleKind::kRoute:
      return "route";
    case RuleKind::kStay:
      return "stay";
    case RuleKind::kPriority:
      return "priority";
    case RuleKind::kRetry:
      return "retry";
    case RuleKind::kDue:
      return "due";
  }
  return "";
}

std::string_view ToString(RuleCondition::Trait trait) noexcept {
  switch (trait) {
    case RuleCondition::Trait::kService:
      return "service";
    case RuleCondition::Trait::kModel:
      return "model";
    case RuleCondition::Trait::kPath:
      return "path";
    case RuleCondition::Trait::kMethod:
      return "method";
    case RuleCondition::Trait::kAccount:
      return "account";
    case RuleCondition::Trait::kRegion:
      return "region";
  }
  return "";
}

std::optional<RuleKind> ParseRuleKind(std::string_view word) noexcept {
  for (const RuleKind kind : kRuleKinds) {
    if (ToString(kind) == word) {
      return kind;
    }
  }
  return std::nullopt;
}

std::optional<RuleCondition::Trait> ParseTrait(std::string_view word) noexcept {
  for (const RuleCondition::Trait trait : kRuleTraits) {
    if (ToString(trait) == word) {
      return trait;
    }
  }
  return std::nullopt;
}

std::string ToString(const RuleAction& action) {
  return std::visit([](const auto& value) { return ValueText(value); }, action);
}

std::string ToString(const Rule& rule) {
  std::string text =
      fmt::format("{} {}", ToString(KindOf(rule)), ToString(rule.action));
  for (const RuleCondition& condition : rule.conditions) {
    text += fmt::format(" {}={}", ToString(condition.trait), condition.pattern);
  }
  return text + "  # " + rule.asked_by;
}

const std::string& TraitValue(const RequestTraits& traits,
                              RuleCondition::Trait trait) noexcept {
  switch (trait) {
    case RuleCondition::Trait::kService:
      return traits.service.value();
    case RuleCondition::Trait::kModel:
      return traits.model.value();
    case RuleCondition::Trait::kPath:
      return traits.path;
    case RuleCondition::Trait::kMethod:
      return traits.method;
    case RuleCondition::Trait::kAccount:
      return traits.account.value();
    case RuleCondition::Trait::kRegion:
      return traits.entry_region.value();
  }
  return traits.path;
}

}  // namespace mimosagauge
