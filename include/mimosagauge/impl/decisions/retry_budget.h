// A budget that keeps retries from multiplying an overload.

#ifndef MIMOSAGAUGE_IMPL_DECISIONS_RETRY_BUDGET_H_
#define MIMOSAGAUGE_IMPL_DECISIONS_RETRY_BUDGET_H_

namespace mimosagauge {

/// \brief Each first attempt earns a fraction of a retry, each retry costs a
/// whole one; what is saved up is bounded.
struct RetryBudget {
  double tokens = kMost;  ///< From 0 to `kMost`.

  static constexpr double kMost = 10.0;
  static constexpr double kEarned = 0.1;  ///< Per first attempt.
  static constexpr double kCost = 1.0;    ///< Per retry.
};

/// \brief Counts a first attempt.
void Earn(RetryBudget& budget) noexcept;

/// \brief Takes the cost of one retry.
/// \returns Whether the budget had it.
[[nodiscard]] bool Spend(RetryBudget& budget) noexcept;

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_RETRY_BUDGET_H_
