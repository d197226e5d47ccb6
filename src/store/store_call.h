// One call of the key-value service, with its tries.

#ifndef MIMOSAGAUGE_SRC_STORE_STORE_CALL_H_
#define MIMOSAGAUGE_SRC_STORE_STORE_CALL_H_

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>

#include "backoff.h"
#include "store_connections.h"

namespace mimosagauge::detail {

/// \brief Tries until answered, out of time, or no further try is safe.
class StoreCall : public std::enable_shared_from_this<StoreCall> {
 public:
  StoreCall(StoreConnections& connections, StoreRequest request,
            StoreConnections::AnswerHandler handler);

  /// \brief Starts the clock; the call may still have to wait.
  void StartClock();
  /// \brief Makes the first try.
  void Begin();
  /// \brief Ends the call without its handler.
  void Abandon();

 private:
  using Clock = std::chrono::steady_clock;
  using ErrorCode = boost::system::error_code;

  void Try();
  void Connect();
  void Write();
  void Read();
  void HandleAnswer();
  void HandleFailure(const ErrorCode& error);
  void TryAgain(Error error);
  void Finish(Result<StoreAnswer> result);
  [[nodiscard]] Duration Remaining() const;
  [[nodiscard]] Error Describe(const ErrorCode& error) const;

  StoreConnections* connections_;  // Null once ended.
  StoreRequest request_;
  StoreConnections::AnswerHandler handler_;
  boost::asio::steady_timer clock_;
  boost::asio::steady_timer pause_;
  Clock::time_point deadline_;
  Backoff backoff_;
  StoreConnectionPtr connection_;
  bool sent_ = false;  // In any try, as far as cannot be ruled out.
  boost::beast::flat_buffer buffer_;
  boost::beast::http::request<boost::beast::http::string_body> message_;
  std::optional<
      boost::beast::http::response_parser<boost::beast::http::string_body>>
      parser_;
};

}  // namespace mimosagauge::detail

#endif  // MIMOSAGAUGE_SRC_STORE_STORE_CALL_H_
