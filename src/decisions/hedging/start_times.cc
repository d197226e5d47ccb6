// Histogram of the times until responses begin.

#include "mimosagauge/impl/decisions/hedging/start_times.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace mimosagauge {
namespace {

constexpr Duration kHalfLife = std::chrono::seconds(15);
constexpr double kMinWeight = 40;
// The first bin holds ratios below 2^(1/8 - 3), the last one all above 2^12.9.
constexpr double kBinsPerDoubling = 8;
constexpr double kFirstExponent = -3;
// Shorter references measure the network and the processor, not the upstream.
constexpr Duration kMinReference = std::chrono::milliseconds(5);
// Weights below this are dropped, so that the sum does not drift.
constexpr float kNegligible = 1e-3F;
// Bounds of the size classes as multiples of the shortest reference.
constexpr double kMediumFactor = 2.5;
constexpr double kLongFactor = 8;

[[nodiscard]] double Ratio(Duration taken, Duration reference) {
  return static_cast<double>(taken.count()) /
         static_cast<double>(std::max(reference, kMinReference).count());
}

[[nodiscard]] std::size_t BinOf(double ratio) {
  if (ratio <= 0) {
    return 0;
  }
  const double position =
      (std::log2(ratio) - kFirstExponent) * kBinsPerDoubling;
  return static_cast<std::size_t>(
      std::clamp(position, 0.0, static_cast<double>(StartTimes::kBins - 1)));
}

[[nodiscard]] double UpperEdge(std::size_t bin) {
  return std::exp2(static_cast<double>(bin + 1) / kBinsPerDoubling +
                   kFirstExponent);
}

// Number of half-lives since the last decay.
[[nodiscard]] int HalvingsDue(const StartTimes& times, TimePoint now) {
  constexpr Duration::rep kMost = 60;
  return static_cast<int>(std::min<Duration::rep>(
      kMost, (now - times.decayed_at).count() / kHalfLife.count()));
}

void Decay(StartTimes& times, TimePoint now) {
  if (times.total == 0) {
    times.decayed_at = now;
    return;
  }
  const int halvings = HalvingsDue(times, now);
  if (halvings == 0) {
    return;
  }
  times.total = 0;
  for (float& weight : times.weights) {
    weight = std::ldexp(weight, -halvings);
    weight = weight < kNegligible ? 0.0F : weight;
    times.total += weight;
  }
  times.decayed_at = now;
}

}  // namespace

void RecordStartTime(StartTimes& times, Duration reference, Duration taken,
                     TimePoint now) {
  Decay(times, now);
  times.weights.at(BinOf(Ratio(taken, reference))) += 1;
  times.total += 1;
}

std::optional<Duration> StartTimePercentile(const StartTimes& times,
                                            double percentile,
                                            Duration reference, TimePoint now) {
  if (std::ldexp(times.total, -HalvingsDue(times, now)) < kMinWeight) {
    return std::nullopt;
  }
  const double wanted = times.total * percentile;
  double sum = 0;
  std::size_t bin = 0;
  for (; bin + 1 < StartTimes::kBins; ++bin) {
    sum += times.weights.at(bin);
    if (sum >= wanted) {
      break;
    }
  }
  return std::chrono::duration_cast<Duration>(
      std::max(reference, kMinReference) * UpperEdge(bin));
}

std::size_t StartSizeClass(Duration reference, Duration shortest) {
  const double factor = Ratio(reference, shortest);
  if (factor < kMediumFactor) {
    return 0;
  }
  return factor < kLongFactor ? 1 : 2;
}

}  // namespace mimosagauge
