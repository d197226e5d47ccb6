// A region of gateways with coordinated placement and simulated engines, driven
// by a clock of its own. Messages between instances are encoded, delayed,
// lost or held as the test says.

#ifndef TESTS_SUPPORT_PLACEMENT_REGION_H_
#define TESTS_SUPPORT_PLACEMENT_REGION_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "mimosagauge/impl/decisions/gateway.h"

namespace mimosagauge::testing {

/// \brief Size and timing of the region.
struct PlacementRegionSettings {
  std::size_t instances = 3;
  std::size_t engines = 4;
  std::size_t slots = 12;
  std::size_t engine_queue = 36;  ///< Requests that an engine holds beyond.
  double prompt_tokens_per_ms = 93;
  Duration step = std::chrono::microseconds(3290);  ///< For one token.
  Duration min_delay = std::chrono::microseconds(500);
  Duration max_delay = std::chrono::microseconds(5400);
  PlacementMode mode = PlacementMode::kAlways;
  std::uint64_t seed = 1;
};

/// \brief A request's course, as its caller and the engines saw it.
struct PlacementCourse {
  std::size_t instance = 0;
  std::uint8_t priority = 0;
  TimePoint sent{};
  std::size_t runs = 0;                  ///< Engines that took it on.
  std::size_t starts = 0;                ///< Attempts started at engines.
  std::optional<TimePoint> first_start;  ///< Of the first attempt.
  std::optional<TimePoint> begun;
  std::optional<TimePoint> done;
  std::optional<TimePoint> refused;
  std::optional<Duration> retry_after;
};

/// \brief The region. Instances are `one-0`, `one-1` ...; engines `e-0` ...
class PlacementRegion {
 public:
  explicit PlacementRegion(const PlacementRegionSettings& settings);

  /// \brief Sends a request to an instance. A long one has 13,300 shared and
  /// 3,720 own prompt tokens, a short one 92 and 291.
  /// \returns Its position in `courses`.
  std::size_t Send(std::size_t instance, bool is_long,
                   std::uint64_t shared_part = 1);
  /// \brief Lets time pass.
  void Run(Duration duration);
  /// \brief Runs `action` after a time.
  void After(Duration delay, std::function<void()> action);

  /// \brief Ends the instance's process; links notice after `notice`, or never
  /// if that is empty.
  void Kill(std::size_t instance, std::optional<Duration> notice);
  /// \brief Starts a killed instance again, with a new process.
  void Restart(std::size_t instance);
  /// \brief Holds everything that the instance would do, until `Resume`.
  void Freeze(std::size_t instance);
  void Resume(std::size_t instance);
  /// \brief Loses all messages from one instance to another.
  void Block(std::size_t from, std::size_t to, bool blocked);
  /// \brief Sets the fraction of messages about placement that are lost.
  void Lose(double fraction) { loss_ = fraction; }

  /// \returns The instance that `asker` has as coordinator; empty: none.
  [[nodiscard]] std::optional<std::size_t> CoordinatorOf(std::size_t asker);
  [[nodiscard]] Gateway& gateway(std::size_t instance) {
    return instances_.at(instance).gateway;
  }
  [[nodiscard]] bool is_dead(std::size_t instance) const {
    return instances_.at(instance).dead;
  }
  [[nodiscard]] const std::vector<PlacementCourse>& courses() const {
    return courses_;
  }
  [[nodiscard]] TimePoint now() const noexcept { return now_; }
  /// \returns Attempts that arrived at engines, and those refused as full.
  [[nodiscard]] std::size_t arrivals() const noexcept { return arrivals_; }
  [[nodiscard]] std::size_t refusals() const noexcept { return refusals_; }
  /// \returns Tokens of long shared parts that engines have read, and the
  /// tokens of each such part once.
  [[nodiscard]] std::uint64_t shared_tokens_read() const noexcept {
    return shared_read_;
  }
  [[nodiscard]] std::uint64_t shared_tokens_minimum() const noexcept {
    return 13300U * parts_.size();
  }
  /// \returns Messages about placement that an instance sent and received, and
  /// their bytes.
  [[nodiscard]] std::pair<std::size_t, std::size_t> Traffic(
      std::size_t instance) const {
    return traffic_.at(instance);
  }

 private:
  struct Instance {
    Gateway gateway;
    bool dead = false;
    bool frozen = false;
    std::uint64_t process = 0;  // Events for earlier ones are dropped.
    std::deque<Event> held;     // While frozen.
    std::uint64_t next_number = 2;
    std::map<RequestNumber, std::size_t> courses;
    std::map<AttemptNumber, std::size_t> attempts;
  };
  struct Job {
    std::size_t instance = 0;
    std::uint64_t process = 0;
    AttemptNumber attempt;
    std::size_t course = 0;
    RequestHeadPtr head;
  };
  // The connection of an attempt: instance, process and attempt.
  using JobKey = std::tuple<std::size_t, std::uint64_t, AttemptNumber>;
  struct Engine {
    std::set<JobKey> running;
    std::deque<Job> queue;
    TimePoint reading_until{};
    Duration stalled{};  // Time for which reading has held up generation.
    std::set<std::uint64_t> cached;
    std::set<JobKey> cancelled;
  };
  [[nodiscard]] Gateway MakeInstance(std::size_t index);
  void Connect(std::size_t index);
  void Give(std::size_t index, Event event);
  void Execute(std::size_t index, Effect&& effect);
  void Execute(std::size_t index, UpstreamEffect&& effect);
  void Execute(std::size_t index, CallerEffect&& effect);
  void Execute(std::size_t index, LinkEffect&& effect);
  void Arrive(std::size_t engine, Job&& job);
  void Begin(std::size_t engine, Job&& job);
  void End(std::size_t engine, const Job& job, Duration stalled);
  void Cancel(std::size_t engine, const JobKey& key);
  void StartQueued(std::size_t engine);
  [[nodiscard]] static JobKey KeyOf(const Job& job);
  void Post(const Job& job, Event event);
  void Tick(std::size_t index);
  [[nodiscard]] Duration Delay();
  [[nodiscard]] Duration Ordered(std::size_t from, std::size_t to);

  PlacementRegionSettings settings_;
  TimePoint now_{std::chrono::seconds(1000)};
  std::mt19937_64 random_;
  std::multimap<TimePoint, std::function<void()>> agenda_;
  std::vector<Instance> instances_;
  std::vector<Engine> engines_;
  std::vector<PlacementCourse> courses_;
  std::map<std::pair<std::size_t, std::size_t>, TimePoint> last_delivery_;
  std::set<std::pair<std::size_t, std::size_t>> blocked_;
  std::vector<std::pair<std::size_t, std::size_t>> traffic_;
  std::set<std::uint64_t> parts_;
  std::uint64_t shared_read_ = 0;
  std::size_t arrivals_ = 0;
  std::size_t refusals_ = 0;
  double loss_ = 0;
};

}  // namespace mimosagauge::testing

#endif  // TESTS_SUPPORT_PLACEMENT_REGION_H_
