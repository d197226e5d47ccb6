// Connections to the key-value service and the calls that use them.

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
#include "mimosagauge/impl/store/store_client.h"

namespace mimosagauge::detail {

/// \brief A connection and whose it is.
struct StoreConnection {
  boost::beast::tcp_stream stream;
  std::size_t endpoint = 0;  ///< Index into the settings' endpoints.
  std::chrono::steady_clock::time_point idle_since;
};
using StoreConnectionPtr = std::unique_ptr<StoreConnection>;

/// \brief What a call asks, and whether asking twice does harm.
struct StoreRequest {
  StoreHttpCall call;
  bool repeatable = false;
  Duration wait{};  ///< The service holds the call that long before it answers.
};

class StoreCall;

/// \brief The shared part of a client: idle connections, calls in progress.
class StoreConnections : public std::enable_shared_from_this<StoreConnections> {
 public:
  using AnswerHandler = std::function<void(Result<StoreAnswer>&&)>;

  StoreConnections(boost::asio::io_context& io_context,
                   StoreClientSettings settings);

  /// \brief Sends a request; the handler gets the answer's body.
  void Call(StoreRequest request, AnswerHandler handler);
  /// \brief Ends all calls without their handlers.
  void Stop();

  /// \returns An idle connection, or null.
  [[nodiscard]] StoreConnectionPtr TakeIdle();
  /// \brief Keeps a connection for the next call.
  void PutIdle(StoreConnectionPtr connection);
  /// \brief Drops idle connections to an endpoint that has failed, and makes
  /// the next one the first choice.
  void MarkFailed(std::size_t endpoint);
  /// \brief A call has ended; the next one may begin.
  void Finish(const std::shared_ptr<StoreCall>& call);

  [[nodiscard]] boost::asio::io_context& io_context() noexcept {
    return io_context_;
  }
  [[nodiscard]] const StoreClientSettings& settings() const noexcept {
    return settings_;
  }
  [[nodiscard]] std::minstd_rand& random() noexcept { return random_; }
  /// \returns Index of the endpoint to connect to.
  [[nodiscard]] std::size_t preferred() const noexcept { return preferred_; }

 private:
  void BeginWaiting();

  boost::asio::io_context& io_context_;
  StoreClientSettings settings_;
  std::minstd_rand random_;
  std::size_t preferred_ = 0;
  std::deque<StoreConnectionPtr> idle_;  // Used longest ago first.
  std::set<std::shared_ptr<StoreCall>> running_;
  std::deque<std::shared_ptr<StoreCall>> waiting_;
};

}  // namespace mimosagauge::detail

#endif  // MIMOSAGAUGE_SRC_STORE_STORE_CONNECTIONS_H_
