// Which processes lend from allowances, with the deploy file's settings.

#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <thread>

#include "tests/support/platform_fleet.h"
#include "tests/support/wait.h"

namespace mimosagauge {
namespace {

using std::chrono::seconds;
using testing::FleetInstance;
using testing::PlatformFleet;
using testing::PlatformFleetOptions;
using testing::WaitUntil;

[[nodiscard]] std::size_t Count(const std::string& text,
                                const std::string& part) {
  std::size_t count = 0;
  for (std::size_t at = text.find(part); at != std::string::npos;
       at = text.find(part, at + part.size())) {
    ++count;
  }
  return count;
}

// Guards against regions without a lender, or with several, after a start, and
// after a restart of all processes over the entries of the earlier ones.
TEST_CASE("one process of each region lends, also after a restart of all") {
  PlatformFleetOptions options;
  options.allowances = true;
  PlatformFleet fleet(options);
  const auto lenders = [&fleet] {
    return Count(fleet.Outputs(), "\"event\":8311");
  };
  CHECK(WaitUntil([&] { return lenders() == options.regions; }, seconds(15)));
  for (FleetInstance& instance : fleet.instances()) {
    fleet.Start(instance);
  }
  const std::size_t before = lenders();
  CHECK(WaitUntil([&] { return lenders() == before + options.regions; },
                  seconds(25)));
  std::this_thread::sleep_for(seconds(3));
  CHECK(lenders() == before + options.regions);
}

}  // namespace
}  // namespace mimosagauge
