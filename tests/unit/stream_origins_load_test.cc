// What it costs to tell other instances which software version began each
// stream, and that streams of a lost region are resumed.

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstdint>
#include <set>
#include <string>

#include "mimosagauge/impl/decisions/gateway.h"
#include "tests/support/stream_fleet.h"

namespace mimosagauge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::BegunStream;
using testing::StreamFleet;
using testing::StreamNode;

struct Load {
  std::size_t per_region;   // Instances.
  std::size_t resumptions;  // Streams of the lost region that are resumed.
};

// Begins 5 streams a second at each instance of both home regions.
void BeginStreams(StreamFleet& fleet, Duration duration) {
  constexpr Duration kInterval = milliseconds(200);
  constexpr Duration kDeadline = seconds(8);
  for (const TimePoint end = fleet.now() + duration; fleet.now() < end;) {
    for (std::size_t i = 0; i < fleet.nodes().size(); ++i) {
      if (fleet.nodes()[i].region != "kisumu") {
        fleet.Begin(i, kDeadline);
      }
    }
    fleet.Run(kInterval);
  }
}

struct Cost {
  double told = 0;             // Origins sent, for each stream.
  double messages = 0;         // For each stream.
  double bytes = 0;            // For each stream, sent.
  double bytes_elsewhere = 0;  // For each stream, to other regions.
  double busiest = 0;          // Bytes a second, sent and received.
};

[[nodiscard]] Cost MeasuredCost(StreamFleet& fleet, Duration duration) {
  Cost cost;
  for (StreamNode& node : fleet.nodes()) {
    cost.told +=
        static_cast<double>(node.world->gateway().metrics.streams.told);
    cost.messages += static_cast<double>(node.messages);
    cost.bytes += static_cast<double>(node.bytes) / 2;
    cost.bytes_elsewhere += static_cast<double>(node.bytes_elsewhere);
    cost.busiest = std::max(
        cost.busiest, static_cast<double>(node.bytes) /
                          std::chrono::duration<double>(duration).count());
  }
  const auto streams = static_cast<double>(fleet.begun().size());
  cost.told /= streams;
  cost.messages /= streams;
  cost.bytes /= streams;
  cost.bytes_elsewhere /= streams;
  return cost;
}

void CheckLostRegion(const Load& load) {
  CAPTURE(load.per_region);
  StreamFleet fleet(load.per_region);
  constexpr Duration kDuration = seconds(2);
  BeginStreams(fleet, kDuration);
  const Cost cost = MeasuredCost(fleet, kDuration);
  CAPTURE(cost.told, cost.messages, cost.bytes, cost.bytes_elsewhere,
          cost.busiest);
  WARN(load.per_region * 3 << " instances, for each stream: " << cost.told
                           << " origins told, " << cost.messages
                           << " messages, " << cost.bytes << " bytes, "
                           << cost.bytes_elsewhere
                           << " of them between regions; busiest instance "
                           << cost.busiest << " bytes/s");
  // What an instance may use for control, of which this is a part.
  constexpr double kControlBytesPerSecond = 9000;
  CHECK(cost.busiest < kControlBytesPerSecond);
  // The cost of a stream does not grow with the number of instances: two of its
  // region, and of each other one an instance that passes it on to one more.
  CHECK(cost.told <= 6);

  // The last streams are known elsewhere after this time.
  fleet.Run(milliseconds(250));
  fleet.LoseRegion("nairobi");
  std::set<std::string> versions;
  std::size_t resumed = 0;
  for (const BegunStream& stream : fleet.begun()) {
    if (stream.region != "nairobi" || resumed == load.resumptions) {
      continue;
    }
    ++resumed;
    const std::size_t node = load.per_region + resumed % load.per_region;
    CAPTURE(stream.id);
    CHECK(fleet.Resume(node, stream) == stream.version);
    versions.insert(stream.version);
  }
  CHECK(resumed == load.resumptions);
  CHECK(versions.size() == 2);
}

// Guards against: streams of a lost region that nobody can resume (review/8),
// and a cost that grows with the number of instances.
TEST_CASE("streams of a lost region are resumed by 30 and 99 instances") {
  const Load load = GENERATE(Load{10, 30}, Load{33, 10});
  CheckLostRegion(load);
}

// By hand, as it takes a while.
TEST_CASE("streams of a lost region are resumed by 300 instances", "[.]") {
  CheckLostRegion({100, 10});
}

}  // namespace
}  // namespace mimosagauge
