// Weighted rendezvous hashing of coordinators.

#include "mimosagauge/impl/decisions/coordination/selection.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "mimosagauge/impl/decisions/rendezvous.h"

namespace mimosagauge {
namespace {

// Assumed for an instance that does not publish its memory.
constexpr Bytes kAssumedMemory = Kibibytes(std::uint64_t{256} * 1024);

// With u uniform in (0, 1), the largest of the values -weight / ln(u) belongs
// to each candidate with a probability in proportion to its weight.
[[nodiscard]] double Score(std::uint64_t key,
                           const CoordinatorCandidate& candidate) {
  constexpr double kHashRange = 18446744073709551616.0;  // 2^64
  constexpr double kHalf = 0.5;
  const auto hash =
      static_cast<double>(RendezvousWeight(key, candidate.id.value()));
  const double uniform =
      std::clamp((hash + kHalf) / kHashRange, 1e-18, 1 - 1e-15);
  const Bytes memory =
      candidate.memory == Bytes{} ? kAssumedMemory : candidate.memory;
  return -static_cast<double>(memory.count()) / std::log(uniform);
}

}  // namespace

std::vector<InstanceId> RankCoordinators(
    const ServiceId& service,
    const std::vector<CoordinatorCandidate>& candidates) {
  const std::uint64_t key = RendezvousWeight(0, service.value());
  std::vector<std::pair<double, InstanceId>> scored;
  scored.reserve(candidates.size());
  for (const CoordinatorCandidate& candidate : candidates) {
    scored.emplace_back(Score(key, candidate), candidate.id);
  }
  std::sort(scored.begin(), scored.end(), [](const auto& a, const auto& b) {
    return a.first != b.first ? a.first > b.first : a.second < b.second;
  });
  std::vector<InstanceId> ranked;
  ranked.reserve(scored.size());
  for (auto& [score, id] : scored) {
    ranked.push_back(std::move(id));
  }
  return ranked;
}

}  // namespace mimosagauge
