// One attempt at an upstream: a request written, an answer read.

#ifndef MIMOSAGAUGE_IMPL_DUTIES_UPSTREAMS_ATTEMPT_H_
#define MIMOSAGAUGE_IMPL_DUTIES_UPSTREAMS_ATTEMPT_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "mimosagauge/impl/decisions/effects.h"
#include "mimosagauge/impl/duties/common/growing_body.h"
#include "mimosagauge/impl/duties/upstreams/event_stream.h"

namespace mimosagauge::detail {

class UpstreamPool;
class UpstreamServer;

/// \brief An attempt in progress. All on the duty's thread.
///
/// It ends with exactly one of `AttemptEnded` and `AttemptFailed`, or with
/// neither once it was cancelled; nothing is posted after that.
class UpstreamAttempt : public std::enable_shared_from_this<UpstreamAttempt> {
 public:
  using Clock = std::chrono::steady_clock;

  /// \param server Outlives the attempt.
  UpstreamAttempt(StartUpstreamAttempt start, UpstreamServer& server,
                  std::shared_ptr<UpstreamPool> pool);

  void Start();
  /// \brief Lets more body bytes through.
  void Credit(Bytes bytes);
  /// \brief Closes the connection and says nothing more.
  void Cancel();
  void CheckDeadline(Clock::time_point now);

 private:
  enum class Phase : std::uint8_t { kConnecting, kExchanging, kOver };
  using Parser = boost::beast::http::response_parser<GrowingBody>;

  void Connect();
  void OnConnected(const boost::system::error_code& error);
  void BeginExchange();
  void WriteSome();
  void OnWritten(const boost::system::error_code& error, std::size_t size);
  void WaitReadable();
  void OnReadable();
  void OnClosed(const boost::system::error_code& reason);
  void NewParser();
  [[nodiscard]] bool Parse();
  [[nodiscard]] bool ParseHead();
  [[nodiscard]] bool ParseBody();
  [[nodiscard]] bool TakeHead();
  void Deliver();
  void DeliverEvents();
  void DeliverBytes();
  void Post(std::string data, std::optional<std::string> last_event_id);
  void FinishIfDelivered();
  void Finish();
  [[nodiscard]] bool CheckStreamEnd();
  [[nodiscard]] bool Delivered() const;
  [[nodiscard]] RunState KnownRun() const noexcept;
  void ExpectProgress();
  void Fail(ErrorKind kind, std::string message, std::string remedy);
  void FailAs(RunState run, ErrorKind kind, std::string message,
              std::string remedy);
  void Close();

  StartUpstreamAttempt start_;
  UpstreamServer& server_;
  std::shared_ptr<UpstreamPool> pool_;  // Never null.
  boost::asio::ip::tcp::socket socket_;
  std::string header_;                // Of the request; freed once written.
  std::size_t written_ = 0;           // Of header and body.
  boost::beast::flat_buffer buffer_;  // Read and not yet parsed.
  std::unique_ptr<Parser> parser_;
  EventSplitter events_;     // Of an event stream's body.
  std::string body_;         // Of another body, not yet passed on.
  std::int64_t credit_ = 0;  // Negative after an event larger than it.
  std::optional<Clock::time_point> deadline_;
  Clock::time_point due_;
  std::optional<Duration> idle_timeout_;  // Of the connection, as told.
  int interim_heads_ = 0;
  Phase phase_ = Phase::kConnecting;
  bool write_begun_ = false;   // The kernel may have been given bytes.
  bool write_done_ = false;    // All of the request was written.
  bool watching_ = false;      // A wait for readability is pending.
  bool answered_ = false;      // `AttemptAnswered` was posted.
  bool event_stream_ = false;  // The answer's body is cut at its events.
  bool misdirected_ = false;   // Another upstream has the address.
  bool whole_ = false;         // The parser has seen the end of the answer.
};

}  // namespace mimosagauge::detail

#endif  // MIMOSAGAUGE_IMPL_DUTIES_UPSTREAMS_ATTEMPT_H_
