// The exchange of one request and its answer with an upstream: connection,
// request, head of the answer and outcome.

#include "mimosagauge/impl/duties/upstreams/attempt.h"

#include <fmt/format.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/beast/http/error.hpp>
#include <limits>
#include <utility>
#include <vector>

#include "mimosagauge/impl/core/log_catalogue.h"
#include "mimosagauge/impl/duties/common/http_fields.h"
#include "mimosagauge/impl/duties/common/log.h"
#include "mimosagauge/impl/duties/upstreams/pool.h"
#include "mimosagauge/impl/duties/upstreams/request_text.h"
#include "mimosagauge/impl/duties/upstreams/server.h"
#include "mimosagauge/impl/store/http_connection.h"

namespace mimosagauge::detail {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr std::size_t kReadBytes = 8UL * 1024;
constexpr std::size_t kWriteBytes = 64UL * 1024;
constexpr std::uint32_t kMaxHeadBytes = 64U * 1024;
constexpr int kMaxInterimAnswers = 8;
constexpr unsigned kFirstStatus = 100;
constexpr unsigned kFirstFinalStatus = 200;
constexpr int kKeepAliveProbes = 3;

constexpr const char* kCheckUpstreamLog = "check the upstream's log";
constexpr const char* kMarkTheEnd =
    "configure the upstream to send Content-Length or a chunked body";

// Makes the kernel detect a peer that is unreachable, even while no data is
// sent. `silence`: time without any acknowledgement until the connection fails.
void SetKeepAlive(asio::ip::tcp::socket& socket, Duration silence) {
  const auto seconds = static_cast<int>(
      std::chrono::ceil<std::chrono::seconds>(silence).count());
  const auto milliseconds = static_cast<int>(
      std::chrono::ceil<std::chrono::milliseconds>(silence).count());
  const int interval = std::max(1, seconds / kKeepAliveProbes);
  const int handle = socket.native_handle();
  error_code ignored;
  socket.set_option(asio::socket_base::keep_alive(true), ignored);
  setsockopt(handle, IPPROTO_TCP, TCP_KEEPIDLE, &seconds, sizeof(seconds));
  setsockopt(handle, IPPROTO_TCP, TCP_KEEPINTVL, &interval, sizeof(interval));
  setsockopt(handle, IPPROTO_TCP, TCP_KEEPCNT, &kKeepAliveProbes,
             sizeof(kKeepAliveProbes));
  setsockopt(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds,
             sizeof(milliseconds));
}

// The ids of the first shared parts of the prompt, in hexadecimal.
[[nodiscard]] std::string SharedPartsText(const Prompt& prompt) {
  constexpr std::size_t kMaxParts = 8;
  std::vector<std::string> ids;
  for (std::size_t i = 0; i + 1 < prompt.parts.size() && i < kMaxParts; ++i) {
    ids.push_back(fmt::format("{:x}", prompt.parts[i].id));
  }
  return fmt::format("{}", fmt::join(ids, ","));
}

[[nodiscard]] std::int64_t ToCredit(Bytes bytes) noexcept {
  constexpr std::uint64_t kMaxCredit = std::numeric_limits<std::int32_t>::max();
  return static_cast<std::int64_t>(std::min(bytes.count(), kMaxCredit));
}

}  // namespace

UpstreamAttempt::UpstreamAttempt(StartUpstreamAttempt start,
                                 UpstreamServer& server,
                                 std::shared_ptr<UpstreamPool> pool)
    : start_effect_(std::move(start)),
      server_(server),
      pool_(std::move(pool)),
      socket_(server.io()),
      credit_(ToCredit(start_effect_.credit)),
      answer_due_(Clock::now() + start_effect_.remaining) {}

void UpstreamAttempt::Start() {
  auto idle_socket = pool_->TakeIdleSocket();
  if (idle_socket) {
    socket_ = std::move(*idle_socket);
    connection_reused_ = true;
    BeginExchange();
    return;
  }
  Connect();
}

void UpstreamAttempt::Connect() {
  const Endpoint& endpoint = pool_->settings().endpoint;
  error_code error;
  const auto address = asio::ip::make_address(endpoint.address, error);
  if (error) {
    Fail(ErrorKind::kInvalidSettings,
         "the upstream's address is not an IP address",
         "correct the upstream's address in the settings");
    return;
  }
  const LimitSettings& limits = server_.settings().limits;
  deadline_ = Clock::now() + std::min(limits.silence, limits.connect);
  socket_.async_connect({address, endpoint.port},
                        [self = shared_from_this()](const error_code& failure) {
                          self->OnConnected(failure);
                        });
}

