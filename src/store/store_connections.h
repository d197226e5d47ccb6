// Connections to the key-value service, and the calls that use them.

#ifndef MIMOSAGAUGE_SRC_STORE_STORE_CONNECTIONS_H_
#define MIMOSAGAUGE_SRC_STORE_STORE_CONNECTIONS_H_

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <chrono>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "mimosagauge/impl/core/error.h"
#include "mimosagauge/impl/store/http_connection.h"
#include "mimosagauge/impl/store/store_client.h"

namespace mimosagauge::detail {

/// \brief A connection to one of the endpoints.
struct StoreConnection {
  boost::beast::tcp_stream stream;
  std::size_t endpoint = 0;  ///< Index into the settings' endpoints.
  /// Time of the last call's end; meaningful only while idle.
  std::chrono::steady_clock::time_point idle_since;
};
using StoreConnectionPtr = std::unique_ptr<StoreConnection>;

/// \brief The request of a call, and whether it may be sent more than once.
struct StoreCallRequest {
  StoreHttpRequest call;
  bool repeatable = false;  ///< May be sent again when the outcome is unknown.
  /// How long the service may hold the call before it answers; added to the
  /// time limits.
  Duration server_wait{};
};

class StoreCall;

/// \brief State that the calls and watches of a client share: idle connections,
/// and calls that are waiting or in progress.
class StoreConnections : public std::enable_shared_from_this<StoreConnections> {
 public:
  using AnswerHandler = std::function<void(Result<StoreHttpAnswer>&&)>;

  StoreConnections(boost::asio::io_context& io_context,
                   StoreClientSettings settings);

  /// \brief Starts a call, or queues it until a connection is available. The
  /// handler is called with the answer, or with `kOverloaded` when the queue is
  /// full.
  void StartCall(StoreCallRequest request, AnswerHandler handler);
  /// \brief Ends all calls without calling their handlers.
  void Stop();

  /// \returns The connection that was used last, or null when no idle one is
  /// usable.
  [[nodiscard]] StoreConnectionPtr TakeIdle();
  /// \brief Closes all idle connections.
  void DropIdle();
  /// \brief Keeps an idle connection for the next call.
  void ReturnIdle(StoreConnectionPtr connection);
  /// \brief Closes the idle connections to an endpoint that failed. If it was
  /// the preferred one, the next endpoint becomes the preferred one.
  void MarkEndpointFailed(std::size_t endpoint);
  /// \brief Records the era that an answer states, and reports a restoration of
  /// the service.
  /// \returns False if the answer is from before the last restoration.
  [[nodiscard]] bool RecordEra(StoreEra era);
  [[nodiscard]] StoreEra era() const noexcept { return era_; }
  /// \brief Removes a call that has ended, and starts the next waiting one.
  void RemoveCall(const std::shared_ptr<StoreCall>& call);

  [[nodiscard]] boost::asio::io_context& io_context() noexcept {
    return io_context_;
  }
  [[nodiscard]] const StoreClientSettings& settings() const noexcept {
    return settings_;
  }
  [[nodiscard]] std::minstd_rand& random() noexcept { return random_; }
  /// \returns Index of the endpoint for new connections.
  [[nodiscard]] std::size_t preferred_endpoint() const noexcept {
    return preferred_endpoint_;
  }

 private:
  void StartWaitingCalls();

  boost::asio::io_context& io_context_;
  StoreClientSettings settings_;
  std::minstd_rand random_;
  std::size_t preferred_endpoint_ = 0;
  // The latest era that an answer stated; zero: none did. Never decreases.
  StoreEra era_;
  // Sorted by the time of the last use, the oldest first.
  std::deque<StoreConnectionPtr> idle_connections_;
  std::set<std::shared_ptr<StoreCall>> running_calls_;
  std::deque<std::shared_ptr<StoreCall>> waiting_calls_;
};

}  // namespace mimosagauge::detail

#endif  // MIMOSAGAUGE_SRC_STORE_STORE_CONNECTIONS_H_
