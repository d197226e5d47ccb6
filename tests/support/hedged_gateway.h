// A gateway whose settings ask for hedged requests, with the usual times of its
// services learned.

#ifndef TESTS_SUPPORT_HEDGED_GATEWAY_H_
#define TESTS_SUPPORT_HEDGED_GATEWAY_H_

#include <string>
#include <utility>
#include <vector>

#include "tests/support/fleet_gateway.h"

namespace mimosagauge::testing {

/// \brief `FleetGateway` with hedging of 5% after the 95th percentile, and
/// three upstreams of each service that have answered requests in 20 ms.
class HedgedGateway : public FleetGateway {
 public:
  HedgedGateway() {
    gateway().config.limits.hedging = {0.05, 0.95,
                                       std::chrono::milliseconds(50)};
    for (const char* number : {"1", "2", "3"}) {
      Upstream(std::string("desk-") + number, "desk");
      Upstream(std::string("engine-") + number, "engines");
    }
    for (const char* path : {"/status/1", "/size/1"}) {
      for (int i = 0; i < kRequests; ++i) {
        FleetRequest request;
        request.path = path;
        const auto effects = Request(request).second;
        Pass(std::chrono::milliseconds(20));
        const AttemptNumber attempt =
            Find<StartUpstreamAttempt>(effects)->attempt;
        Answer(attempt, 200, true);
        Give(AttemptEnded{attempt});
      }
    }
  }

  /// \brief Sends a request that is hedged at once when the time by which it is
  /// late has passed.
  /// \returns What its first attempt and what its hedge led to; the second is
  /// empty where there was none.
  std::pair<std::vector<Effect>, std::vector<Effect>> RequestLate(
      const FleetRequest& request) {
    auto first = Request(request).second;
    return {std::move(first), Pass(kLate)};
  }

  /// \returns How often a check of the service gave this reason.
  [[nodiscard]] std::uint64_t Blocked(const std::string& service,
                                      HedgeBlock reason) {
    auto& blocked =
        gateway().metrics.services[ServiceId{service}].hedges.blocked;
    return blocked[std::string(ToString(reason))];
  }

  /// Later than any answer was.
  static constexpr Duration kLate = std::chrono::milliseconds(60);

 private:
  static constexpr int kRequests = 60;
};

}  // namespace mimosagauge::testing

#endif  // TESTS_SUPPORT_HEDGED_GATEWAY_H_
