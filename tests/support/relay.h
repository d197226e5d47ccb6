// A loopback TCP relay that cuts, delays or silences what passes through it.

#ifndef TESTS_SUPPORT_RELAY_H_
#define TESTS_SUPPORT_RELAY_H_

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>
#include <unordered_set>

#include "mimosagauge/impl/core/endpoint.h"
#include "mimosagauge/impl/core/error.h"

namespace mimosagauge::testing {

/// \brief What happens to bytes in one direction.
enum class RelayMode : std::uint8_t {
  kPass,
  kSilent,  ///< Reads and delivers nothing; the bytes are lost.
  kHold,    ///< Reads nothing, so that the sender's buffers fill.
};

/// \brief Direction of bytes through a relay.
enum class RelayDirection : std::uint8_t { kToTarget, kFromTarget };

/// \brief Relays connections to its target (a port: of 127.0.0.1) on a thread
/// of its own.
///
/// Connections that were silenced stay silent after `Heal`, as when something
/// between the two ends has lost track of them; new ones work.
class Relay {
 public:
  explicit Relay(std::uint16_t target);
  explicit Relay(const Endpoint& target);
  ~Relay();

  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  [[nodiscard]] std::uint16_t port() const noexcept { return port_; }

  /// \brief Applies to open connections and to new ones.
  void Set(RelayDirection direction, RelayMode mode);
  /// \brief Delivers each piece this much later, in order.
  void Delay(RelayDirection direction, std::chrono::milliseconds delay);
  /// \brief Closes all connections with a reset.
  void Cut();
  /// \brief Refuses new connections (or accepts them again).
  void Refuse(bool refuse);
  /// \brief Makes new connections pass without delay. Held ones go on;
  /// silenced ones stay silent.
  void Heal();

  /// \returns Bytes read from the dialling sides, over all connections.
  [[nodiscard]] std::uint64_t bytes_to_target();
  /// \returns Bytes read from the target, over all connections.
  [[nodiscard]] std::uint64_t bytes_from_target();
  /// \returns Connections accepted so far.
  [[nodiscard]] std::uint64_t connections();

  /// \brief Carries out one line: `pass|silent|hold to|from|both`,
  /// `delay to|from|both MILLISECONDS`, `cut`, `refuse on|off`, `heal`,
  /// `count`.
  /// \returns The reply line; `kInvalidInput` for another line.
  [[nodiscard]] Result<std::string> Command(const std::string& line);

 private:
  struct Pipe;
  struct Direction;
  struct State;

  template <typename Act>
  void Run(Act&& act);

  boost::asio::io_context io_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_;
  std::unique_ptr<State> state_;
  std::uint16_t port_ = 0;
  std::thread thread_;
};

}  // namespace mimosagauge::testing

#endif  // TESTS_SUPPORT_RELAY_H_
