// A watch of the key-value service that reconnects until it is stopped.

#ifndef MIMOSAGAUGE_SRC_STORE_STORE_WATCH_LOOP_H_
#define MIMOSAGAUGE_SRC_STORE_STORE_WATCH_LOOP_H_

#include <array>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>

#include "backoff.h"
#include "store_connections.h"

namespace mimosagauge::detail {

/// \brief Keeps one streamed call open. After a failure it reconnects and
/// resumes after the last revision reported.
class StoreWatchLoop : public std::enable_shared_from_this<StoreWatchLoop> {
 public:
  StoreWatchLoop(std::shared_ptr<StoreConnections> connections,
                 StoreRange range, StoreRevision from,
                 StoreClient::WatchHandler handler);

  /// \brief Connects and sends the watch's request.
  void Open();
  /// \brief Closes an open connection and connects again after the backoff.
  void Reconnect();
  /// \brief Ends the watch.
  void Stop();

 private:
  using ErrorCode = boost::system::error_code;
  static constexpr std::size_t kChunkBytes = 16UL * 1024;

  // State of one connection. Handlers of a connection that was replaced detect
  // that it is not the current one, and do nothing.
  struct Connection {
    explicit Connection(boost::asio::io_context& io_context)
        : stream(io_context) {}

    boost::beast::tcp_stream stream;
    std::size_t endpoint = 0;
    boost::beast::flat_buffer buffer{kMaxUnparsedBytes};
    boost::beast::http::request<boost::beast::http::string_body> request;
    boost::beast::http::response_parser<boost::beast::http::buffer_body> parser;
    std::array<char, kChunkBytes> chunk{};
    std::string line;  // The part of an incomplete line received so far.
  };
  using ConnectionPtr = std::shared_ptr<Connection>;

  void WriteRequest(const ConnectionPtr& connection);
  void ReadHeader(const ConnectionPtr& connection);
  void ReadChunk(const ConnectionPtr& connection);
  void HandleChunk(const ConnectionPtr& connection, std::size_t bytes);
  void HandleLine(const std::string& line);
  void ScheduleReconnect();
  [[nodiscard]] bool IsCurrent(const ConnectionPtr& connection) const;

  std::shared_ptr<StoreConnections> connections_;
  StoreRange range_;
  // First revision not reported yet; zero: only new changes are reported.
  StoreRevision next_revision_;
  StoreClient::WatchHandler handler_;
  boost::asio::steady_timer reconnect_timer_;
  Backoff backoff_;
  // Null during the backoff and after the watch has ended.
  ConnectionPtr connection_;
  bool stopped_ = false;
};

}  // namespace mimosagauge::detail

#endif  // MIMOSAGAUGE_SRC_STORE_STORE_WATCH_LOOP_H_
