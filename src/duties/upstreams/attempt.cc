// The exchange of one request and its answer.

#include "mimosagauge/impl/duties/upstreams/attempt.h"

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

#include "mimosagauge/impl/core/log_catalogue.h"
#include "mimosagauge/impl/duties/common/http_fields.h"
#include "mimosagauge/impl/duties/common/log.h"
#include "mimosagauge/impl/duties/upstreams/pool.h"
#include "mimosagauge/impl/duties/upstreams/request_text.h"
#include "mimosagauge/impl/duties/upstreams/server.h"

namespace mimosagauge::detail {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr std::size_t kReadBytes = 8UL * 1024;
constexpr std::size_t kWriteBytes = 64UL * 1024;
constexpr std::uint32_t kMaxHeadBytes = 64U * 1024;
constexpr std::size_t kMaxEventBytes = 1024UL * 1024;
constexpr int kMaxInterimHeads = 8;
constexpr unsigned kFirstFinalStatus = 200;
constexpr int kKeepAliveProbes = 3;

constexpr const char* kLookAtUpstream = "look at the upstream's log";

// The kernel then notices a peer that is gone although nothing is sent.
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

[[nodiscard]] std::int64_t ToCredit(Bytes bytes) noexcept {
  constexpr std::uint64_t kMost = std::numeric_limits<std::int32_t>::max();
  return static_cast<std::int64_t>(std::min(bytes.count(), kMost));
}

}  // namespace

UpstreamAttempt::UpstreamAttempt(StartUpstreamAttempt start,
                                 UpstreamServer& server,
                                 std::shared_ptr<UpstreamPool> pool)
    : start_(std::move(start)),
      server_(server),
      pool_(std::move(pool)),
      socket_(server.io()),
      credit_(ToCredit(start_.credit)),
      due_(Clock::now() + start_.remaining) {}

