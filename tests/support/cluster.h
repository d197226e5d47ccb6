// Whole systems for process tests: the store, upstreams and instances as
// separate processes on a loopback address of the test's own.

#ifndef TESTS_SUPPORT_CLUSTER_H_
#define TESTS_SUPPORT_CLUSTER_H_

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "mimosagauge/impl/core/endpoint.h"
#include "tests/support/http_client.h"
#include "tests/support/process.h"
#include "tests/support/relay.h"

namespace mimosagauge::testing {

/// \brief What to start.
struct ClusterOptions {
  std::vector<std::string> regions{"nairobi-a", "mombasa-a"};
  std::size_t instances = 2;       ///< In each region.
  std::size_t engines = 2;         ///< In each region.
  std::size_t plain_services = 1;  ///< In each region.
  std::vector<std::string> engine_arguments{"--tokens", "4", "--resume"};
  bool relayed_links = false;  ///< Each instance's links pass a relay.
  std::string rules;           ///< Applied once everything runs; not if empty.
  std::string more_settings;   ///< YAML appended to each instance's settings.
};

/// \brief One process of a cluster.
struct ClusterMember {
  std::string name;
  std::string region;
  Endpoint entry;      ///< For callers; of upstreams their only address.
  Endpoint peer;       ///< Of instances only.
  Endpoint operators;  ///< Of instances only.
  std::vector<std::string> command;
  std::unique_ptr<Process> process;
};

/// \brief A running system.
class Cluster {
 public:
  /// \brief Starts everything and, with rules given, waits until each instance
  /// is ready.
  /// \throws std::runtime_error, with the outputs of all processes, when one
  /// does not come up.
  explicit Cluster(ClusterOptions options);
  ~Cluster();
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  /// \returns Instance `i` of region `r`, both from 0.
  [[nodiscard]] ClusterMember& instance(std::size_t r, std::size_t i);
  [[nodiscard]] ClusterMember& engine(std::size_t r, std::size_t i);
  [[nodiscard]] ClusterMember& plain_service(std::size_t r, std::size_t i);
  [[nodiscard]] ClusterMember& store() noexcept { return store_; }
  /// \returns What the others' links to an instance pass.
  [[nodiscard]] Relay& link_relay(std::size_t r, std::size_t i);

  /// \brief Starts a member's process anew, with the command it had.
  void Start(ClusterMember& member);
  /// \brief Waits until an instance has its links to all others.
  [[nodiscard]] bool WaitForLinks(const ClusterMember& member) const;
  /// \brief Waits until a path of an instance answers 200.
  [[nodiscard]] bool WaitFor(const ClusterMember& member,
                             const std::string& path) const;
  /// \brief Writes the rules through the operators' address of `through`.
  /// \returns The exit code of the command.
  [[nodiscard]] int ApplyRules(const ClusterMember& through,
                               const std::string& rules);
  /// \brief The same without waiting for the command's end.
  [[nodiscard]] std::unique_ptr<Process> BeginApplyRules(
      const ClusterMember& through, const std::string& rules);
  /// \returns The outputs of all processes, for a failing test.
  [[nodiscard]] std::string Outputs() const;

  /// \returns The folder of this cluster's files.
  [[nodiscard]] const std::string& folder() const noexcept { return folder_; }

 private:
  [[nodiscard]] Endpoint NextEndpoint();
  [[nodiscard]] Endpoint LinkAddress(std::size_t instance) const;
  void PlanUpstreams();
  void PlanInstances();
  void WriteSettings(const ClusterMember& member);

  ClusterOptions options_;
  std::string folder_;
  std::string address_;
  std::uint16_t next_port_;
  ClusterMember store_;
  std::vector<ClusterMember> engines_;
  std::vector<ClusterMember> plain_services_;
  std::vector<ClusterMember> instances_;
  std::vector<std::unique_ptr<Relay>>
      link_relays_;  // One an instance, or none.
  std::size_t applied_ = 0;
};

/// Token of the account `school` in each cluster.
inline constexpr const char* kSchoolToken = "school-token";
/// Token of the account `home-club`, whose home is the first region.
inline constexpr const char* kHomeClubToken = "home-club-token";
/// Token of the operators.
inline constexpr const char* kOperatorToken = "operator-token";

/// \returns A chat completion request of the account `school`.
[[nodiscard]] HttpRequest ChatRequest(const std::string& content,
                                      bool stream = true);
/// \returns A request to the plain service `order-desk` of account `school`.
[[nodiscard]] HttpRequest DeskRequest(const std::string& method,
                                      const std::string& path,
                                      const std::string& key = "");
/// \returns The rules that most tests use.
[[nodiscard]] std::string DefaultRules();

}  // namespace mimosagauge::testing

#endif  // TESTS_SUPPORT_CLUSTER_H_
