// How far a request's answer has come: a state that only moves one way.

#ifndef MIMOSAGAUGE_IMPL_DECISIONS_OUTCOME_H_
#define MIMOSAGAUGE_IMPL_DECISIONS_OUTCOME_H_

#include <cstdint>

#include "mimosagauge/impl/core/run_state.h"

namespace mimosagauge {

/// \brief Phase of an answer; only moves forward.
enum class AnswerPhase : std::uint8_t {
  kOpen,       ///< Nothing has been sent.
  kAnswering,  ///< Status and fields have been sent.
  kClosed,     ///< Ended, refused or broken off; nothing may follow.
};

/// \brief What has been said about a request and what is known of its run.
struct Outcome {
  AnswerPhase phase = AnswerPhase::kOpen;
  RunState run = RunState::kNotRun;
};

/// \brief Takes note of what an attempt has shown.
constexpr void Learn(Outcome& outcome, RunState run) noexcept {
  outcome.run = Join(outcome.run, run);
}

/// \brief Moves to `phase` when that is forward.
/// \returns Whether it moved; the caller of it sends only then.
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
