// Callers of the randomized fault soak, and what they hold the system to.

#ifndef TESTS_SUPPORT_SOAK_CALLERS_H_
#define TESTS_SUPPORT_SOAK_CALLERS_H_

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

#include "tests/support/cluster.h"

namespace mimosagauge::testing {

/// \brief One request that may run at most once, and what its caller was told.
struct SoakOrder {
  std::string name;         ///< In the target and, if keyed, the key.
  bool keyed = false;       ///< Sent again, under one key, until it succeeds.
  bool all_not_run = true;  ///< Each answer promised that it was not run.
  bool succeeded = false;
  std::vector<std::string> bodies;  ///< Of the answers that say it succeeded.
};

/// \brief What one caller saw.
struct SoakLog {
  std::vector<SoakOrder> orders;
  std::vector<std::string> broken;  ///< Promises that an answer broke.
  std::size_t answered = 0;         ///< Requests of any kind, with success.
  std::size_t sent = 0;
};

/// \brief Several callers on threads of their own, from construction to `Stop`.
class SoakCallers {
 public:
  SoakCallers(std::vector<Endpoint> entries, std::uint64_t seed);
  ~SoakCallers();
  SoakCallers(const SoakCallers&) = delete;
  SoakCallers& operator=(const SoakCallers&) = delete;

  /// \brief Waits until the callers have had their last answers.
  /// \returns What each of them saw.
  [[nodiscard]] std::vector<SoakLog> Stop();

 private:
  std::vector<Endpoint> entries_;
  std::atomic<bool> stop_{false};
  std::vector<SoakLog> logs_;
  std::vector<std::thread> threads_;
};

/// \returns The promises that the upstreams' own records show broken.
[[nodiscard]] std::vector<std::string> CheckOrders(
    Cluster& cluster, const std::vector<SoakLog>& logs);

}  // namespace mimosagauge::testing

#endif  // TESTS_SUPPORT_SOAK_CALLERS_H_
