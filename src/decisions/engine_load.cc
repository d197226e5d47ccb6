// Estimates of an upstream's queue length and speed.

#include "mimosagauge/impl/decisions/engine_load.h"

#include <algorithm>
#include <cmath>

namespace mimosagauge {
namespace {

// A load report, or another instance's digest, is ignored when it is older.
constexpr Duration kReportMaxAge = std::chrono::seconds(2);
// A load report of a plain service that is at most this old is more accurate
// than the digests of other instances.
constexpr Duration kFreshReportMaxAge = std::chrono::milliseconds(300);
// Time constant of the smoothed fraction of time that is spent on prefill.
constexpr Duration kPrefillWindow = std::chrono::milliseconds(1500);
// Smallest weight of one observation in a smoothed value. The first
// observations have a larger weight, so that a slow upstream is detected after
// a few responses.
constexpr double kMinSmoothingWeight = 0.1;
// Bounds of the ratio of measured to estimated times.
constexpr double kMinSlowness = 0.25;
constexpr double kMaxSlowness = 8;
// Shorter estimates contain too little prefill to measure its speed.
constexpr Duration kMinEstimateForUpdate = std::chrono::milliseconds(5);
// Assumed prompt length, in tokens, of another instance's waiting request when
// only the upstream's load report is available.
constexpr double kAssumedPeerPromptTokens = 1500;
// Assumed time of one generation, for requests that have to wait for a slot.
constexpr Duration kAssumedGenerationTime = std::chrono::milliseconds(600);

[[nodiscard]] Duration Scaled(Duration duration, double factor) {
  return std::chrono::duration_cast<Duration>(duration * factor);
}

[[nodiscard]] double Ratio(Duration a, Duration b) {
  return static_cast<double>(a.count()) / static_cast<double>(b.count());
}

// Recent prompt tokens, decayed to `now`.
[[nodiscard]] double RecentPromptTokens(const EngineLoad& load, TimePoint now) {
  if (load.recent_prompt_tokens == 0) {
    return 0;
  }
  return load.recent_prompt_tokens *
         std::exp(-Ratio(now - load.recent_tokens_updated_at, kPrefillWindow));
}

void AddRecentPromptTokens(EngineLoad& load, double tokens, TimePoint now) {
  load.recent_prompt_tokens = RecentPromptTokens(load, now) + tokens;
  load.recent_tokens_updated_at = now;
}

// Number of requests that have to finish before one more can run.
[[nodiscard]] double RequestsAhead(std::size_t total, std::size_t slots) {
  return total < slots ? 0 : static_cast<double>(total - slots + 1);
}

// Fraction of an engine's time that is spent on prefill, from 0 to 1.
[[nodiscard]] double PrefillFraction(const EngineLoad& load, double more_tokens,
                                     const EngineSpeeds& speeds,
                                     TimePoint now) {
  const Duration prefill_time =
      PrefillTime(RecentPromptTokens(load, now) + more_tokens, speeds);
  return std::min(1.0, Ratio(prefill_time, kPrefillWindow) * load.slowness);
}

// Time to generate `tokens`. A decode step that runs between prefill chunks
// also takes the time of a chunk; other decode steps do not.
[[nodiscard]] Duration GenerationTime(double tokens, double prefill_fraction,
                                      const EngineSpeeds& speeds,
                                      double slowness) {
  const Duration prefill_step =
      speeds.step + PrefillTime(speeds.prefill_chunk_tokens, speeds);
  const double steps_per_ns =
      (1 - prefill_fraction) / static_cast<double>(speeds.step.count()) +
      prefill_fraction / static_cast<double>(prefill_step.count());
  return Duration(static_cast<Duration::rep>(tokens / steps_per_ns * slowness));
}

[[nodiscard]] LatencyEstimate EstimatePlainService(const EngineLoad& load,
                                                   const LatencyQuery& question,
                                                   const EngineSpeeds& speeds,
                                                   std::size_t total) {
  const Duration service = load.service_time == Duration::zero()
                               ? speeds.plain_service
                               : load.service_time;
  const auto slots = static_cast<double>(question.slots);
  const double waiting_rounds = RequestsAhead(total, question.slots) / slots;
  // Adds a fraction of the service time even when slots are free, so that the
  // least loaded upstream is chosen.
  const double utilization = static_cast<double>(total) / slots;
  LatencyEstimate expectation;
  expectation.start = Scaled(service, waiting_rounds + utilization / slots);
  expectation.end = expectation.start + service;
  return expectation;
}

}  // namespace

Duration PrefillTime(double tokens, const EngineSpeeds& speeds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(
          tokens / std::max(1.0, speeds.prompt_tokens_per_ms)));
}

