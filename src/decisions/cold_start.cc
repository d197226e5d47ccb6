// The rate at which a cold upstream gets requests.

#include "mimosagauge/impl/decisions/cold_start.h"

#include <algorithm>
#include <chrono>

namespace mimosagauge {
namespace {

// Its own word is that much older than it seems when it arrives.
constexpr Duration kMargin = std::chrono::milliseconds(300);

[[nodiscard]] double TokensAt(const ColdStart& cold, TimePoint now) noexcept {
  const std::chrono::duration<double> passed = now - cold.filled_at;
  return std::min(ColdStart::kBurst, cold.tokens + passed.count() * cold.rate *
                                                       ColdStart::kUsedShare);
}

}  // namespace

void LearnCold(ColdStart& cold, Duration left, TimePoint now) {
  if (left <= Duration::zero()) {
    return;
  }
  if (!IsCold(cold, now)) {
    cold.tokens = ColdStart::kBurst;
    cold.filled_at = now;
  }
  cold.until = std::max(cold.until, now + left + kMargin);
}

bool IsCold(const ColdStart& cold, TimePoint now) noexcept {
  return cold.rate > 0 && now < cold.until;
}

bool MayGetRequest(const ColdStart& cold, TimePoint now) noexcept {
  return !IsCold(cold, now) || (cold.owned && TokensAt(cold, now) >= 1);
}

void CountRequest(ColdStart& cold, TimePoint now) noexcept {
  if (!IsCold(cold, now)) {
    return;
  }
  cold.tokens = TokensAt(cold, now) - 1;
  cold.filled_at = now;
}

}  // namespace mimosagauge
