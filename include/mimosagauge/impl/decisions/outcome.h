// Progress of a request's answer and of its run. Both only move forward.

#ifndef MIMOSAGAUGE_IMPL_DECISIONS_OUTCOME_H_
#define MIMOSAGAUGE_IMPL_DECISIONS_OUTCOME_H_

#include <cstdint>

#include "mimosagauge/impl/core/run_state.h"

namespace mimosagauge {

/// \brief Phase of an answer; it only moves forward.
enum class AnswerPhase : std::uint8_t {
  kOpen,       ///< No part of the answer has been sent.
  kAnswering,  ///< The status and header fields have been sent.
  kClosed,     ///< Completed, refused or aborted; no part may follow.
};

/// \brief The phase of a request's answer and whether an upstream ran the
/// request.
struct Outcome {
  AnswerPhase phase = AnswerPhase::kOpen;
  RunState run = RunState::kNotRun;
};

/// \brief Merges the run state of an attempt into that of the request.
constexpr void RecordRunState(Outcome& outcome, RunState run) noexcept {
  outcome.run = Join(outcome.run, run);
}

/// \brief Moves the answer to `phase` if that is a later phase.
/// \returns Whether the phase changed; the answer may be sent only in that
/// case.
[[nodiscard]] constexpr bool Advance(Outcome& outcome,
                                     AnswerPhase phase) noexcept {
  if (phase <= outcome.phase) {
    return false;
  }
  outcome.phase = phase;
  return true;
}

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_OUTCOME_H_
