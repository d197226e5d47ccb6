// Counts and times of the decisions, by Boost.Accumulators.

#ifndef MIMOSAGAUGE_IMPL_DECISIONS_GATEWAY_METRICS_H_
#define MIMOSAGAUGE_IMPL_DECISIONS_GATEWAY_METRICS_H_

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <cstdint>
#include <map>
#include <string>

#include "mimosagauge/impl/core/ids.h"
#include "mimosagauge/impl/core/time.h"

namespace mimosagauge {

/// Quantiles that are kept of each distribution.
inline constexpr std::array kQuantiles{0.5, 0.95, 0.99};

/// \brief Distribution of times, in seconds.
class TimeSummary {
 public:
  TimeSummary();

  /// \brief Adds one observation.
  void Observe(Duration duration);

  /// \returns How many were observed.
  [[nodiscard]] std::uint64_t count() const;
  /// \returns Their sum in seconds.
  [[nodiscard]] double sum() const;
  /// \returns The estimate for `kQuantiles[i]`, in seconds.
  [[nodiscard]] double quantile(std::size_t i) const;

 private:
  using Accumulator = boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<boost::accumulators::tag::count,
                                 boost::accumulators::tag::sum,
                                 boost::accumulators::tag::extended_p_square>>;
  Accumulator accumulator_;
};

/// \brief Counts and times of one service.
struct ServiceMetrics {
  std::uint64_t requests = 0;
  std::map<std::string, std::uint64_t> refused;  ///< By problem type.
  std::uint64_t answered = 0;
  std::uint64_t broken = 0;  ///< Answers broken off visibly.
  std::uint64_t retries = 0;
  std::uint64_t resumed = 0;
  std::uint64_t forwarded = 0;  ///< Given to another region.
  TimeSummary first_byte;       ///< From arrival to the answer's head.
  TimeSummary total;            ///< From arrival to the answer's end.
};

/// \brief All counts of the decisions.
struct GatewayMetrics {
  std::map<ServiceId, ServiceMetrics> services;
  std::uint64_t discarded = 0;  ///< Late events of past attempts.
};

/// \returns The metrics in the Prometheus text format.
[[nodiscard]] std::string PrometheusText(const GatewayMetrics& metrics);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_GATEWAY_METRICS_H_
