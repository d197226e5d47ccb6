// Earning and spending of retries.

#include "mimosagauge/impl/decisions/retry_budget.h"

#include <algorithm>

namespace mimosagauge {

namespace {

// Left unused, for views of who is there differ and windows slide.
constexpr double kUsedShare = 0.6;

}  // namespace

void ShareBudget(RetryBudget& budget, const SharedRetryBudget& shared,
                 std::size_t instances) noexcept {
  const auto parts = static_cast<double>(std::max<std::size_t>(1, instances));
  budget.most = std::max(RetryBudget::kCost, shared.slack * kUsedShare / parts);
  budget.earned = shared.ratio * kUsedShare;
  budget.tokens = std::min(budget.tokens, budget.most);
}

void Earn(RetryBudget& budget) noexcept {
  budget.tokens = std::min(budget.most, budget.tokens + budget.earned);
}

bool Spend(RetryBudget& budget) noexcept {
  if (budget.tokens < RetryBudget::kCost) {
    return false;
  }
  budget.tokens -= RetryBudget::kCost;
  return true;
}

}  // namespace mimosagauge
