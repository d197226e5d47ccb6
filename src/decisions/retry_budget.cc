// Token bucket of the retry budget.

#include "mimosagauge/impl/decisions/retry_budget.h"

#include <algorithm>

namespace mimosagauge {

namespace {

// Fraction of the shared budget that is used. The rest is a reserve, because
// instances may disagree on how many instances there are, and because the
// budget applies to any sliding time window.
constexpr double kUsedBudgetFraction = 0.6;

}  // namespace

void SetInstanceShare(RetryBudget& budget, const SharedRetryBudget& shared,
                      std::size_t instances) noexcept {
  const auto divisor = static_cast<double>(std::max<std::size_t>(1, instances));
  budget.token_limit = std::max(RetryBudget::kTokensPerRetry,
                                shared.slack * kUsedBudgetFraction / divisor);
  budget.tokens_per_first_attempt = shared.ratio * kUsedBudgetFraction;
  budget.tokens = std::min(budget.tokens, budget.token_limit);
}

void CreditFirstAttempt(RetryBudget& budget) noexcept {
  budget.tokens = std::min(budget.token_limit,
                           budget.tokens + budget.tokens_per_first_attempt);
}

bool TrySpendRetry(RetryBudget& budget) noexcept {
  if (budget.tokens < RetryBudget::kTokensPerRetry) {
    return false;
  }
  budget.tokens -= RetryBudget::kTokensPerRetry;
  return true;
}

}  // namespace mimosagauge
