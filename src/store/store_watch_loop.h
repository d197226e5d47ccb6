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

/// \brief Keeps one streamed call open, and resumes after the last revision
/// told when it breaks.
class StoreWatchLoop : public std::enable_shared_from_this<StoreWatchLoop> {
 public:
  StoreWatchLoop(std::shared_ptr<StoreConnections> connections,
                 StoreRange range, StoreRevision from,
                 StoreClient::WatchHandler handler);

  void Open();
  void Reopen();
  void Stop();

 private:
  using ErrorCode = boost::system::error_code;
  static constexpr std::size_t kReadBytes = 16UL * 1024;

  // One connection's worth; an old one's handlers find it replaced.
  struct Connection {
    explicit Connection(boost::asio::io_context& io_context)
        : stream(io_context) {}

    boost::beast::tcp_stream stream;
    std::size_t endpoint = 0;
    boost::beast::flat_buffer buffer;
    boost::beast::http::request<boost::beast::http::string_body> request;
    boost::beast::http::response_parser<boost::beast::http::buffer_body> parser;
    std::array<char, kReadBytes> chunk{};
    std::string line;  // Received without its end so far.
  };
  using ConnectionPtr = std::shared_ptr<Connection>;

  void Write(const ConnectionPtr& connection);
  void ReadHead(const ConnectionPtr& connection);
  void ReadBody(const ConnectionPtr& connection);
  void Take(const ConnectionPtr& connection, std::size_t bytes);
  void TakeLine(const std::string& line);
  void Fail();
  [[nodiscard]] bool Current(const ConnectionPtr& connection) const;

  std::shared_ptr<StoreConnections> connections_;
  StoreRange range_;
  StoreRevision next_;  // First revision not told yet; zero: from now on.
  StoreClient::WatchHandler handler_;
  boost::asio::steady_timer pause_;
  Backoff backoff_;
  ConnectionPtr connection_;  // Null while pausing or stopped.
  bool stopped_ = false;
};

}  // namespace mimosagauge::detail

#endif  // MIMOSAGAUGE_SRC_STORE_STORE_WATCH_LOOP_H_