void UpstreamAttempt::OnConnected(const error_code& error) {
  if (phase_ != Phase::kConnecting) {
    return;
  }
  if (error) {
    connection_refused_ = error == asio::error::connection_refused;
    Fail(ErrorKind::kUnavailable,
         "cannot connect to the upstream: " + error.message(),
         "check that the upstream is running");
    return;
  }
  error_code ignored;
  socket_.non_blocking(true, ignored);
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  SetKeepAlive(socket_, server_.settings().limits.unacknowledged);
  BeginExchange();
}

void UpstreamAttempt::BeginExchange() {
  phase_ = Phase::kExchanging;
  header_ = server_.dialect().format_header(start_effect_, pool_->settings());
  ResetParser();
  WriteSome();
  WaitReadable();
}

void UpstreamAttempt::ResetParser() {
  parser_ = std::make_unique<Parser>();
  parser_->header_limit(kMaxHeadBytes);
  parser_->body_limit(std::numeric_limits<std::uint64_t>::max());
  parser_->skip(start_effect_.head->method == "HEAD");
}

void UpstreamAttempt::WriteSome() {
  const std::string_view body = start_effect_.body
                                    ? std::string_view(*start_effect_.body)
                                    : std::string_view();
  const std::size_t body_written =
      written_bytes_ > header_.size() ? written_bytes_ - header_.size() : 0;
  const std::string_view header = std::string_view(header_).substr(
      std::min(written_bytes_, header_.size()));
  const std::array<asio::const_buffer, 2> parts{
      asio::buffer(header),
      asio::buffer(body.substr(body_written, kWriteBytes))};
  RestartProgressTimeout();
  write_started_ = true;
  socket_.async_write_some(
      parts,
      [self = shared_from_this()](const error_code& error, std::size_t size) {
        self->OnWritten(error, size);
      });
}

void UpstreamAttempt::OnWritten(const error_code& error, std::size_t size) {
  if (phase_ != Phase::kExchanging) {
    return;
  }
  written_bytes_ += size;
  if (error) {
    // If the kernel accepted no bytes, the upstream cannot have received any of
    // the request.
    write_started_ = written_bytes_ > 0;
    Fail(ErrorKind::kUnavailable,
         "cannot write the request to the upstream: " + error.message(),
         kCheckUpstreamLog);
    return;
  }
  const std::size_t total =
      header_.size() + (start_effect_.body ? start_effect_.body->size() : 0);
  if (written_bytes_ < total) {
    WriteSome();
    return;
  }
  write_done_ = true;
  header_ = std::string();
  start_effect_.body.reset();
  if (end_received_) {
    return OnClosed(asio::error::eof);
  }
  if (!head_posted_ || credit_ > 0) {
    RestartProgressTimeout();
  }
  FinishIfDelivered();
}

void UpstreamAttempt::RestartProgressTimeout() {
  const Duration silence = server_.settings().limits.silence;
  const auto now = Clock::now();
  // An engine sends nothing until an unstreamed answer is complete, so it may
  // take until the answer is due.
  const bool awaiting_unstreamed_answer =
      write_done_ && !head_posted_ &&
      pool_->settings().kind == UpstreamKind::kEngine &&
      !start_effect_.head->stream;
  deadline_ = awaiting_unstreamed_answer ? std::max(answer_due_, now + silence)
                                         : now + silence;
  if (head_posted_) {
    deadline_ = std::min<Clock::time_point>(*deadline_, progress_due_);
  }
}

// Single bytes or comments keep an answer alive until it is due. After that, it
// has to make progress, or a stalled stream would never end.
void UpstreamAttempt::RestartProgressPeriod() {
  progress_due_ = std::max<Clock::time_point>(
      answer_due_, Clock::now() + server_.settings().limits.silence);
}

void UpstreamAttempt::WaitReadable() {
  if (read_wait_pending_ || end_received_ || phase_ != Phase::kExchanging ||
      (head_posted_ && credit_ <= 0)) {
    return;
  }
  read_wait_pending_ = true;
  socket_.async_wait(asio::socket_base::wait_read,
                     [self = shared_from_this()](const error_code& error) {
                       self->read_wait_pending_ = false;
                       if (!error) {
                         self->OnReadable();
                       }
                     });
}

