// Estimates of an upstream's queue and speed.

#include "mimosagauge/impl/decisions/engine_load.h"

#include <algorithm>
#include <cmath>

namespace mimosagauge {
namespace {

// A report or another instance's word says nothing after this long.
constexpr Duration kReportLife = std::chrono::seconds(2);
// A report this new says more of a plain service than other instances could.
constexpr Duration kNewReport = std::chrono::milliseconds(300);
// Over which the part of time that goes into reading is smoothed.
constexpr Duration kReadingWindow = std::chrono::milliseconds(1500);
// Least weight of one observation in a smoothed value; the first ones weigh
// more, so that a slow upstream is known after a few answers.
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

[[nodiscard]] double RecentTokens(const EngineLoad& load, TimePoint now) {
  if (load.recent_tokens == 0) {
    return 0;
  }
  return load.recent_tokens *
         std::exp(-Ratio(now - load.recent_at, kReadingWindow));
}

void AddRecent(EngineLoad& load, double tokens, TimePoint now) {
  load.recent_tokens = RecentTokens(load, now) + tokens;
  load.recent_at = now;
}

// Requests that have to end before this one can run.
[[nodiscard]] double Beyond(std::size_t total, std::size_t slots) {
  return total < slots ? 0 : static_cast<double>(total - slots + 1);
}

// The part of an engine's time that goes into reading.
[[nodiscard]] double Reading(const EngineLoad& load, double more_tokens,
                             const EngineSpeeds& speeds, TimePoint now) {
  const Duration reading =
      ReadingTime(RecentTokens(load, now) + more_tokens, speeds);
  return std::min(1.0, Ratio(reading, kReadingWindow) * load.slowness);
}

// Steps between chunks of prompts take as long as the chunk; others do not.
[[nodiscard]] Duration GenerationTime(double tokens, double reading,
                                      const EngineSpeeds& speeds,
                                      double slowness) {
  const Duration slow = speeds.step + ReadingTime(speeds.chunk_tokens, speeds);
  const double steps_per_ns =
      (1 - reading) / static_cast<double>(speeds.step.count()) +
      reading / static_cast<double>(slow.count());
  return Duration(static_cast<Duration::rep>(tokens / steps_per_ns * slowness));
}

[[nodiscard]] Expectation ExpectOfPlain(const EngineLoad& load,
                                        const LoadQuestion& question,
                                        const EngineSpeeds& speeds,
                                        std::size_t total) {
  const Duration service = load.service_time == Duration::zero()
                               ? speeds.plain_service
                               : load.service_time;
  const auto width = static_cast<double>(question.slots);
  const double queue = Beyond(total, question.slots) / width;
  // A part of it below the slots, so that the least loaded one is chosen.
  const double share = static_cast<double>(total) / width;
  Expectation expectation;
  expectation.start = Scaled(service, queue + share / width);
  expectation.end = expectation.start + service;
  return expectation;
}

}  // namespace

Duration ReadingTime(double tokens, const EngineSpeeds& speeds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(
          tokens / std::max(1.0, speeds.prompt_tokens_per_ms)));
}

void LearnLoad(EngineLoad& load, const LoadReport& report, std::size_t own,
               TimePoint now) {
  load.report = report;
  load.own_at_report = own;
  load.reported_at = now;
}

void LearnForeign(EngineLoad& load, const InstanceId& instance,
                  const ForeignLoad& foreign, double sent_tokens,
                  TimePoint now) {
  load.foreign[instance] = foreign;
  AddRecent(load, sent_tokens, now);
}

void LearnStart(EngineLoad& load, Duration expected, Duration taken) {
  if (expected < kShortestLesson) {
    return;
  }
  const double seen = std::clamp(load.slowness * Ratio(taken, expected),
                                 kLeastSlowness, kMostSlowness);
  ++load.lessons;
  // What was assumed before counts as one observation.
  const double weight = std::max(kSmoothing, 1.0 / (load.lessons + 1));
  load.slowness += weight * (seen - load.slowness);
}

void LearnService(EngineLoad& load, Duration taken) {
  const LoadReport& report = load.report;
  const double queued =
      static_cast<double>(report.waiting) /
      static_cast<double>(std::max<std::size_t>(1, report.slots));
  const Duration served = Scaled(taken, 1 / (1 + queued));
  if (load.service_time == Duration::zero()) {
    load.service_time = served;
    return;
  }
  load.service_time += Scaled(served - load.service_time, kSmoothing);
}

void CountPrompt(EngineLoad& load, double tokens, TimePoint now) {
  load.unread_tokens += tokens;
  load.untold_tokens += tokens;
  AddRecent(load, tokens, now);
}

OthersLoad Others(const EngineLoad& load, bool engine, TimePoint now) {
  OthersLoad others;
  bool told = false;
  for (const auto& [instance, foreign] : load.foreign) {
    if (now - foreign.told_at <= kReportLife) {
      told = true;
      others.in_flight += foreign.in_flight;
      others.unread_tokens += foreign.unread_tokens;
    }
  }
  const bool reported =
      load.reported_at != TimePoint{} && now - load.reported_at <= kReportLife;
  const bool newest = !engine && now - load.reported_at <= kNewReport;
  if (!reported || (told && !newest)) {
    return others;
  }
  others = OthersLoad{};
  const std::size_t all = load.report.running + load.report.waiting;
  others.in_flight = all - std::min(all, load.own_at_report);
  const std::size_t waiting = std::min(others.in_flight, load.report.waiting);
  others.unread_tokens = static_cast<double>(waiting) * kForeignPromptTokens;
  return others;
}

Expectation Expect(const EngineLoad& load, const LoadQuestion& question,
                   const EngineSpeeds& speeds, TimePoint now) {
  const OthersLoad others = Others(load, question.engine, now);
  const std::size_t total = question.in_flight + others.in_flight;
  LoadQuestion asked = question;
  asked.slots = std::max<std::size_t>(1, question.slots);
  if (!question.engine) {
    return ExpectOfPlain(load, asked, speeds, total);
  }
  const double queue =
      load.unread_tokens + others.unread_tokens + question.prompt_tokens;
  const Duration reading = speeds.first_token + ReadingTime(queue, speeds);
  const double beyond = Beyond(total, asked.slots);
  Expectation expectation;
  expectation.start =
      Scaled(reading, load.slowness) +
      Scaled(kGeneration, beyond / static_cast<double>(asked.slots));
  expectation.reading = Reading(load, question.prompt_tokens, speeds, now);
  expectation.end = expectation.start + GenerationTime(question.output_tokens,
                                                       expectation.reading,
                                                       speeds, load.slowness);
  return expectation;
}

}  // namespace mimosagauge
