// Whether a request has been run by an upstream, as far as this process knows.

#ifndef MIMOSAGAUGE_IMPL_CORE_RUN_STATE_H_
#define MIMOSAGAUGE_IMPL_CORE_RUN_STATE_H_

#include <cstdint>
#include <string_view>

namespace mimosagauge {

/// \brief Knowledge about a request's execution. It only moves forward:
/// once a request may have run, nothing makes it "not run" again.
enum class RunState : std::uint8_t {
  kNotRun,   ///< No upstream was given the request: a promise.
  kUnknown,  ///< An upstream may have been given the request.
  kRan,      ///< An upstream answered it.
};

/// \returns The state as problem documents spell it.
[[nodiscard]] std::string_view ToString(RunState state) noexcept;

/// \returns The state that holds after learning `b` beside `a`.
[[nodiscard]] constexpr RunState Join(RunState a, RunState b) noexcept {
  return a < b ? b : a;
}

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_CORE_RUN_STATE_H_