void UpstreamAttempt::Start() {
  auto idle = pool_->Take();
  if (idle) {
    socket_ = std::move(*idle);
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
    Fail(ErrorKind::kInvalidSettings, "the upstream's address is no IP number",
         "correct it in the settings");
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
    Fail(ErrorKind::kUnavailable,
         "cannot connect to the upstream: " + error.message(),
         "see whether the upstream runs");
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
  header_ = server_.dialect().format_header(start_, pool_->settings());
  NewParser();
  WriteSome();
  WaitReadable();
}

void UpstreamAttempt::NewParser() {
  parser_ = std::make_unique<Parser>();
  parser_->header_limit(kMaxHeadBytes);
  parser_->body_limit(std::numeric_limits<std::uint64_t>::max());
  parser_->skip(start_.head->method == "HEAD");
}

void UpstreamAttempt::WriteSome() {
  const std::string_view body =
      start_.body ? std::string_view(*start_.body) : std::string_view();
  const std::size_t body_written =
      written_ > header_.size() ? written_ - header_.size() : 0;
  const std::string_view header =
      std::string_view(header_).substr(std::min(written_, header_.size()));
  const std::array<asio::const_buffer, 2> parts{
      asio::buffer(header),
      asio::buffer(body.substr(body_written, kWriteBytes))};
  ExpectProgress();
  write_begun_ = true;
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
  written_ += size;
  if (error) {
    // Nothing was taken over: the upstream cannot have the request.
    write_begun_ = written_ > 0;
    Fail(ErrorKind::kUnavailable,
         "the upstream took no request: " + error.message(), kLookAtUpstream);
    return;
  }
  const std::size_t total =
      header_.size() + (start_.body ? start_.body->size() : 0);
  if (written_ < total) {
    WriteSome();
    return;
  }
  write_done_ = true;
  header_ = std::string();
  start_.body.reset();
  if (!answered_ || credit_ > 0) {
    ExpectProgress();
  }
  FinishIfDelivered();
}

void UpstreamAttempt::ExpectProgress() {
  const Duration silence = server_.settings().limits.silence;
  const auto now = Clock::now();
  // An engine is silent until a whole answer is complete.
  const bool whole_answer = write_done_ && !answered_ &&
                            pool_->settings().kind == UpstreamKind::kEngine &&
                            !start_.head->stream;
  deadline_ = whole_answer ? std::max(due_, now + silence) : now + silence;
}

void UpstreamAttempt::WaitReadable() {
  if (watching_ || phase_ != Phase::kExchanging ||
      (answered_ && credit_ <= 0)) {
    return;
  }
  watching_ = true;
  socket_.async_wait(asio::socket_base::wait_read,
                     [self = shared_from_this()](const error_code& error) {
                       self->watching_ = false;
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
  if (size > 0) {
    ExpectProgress();
  }
  if (!Parse()) {
    return;
  }
  Deliver();
  WaitReadable();
}

// The upstream closed or reset the connection.
void UpstreamAttempt::OnClosed(const error_code& reason) {
  error_code error;
  if (parser_->is_header_done() && parser_->need_eof()) {
    parser_->put_eof(error);
    // Where the body has no length only its last event tells that it is whole,
    // unless upstreams are known to end it with the connection.
    const bool whole = server_.dialect().bodies_end_with_connection
                           ? reason == asio::error::eof
                           : event_stream_ && events_.done();
    if (!error && whole) {
      whole_ = true;
      Deliver();
      return;
    }
    Fail(ErrorKind::kUnknownOutcome,
         "the upstream does not say where its answer ends",
         "let the upstream send Content-Length or a chunked body");
    return;
  }
  Fail(ErrorKind::kUnavailable,
       answered_ ? "the upstream broke off its answer"
                 : "the upstream closed the connection without an answer",
       kLookAtUpstream);
}

bool UpstreamAttempt::Parse() {
  if (!answered_ && !ParseHead()) {
    return false;
  }
  return !answered_ || ParseBody();
}

bool UpstreamAttempt::ParseHead() {
  while (!answered_ && buffer_.size() > 0) {
    error_code error;
    const std::size_t used = parser_->put(buffer_.data(), error);
    buffer_.consume(used);
    if (error == http::error::need_more) {
      if (buffer_.size() <= kMaxHeadBytes) {
        return true;
      }
      error = http::error::header_limit;
    }
    if (error) {
      Fail(ErrorKind::kInvalidInput,
           "the upstream's answer is not HTTP: " + error.message(),
           kLookAtUpstream);
      return false;
    }
    if (parser_->is_header_done() && !TakeHead()) {
      return false;
    }
  }
  return true;
}

bool UpstreamAttempt::TakeHead() {
  const http::response_header<>& head = parser_->get().base();
  if (head.result_int() < kFirstFinalStatus) {
    if (++interim_heads_ > kMaxInterimHeads || head.result_int() == 101) {
      Fail(ErrorKind::kInvalidInput, "the upstream sends no final answer",
           kLookAtUpstream);
      return false;
    }
    NewParser();
    return true;
  }
  const AnswerSigns signs = server_.dialect().read_head(head, start_);
  idle_timeout_ = signs.idle_timeout;
  if (signs.misdirected) {
    misdirected_ = true;
    FailAs(RunState::kNotRun, ErrorKind::kNotFound,
           "another upstream has the address now", "send it elsewhere");
    return false;
  }
  if (signs.refused_unrun) {
    FailAs(RunState::kNotRun, ErrorKind::kOverloaded,
           "the upstream refused the request unrun",
           "send it elsewhere or later");
    return false;
  }
  if (!signs.fault.empty()) {
    Fail(ErrorKind::kInvalidInput, signs.fault, kLookAtUpstream);
    return false;
  }
  AnswerHead answer;
  answer.status = static_cast<std::uint16_t>(head.result_int());
  answer.headers = server_.dialect().fields_for_caller(head);
  event_stream_ = IsEventStream(answer.headers) &&
                  FindField(answer.headers, "Content-Encoding").empty();
  const auto length = head[http::field::content_length];
  if (!length.empty()) {
    answer.headers.push_back(
        {"Content-Length", std::string(length.data(), length.size())});
  }
  answer.path = start_.head->path;
  answer.path.push_back({server_.settings().region, start_.upstream.value()});
  answered_ = true;
  parser_->eager(true);
  server_.Post(AttemptAnswered{start_.attempt, std::move(answer), signs.load});
  return true;
}

bool UpstreamAttempt::ParseBody() {
  while (buffer_.size() > 0 && !parser_->is_done()) {
    error_code error;
    const std::size_t used = parser_->put(buffer_.data(), error);
    buffer_.consume(used);
    if (error == http::error::need_more) {
      break;
    }
    if (error) {
      Fail(ErrorKind::kInvalidInput,
           "the upstream's answer is not HTTP: " + error.message(),
           kLookAtUpstream);
      return false;
    }
  }
  if (buffer_.size() == 0) {
    buffer_.shrink_to_fit();
  }
  std::string& parsed = parser_->get().body();
  if (event_stream_) {
    events_.Append(parsed);
  } else {
    body_ += parsed;
  }
  parsed.clear();
  whole_ = parser_->is_done();
  if (events_.partial() > kMaxEventBytes) {
    Fail(ErrorKind::kInvalidInput, "the upstream sends an event without end",
         kLookAtUpstream);
    return false;
  }
  return true;
}

void UpstreamAttempt::Deliver() {
  if (phase_ != Phase::kExchanging || !answered_) {
    return;
  }
  if (event_stream_) {
    DeliverEvents();
  } else {
    DeliverBytes();
  }
  if (credit_ <= 0) {
    deadline_.reset();  // The caller is slow, not the upstream.
  }
  FinishIfDelivered();
}

void UpstreamAttempt::DeliverEvents() {
  while (credit_ > 0) {
    auto piece = events_.Take(static_cast<std::uint64_t>(credit_));
    if (!piece) {
      return;
    }
    Post(std::move(piece->data), std::move(piece->last_event_id));
  }
}

void UpstreamAttempt::DeliverBytes() {
  if (credit_ <= 0 || body_.empty()) {
    return;
  }
  const std::size_t size =
      std::min(body_.size(), static_cast<std::size_t>(credit_));
  std::string part = body_.substr(0, size);
  body_.erase(0, size);
  if (body_.empty()) {
    body_.shrink_to_fit();
  }
  Post(std::move(part), std::nullopt);
}

void UpstreamAttempt::Post(std::string data,
                           std::optional<std::string> last_event_id) {
  credit_ -= static_cast<std::int64_t>(data.size());
  server_.Post(
      AttemptBody{start_.attempt, std::move(data), std::move(last_event_id)});
}

bool UpstreamAttempt::Delivered() const {
  return event_stream_ ? events_.size() == events_.partial() : body_.empty();
}

void UpstreamAttempt::FinishIfDelivered() {
  if (phase_ != Phase::kExchanging || !whole_ || !Delivered()) {
    return;
  }
  if (!CheckStreamEnd()) {
    return;
  }
  Finish();
}

bool UpstreamAttempt::CheckStreamEnd() {
  if (!event_stream_) {
    return true;
  }
  const bool needs_done = server_.dialect().streams_end_with_done &&
                          pool_->settings().kind == UpstreamKind::kEngine;
  if (events_.partial() > 0 || (needs_done && !events_.done())) {
    Fail(ErrorKind::kUnavailable, "the upstream ended its stream too early",
         kLookAtUpstream);
    return false;
  }
  return true;
}

void UpstreamAttempt::Finish() {
  phase_ = Phase::kOver;
  const bool reusable =
      parser_->keep_alive() && write_done_ && buffer_.size() == 0;
  if (reusable) {
    if (watching_) {
      error_code ignored;
      socket_.cancel(ignored);
    }
    pool_->Return(std::move(socket_), idle_timeout_);
  }
  server_.Post(AttemptEnded{start_.attempt});
  Close();
}

RunState UpstreamAttempt::KnownRun() const noexcept {
  if (answered_) {
    return RunState::kRan;
  }
  return write_begun_ ? RunState::kUnknown : RunState::kNotRun;
}

void UpstreamAttempt::Fail(ErrorKind kind, std::string message,
                           std::string remedy) {
  FailAs(KnownRun(), kind, std::move(message), std::move(remedy));
}

void UpstreamAttempt::FailAs(RunState run, ErrorKind kind, std::string message,
                             std::string remedy) {
  if (phase_ == Phase::kOver) {
    return;
  }
  phase_ = Phase::kOver;
  Log(log_events::kAttemptFailed, {{"upstream", start_.upstream.value()},
                                   {"request", start_.head->id.value()},
                                   {"run", std::string(ToString(run))},
                                   {"error", message}});
  server_.Post(AttemptFailed{start_.attempt,
                             run,
                             {kind, std::move(message), std::move(remedy)},
                             std::nullopt,
                             misdirected_});
  Close();
}

void UpstreamAttempt::Credit(Bytes bytes) {
  credit_ += ToCredit(bytes);
  if (phase_ != Phase::kExchanging || credit_ <= 0) {
    return;
  }
  ExpectProgress();
  Deliver();
  WaitReadable();
}

void UpstreamAttempt::Cancel() {
  phase_ = Phase::kOver;
  Close();
}

void UpstreamAttempt::CheckDeadline(Clock::time_point now) {
  if (!deadline_ || now < *deadline_ || phase_ == Phase::kOver) {
    return;
  }
  if (phase_ == Phase::kConnecting) {
    Fail(ErrorKind::kTimeout, "the upstream does not take connections",
         "see whether the upstream runs");
    return;
  }
  Fail(ErrorKind::kTimeout, "the upstream says nothing for too long",
       "look at the upstream and the network before it; raise limits.silence "
       "if it may be silent for longer");
}

void UpstreamAttempt::Close() {
  deadline_.reset();
  error_code ignored;
  socket_.close(ignored);
  const auto self = shared_from_this();
  server_.Remove(start_.attempt);
}

}  // namespace mimosagauge::detail
