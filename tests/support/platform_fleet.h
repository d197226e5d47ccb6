// Instances as the deploy file starts them: real processes in the platform's
// dialect, before a stand-in store and stand-in upstreams that record each
// arrival by the request's id.

#ifndef TESTS_SUPPORT_PLATFORM_FLEET_H_
#define TESTS_SUPPORT_PLATFORM_FLEET_H_

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <unordered_map>
#include <vector>

#include "mimosagauge/impl/core/endpoint.h"
#include "tests/support/platform_store.h"
#include "tests/support/process.h"
#include "tests/support/relay.h"
#include "tests/support/standin_server.h"

namespace mimosagauge::testing {

using FleetClock = std::chrono::steady_clock;

/// \brief What a fleet consists of.
struct PlatformFleetOptions {
  std::size_t regions = 3;
  std::size_t instances = 6;             ///< In all regions together.
  std::size_t upstreams_per_region = 2;  ///< Of the one plain service.
  std::size_t attempts = 2;              ///< Of the idempotent route.
  double retry_ratio = 0.2;
  double retry_slack = 52;
  /// Time within which revoked keys are refused; zero: not strict, and no
  /// accounts.
  std::chrono::milliseconds strict_revocation{0};
  bool allowances = false;  ///< Whether the deployment enforces allowances.
};

/// \brief A request that a caller sent, or that reached an upstream.
struct FleetRecord {
  std::string request;
  FleetClock::time_point at;
};

/// \brief What callers sent and what upstreams received, in the order of time.
class FleetJournal {
 public:
  void AddSent(const std::string& request);
  void AddArrival(const std::string& request);
  [[nodiscard]] std::vector<FleetRecord> sent() const;
  [[nodiscard]] std::vector<FleetRecord> arrivals() const;

 private:
  mutable std::mutex mutex_;
  std::vector<FleetRecord> sent_;
  std::vector<FleetRecord> arrivals_;
};

/// \brief The window in which repeats come nearest to their bound, or exceed
/// it.
struct RepeatWindow {
  std::size_t repeats = 0;   ///< Arrivals beyond the first of each request.
  std::size_t requests = 0;  ///< Sent in this window, or in an earlier one that
                             ///< counts instead.
  double allowed = 0;
  double seconds = 0;  ///< Start of the window, from the first request sent.

  [[nodiscard]] double excess() const {
    return static_cast<double>(repeats) - allowed;
  }
};

/// \returns The window of this length with the largest excess. The requests are
/// those of that window, the one before it or the one half a window before it,
/// whichever has most.
[[nodiscard]] RepeatWindow WorstRepeatWindow(const FleetJournal& journal,
                                             double ratio, double slack,
                                             std::chrono::seconds length);

/// \brief A plain service's upstream on a thread of its own, which registers
/// itself in the store.
class FleetUpstream {
 public:
  FleetUpstream(std::string id, std::string zone, PlatformStore& store,
                FleetJournal& journal);
  /// Closes all connections, as a process does that ends.
  ~FleetUpstream();
  FleetUpstream(const FleetUpstream&) = delete;
  FleetUpstream& operator=(const FleetUpstream&) = delete;

  [[nodiscard]] const std::string& id() const noexcept { return id_; }
  [[nodiscard]] const std::string& zone() const noexcept { return zone_; }
  void Register(bool draining = false);
  /// \brief Sets the fraction of requests that get status 500 after a run.
  void SetFailing(double fraction) { failing_ = fraction; }
  /// \brief Sets the fraction of answers that are lost after a run.
  void SetLosing(double fraction) { losing_ = fraction; }
  /// \brief From now on, all answers state that the upstream is leaving.
  void SetLeaving() { leaving_ = true; }
  /// \brief Answers 503 with this Retry-After instead of running requests;
  /// an empty text ends that.
  void SetRetryAfter(const std::string& text);
  /// \returns When requests arrived, in order.
  [[nodiscard]] std::vector<FleetClock::time_point> arrivals() const;
  /// \brief Reads and answers nothing for this long; the kernel goes on
  /// accepting connections.
  void Freeze(std::chrono::milliseconds duration);

