// Writing of answers on one caller's connection.

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <utility>

#include "mimosagauge/impl/core/log_catalogue.h"
#include "mimosagauge/impl/duties/callers/connection.h"
#include "mimosagauge/impl/duties/callers/problems.h"
#include "mimosagauge/impl/duties/callers/server.h"
#include "mimosagauge/impl/duties/common/http_fields.h"
#include "mimosagauge/impl/duties/common/log.h"

namespace mimosagauge::detail {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

// Time that a connection closed for writing stays open, so that the caller can
// read the last answer.
constexpr std::chrono::seconds kLingerTime{2};
// Capacity that a buffer keeps while it is empty.
constexpr std::size_t kMaxIdleCapacity = 4UL * 1024;
constexpr std::uint16_t kBadGateway = 502;

void ClearAndShrink(std::string& text) {
  text.clear();
  if (text.capacity() > kMaxIdleCapacity) {
    text.shrink_to_fit();
  }
}

[[nodiscard]] Problem BrokenAnswerProblem() {
  Problem problem;
  problem.status = kBadGateway;
  problem.type = "broken-answer";
  problem.detail =
      "the length of the answer's body differs from its Content-Length";
  problem.remedy = "ask for the outcome before sending the request again";
  problem.run = RunState::kRan;
  return problem;
}

}  // namespace

void CallerConnection::SendHead(AnswerHead head) {
  if (phase_ != Phase::kAnswer || answer_started_ || buffered_head_) {
    return;
  }
  declared_length_ = ExtractContentLength(head.headers);
  answer_body_bytes_ = 0;
  const std::uint64_t max_buffered_body =
      server_.settings().limits.stream_window.count();
  const bool no_body = omit_body_ || StatusForbidsBody(head.status);
  if (!no_body && declared_length_ && *declared_length_ <= max_buffered_body) {
    buffered_head_ = std::move(head);
    return;
  }
  FramedAnswerHead framed_head;
  framed_head.status = head.status;
  framed_head.headers = std::move(head.headers);
  for (Header& field : server_.dialect().trace_fields(request_id_, head.path)) {
    framed_head.headers.push_back(std::move(field));
  }
  framed_head.framing = BodyFraming::kChunked;
  if (no_body) {
    framed_head.framing =
        declared_length_ ? BodyFraming::kLength : BodyFraming::kNone;
    framed_head.length = declared_length_.value_or(0);
    declared_length_.reset();
  }
  keep_alive_ = keep_alive_ && server_.allows_keep_alive();
  framed_head.keep_alive = keep_alive_;
  omit_body_ = no_body;
  answer_started_ = true;
  AppendAnswerHead(queued_output_, framed_head);
}

void CallerConnection::SendBody(const std::string& data) {
  if (phase_ != Phase::kAnswer || answer_complete_) {
    return;
  }
  answer_body_bytes_ += data.size();
  queued_output_body_bytes_ += data.size();
  if (buffered_head_) {
    buffered_body_ += data;
  } else if (answer_started_ && !omit_body_) {
    AppendChunk(queued_output_, data);
  }
}

void CallerConnection::SendEnd() {
  if (phase_ != Phase::kAnswer || answer_complete_) {
    return;
  }
  if (declared_length_ && *declared_length_ != answer_body_bytes_) {
    Abort(BrokenAnswerProblem());
    return;
  }
  if (buffered_head_) {
    AnswerHead head = std::move(*buffered_head_);
    buffered_head_.reset();
    for (Header& field :
         server_.dialect().trace_fields(request_id_, head.path)) {
      head.headers.push_back(std::move(field));
    }
    SendCompleteAnswer(head.status, std::move(head.headers),
                       std::exchange(buffered_body_, {}));
    return;
  }
  if (!omit_body_) {
    AppendLastChunk(queued_output_);
  }
  FinishAnswer();
}

void CallerConnection::Abort(const Problem& problem) {
  if (phase_ != Phase::kAnswer || answer_complete_) {
    return;
  }
  if (!answer_started_) {
    SendProblem(problem);
    return;
  }
  Log(log_events::kAnswerBrokenOff,
      {{"request", request_id_.value()}, {"detail", problem.detail}});
  EndRequest();
  ResetConnection();
}

