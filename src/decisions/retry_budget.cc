// Earning and spending of retries.

#include "mimosagauge/impl/decisions/retry_budget.h"

#include <algorithm>

namespace mimosagauge {

void Earn(RetryBudget& budget) noexcept {
  budget.tokens =
      std::min(RetryBudget::kMost, budget.tokens + RetryBudget::kEarned);
}

bool Spend(RetryBudget& budget) noexcept {
  if (budget.tokens < RetryBudget::kCost) {
    return false;
  }
  budget.tokens -= RetryBudget::kCost;
  return true;
}

}  // namespace mimosagauge