 private:
  void Answer(const StandinRequest& request,
              const StandinConnectionPtr& connection);

  std::string id_;
  std::string zone_;
  PlatformStore& store_;
  FleetJournal& journal_;
  boost::asio::io_context io_context_;
  std::unique_ptr<StandinServer> server_;
  std::atomic<double> failing_ = 0;
  std::atomic<double> losing_ = 0;
  std::atomic<bool> leaving_ = false;
  mutable std::mutex mutex_;
  std::string retry_after_;
  std::vector<FleetClock::time_point> arrivals_;
  std::size_t running_ = 0;
  std::minstd_rand random_;
  std::thread thread_;
};

/// \brief One instance and the files of its process.
struct FleetInstance {
  std::string name;
  std::string zone;
  std::string settings;  ///< Path of its settings file.
  Endpoint front;
  Endpoint ready;
  std::unique_ptr<Process> process;  ///< Null: never started.
};

class PlatformFleet {
 public:
  /// \brief Starts everything, and waits until all instances are ready and
  /// linked.
  /// \throws std::runtime_error when an instance does not become ready.
  explicit PlatformFleet(PlatformFleetOptions options);

  [[nodiscard]] const PlatformFleetOptions& options() const noexcept {
    return options_;
  }
  [[nodiscard]] PlatformStore& store() noexcept { return store_; }
  [[nodiscard]] FleetJournal& journal() noexcept { return journal_; }
  [[nodiscard]] std::vector<FleetInstance>& instances() noexcept {
    return instances_;
  }
  [[nodiscard]] std::vector<std::unique_ptr<FleetUpstream>>&
  upstreams() noexcept {
    return upstreams_;
  }
  /// \brief Starts the instance's process, after the end of an earlier one.
  void Start(FleetInstance& instance);
  [[nodiscard]] bool WaitReady(const FleetInstance& instance);
  /// \brief Replaces the upstream by a new process with another id. The entry
  /// of the old one remains until `RemoveEntry`.
  void Replace(std::size_t upstream);
  void RemoveEntry(const std::string& upstream_id);
  /// \brief Writes the operators' configuration.
  /// \param accounts The member `tenants`, as JSON; empty: none.
  void WriteConfiguration(const std::string& accounts);
  /// \returns What the last instance's calls to the store pass through, under
  /// strict revocation.
  [[nodiscard]] Relay& store_relay() { return *store_relay_; }
  /// \returns The status of an idempotent request with the key, sent now.
  [[nodiscard]] int Ask(const FleetInstance& instance, const std::string& key);
  /// \returns What all instances have printed.
  [[nodiscard]] std::string Outputs() const;

 private:
  void WriteSettings(FleetInstance& instance);
  [[nodiscard]] std::string NextUpstreamId();

  PlatformFleetOptions options_;
  std::string folder_;
  std::string address_;
  std::uint16_t next_port_;
  std::vector<std::string> command_;
  FleetJournal journal_;
  PlatformStore store_;
  std::unique_ptr<Relay> store_relay_;
  std::vector<std::unique_ptr<FleetUpstream>> upstreams_;
  std::size_t next_upstream_ = 0;
  std::uint64_t configuration_version_ = 0;
  std::uint64_t next_request_ = 0;
  std::vector<FleetInstance> instances_;
};

/// \brief Callers that send idempotent requests at a constant rate, each over a
/// new connection, from construction to `Stop`.
class FleetCallers {
 public:
  FleetCallers(PlatformFleet& fleet, std::size_t threads,
               std::chrono::milliseconds interval, std::uint64_t seed);
  ~FleetCallers();
  FleetCallers(const FleetCallers&) = delete;
  FleetCallers& operator=(const FleetCallers&) = delete;

  void Stop();
  [[nodiscard]] std::size_t answered() const noexcept { return answered_; }

 private:
  std::atomic<bool> stop_ = false;
  std::atomic<std::size_t> answered_ = 0;
  std::vector<std::thread> threads_;
};

}  // namespace mimosagauge::testing

#endif  // TESTS_SUPPORT_PLATFORM_FLEET_H_
