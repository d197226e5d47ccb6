// Reading and writing on one caller's connection.

#include "mimosagauge/impl/duties/callers/connection.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/write.hpp>
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

// Read from a socket at once.
constexpr std::size_t kHeaderReadBytes = 4UL * 1024;
constexpr std::size_t kBodyReadBytes = 32UL * 1024;
// A body has to grow by this much within each header timeout.
constexpr std::size_t kMinBodyProgress = 1024;
// How long a closed connection waits for the caller to read the last answer.
constexpr std::chrono::seconds kLingerTime{2};
// Capacity that an idle connection may keep in a buffer.
constexpr std::size_t kKeptCapacity = 4UL * 1024;
constexpr std::uint16_t kBadGateway = 502;

constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

[[nodiscard]] std::string_view View(const beast::flat_buffer& buffer) {
  const auto data = buffer.data();
  return {static_cast<const char*>(data.data()), data.size()};
}

void Shrink(std::string& text) {
  text.clear();
  if (text.capacity() > kKeptCapacity) {
    text.shrink_to_fit();
  }
}

[[nodiscard]] Problem ProblemOfParser(const error_code& error) {
  if (error == http::error::body_limit) {
    return NotRunProblem(status::kContentTooLarge, "body-too-large",
                         "the body is larger than this instance takes",
                         "send a smaller body or raise limits.body");
  }
  if (error == http::error::header_limit ||
      error == http::error::buffer_overflow) {
    return NotRunProblem(status::kHeaderTooLarge, "header-too-large",
                         "the header is larger than this instance takes",
                         "send fewer or shorter fields");
  }
  return MalformedRequest(
      "the request is not valid HTTP/1.1: " + error.message(),
      "send a request as RFC 9112 describes it");
}

[[nodiscard]] Problem BrokenAnswer() {
  Problem problem;
  problem.status = kBadGateway;
  problem.type = "broken-answer";
  problem.detail = "the answer's body is not as long as announced";
  problem.remedy = "ask for the outcome before sending the request again";
  problem.run = RunState::kRan;
  return problem;
}

}  // namespace

CallerConnection::CallerConnection(asio::ip::tcp::socket socket,
                                   CallerServer& server, ListenerKind listener)
    : socket_(std::move(socket)), server_(server), listener_(listener) {}

void CallerConnection::Start() {
  error_code ignored;
  socket_.non_blocking(true, ignored);
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  Expect(server_.limits().idle_timeout);
  WaitReadable();
}

void CallerConnection::Refuse(const Problem& problem) {
  Start();
  RefuseAndClose(problem);
  Flush();
}

// Reading.

void CallerConnection::Expect(Clock::duration within) {
  deadline_ = Clock::now() + within;
}

