// An attempt to run a request at an upstream: writes the request and reads the
// answer.

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
#include <string_view>

#include "mimosagauge/impl/decisions/effects.h"
#include "mimosagauge/impl/duties/common/growing_body.h"
#include "mimosagauge/impl/duties/upstreams/event_stream.h"

namespace mimosagauge::detail {

class UpstreamPool;
class UpstreamServer;

/// \brief An attempt in progress. All members run on the duty's thread.
///
/// An attempt posts exactly one of `AttemptEnded` and `AttemptFailed` as its
/// last event. After it was cancelled it posts nothing more.
class UpstreamAttempt : public std::enable_shared_from_this<UpstreamAttempt> {
 public:
  using Clock = std::chrono::steady_clock;

  /// \param server Must outlive the attempt.
  UpstreamAttempt(StartUpstreamAttempt start, UpstreamServer& server,
                  std::shared_ptr<UpstreamPool> pool);

  void Start();
  /// \brief Allows more body bytes of the answer to be posted (flow control).
  void AddCredit(Bytes bytes);
  /// \brief Closes the connection; no further events are posted.
  void Cancel();
  /// \brief Fails the attempt if its current deadline has passed.
  void CheckDeadline(Clock::time_point now);

 private:
  enum class Phase : std::uint8_t { kConnecting, kExchanging, kFinished };
  using Parser = boost::beast::http::response_parser<GrowingBody>;

  void Connect();
  void OnConnected(const boost::system::error_code& error);
  void BeginExchange();
  void WriteSome();
  void OnWritten(const boost::system::error_code& error, std::size_t size);
  void WaitReadable();
  void OnReadable();
  void OnClosed(const boost::system::error_code& reason);
  void ResetParser();
  [[nodiscard]] bool Parse();
  [[nodiscard]] bool ParseHead();
  [[nodiscard]] bool ParseBody();
  [[nodiscard]] bool ProcessHead();
  void Deliver();
  void DeliverEvents();
  void DeliverBytes();
  void PostBody(std::string data, std::optional<std::string> last_event_id);
  void FinishIfDelivered();
  void Finish();
  [[nodiscard]] bool CheckStreamEnd();
  [[nodiscard]] bool AllDelivered() const;
  [[nodiscard]] RunState RunStateOnFailure() const noexcept;
  [[nodiscard]] bool AppendEvents(std::string_view bytes);
  void AppendBody(std::string_view bytes);
  void RestartProgressPeriod();
  void RestartProgressTimeout();
  void Fail(ErrorKind kind, std::string message, std::string remedy);
  void FailWithRunState(RunState run, ErrorKind kind, std::string message,
                        std::string remedy);
  void Close();

  StartUpstreamAttempt start_effect_;
  UpstreamServer& server_;
  std::shared_ptr<UpstreamPool> pool_;  // Never null.
  boost::asio::ip::tcp::socket socket_;
  std::string header_;             // Header of the request; freed once written.
  std::size_t written_bytes_ = 0;  // Written so far, header and body.
  boost::beast::flat_buffer buffer_;  // Bytes read but not yet parsed.
  std::unique_ptr<Parser> parser_;
  EventSplitter event_splitter_;  // Body of an answer with server-sent events.
  std::string undelivered_body_;  // Body of any other answer, not yet posted.
  // Body bytes that may be posted. Negative after an event that was larger
  // than the credit, since events are posted whole.
  std::int64_t credit_ = 0;
  std::optional<Clock::time_point> deadline_;
  Clock::time_point answer_due_;
  // Time by which an answer that has begun has to make progress: another event,
  // or `kMinBodyProgress` bytes of another body. Not before `answer_due_`.
  Clock::time_point progress_due_;
  std::size_t bytes_without_progress_ = 0;  // Of the body.
  // Time after which the upstream closes an idle connection, as announced in
  // the answer; none if it announced no time.
  std::optional<Duration> idle_timeout_;
  std::optional<double> rate_limit_;  // Named in the head of the answer.
  UpstreamSignals signals_;           // Likewise.
  int interim_answers_ = 0;           // Number of answers with a 1xx status.
  Phase phase_ = Phase::kConnecting;
  bool write_started_ = false;  // Bytes may have been passed to the kernel.
  // The upstream has ended the connection while the request is still written;
  // nothing more is read.
  bool end_received_ = false;
  bool write_done_ = false;          // The whole request was written.
  bool read_wait_pending_ = false;   // A wait for readability is pending.
  bool head_posted_ = false;         // `AttemptHeadReceived` was posted.
  bool event_stream_ = false;        // The body is posted in whole events.
  bool connection_reused_ = false;   // It has carried other requests before.
  bool misdirected_ = false;         // The address belongs to another upstream.
  bool connection_refused_ = false;  // No process listens at the address.
  bool answer_complete_ = false;  // The parser reached the end of the answer.
};

}  // namespace mimosagauge::detail

#endif  // MIMOSAGAUGE_IMPL_DUTIES_UPSTREAMS_ATTEMPT_H_