void CallerConnection::SendProblem(const Problem& problem) {
  if (phase_ != Phase::kAnswer || answer_started_) {
    return;
  }
  SendCompleteAnswer(problem.status,
                     server_.dialect().problem_fields(problem, request_id_),
                     FormatProblem(problem));
}

void CallerConnection::SendCompleteAnswer(std::uint16_t status,
                                          std::vector<Header> headers,
                                          const std::string& body) {
  keep_alive_ = keep_alive_ && server_.allows_keep_alive();
  FramedAnswerHead framed_head;
  framed_head.status = status;
  framed_head.headers = std::move(headers);
  framed_head.framing = BodyFraming::kLength;
  framed_head.length = body.size();
  framed_head.keep_alive = keep_alive_;
  answer_started_ = true;
  AppendAnswerHead(queued_output_, framed_head);
  if (!omit_body_) {
    queued_output_ += body;
  }
  FinishAnswer();
}

// Called once the whole answer is queued. From then on no events are posted for
// the request.
void CallerConnection::FinishAnswer() {
  answer_complete_ = true;
  buffered_head_.reset();
  ClearAndShrink(buffered_body_);
  declared_length_.reset();
  EndRequest();
}

void CallerConnection::EndRequest() {
  if (request_number_) {
    server_.RemoveRequest(*request_number_);
    unwritten_number_ = std::exchange(request_number_, std::nullopt);
  }
}

void CallerConnection::ReportAnswerWritten(bool whole) {
  if (unwritten_number_) {
    server_.ReportAnswerWritten({*unwritten_number_, whole});
    unwritten_number_.reset();
  }
}

void CallerConnection::Flush() {
  if (phase_ == Phase::kClosed || !write_buffer_.empty()) {
    return;
  }
  if (!queued_output_.empty()) {
    Write();
  } else if (phase_ == Phase::kAnswer && answer_complete_) {
    // The end of an answer without a body adds no bytes to those of its head.
    OnAnswerWritten();
  }
}

void CallerConnection::Write() {
  write_buffer_.swap(queued_output_);
  write_buffer_body_bytes_ = std::exchange(queued_output_body_bytes_, 0);
  SetDeadline(server_.limits().idle_timeout);
  asio::async_write(
      socket_, asio::buffer(write_buffer_),
      [self = shared_from_this()](const error_code& error, std::size_t) {
        self->OnWritten(error);
      });
}

void CallerConnection::OnWritten(const error_code& error) {
  ClearAndShrink(write_buffer_);
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
  if (request_number_ && write_buffer_body_bytes_ > 0) {
    server_.ReportBytesWritten(*request_number_, write_buffer_body_bytes_);
  }
  write_buffer_body_bytes_ = 0;
  if (!queued_output_.empty()) {
    Write();
  } else if (phase_ == Phase::kAnswer && answer_complete_) {
    OnAnswerWritten();
  }
}

void CallerConnection::OnAnswerWritten() {
  ReportAnswerWritten(true);
  if (!keep_alive_) {
    StartLingeringClose();
    return;
  }
  PrepareForNextRequest();
}

void CallerConnection::PrepareForNextRequest() {
  phase_ = Phase::kHeader;
  request_id_ = RequestId{};
  answer_started_ = false;
  answer_complete_ = false;
  queued_output_body_bytes_ = 0;
  ClearAndShrink(queued_output_);
  SetDeadline(server_.limits().idle_timeout);
  ProcessBuffer();
  Flush();
  WaitReadable();
}

// Closing a socket with unread input sends a reset, by which the caller might
// lose the answer. Input is therefore read and discarded for `kLingerTime`.
void CallerConnection::StartLingeringClose() {
  phase_ = Phase::kLingering;
  buffer_.clear();
  buffer_.shrink_to_fit();
  error_code ignored;
  socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  SetDeadline(kLingerTime);
  WaitReadable();
}

void CallerConnection::ResetConnection() {
  error_code ignored;
  socket_.set_option(asio::socket_base::linger(true, 0), ignored);
  Close();
}

}  // namespace mimosagauge::detail
