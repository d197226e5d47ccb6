// Instances of several regions that exchange the origins of streams over a
// simulated network, without sockets, in simulated time.

#ifndef TESTS_SUPPORT_STREAM_FLEET_H_
#define TESTS_SUPPORT_STREAM_FLEET_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "tests/support/fleet_gateway.h"

namespace mimosagauge::testing {

/// \brief One instance and what it has sent and received about streams.
struct StreamNode {
  std::unique_ptr<FleetGateway> world;
  std::string id;
  std::string region;
  bool running = true;
  std::uint64_t messages = 0;         ///< Sent.
  std::uint64_t bytes = 0;            ///< Sent and received, encoded.
  std::uint64_t bytes_elsewhere = 0;  ///< Sent to other regions, encoded.
};

/// \brief A stream that was begun.
struct BegunStream {
  std::string id;
  std::string region;   ///< Of the instance that began it.
  std::string version;  ///< Software version that began it.
  TimePoint at{};
};

/// \brief The same number of instances in `nairobi`, `mombasa` and `kisumu`,
/// with links as instances ask for them, and two software versions of engines
/// in each region.
class StreamFleet {
 public:
  /// \param per_region Number of instances in each region.
  explicit StreamFleet(std::size_t per_region);

  /// \brief Begins a stream at an instance that runs.
  void Begin(std::size_t node, Duration deadline);
  /// \brief Lets time pass. Messages take 10 ms within a region and 60 ms
  /// between regions.
  void Run(Duration duration);
  /// \brief Kills all instances of a region at once.
  void LoseRegion(const std::string& region);
  /// \brief A caller resumes a stream.
  /// \returns The version at which it goes on; empty: it was refused.
  [[nodiscard]] std::string Resume(std::size_t node, const BegunStream& stream);

  [[nodiscard]] std::vector<StreamNode>& nodes() { return nodes_; }
  [[nodiscard]] const std::vector<BegunStream>& begun() const { return begun_; }
  [[nodiscard]] TimePoint now() const { return now_; }

 private:
  struct Message {
    TimePoint arrives;
    std::size_t from;
    std::size_t to;
    StreamMessage content;
  };

  // Carries out the effects at the instance that matter to streams.
  void Apply(std::size_t from, const std::vector<Effect>& effects);
  void Connect();
  [[nodiscard]] std::size_t Find(const InstanceId& id) const;

  TimePoint now_{std::chrono::seconds(1000)};
  std::vector<StreamNode> nodes_;
  std::vector<Message> under_way_;
  std::vector<BegunStream> begun_;
  std::string resumed_at_;  // Engine of the last attempt that was started.
  std::size_t next_stream_ = 0;
};

}  // namespace mimosagauge::testing

#endif  // TESTS_SUPPORT_STREAM_FLEET_H_
