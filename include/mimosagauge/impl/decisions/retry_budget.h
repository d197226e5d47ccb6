// A budget that keeps retries from multiplying an overload.

#ifndef MIMOSAGAUGE_IMPL_DECISIONS_RETRY_BUDGET_H_
#define MIMOSAGAUGE_IMPL_DECISIONS_RETRY_BUDGET_H_

#include <cstddef>

namespace mimosagauge {

/// \brief Each first attempt earns a fraction of a retry, each retry costs a
/// whole one; what is saved up is bounded.
struct RetryBudget {
  double most = kMost;      ///< What is saved up at most.
  double earned = kEarned;  ///< Per first attempt.
  double tokens = kMost;    ///< From 0 to `most`.

  static constexpr double kMost = 10.0;
  static constexpr double kEarned = 0.1;
  static constexpr double kCost = 1.0;  ///< Per retry.
};

/// \brief What all instances together may spend at one service.
struct SharedRetryBudget {
  double ratio = RetryBudget::kEarned;  ///< Retries for each first attempt.
  double slack = RetryBudget::kMost;    ///< Beyond that, in any window.
};

/// \brief Gives this instance its part of what all may spend.
/// \param instances That may be spending now, this one included.
void ShareBudget(RetryBudget& budget, const SharedRetryBudget& shared,
                 std::size_t instances) noexcept;

/// \brief Counts a first attempt.
void Earn(RetryBudget& budget) noexcept;

/// \brief Takes the cost of one retry.
/// \returns Whether the budget had it.
[[nodiscard]] bool Spend(RetryBudget& budget) noexcept;

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_RETRY_BUDGET_H_