void UpstreamAttempt::OnReadable() {
  if (phase_ != Phase::kExchanging) {
    return;
  }
  error_code error;
  const std::size_t size =
      socket_.read_some(buffer_.prepare(kReadBytes), error);
  buffer_.commit(size);
  if (error && error != asio::error::would_block) {
    OnClosed(error);
    return;
  }
  if (!Parse()) {
    return;
  }
  if (size > 0) {
    RestartProgressTimeout();
  }
  Deliver();
  WaitReadable();
}

// The upstream closed or reset the connection.
void UpstreamAttempt::OnClosed(const error_code& reason) {
  error_code error;
  if (parser_->is_header_done() && parser_->need_eof()) {
    if (reason == asio::error::eof && !write_done_) {
      // After a reset that a write has reported, reads report the end of the
      // answer as well. Only the rest of the writing shows which it is.
      end_received_ = true;
      return;
    }
    parser_->put_eof(error);
    // A body without a length is known to be complete only by its last event,
    // unless the dialect allows that closing the connection ends it.
    const bool complete =
        server_.dialect().allows_close_delimited_bodies
            ? reason == asio::error::eof
            : event_stream_ && event_splitter_.last_event_was_done();
    if (!error && complete) {
      answer_complete_ = true;
      Deliver();
      return;
    }
    Fail(ErrorKind::kUnknownOutcome,
         "the upstream closed the connection without marking the end of its "
         "answer",
         kMarkTheEnd);
    return;
  }
  Fail(ErrorKind::kUnavailable,
       head_posted_
           ? "the upstream closed the connection before its answer was complete"
           : "the upstream closed the connection without an answer",
       kCheckUpstreamLog);
}

bool UpstreamAttempt::Parse() {
  if (!head_posted_ && !ParseHead()) {
    return false;
  }
  return !head_posted_ || ParseBody();
}

bool UpstreamAttempt::ParseHead() {
  while (!head_posted_ && buffer_.size() > 0) {
    error_code error;
    const std::size_t consumed = parser_->put(buffer_.data(), error);
    buffer_.consume(consumed);
    if (error == http::error::need_more) {
      if (buffer_.size() <= kMaxHeadBytes) {
        return true;
      }
      error = http::error::header_limit;
    }
    if (error) {
      Fail(ErrorKind::kInvalidInput,
           "the upstream's answer is not valid HTTP: " + error.message(),
           kCheckUpstreamLog);
      return false;
    }
    if (parser_->is_header_done() && !ProcessHead()) {
      return false;
    }
  }
  return true;
}

bool UpstreamAttempt::ProcessHead() {
  const http::response_header<>& head = parser_->get().base();
  if (head.result_int() < kFirstStatus) {
    Fail(ErrorKind::kInvalidInput,
         "the status of the upstream's answer is not valid", kCheckUpstreamLog);
    return false;
  }
  if (head.result_int() < kFirstFinalStatus) {
    if (++interim_answers_ > kMaxInterimAnswers || head.result_int() == 101) {
      Fail(ErrorKind::kInvalidInput,
           "the upstream sent too many interim answers or switched protocols",
           kCheckUpstreamLog);
      return false;
    }
    ResetParser();
    return true;
  }
  const AnswerHeadInfo info = server_.dialect().read_head(head, start_effect_);
  idle_timeout_ = info.idle_timeout;
  rate_limit_ = info.rate_limit;
  signals_ = info.signals;
  const bool refused = info.misdirected || info.refused_without_running;
  if (refused && connection_reused_ && !info.names_request) {
    Fail(ErrorKind::kInvalidInput,
         "the refusal does not state the id of the request; it may repeat the "
         "answer to an earlier one on this connection",
         kCheckUpstreamLog);
    return false;
  }
  if (info.misdirected) {
    misdirected_ = true;
    FailWithRunState(RunState::kNotRun, ErrorKind::kNotFound,
                     "the address now belongs to another upstream",
                     "send the request to another upstream");
    return false;
  }
  if (info.refused_without_running) {
    FailWithRunState(RunState::kNotRun, ErrorKind::kOverloaded,
                     "the upstream refused the request without running it",
                     "retry at another upstream, or later");
    return false;
  }
  if (!info.fault.empty()) {
    Fail(ErrorKind::kInvalidInput, info.fault, kCheckUpstreamLog);
    return false;
  }
  AnswerHead answer;
  answer.status = static_cast<std::uint16_t>(head.result_int());
  answer.headers = server_.dialect().fields_for_caller(head);
  event_stream_ = IsEventStream(answer.headers) &&
                  FindField(answer.headers, "Content-Encoding").empty();
  const bool has_end = !parser_->need_eof() || event_stream_ ||
                       server_.dialect().allows_close_delimited_bodies;
  if (!has_end) {
    FailWithRunState(RunState::kRan, ErrorKind::kInvalidInput,
                     "the upstream's answer does not mark the end of its body",
                     kMarkTheEnd);
    return false;
  }
  const auto length = head[http::field::content_length];
  if (!length.empty()) {
    answer.headers.push_back(
        {"Content-Length", std::string(length.data(), length.size())});
  }
  answer.path = start_effect_.head->path;
  answer.path.push_back(
      {server_.settings().region, start_effect_.upstream.value()});
  head_posted_ = true;
  RestartProgressPeriod();
  parser_->eager(true);
  server_.Post(AttemptHeadReceived{start_effect_.attempt, std::move(answer),
                                   info.load, info.rate_limit, info.signals});
  return true;
}

