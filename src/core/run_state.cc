// Texts of the run states.

#include "mimosagauge/impl/core/run_state.h"

namespace mimosagauge {

std::string_view ToString(RunState state) noexcept {
  switch (state) {
    case RunState::kNotRun:
      return "not_run";
    case RunState::kUnknown:
      return "unknown";
    case RunState::kRan:
      return "ran";
  }
  return "unknown";
}

}  // namespace mimosagauge
