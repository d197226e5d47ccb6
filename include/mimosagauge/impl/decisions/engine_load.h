// Estimates, for one upstream, how long a request that is sent now waits until
// its response begins, and how long the response then takes.
//
// An engine interleaves prefill (reading prompts, one chunk at a time) with
// decode steps (generating tokens), so the more of its time it spends on
// prefill, the slower all responses in its batch are generated. Both effects
// are estimated here.

#ifndef MIMOSAGAUGE_IMPL_DECISIONS_ENGINE_LOAD_H_
#define MIMOSAGAUGE_IMPL_DECISIONS_ENGINE_LOAD_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "mimosagauge/impl/core/ids.h"
#include "mimosagauge/impl/core/time.h"

namespace mimosagauge {

/// \brief Load that an upstream reports together with a response.
struct LoadReport {
  std::size_t running = 0;  ///< Requests that it is running.
  std::size_t waiting = 0;  ///< Requests in its own queue.
  std::size_t slots = 0;    ///< Requests that it can run concurrently.
  /// How much longer than usual work takes on its machine at the moment, as a
  /// factor; empty: not reported.
  std::optional<double> slowdown{};
};

/// \brief Speeds that are assumed for an upstream until they can be estimated
/// from its responses.
struct EngineSpeeds {
  double prompt_tokens_per_ms = 50;  ///< Prefill speed.
  /// Time to the first token when no request is queued, not including the
  /// prefill of the prompt.
  Duration first_token = std::chrono::milliseconds(15);
  /// Duration of one decode step, which generates one token of every running
  /// request.
  Duration step = std::chrono::milliseconds(8);
  /// Prompt tokens in one prefill chunk, processed between two decode steps.
  double prefill_chunk_tokens = 4096;
  /// Service time of a plain service.
  Duration plain_service = std::chrono::milliseconds(40);
};

/// \returns The time that an engine needs to prefill `tokens` prompt tokens at
/// the given speeds.
[[nodiscard]] Duration PrefillTime(double tokens, const EngineSpeeds& speeds);

/// \brief Load that another instance has at the upstream, from its last digest.
struct PeerLoad {
  std::size_t in_flight = 0;  ///< Requests of that instance.
  double unread_tokens = 0;   ///< Prompt tokens not yet processed by prefill.
  TimePoint received_at{};    ///< Time at which the digest was received.
};

/// \brief State of one upstream's queue as estimated by this instance.
struct EngineLoad {
  double unread_tokens = 0;  ///< Prompt tokens in this instance's requests
                             ///< whose responses have not begun.
  LoadReport report;         ///< The most recent report.
  TimePoint reported_at{};   ///< Time of `report`; the default value
                             ///< `TimePoint{}` means that there is none yet.
  /// This instance's requests in flight when `report` arrived.
  std::size_t own_in_flight_at_report = 0;
  /// Load of the other instances of the region at this upstream.
  std::unordered_map<InstanceId, PeerLoad> foreign;
  /// Prompt tokens that all instances have sent to it, with exponential decay.
  double recent_prompt_tokens = 0;
  /// Time at which `recent_prompt_tokens` was last updated.
  TimePoint recent_tokens_updated_at{};
  double unreported_tokens = 0;  ///< Prompt tokens that this instance has sent
                                 ///< since its last digest.
  /// Smoothed ratio of the measured to the estimated time until a response
  /// begins; above 1 for an upstream that is slower than assumed.
  double slowness = 1;
  /// Responses that have contributed to that ratio.
  std::uint32_t slowness_samples = 0;
  Duration service_time{};  ///< Smoothed service time of a plain service; zero
                            ///< means unknown.
};

/// \brief Records a load report that arrived with a response.
/// \param own_in_flight This instance's requests in flight at the upstream,
/// including the one that the response belongs to.
void RecordLoadReport(EngineLoad& load, const LoadReport& report,
                      std::size_t own_in_flight, TimePoint now);

/// \returns Whether the most recent load report is recent enough to be used.
[[nodiscard]] bool HasRecentReport(const EngineLoad& load, TimePoint now);

/// \brief Records the load of another instance at this upstream, from that
/// instance's digest.
/// \param sent_tokens Prompt tokens that the other instance has sent to the
/// upstream since its previous digest.
void RecordPeerLoad(EngineLoad& load, const InstanceId& instance,
                    const PeerLoad& peer_load, double sent_tokens,
                    TimePoint now);

/// \brief Updates the estimate of an engine's speed when a response begins.
/// Estimates below 5 ms are ignored.
/// \param expected Estimated time until the response begins, made when the
/// request was sent.
/// \param taken Measured time until the response began.
void RecordResponseStart(EngineLoad& load, Duration expected, Duration taken);

/// \brief Updates the smoothed service time when a plain service has completed
/// a response. The queueing time, estimated from the latest load report, is
/// deducted first.
/// \param taken Time from sending the request to the end of the response.
void RecordServiceTime(EngineLoad& load, Duration taken);

/// \brief Records a request that is sent.
/// \param tokens Prompt tokens that the engine has to prefill for it.
void RecordPromptSent(EngineLoad& load, double tokens, TimePoint now);

/// \brief Estimated load of all other instances at one upstream.
struct OtherInstancesLoad {
  std::size_t in_flight = 0;  ///< Their requests at the upstream.
  double unread_tokens = 0;   ///< Prompt tokens not yet processed by prefill.
};
/// \returns The load of all other instances, from their digests or from the
/// upstream's own report; zero when neither is recent.
/// \param engine Whether the upstream is an engine. A plain service responds so
/// quickly that its own load report is usually more recent than the digests of
/// the other instances; a fresh report is then preferred.
[[nodiscard]] OtherInstancesLoad LoadOfOtherInstances(const EngineLoad& load,
                                                      bool engine,
                                                      TimePoint now);

/// \brief Input of a latency estimate.
struct LatencyQuery {
  bool engine = false;        ///< Whether the upstream is an engine; otherwise
                              ///< it is a plain service.
  double prompt_tokens = 0;   ///< Prompt tokens that the upstream would have to
                              ///< prefill.
  double output_tokens = 0;   ///< Tokens that it would generate.
  std::size_t in_flight = 0;  ///< This instance's requests at the upstream.
  std::size_t slots = 1;      ///< Requests that the upstream can run
                              ///< concurrently.
  double slowdown = 1;        ///< Factor by which work is expected to take
                              ///< longer than usual there at the moment.
};

/// \brief Latency estimate for a request that is sent now.
struct LatencyEstimate {
  Duration start{};    ///< Time until its response begins.
  Duration end{};      ///< Time until its response is complete.
  double reading = 0;  ///< Fraction of the engine's time that is spent on
                       ///< prefill, from 0 to 1; zero for a plain service.
};

/// \returns The estimated latency of a request that is sent to the upstream at
/// `now`.
[[nodiscard]] LatencyEstimate Expect(const EngineLoad& load,
                                     const LatencyQuery& question,
                                     const EngineSpeeds& speeds, TimePoint now);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_ENGINE_LOAD_H_