void UpstreamAttempt::Finish() {
  phase_ = Phase::kFinished;
  const bool reusable =
      parser_->keep_alive() && write_done_ && buffer_.size() == 0;
  if (reusable) {
    if (read_wait_pending_) {
      error_code ignored;
      socket_.cancel(ignored);
    }
    pool_->ReturnSocket(std::move(socket_), idle_timeout_);
  }
  server_.Post(AttemptEnded{start_effect_.attempt});
  Close();
}

RunState UpstreamAttempt::RunStateOnFailure() const noexcept {
  if (head_posted_) {
    return RunState::kRan;
  }
  return write_started_ ? RunState::kUnknown : RunState::kNotRun;
}

void UpstreamAttempt::Fail(ErrorKind kind, std::string message,
                           std::string remedy) {
  FailWithRunState(RunStateOnFailure(), kind, std::move(message),
                   std::move(remedy));
}

void UpstreamAttempt::FailWithRunState(RunState run, ErrorKind kind,
                                       std::string message,
                                       std::string remedy) {
  if (phase_ == Phase::kFinished) {
    return;
  }
  phase_ = Phase::kFinished;
  Log(log_events::kAttemptFailed,
      {{"upstream", start_effect_.upstream.value()},
       {"request", start_effect_.head->id.value()},
       {"run", std::string(ToString(run))},
       {"parts", SharedPartsText(start_effect_.head->prompt)},
       {"events", std::to_string(event_splitter_.events_with_fields())},
       {"error", message}});
  server_.Post(AttemptFailed{start_effect_.attempt,
                             run,
                             {kind, std::move(message), std::move(remedy)},
                             std::nullopt,
                             misdirected_,
                             rate_limit_,
                             connection_refused_,
                             signals_});
  Close();
}

void UpstreamAttempt::AddCredit(Bytes bytes) {
  const bool was_blocked = credit_ <= 0;
  credit_ += ToCredit(bytes);
  if (phase_ != Phase::kExchanging || credit_ <= 0) {
    return;
  }
  if (was_blocked) {
    RestartProgressPeriod();  // The caller was the slow side.
  }
  RestartProgressTimeout();
  Deliver();
  WaitReadable();
}

void UpstreamAttempt::Cancel() {
  phase_ = Phase::kFinished;
  Close();
}

void UpstreamAttempt::CheckDeadline(Clock::time_point now) {
  if (!deadline_ || now < *deadline_ || phase_ == Phase::kFinished) {
    return;
  }
  if (phase_ == Phase::kConnecting) {
    Fail(ErrorKind::kTimeout,
         "the connection to the upstream was not established in time",
         "check that the upstream is running");
    return;
  }
  Fail(ErrorKind::kTimeout,
       "the upstream made no progress within its timeout (limits.silence)",
       "check the upstream and the network path to it; raise limits.silence "
       "if longer pauses are expected");
}

void UpstreamAttempt::Close() {
  deadline_.reset();
  error_code ignored;
  socket_.close(ignored);
  const auto self = shared_from_this();
  server_.RemoveAttempt(start_effect_.attempt);
}

}  // namespace mimosagauge::detail