void RecordLoadReport(EngineLoad& load, const LoadReport& report,
                      std::size_t own_in_flight, TimePoint now) {
  load.report = report;
  load.own_in_flight_at_report = own_in_flight;
  load.reported_at = now;
}

bool HasRecentReport(const EngineLoad& load, TimePoint now) {
  return load.reported_at != TimePoint{} &&
         now - load.reported_at <= kReportMaxAge;
}

void RecordPeerLoad(EngineLoad& load, const InstanceId& instance,
                    const PeerLoad& peer_load, double sent_tokens,
                    TimePoint now) {
  load.foreign[instance] = peer_load;
  AddRecentPromptTokens(load, sent_tokens, now);
}

void RecordResponseStart(EngineLoad& load, Duration expected, Duration taken) {
  if (expected < kMinEstimateForUpdate) {
    return;
  }
  const double observed = std::clamp(load.slowness * Ratio(taken, expected),
                                     kMinSlowness, kMaxSlowness);
  ++load.slowness_samples;
  // The initial assumption counts as one observation.
  const double weight =
      std::max(kMinSmoothingWeight, 1.0 / (load.slowness_samples + 1));
  load.slowness += weight * (observed - load.slowness);
}

void RecordServiceTime(EngineLoad& load, Duration taken) {
  const LoadReport& report = load.report;
  const double queued_per_slot =
      static_cast<double>(report.waiting) /
      static_cast<double>(std::max<std::size_t>(1, report.slots));
  const double slowdown = std::max(1.0, report.slowdown.value_or(1));
  const Duration observed =
      Scaled(taken, 1 / ((1 + queued_per_slot) * slowdown));
  if (load.service_time == Duration::zero()) {
    load.service_time = observed;
    return;
  }
  load.service_time +=
      Scaled(observed - load.service_time, kMinSmoothingWeight);
}

void RecordPromptSent(EngineLoad& load, double tokens, TimePoint now) {
  load.unread_tokens += tokens;
  load.unreported_tokens += tokens;
  AddRecentPromptTokens(load, tokens, now);
}

OtherInstancesLoad LoadOfOtherInstances(const EngineLoad& load, bool engine,
                                        TimePoint now) {
  OtherInstancesLoad others;
  bool has_peer_load = false;
  for (const auto& [instance, peer_load] : load.foreign) {
    if (now - peer_load.received_at <= kReportMaxAge) {
      has_peer_load = true;
      others.in_flight += peer_load.in_flight;
      others.unread_tokens += peer_load.unread_tokens;
    }
  }
  const bool has_recent_report = HasRecentReport(load, now);
  const bool report_is_fresh =
      !engine && now - load.reported_at <= kFreshReportMaxAge;
  if (!has_recent_report || (has_peer_load && !report_is_fresh)) {
    return others;
  }
  others = OtherInstancesLoad{};
  const std::size_t reported_total = load.report.running + load.report.waiting;
  others.in_flight =
      reported_total - std::min(reported_total, load.own_in_flight_at_report);
  const std::size_t waiting = std::min(others.in_flight, load.report.waiting);
  others.unread_tokens =
      static_cast<double>(waiting) * kAssumedPeerPromptTokens;
  return others;
}

LatencyEstimate Expect(const EngineLoad& load, const LatencyQuery& question,
                       const EngineSpeeds& speeds, TimePoint now) {
  const OtherInstancesLoad others =
      LoadOfOtherInstances(load, question.engine, now);
  const std::size_t total = question.in_flight + others.in_flight;
  LatencyQuery bounded = question;
  bounded.slots = std::max<std::size_t>(1, question.slots);
  if (!question.engine) {
    LatencyEstimate plain = EstimatePlainService(load, bounded, speeds, total);
    plain.start = Scaled(plain.start, question.slowdown);
    plain.end = Scaled(plain.end, question.slowdown);
    return plain;
  }
  const double queued_tokens =
      load.unread_tokens + others.unread_tokens + question.prompt_tokens;
  const Duration unqueued_start =
      speeds.first_token + PrefillTime(queued_tokens, speeds);
  const double requests_ahead = RequestsAhead(total, bounded.slots);
  LatencyEstimate expectation;
  expectation.start =
      Scaled(unqueued_start, load.slowness * question.slowdown) +
      Scaled(kAssumedGenerationTime,
             requests_ahead / static_cast<double>(bounded.slots));
  expectation.reading =
      PrefillFraction(load, question.prompt_tokens, speeds, now);
  expectation.end = expectation.start + GenerationTime(question.output_tokens,
                                                       expectation.reading,
                                                       speeds, load.slowness);
  return expectation;
}

}  // namespace mimosagauge
