// Waiting for a condition in tests, never for a fixed time.

#ifndef TESTS_SUPPORT_WAIT_H_
#define TESTS_SUPPORT_WAIT_H_

#include <chrono>
#include <functional>

namespace mimosagauge::testing {

/// Long enough for a loaded machine; a condition that holds ends the wait.
inline constexpr std::chrono::seconds kLongestWait{60};

/// \brief Waits until `condition` holds.
/// \returns Whether it held before `longest` was over.
[[nodiscard]] bool WaitUntil(const std::function<bool()>& condition,
                             std::chrono::milliseconds longest = kLongestWait);

}  // namespace mimosagauge::testing

#endif  // TESTS_SUPPORT_WAIT_H_
