// What an instance expects of an upstream's queue: how long a request that is
// sent now waits before its answer begins.

#ifndef MIMOSAGAUGE_IMPL_DECISIONS_ENGINE_LOAD_H_
#define MIMOSAGAUGE_IMPL_DECISIONS_ENGINE_LOAD_H_

#include <cstddef>

#include "mimosagauge/impl/core/time.h"

namespace mimosagauge {

/// \brief What an upstream says of its load beside an answer.
struct LoadReport {
  std::size_t running = 0;
  std::size_t waiting = 0;
  std::size_t slots = 0;  ///< Requests that it runs at once.
};

/// \brief Speeds that are assumed of an upstream until its answers show them.
struct EngineSpeeds {
  double prompt_tokens_per_ms = 50;                     ///< Read by prefill.
  Duration first_token = std::chrono::milliseconds(15);  ///< Without a queue.
  Duration plain_service = std::chrono::milliseconds(40);  ///< Of a plain one.
};

/// \brief An upstream's queue as one instance sees it.
struct EngineLoad {
  double unread_tokens = 0;    ///< Own prompts sent, their answers not begun.
  std::size_t unanswered = 0;  ///< Own requests sent, their answers not begun.
  LoadReport report;           ///< The newest one.
  TimePoint reported_at{};     ///< The start: none came yet.
  std::size_t own_at_report = 0;  ///< Own requests in flight then.
  /// Time taken against time expected, smoothed; above 1 for slow upstreams.
  double slowness = 1;
  Duration service_time{};  ///< Of a plain service, smoothed; zero: unknown.
};

/// \brief A report came with an answer.
/// \param own Own requests in flight at the upstream, the answered included.
void LearnLoad(EngineLoad& load, const LoadReport& report, std::size_t own,
               TimePoint now);

/// \brief An answer began.
/// \param expected What was expected when the request was sent.
void LearnStart(EngineLoad& load, Duration expected, Duration taken);

/// \brief A plain service answered whole.
void LearnService(EngineLoad& load, Duration taken);

/// \returns Requests of other instances at the upstream, as far as known.
[[nodiscard]] std::size_t OthersInFlight(const EngineLoad& load, TimePoint now);

/// \brief What is asked of the estimate.
struct StartQuestion {
  bool engine = false;        ///< Else a plain service.
  double prompt_tokens = 0;   ///< That the upstream would have to read.
  std::size_t in_flight = 0;  ///< Own requests at the upstream.
  std::size_t slots = 1;      ///< Requests that it runs at once.
};

/// \returns How long until the answer begins if it is sent now.
[[nodiscard]] Duration ExpectedStart(const EngineLoad& load,
                                     const StartQuestion& question,
                                     const EngineSpeeds& speeds, TimePoint now);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_ENGINE_LOAD_H_
