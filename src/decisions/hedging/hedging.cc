// The decision about a second attempt of a request, and its budget.

#include "mimosagauge/impl/decisions/hedging/hedging.h"

#include <algorithm>

namespace mimosagauge {
namespace {

// Sums of parts such as 20 x 0.05 may be slightly below the whole.
constexpr double kWholeToken = 1 - 1e-9;
// Each loss beyond this number in a row counts as a failure, and three failures
// in a row eject an upstream. One that never responds is ejected after six
// attempts; one that loses half of its races has six losses in a row once in
// 64 times.
constexpr std::size_t kLossesInARow = 3;

}  // namespace

void CreditHedge(HedgeBudget& budget, const HedgingConfig& config,
                 std::size_t instances) noexcept {
  const double size = std::max(
      1.0, HedgeBudget::kBurst /
               static_cast<double>(std::max<std::size_t>(1, instances)));
  budget.tokens = std::min(size, budget.tokens + config.limit);
}

bool HasHedgeToken(const HedgeBudget& budget) noexcept {
  return budget.tokens >= kWholeToken;
}

void SpendHedgeToken(HedgeBudget& budget) noexcept {
  budget.tokens = std::max(0.0, budget.tokens - 1);
}

std::string_view ToString(HedgeBlock block) noexcept {
  switch (block) {
    case HedgeBlock::kNone:
      return "none";
    case HedgeBlock::kNotRepeatable:
      return "not_repeatable";
    case HedgeBlock::kRoute:
      return "route";
    case HedgeBlock::kNoEstimate:
      return "no_estimate";
    case HedgeBlock::kLeaving:
      return "leaving";
    case HedgeBlock::kSuspected:
      return "suspected";
    case HedgeBlock::kAccount:
      return "account";
    case HedgeBlock::kNoTime:
      return "no_time";
    case HedgeBlock::kNotLate:
      return "not_late";
    case HedgeBlock::kServiceFull:
      return "service_full";
    case HedgeBlock::kLimit:
      return "limit";
    case HedgeBlock::kRetryBudget:
      return "retry_budget";
  }
  return "";
}

bool IsTemporary(HedgeBlock block) noexcept {
  return block >= HedgeBlock::kNotLate;
}

HedgeBlock DecideHedge(const HedgeQuery& query) noexcept {
  if (!query.repeatable) {
    return HedgeBlock::kNotRepeatable;
  }
  if (query.attempts_left == 0) {
    return HedgeBlock::kRoute;
  }
  if (!query.late_after) {
    return HedgeBlock::kNoEstimate;
  }
  if (query.leaving) {
    return HedgeBlock::kLeaving;
  }
  if (query.suspected) {
    return HedgeBlock::kSuspected;
  }
  if (!query.allowed_by_account) {
    return HedgeBlock::kAccount;
  }
  if (query.remaining <= query.expected_start.value_or(Duration::zero())) {
    return HedgeBlock::kNoTime;
  }
  if (query.running < *query.late_after) {
    return HedgeBlock::kNotLate;
  }
  if (query.requests_waiting || !query.expected_start) {
    return HedgeBlock::kServiceFull;
  }
  if (!query.has_hedge_token) {
    return HedgeBlock::kLimit;
  }
  return query.has_retry_token ? HedgeBlock::kNone : HedgeBlock::kRetryBudget;
}

std::optional<Duration> LateAfter(const ServiceHedging& service,
                                  const HedgingConfig& config,
                                  Duration reference, Duration shortest,
                                  TimePoint now) {
  const StartTimes& times =
      service.times.at(StartSizeClass(reference, shortest));
  const auto percentile =
      StartTimePercentile(times, config.percentile, reference, now);
  return percentile ? std::optional(std::max(config.min_delay, *percentile))
                    : std::nullopt;
}

bool CountHedgeLoss(HedgingState& state, const UpstreamId& id) {
  return ++state.losses[id] > kLossesInARow;
}

}  // namespace mimosagauge
