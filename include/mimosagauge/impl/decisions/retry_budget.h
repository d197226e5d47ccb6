// Retry budget, which prevents retries from amplifying an overload.

#ifndef MIMOSAGAUGE_IMPL_DECISIONS_RETRY_BUDGET_H_
#define MIMOSAGAUGE_IMPL_DECISIONS_RETRY_BUDGET_H_

#include <cstddef>

namespace mimosagauge {

/// \brief Token bucket for retries: each first attempt adds a fraction of a
/// token, and each retry takes a whole token. The number of tokens is bounded.
struct RetryBudget {
  /// Upper bound of `tokens`.
  double token_limit = kDefaultTokenLimit;
  /// Tokens that each first attempt adds.
  double tokens_per_first_attempt = kDefaultTokensPerFirstAttempt;
  /// Tokens available; from 0 to `token_limit`.
  double tokens = kDefaultTokenLimit;

  static constexpr double kDefaultTokenLimit = 10.0;
  static constexpr double kDefaultTokensPerFirstAttempt = 0.1;
  /// Tokens that a retry takes.
  static constexpr double kTokensPerRetry = 1.0;
};

/// \brief Bound on the retries of all instances together at one service.
struct SharedRetryBudget {
  /// Retries per first attempt.
  double ratio = RetryBudget::kDefaultTokensPerFirstAttempt;
  /// Retries allowed beyond the ratio, in any time window.
  double slack = RetryBudget::kDefaultTokenLimit;
};

/// \brief Sets this instance's budget to its share of the shared budget.
/// \param instances Number of instances that may be retrying now, including
/// this one; zero counts as one.
void SetInstanceShare(RetryBudget& budget, const SharedRetryBudget& shared,
                      std::size_t instances) noexcept;

/// \brief Adds the tokens for one first attempt, up to the limit.
void CreditFirstAttempt(RetryBudget& budget) noexcept;

/// \brief Takes the token for one retry if it is available.
/// \returns Whether the retry is within the budget.
[[nodiscard]] bool TrySpendRetry(RetryBudget& budget) noexcept;

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_RETRY_BUDGET_H_