void CallerConnection::WaitReadable() {
  if (watching_ || phase_ == Phase::kClosed) {
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

std::size_t CallerConnection::ReadRoom() const {
  const std::size_t most = phase_ == Phase::kBody || phase_ == Phase::kLinger
                               ? kBodyReadBytes
                               : kHeaderReadBytes;
  const std::size_t bound = std::max(server_.limits().header.count() + 1, most);
  return std::min(most, bound - std::min(bound, buffer_.size()));
}

void CallerConnection::OnReadable() {
  if (phase_ == Phase::kClosed) {
    return;
  }
  const std::size_t room = ReadRoom();
  if (room == 0) {
    return;  // Read on when the next request is taken from the buffer.
  }
  error_code error;
  const std::size_t size = socket_.read_some(buffer_.prepare(room), error);
  buffer_.commit(size);
  if (error && error != asio::error::would_block) {
    OnPeerClosed();
    return;
  }
  if (phase_ == Phase::kLinger) {
    buffer_.clear();
  }
  Advance();
  Flush();
  WaitReadable();
}

void CallerConnection::OnPeerClosed() {
  if (phase_ == Phase::kAnswer && number_) {
    Log(log_events::kCallerLeft, {{"request", id_.value()}});
  }
  Close();
}

void CallerConnection::Advance() {
  bool more = true;
  while (more) {
    switch (phase_) {
      case Phase::kHeader:
        more = TakeHeader();
        break;
      case Phase::kBody:
        more = TakeBody();
        break;
      case Phase::kAnswer:
      case Phase::kLinger:
      case Phase::kClosed:
        more = false;
        break;
    }
  }
}

bool CallerConnection::TakeHeader() {
  if (buffer_.size() == 0) {
    return false;
  }
  if (searched_ == 0) {
    Expect(server_.limits().header_timeout);
  }
  const std::string_view bytes = View(buffer_);
  const auto size = FindHeaderEnd(bytes, searched_);
  const std::size_t limit = server_.limits().header.count();
  if (size ? *size > limit : bytes.size() > limit) {
    RefuseAndClose(ProblemOfParser(http::error::header_limit));
    return false;
  }
  if (!size) {
    // Lines that end in LF alone would otherwise be waited on for long.
    if (auto problem =
            CheckLineEnds(bytes.substr(searched_ > 0 ? searched_ - 1 : 0))) {
      RefuseAndClose(*problem);
    }
    searched_ = bytes.size();
    return false;
  }
  return ParseHeader(*size);
}

bool CallerConnection::ParseHeader(std::size_t size) {
  searched_ = 0;
  if (auto problem = CheckRawHeader(View(buffer_).substr(0, size))) {
    RefuseAndClose(*problem);
    return false;
  }
  const CallerLimits limits = server_.limits();
  parser_ = std::make_unique<Parser>();
  parser_->header_limit(static_cast<std::uint32_t>(limits.header.count()));
  parser_->body_limit(limits.body.count());
  error_code error;
  const std::size_t used =
      parser_->put(asio::buffer(View(buffer_).substr(0, size)), error);
  buffer_.consume(used);
  if (error || !parser_->is_header_done()) {
    RefuseAndClose(ProblemOfParser(error));
    return false;
  }
  BeginRequest();
  return phase_ == Phase::kBody;
}

void CallerConnection::BeginRequest() {
  // Read now: a chunked body's trailer must not add to the header.
  const http::request_header<>& header = parser_->get().base();
  head_only_ = header.method() == http::verb::head;
  keep_alive_ = parser_->keep_alive();
  started_ = false;
  finished_ = false;
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
    out_ += kContinue;
  }
  phase_ = Phase::kBody;
  body_mark_ = 0;
  Expect(server_.limits().header_timeout);
}

bool CallerConnection::TakeBody() {
  if (!parser_->is_done() && !ParseBody()) {
    return false;
  }
  if (parser_->is_done()) {
    Dispatch();
    return false;
  }
  return false;
}

bool CallerConnection::ParseBody() {
  error_code error;
  parser_->eager(true);
  const std::size_t used = parser_->put(buffer_.data(), error);
  buffer_.consume(used);
  if (error == http::error::need_more) {
    error = {};
  }
  if (error) {
    RefuseAndClose(ProblemOfParser(error));
    return false;
  }
  return ReserveBody();
}

bool CallerConnection::ReserveBody() {
  const std::size_t size = parser_->get().body().size();
  if (!server_.bodies()->Reserve(size - reserved_)) {
    RefuseAndClose(OverloadedProblem("too many request bodies are in memory"));
    return false;
  }
  reserved_ = size;
  return true;
}

void CallerConnection::Dispatch() {
  phase_ = Phase::kAnswer;
  deadline_.reset();
  CallerRequest request = std::move(*request_);
  request_.reset();
  std::string body = std::move(parser_->get().body());
  parser_.reset();
  if (buffer_.size() == 0) {
    buffer_.shrink_to_fit();
  }
  if (const auto* own = std::get_if<OwnRequest>(&request)) {
    server_.bodies()->Release(std::exchange(reserved_, 0));
    AnswerOwn(*own);
    return;
  }
  Submit(std::move(std::get<UpstreamRequest>(request)), std::move(body));
}

void CallerConnection::Submit(UpstreamRequest request, std::string body) {
  id_ = request.head.id;
  auto problem = server_.dialect().read_body(body, request);
  const BodyPtr held = HoldBody(std::move(body), server_.bodies());
  reserved_ = 0;  // The body itself accounts for them now.
  if (problem) {
    SendProblem(*problem);
    return;
  }
  auto submitted =
      server_.Submit(std::move(request.head), held, shared_from_this());
  if (const auto* refused = std::get_if<Problem>(&submitted)) {
    SendProblem(*refused);
    return;
  }
  number_ = std::get<RequestNumber>(submitted);
}

void CallerConnection::AnswerOwn(const OwnRequest& request) {
  const OwnAnswer answer = server_.dialect().own_answer(
      request, server_.view(), server_.ticket_secrets());
  SendWhole(answer.status, {{"Content-Type", answer.content_type}},
            answer.body);
}

// Writing.

void CallerConnection::SendHead(AnswerHead head) {
  if (phase_ != Phase::kAnswer || started_ || held_) {
    return;
  }
  declared_ = TakeContentLength(head.headers);
  passed_ = 0;
  const std::uint64_t window = server_.settings().limits.stream_window.count();
  const bool no_body = head_only_ || HasNoBody(head.status);
  if (!no_body && declared_ && *declared_ <= window) {
    held_ = std::move(head);
    return;
  }
  AnswerStart start;
  start.status = head.status;
  start.headers = std::move(head.headers);
  for (Header& field : server_.dialect().trace_fields(id_, head.path)) {
    start.headers.push_back(std::move(field));
  }
  start.framing = BodyFraming::kChunked;
  if (no_body) {
    start.framing = declared_ ? BodyFraming::kLength : BodyFraming::kNone;
    start.length = declared_.value_or(0);
    declared_.reset();
  }
  keep_alive_ = keep_alive_ && server_.keeps_connections();
  start.keep_alive = keep_alive_;
  head_only_ = no_body;
  started_ = true;
  AppendStart(out_, start);
}

void CallerConnection::SendBody(const std::string& data) {
  if (phase_ != Phase::kAnswer || finished_) {
    return;
  }
  passed_ += data.size();
  out_payload_ += data.size();
  if (held_) {
    held_body_ += data;
  } else if (started_ && !head_only_) {
    AppendChunk(out_, data);
  }
}

void CallerConnection::SendEnd() {
  if (phase_ != Phase::kAnswer || finished_) {
    return;
  }
  if (declared_ && *declared_ != passed_) {
    Abort(BrokenAnswer());
    return;
  }
  if (held_) {
    AnswerHead head = std::move(*held_);
    held_.reset();
    for (Header& field : server_.dialect().trace_fields(id_, head.path)) {
      head.headers.push_back(std::move(field));
    }
    SendWhole(head.status, std::move(head.headers),
              std::exchange(held_body_, {}));
    return;
  }
  if (!head_only_) {
    AppendLastChunk(out_);
  }
  FinishAnswer();
}

void CallerConnection::Abort(const Problem& problem) {
  if (phase_ != Phase::kAnswer || finished_) {
    return;
  }
  if (!started_) {
    SendProblem(problem);
    return;
  }
  Log(log_events::kAnswerBrokenOff,
      {{"request", id_.value()}, {"detail", problem.detail}});
  if (number_) {
    server_.Forget(*number_);
    number_.reset();
  }
  Reset();
}

void CallerConnection::SendProblem(const Problem& problem) {
  if (phase_ != Phase::kAnswer || started_) {
    return;
  }
  SendWhole(problem.status, server_.dialect().problem_fields(problem, id_),
            FormatProblem(problem));
}

void CallerConnection::SendWhole(std::uint16_t status,
                                 std::vector<Header> headers,
                                 const std::string& body) {
  keep_alive_ = keep_alive_ && server_.keeps_connections();
  AnswerStart start;
  start.status = status;
  start.headers = std::move(headers);
  start.framing = BodyFraming::kLength;
  start.length = body.size();
  start.keep_alive = keep_alive_;
  started_ = true;
  AppendStart(out_, start);
  if (!head_only_) {
    out_ += body;
  }
  FinishAnswer();
}

// All of the answer is queued: the decisions hear no more of the request.
void CallerConnection::FinishAnswer() {
  finished_ = true;
  held_.reset();
  Shrink(held_body_);
  declared_.reset();
  if (number_) {
    server_.Forget(*number_);
    number_.reset();
  }
}

void CallerConnection::RefuseAndClose(const Problem& problem) {
  Log(log_events::kRequestRefused,
      {{"type", problem.type},
       {"detail", problem.detail},
       {"status", std::to_string(problem.status)}});
  server_.bodies()->Release(std::exchange(reserved_, 0));
  parser_.reset();
  request_.reset();
  phase_ = Phase::kAnswer;
  keep_alive_ = false;
  head_only_ = false;
  started_ = false;
  SendProblem(problem);
}

void CallerConnection::Flush() {
  if (phase_ == Phase::kClosed || !writing_.empty()) {
    return;
  }
  if (!out_.empty()) {
    Write();
  }
}

void CallerConnection::Write() {
  writing_.swap(out_);
  writing_payload_ = std::exchange(out_payload_, 0);
  Expect(server_.limits().idle_timeout);
  asio::async_write(
      socket_, asio::buffer(writing_),
      [self = shared_from_this()](const error_code& error, std::size_t) {
        self->OnWritten(error);
      });
}

void CallerConnection::OnWritten(const error_code& error) {
  Shrink(writing_);
  if (phase_ == Phase::kClosed) {
    return;
  }
  if (error) {
    OnPeerClosed();
    return;
  }
  if (phase_ == Phase::kAnswer) {
    deadline_.reset();
  }
  if (number_ && writing_payload_ > 0) {
    server_.Taken(*number_, writing_payload_);
  }
  writing_payload_ = 0;
  if (!out_.empty()) {
    Write();
  } else if (phase_ == Phase::kAnswer && finished_) {
    OnAnswerWritten();
  }
}

void CallerConnection::OnAnswerWritten() {
  if (!keep_alive_) {
    Linger();
    return;
  }
  NextRequest();
}

void CallerConnection::NextRequest() {
  phase_ = Phase::kHeader;
  id_ = RequestId{};
  started_ = false;
  finished_ = false;
  out_payload_ = 0;
  Shrink(out_);
  Expect(server_.limits().idle_timeout);
  Advance();
  Flush();
  WaitReadable();
}

// A socket that is closed with unread input resets, and the caller might lose
// the answer; so what still comes in is read for a while.
void CallerConnection::Linger() {
  phase_ = Phase::kLinger;
  buffer_.clear();
  buffer_.shrink_to_fit();
  error_code ignored;
  socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  Expect(kLingerTime);
  WaitReadable();
}

void CallerConnection::Reset() {
  error_code ignored;
  socket_.set_option(asio::socket_base::linger(true, 0), ignored);
  Close();
}

void CallerConnection::CheckDeadline(Clock::time_point now) {
  if (!deadline_ || now < *deadline_) {
    return;
  }
  deadline_.reset();
  const bool header = phase_ == Phase::kHeader && searched_ > 0;
  if (phase_ == Phase::kBody) {
    const std::size_t size = parser_->get().body().size();
    if (size >= body_mark_ + kMinBodyProgress) {
      body_mark_ = size;
      Expect(server_.limits().header_timeout);
      return;
    }
  }
  if (header || phase_ == Phase::kBody) {
    RefuseAndClose(NotRunProblem(status::kRequestTimeout, "slow-request",
                                 "the request did not arrive in time",
                                 "send it without pauses"));
    Flush();
    return;
  }
  if (phase_ == Phase::kAnswer) {
    Log(log_events::kCallerStalled, {{"request", id_.value()}});
    Reset();
    return;
  }
  Close();
}

void CallerConnection::Close() {
  if (phase_ == Phase::kClosed) {
    return;
  }
  phase_ = Phase::kClosed;
  server_.bodies()->Release(std::exchange(reserved_, 0));
  if (number_) {
    server_.Abandon(*number_);
    number_.reset();
  }
  error_code ignored;
  socket_.close(ignored);
  server_.Remove(shared_from_this());
}

}  // namespace mimosagauge::detail
