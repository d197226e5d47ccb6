// Metrics of the gateway state machine: counters, and latency summaries based
// on Boost.Accumulators.

#ifndef MIMOSAGAUGE_IMPL_DECISIONS_GATEWAY_METRICS_H_
#define MIMOSAGAUGE_IMPL_DECISIONS_GATEWAY_METRICS_H_

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "mimosagauge/impl/core/ids.h"
#include "mimosagauge/impl/core/time.h"

namespace mimosagauge {

/// Quantiles that are estimated for each distribution.
inline constexpr std::array kQuantiles{0.5, 0.95, 0.99};

/// \brief Summary of a distribution of durations, in seconds.
class TimeSummary {
 public:
  TimeSummary();

  /// \brief Adds one observed duration.
  void Observe(Duration duration);

  /// \returns The number of observations.
  [[nodiscard]] std::uint64_t count() const;
  /// \returns The sum of the observations, in seconds.
  [[nodiscard]] double sum() const;
  /// \returns The estimate for `kQuantiles[i]`, in seconds; 0 without
  /// observations.
  [[nodiscard]] double quantile(std::size_t i) const;

 private:
  using Accumulator = boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<boost::accumulators::tag::count,
                                 boost::accumulators::tag::sum,
                                 boost::accumulators::tag::extended_p_square>>;
  Accumulator accumulator_;
};

/// \brief Counters of the hedges at one service.
struct HedgeMetrics {
  std::uint64_t started = 0;  ///< Hedges started.
  std::uint64_t won = 0;      ///< Hedges whose answer was used.
  std::uint64_t lost = 0;     ///< Hedges whose answer was not used.
  /// Checks that started no hedge, by reason. A request whose check is repeated
  /// counts each time.
  std::map<std::string, std::uint64_t> blocked;
  /// Time that upstreams worked on attempts until these were canceled because
  /// the other one had won, in seconds.
  double extra_seconds = 0;
};

/// \brief Counters and latencies of one service.
struct ServiceMetrics {
  std::uint64_t requests = 0;                    ///< Requests received.
  std::map<std::string, std::uint64_t> refused;  ///< Requests refused, by
                                                 ///< problem type.
  std::uint64_t answered = 0;   ///< Answers that were completed.
  std::uint64_t broken = 0;     ///< Answers aborted after they had begun.
  std::uint64_t retries = 0;    ///< Attempts after the first of a request.
  std::uint64_t resumed = 0;    ///< Streams continued on another upstream.
  std::uint64_t forwarded = 0;  ///< Requests forwarded to another instance.
  HedgeMetrics hedges;
  TimeSummary first_byte;  ///< Time from arrival to the answer's head.
  TimeSummary total;       ///< Time from arrival to the answer's end.
};

/// \brief Counters of the authentication of requests, and of the confirmation
/// of the configuration under strict revocation.
struct AccountMetrics {
  std::map<std::string, std::uint64_t> refused;  ///< Requests, by reason.
  bool strict = false;  ///< Strict revocation is on; else the rest is unused.
  std::uint64_t confirmed_by_store = 0;
  std::uint64_t confirmed_by_peers = 0;
  /// Age of the confirmation; empty: the configuration was never confirmed.
  std::optional<Duration> confirmation_age;
};

/// \brief What it costs to continue streams at their software version, and what
/// became of the streams that callers resumed.
struct StreamMetrics {
  std::uint64_t begun = 0;      ///< Streams that may be resumed, begun here.
  std::uint64_t told = 0;       ///< Origins sent to other instances.
  std::uint64_t questions = 0;  ///< Questions sent to other instances.
  std::uint64_t messages = 0;   ///< Messages with any of these or answers.
  std::uint64_t found = 0;      ///< Resumptions whose origin was found.
  std::uint64_t concluded = 0;  ///< Resumptions of the only version that ran.
  std::uint64_t refused = 0;    ///< Resumptions of an unknown origin.
};

/// \brief All metrics of the gateway state machine.
struct GatewayMetrics {
  std::map<ServiceId, ServiceMetrics> services;
  AccountMetrics accounts;
  StreamMetrics streams;
  std::uint64_t discarded = 0;  ///< Events received for attempts that had
                                ///< already ended.
  /// Attempts started outside the home regions that the configuration in force
  /// gives to their request.
  std::uint64_t outside_homes = 0;
  std::size_t in_progress = 0;  ///< Requests whose answer is not complete.
  std::size_t unwritten = 0;    ///< Complete answers that are not written yet.
  std::uint64_t health_requests = 0;  ///< Health requests to upstreams.
  std::uint64_t cut = 0;              ///< Complete answers whose receiver
                          ///< disconnected before they were written.
};

/// \returns The metrics in the Prometheus text format.
[[nodiscard]] std::string PrometheusText(const GatewayMetrics& metrics);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_GATEWAY_METRICS_H_
