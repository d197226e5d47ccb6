// Polling for a condition.

#include "tests/support/wait.h"

#include <thread>

namespace mimosagauge::testing {
namespace {

constexpr std::chrono::milliseconds kPollInterval{5};

}  // namespace

bool WaitUntil(const std::function<bool()>& condition,
               std::chrono::milliseconds longest) {
  const auto give_up = std::chrono::steady_clock::now() + longest;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > give_up) {
      return false;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

}  // namespace mimosagauge::testing
