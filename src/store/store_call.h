// One call to the key-value service, with its retries.

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

/// \brief A call that is attempted until it is answered, its time limit is
/// reached or a further attempt is not safe.
class StoreCall : public std::enable_shared_from_this<StoreCall> {
 public:
  StoreCall(StoreConnections& connections, StoreCallRequest request,
            StoreConnections::AnswerHandler handler);

  /// \brief Starts the timer for the call's deadline. The time that the call
  /// waits for a connection counts.
  void StartDeadlineTimer();
  /// \brief Starts the first attempt.
  void Start();
  /// \brief Ends the call without calling its handler.
  void Abandon();

 private:
  using Clock = std::chrono::steady_clock;
  using ErrorCode = boost::system::error_code;

  void StartAttempt();
  void Connect();
  void WriteRequest();
  void ReadAnswer();
  void HandleAnswer();
  // Handles an answer from before the last restoration of the service.
  void HandleOutdatedAnswer();
  void HandleFailure(const ErrorCode& error);
  void ScheduleRetry(Error error);
  void Finish(Result<StoreHttpAnswer> result);
  [[nodiscard]] Duration RemainingTime() const;
  [[nodiscard]] Error MakeError(const ErrorCode& error) const;

  StoreConnections* connections_;  // Null once the call has ended.
  StoreCallRequest request_;
  StoreConnections::AnswerHandler handler_;
  boost::asio::steady_timer deadline_timer_;
  boost::asio::steady_timer retry_timer_;
  Clock::time_point deadline_;
  Backoff backoff_;
  StoreConnectionPtr connection_;
  // Some of the request may have been sent in an attempt; false: nothing was.
  bool maybe_sent_ = false;
  boost::beast::flat_buffer buffer_{kMaxUnparsedBytes};
  boost::beast::http::request<boost::beast::http::string_body> http_request_;
  std::optional<
      boost::beast::http::response_parser<boost::beast::http::string_body>>
      parser_;
};

}  // namespace mimosagauge::detail

#endif  // MIMOSAGAUGE_SRC_STORE_STORE_CALL_H_
