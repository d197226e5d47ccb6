// Reading of requests on one caller's connection, and its deadlines.

#include "mimosagauge/impl/duties/callers/connection.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/beast/http/error.hpp>
#include <string_view>
#include <utility>
#include <variant>

#include "mimosagauge/impl/core/log_catalogue.h"
#include "mimosagauge/impl/duties/callers/entry_document.h"
#include "mimosagauge/impl/duties/callers/problems.h"
#include "mimosagauge/impl/duties/callers/raw_header.h"
#include "mimosagauge/impl/duties/callers/server.h"
#include "mimosagauge/impl/duties/common/http_fields.h"
#include "mimosagauge/impl/duties/common/log.h"

namespace mimosagauge::detail {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

// Maximum bytes per read from a socket.
constexpr std::size_t kHeaderReadBytes = 4UL * 1024;
constexpr std::size_t kBodyReadBytes = 32UL * 1024;
// A body must grow by at least this many bytes within each header timeout;
// otherwise the caller is too slow.
constexpr std::size_t kMinBodyProgress = 1024;

constexpr std::string_view kContinueResponse = "HTTP/1.1 100 Continue\r\n\r\n";

[[nodiscard]] std::string_view AsStringView(const beast::flat_buffer& buffer) {
  const auto data = buffer.data();
  return {static_cast<const char*>(data.data()), data.size()};
}

[[nodiscard]] Problem ProblemFromParserError(const error_code& error) {
  if (error == http::error::body_limit) {
    return NotRunProblem(status::kContentTooLarge, "body-too-large",
                         "the request body exceeds this instance's size limit",
                         "send a smaller body or raise limits.body");
  }
  if (error == http::error::header_limit ||
      error == http::error::buffer_overflow) {
    return NotRunProblem(
        status::kHeaderTooLarge, "header-too-large",
        "the request header exceeds this instance's size limit",
        "send fewer or shorter header fields");
  }
  return MalformedRequestProblem(
      "the request is not valid HTTP/1.1: " + error.message(),
      "send a request that follows RFC 9112");
}

}  // namespace

CallerConnection::CallerConnection(asio::ip::tcp::socket socket,
                                   CallerServer& server, ListenerKind listener)
    : socket_(std::move(socket)), server_(server), listener_(listener) {}

void CallerConnection::Start() {
  error_code ignored;
  socket_.non_blocking(true, ignored);
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  SetDeadline(server_.limits().idle_timeout);
  WaitReadable();
}

void CallerConnection::Refuse(const Problem& problem) {
  Start();
  RefuseAndClose(problem);
  Flush();
}

// Reading requests.

void CallerConnection::SetDeadline(Clock::duration timeout) {
  deadline_ = Clock::now() + timeout;
}

