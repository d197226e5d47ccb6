// What an instance expects of an upstream: how long a request that is sent now
// waits before its answer begins, and how long the answer then takes.
//
// An engine reads prompts between the tokens that it generates, a chunk at a
// time, so the more of its time goes into reading, the slower every answer in
// its batch comes. Both sides of that are estimated here.

#ifndef MIMOSAGAUGE_IMPL_DECISIONS_ENGINE_LOAD_H_
#define MIMOSAGAUGE_IMPL_DECISIONS_ENGINE_LOAD_H_

#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "mimosagauge/impl/core/ids.h"
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
  double prompt_tokens_per_ms = 50;                      ///< Read by prefill.
  Duration first_token = std::chrono::milliseconds(15);  ///< Without a queue.
  Duration step = std::chrono::milliseconds(8);  ///< Of all running, one token.
  double chunk_tokens = 4096;                    ///< Read between two steps.
  Duration plain_service = std::chrono::milliseconds(40);  ///< Of a plain one.
};

/// \returns How long an engine reads so many tokens of prompts.
[[nodiscard]] Duration ReadingTime(double tokens, const EngineSpeeds& speeds);

/// \brief What another instance has at the upstream, as it told.
struct ForeignLoad {
  std::size_t in_flight = 0;
  double unread_tokens = 0;
  TimePoint told_at{};
};

/// \brief An upstream's queue as one instance sees it.
struct EngineLoad {
  double unread_tokens = 0;  ///< Own prompts sent, their answers not begun.
  LoadReport report;         ///< The newest one.
  TimePoint reported_at{};   ///< The start: none came yet.
  std::size_t own_at_report = 0;  ///< Own requests in flight then.
  std::unordered_map<InstanceId, ForeignLoad> foreign;
  /// Tokens that all instances have given it to read, fading with time.
  double recent_tokens = 0;
  TimePoint recent_at{};  ///< When `recent_tokens` was last brought up to date.
  double untold_tokens = 0;  ///< Own ones since the last digest.
  /// Time taken against time expected, smoothed; above 1 for slow upstreams.
  double slowness = 1;
  std::uint32_t lessons = 0;  ///< Answers that `slowness` was learnt from.
  Duration service_time{};    ///< Of a plain service, smoothed; zero: unknown.
};

/// \brief A report came with an answer.
/// \param own Own requests in flight at the upstream, the answered included.
void LearnLoad(EngineLoad& load, const LoadReport& report, std::size_t own,
               TimePoint now);

/// \brief Another instance told what it has there.
/// \param sent_tokens Given to it since that instance told last.
void LearnForeign(EngineLoad& load, const InstanceId& instance,
                  const ForeignLoad& foreign, double sent_tokens,
                  TimePoint now);

/// \brief An answer began.
/// \param expected What was expected when the request was sent.
void LearnStart(EngineLoad& load, Duration expected, Duration taken);

/// \brief A plain service answered whole; what its report says of its queue is
/// taken off.
void LearnService(EngineLoad& load, Duration taken);

/// \brief A request is sent.
void CountPrompt(EngineLoad& load, double tokens, TimePoint now);

/// \brief What other instances have at the upstream, as far as known.
struct OthersLoad {
  std::size_t in_flight = 0;
  double unread_tokens = 0;
};
/// \param engine Whether it is an engine; a plain service answers so soon that
/// its own report is newer than what instances tell each other.
[[nodiscard]] OthersLoad Others(const EngineLoad& load, bool engine,
                                TimePoint now);

/// \brief What is asked of the estimate.
struct LoadQuestion {
  bool engine = false;        ///< Else a plain service.
  double prompt_tokens = 0;   ///< That the upstream would have to read.
  double output_tokens = 0;   ///< That it would generate.
  std::size_t in_flight = 0;  ///< Own requests at the upstream.
  std::size_t slots = 1;      ///< Requests that it runs at once.
};

/// \brief What to expect of a request that is sent now.
struct Expectation {
  Duration start{};    ///< Until its answer begins.
  Duration end{};      ///< Until its answer is whole.
  double reading = 0;  ///< Part of the engine's time that goes into reading.
};

[[nodiscard]] Expectation Expect(const EngineLoad& load,
                                 const LoadQuestion& question,
                                 const EngineSpeeds& speeds, TimePoint now);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_ENGINE_LOAD_H_
