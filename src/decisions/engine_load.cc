// Estimates of an upstream's queue.

#include "mimosagauge/impl/decisions/engine_load.h"

#include <algorithm>

namespace mimosagauge {
namespace {

// A report says nothing about the present after this long.
constexpr Duration kReportLife = std::chrono::seconds(2);
// Weight of one observation in a smoothed value.
constexpr double kSmoothing = 0.1;
constexpr double kLeastSlowness = 0.25;
constexpr double kMostSlowness = 8;
// Shorter expectations say nothing about the speed of prefill.
constexpr Duration kShortestLesson = std::chrono::milliseconds(5);
// Prompt of another instance's waiting request, where nothing is known of it.
constexpr double kForeignPromptTokens = 1500;
// Time from the start of a generation to its end, for those beyond the slots.
constexpr Duration kGeneration = std::chrono::milliseconds(600);

[[nodiscard]] Duration Scaled(Duration duration, double factor) {
  return std::chrono::duration_cast<Duration>(duration * factor);
}

[[nodiscard]] double Ratio(Duration a, Duration b) {
  return static_cast<double>(a.count()) / static_cast<double>(b.count());
}

// Requests that have to end before this one can run.
[[nodiscard]] double Beyond(std::size_t total, std::size_t slots) {
  return total < slots ? 0 : static_cast<double>(total - slots + 1);
}

}  // namespace

void LearnLoad(EngineLoad& load, const LoadReport& report, std::size_t own,
               TimePoint now) {
  load.report = report;
  load.own_at_report = own;
  load.reported_at = now;
}

void LearnStart(EngineLoad& load, Duration expected, Duration taken) {
  if (expected < kShortestLesson) {
    return;
  }
  const double seen = std::clamp(load.slowness * Ratio(taken, expected),
                                 kLeastSlowness, kMostSlowness);
  load.slowness += kSmoothing * (seen - load.slowness);
}

void LearnService(EngineLoad& load, Duration taken) {
  if (load.service_time == Duration::zero()) {
    load.service_time = taken;
    return;
  }
  load.service_time += Scaled(taken - load.service_time, kSmoothing);
}

std::size_t OthersInFlight(const EngineLoad& load, TimePoint now) {
  if (load.reported_at == TimePoint{} || now - load.reported_at > kReportLife) {
    return 0;
  }
  const std::size_t all = load.report.running + load.report.waiting;
  return all - std::min(all, load.own_at_report);
}

Duration ExpectedStart(const EngineLoad& load, const StartQuestion& question,
                       const EngineSpeeds& speeds, TimePoint now) {
  const std::size_t others = OthersInFlight(load, now);
  const std::size_t slots = std::max<std::size_t>(1, question.slots);
  const double beyond = Beyond(question.in_flight + others, slots);
  const auto width = static_cast<double>(slots);
  if (!question.engine) {
    const Duration service = load.service_time == Duration::zero()
                                 ? speeds.plain_service
                                 : load.service_time;
    const double share =
        static_cast<double>(question.in_flight + others) / width;
    // A part of it below the slots, so that the least loaded one is chosen.
    return Scaled(service, beyond / width + share / width);
  }
  const auto foreign =
      static_cast<double>(std::min(others, load.report.waiting));
  const double tokens = load.unread_tokens + question.prompt_tokens +
                        foreign * kForeignPromptTokens;
  const auto reading =
      std::chrono::duration<double, std::milli>(
          tokens / std::max(1.0, speeds.prompt_tokens_per_ms));
  const Duration whole = speeds.first_token +
                         std::chrono::duration_cast<Duration>(reading);
  return Scaled(whole, load.slowness) + Scaled(kGeneration, beyond / width);
}

}  // namespace mimosagauge