void CallerConnection::WaitReadable() {
  if (read_wait_pending_ || phase_ == Phase::kClosed) {
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

std::size_t CallerConnection::MaxReadSize() const {
  const std::size_t max_read =
      phase_ == Phase::kBody || phase_ == Phase::kLingering ? kBodyReadBytes
                                                            : kHeaderReadBytes;
  const std::size_t buffer_limit =
      std::max(server_.limits().header.count() + 1, max_read);
  return std::min(max_read,
                  buffer_limit - std::min(buffer_limit, buffer_.size()));
}

void CallerConnection::OnReadable() {
  if (phase_ == Phase::kClosed) {
    return;
  }
  const std::size_t max_size = MaxReadSize();
  if (max_size == 0) {
    return;  // Reading resumes when the next request is taken from `buffer_`.
  }
  error_code error;
  const std::size_t size = socket_.read_some(buffer_.prepare(max_size), error);
  buffer_.commit(size);
  if (error && error != asio::error::would_block) {
    OnPeerClosed();
    return;
  }
  if (phase_ == Phase::kLingering) {
    buffer_.clear();
  }
  ProcessBuffer();
  Flush();
  WaitReadable();
}

void CallerConnection::OnPeerClosed() {
  if (phase_ == Phase::kAnswer && (request_number_ || unwritten_number_)) {
    Log(log_events::kCallerLeft, {{"request", request_id_.value()}});
  }
  Close();
}

void CallerConnection::ProcessBuffer() {
  bool more = true;
  while (more) {
    switch (phase_) {
      case Phase::kHeader:
        more = ProcessHeader();
        break;
      case Phase::kBody:
        more = ProcessBody();
        break;
      case Phase::kAnswer:
      case Phase::kLingering:
      case Phase::kClosed:
        more = false;
        break;
    }
  }
}

bool CallerConnection::ProcessHeader() {
  if (buffer_.size() == 0) {
    return false;
  }
  if (searched_bytes_ == 0) {
    SetDeadline(server_.limits().header_timeout);
  }
  const std::string_view bytes = AsStringView(buffer_);
  const auto size = FindHeaderEnd(bytes, searched_bytes_);
  const std::size_t limit = server_.limits().header.count();
  if (size ? *size > limit : bytes.size() > limit) {
    RefuseAndClose(ProblemFromParserError(http::error::header_limit));
    return false;
  }
  if (!size) {
    // A header whose lines end in LF alone never has the CR LF CR LF searched
    // for. Without this check the caller would wait until the timeout.
    if (auto problem = CheckLineEnds(
            bytes.substr(searched_bytes_ > 0 ? searched_bytes_ - 1 : 0))) {
      RefuseAndClose(*problem);
    }
    searched_bytes_ = bytes.size();
    return false;
  }
  return ParseHeader(*size);
}

bool CallerConnection::ParseHeader(std::size_t size) {
  searched_bytes_ = 0;
  if (auto problem = CheckRawHeader(AsStringView(buffer_).substr(0, size))) {
    RefuseAndClose(*problem);
    return false;
  }
  const CallerLimits limits = server_.limits();
  parser_ = std::make_unique<Parser>();
  parser_->header_limit(static_cast<std::uint32_t>(limits.header.count()));
  parser_->body_limit(limits.body.count());
  error_code error;
  const std::size_t consumed =
      parser_->put(asio::buffer(AsStringView(buffer_).substr(0, size)), error);
  buffer_.consume(consumed);
  if (error || !parser_->is_header_done()) {
    RefuseAndClose(ProblemFromParserError(error));
    return false;
  }
  OnHeaderParsed();
  return phase_ == Phase::kBody;
}

void CallerConnection::OnHeaderParsed() {
  // The header is read before the body, so that trailer fields of a chunked
  // body cannot add to it.
  const http::request_header<>& header = parser_->get().base();
  omit_body_ = header.method() == http::verb::head;
  keep_alive_ = parser_->keep_alive();
  answer_started_ = false;
  answer_complete_ = false;
  request_ = server_.dialect().read_header(header, server_.settings(),
                                           server_.accounts(), listener_);
  const bool has_body = !parser_->is_done();
  if (const auto* problem = std::get_if<Problem>(&*request_)) {
    const Problem copy = *problem;
    if (has_body) {
      RefuseAndClose(copy);
    } else {
      phase_ = Phase::kAnswer;
      SendProblem(copy);
    }
    return;
  }
  if (has_body &&
      http::token_list{header[http::field::expect]}.exists("100-continue")) {
    queued_output_ += kContinueResponse;
  }
  phase_ = Phase::kBody;
  body_size_at_last_check_ = 0;
  SetDeadline(server_.limits().header_timeout);
}

bool CallerConnection::ProcessBody() {
  if (!parser_->is_done() && !ParseBody()) {
    return false;
  }
  if (parser_->is_done()) {
    DispatchRequest();
    return false;
  }
  return false;
}

bool CallerConnection::ParseBody() {
  error_code error;
  parser_->eager(true);
  const std::size_t consumed = parser_->put(buffer_.data(), error);
  buffer_.consume(consumed);
  if (error == http::error::need_more) {
    error = {};
  }
  if (error) {
    RefuseAndClose(ProblemFromParserError(error));
    return false;
  }
  return ReserveBody();
}

bool CallerConnection::ReserveBody() {
  const std::size_t size = parser_->get().body().size();
  if (!server_.body_budget()->TryReserve(size - reserved_body_bytes_)) {
    RefuseAndClose(
        OverloadedProblem("the memory budget for request bodies is used up"));
    return false;
  }
  reserved_body_bytes_ = size;
  return true;
}

void CallerConnection::DispatchRequest() {
  phase_ = Phase::kAnswer;
  deadline_.reset();
  CallerRequest request = std::move(*request_);
  request_.reset();
  std::string body = std::move(parser_->get().body());
  parser_.reset();
  if (buffer_.size() == 0) {
    buffer_.shrink_to_fit();
  }
  if (const auto* local = std::get_if<LocalRequest>(&request)) {
    server_.body_budget()->Release(std::exchange(reserved_body_bytes_, 0));
    SendLocalAnswer(*local);
    return;
  }
  SubmitRequest(std::move(std::get<UpstreamRequest>(request)), std::move(body));
}

void CallerConnection::SubmitRequest(UpstreamRequest request,
                                     std::string body) {
  request_id_ = request.head.id;
  auto problem = server_.dialect().read_body(body, request);
  const BodyPtr budgeted_body =
      MakeBudgetedBody(std::move(body), server_.body_budget());
  reserved_body_bytes_ = 0;  // `budgeted_body` releases them from now on.
  if (problem) {
    SendProblem(*problem);
    return;
  }
  auto submitted = server_.SubmitRequest(std::move(request.head), budgeted_body,
                                         shared_from_this());
  if (const auto* refused = std::get_if<Problem>(&submitted)) {
    SendProblem(*refused);
    return;
  }
  request_number_ = std::get<RequestNumber>(submitted);
}

void CallerConnection::SendLocalAnswer(const LocalRequest& request) {
  const LocalAnswer answer = server_.dialect().local_answer(
      request, server_.view(), server_.ticket_secrets());
  SendCompleteAnswer(answer.status, {{"Content-Type", answer.content_type}},
                     answer.body);
}

void CallerConnection::RefuseAndClose(const Problem& problem) {
  Log(log_events::kRequestRefused,
      {{"type", problem.type},
       {"detail", problem.detail},
       {"status", std::to_string(problem.status)}});
  server_.body_budget()->Release(std::exchange(reserved_body_bytes_, 0));
  parser_.reset();
  request_.reset();
  phase_ = Phase::kAnswer;
  keep_alive_ = false;
  omit_body_ = false;
  answer_started_ = false;
  SendProblem(problem);
}

void CallerConnection::CheckDeadline(Clock::time_point now) {
  if (!deadline_ || now < *deadline_) {
    return;
  }
  deadline_.reset();
  const bool reading_header = phase_ == Phase::kHeader && searched_bytes_ > 0;
  if (phase_ == Phase::kBody) {
    const std::size_t size = parser_->get().body().size();
    if (size >= body_size_at_last_check_ + kMinBodyProgress) {
      body_size_at_last_check_ = size;
      SetDeadline(server_.limits().header_timeout);
      return;
    }
  }
  if (reading_header || phase_ == Phase::kBody) {
    RefuseAndClose(
        NotRunProblem(status::kRequestTimeout, "slow-request",
                      "the request's header or body arrived too slowly",
                      "send the whole request without pauses"));
    Flush();
    return;
  }
  if (phase_ == Phase::kAnswer) {
    Log(log_events::kCallerStalled, {{"request", request_id_.value()}});
    ResetConnection();
    return;
  }
  Close();
}

void CallerConnection::Close() {
  if (phase_ == Phase::kClosed) {
    return;
  }
  phase_ = Phase::kClosed;
  server_.body_budget()->Release(std::exchange(reserved_body_bytes_, 0));
  if (request_number_) {
    server_.AbandonRequest(*request_number_);
    request_number_.reset();
  }
  ReportAnswerWritten(false);
  error_code ignored;
  socket_.close(ignored);
  server_.RemoveConnection(shared_from_this());
}

}  // namespace mimosagauge::detail
