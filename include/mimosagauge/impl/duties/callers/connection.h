// A caller's connection: reads requests one after the other and writes their
// answers.

#ifndef MIMOSAGAUGE_IMPL_DUTIES_CALLERS_CONNECTION_H_
#define MIMOSAGAUGE_IMPL_DUTIES_CALLERS_CONNECTION_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "mimosagauge/impl/decisions/effects.h"
#include "mimosagauge/impl/duties/callers/answer_text.h"
#include "mimosagauge/impl/duties/callers/dialect.h"
#include "mimosagauge/impl/duties/callers/request.h"
#include "mimosagauge/impl/duties/common/growing_body.h"

namespace mimosagauge::detail {

class CallerServer;

/// \brief A caller's connection. All members run on the duty's thread.
///
/// Requests on one connection are served one at a time. Pipelined bytes wait
/// in the buffer, up to the size limit of a header.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
 public:
  using Clock = std::chrono::steady_clock;

  /// \param server Must outlive the connection.
  /// \param listener The kind of listener that accepted the connection.
  CallerConnection(boost::asio::ip::tcp::socket socket, CallerServer& server,
                   ListenerKind listener);

  /// \brief Starts reading requests.
  void Start();
  /// \brief Sends a problem without reading a request, then closes the
  /// connection.
  void Refuse(const Problem& problem);

  /// \brief Each of these carries out the effect of the same name (`Abort`:
  /// `AbortAnswer`).
  void SendHead(AnswerHead head);
  void SendBody(const std::string& data);
  void SendEnd();
  void Abort(const Problem& problem);
  void SendProblem(const Problem& problem);

  /// \brief Writes the queued output, unless a write is already in progress.
  void Flush();
  /// \brief Ends the connection if its deadline has passed; a request that
  /// arrives too slowly is answered with a problem first.
  void CheckDeadline(Clock::time_point now);
  /// \brief Closes the socket. An answer in progress is cut off.
  void Close();

 private:
  enum class Phase : std::uint8_t {
    kHeader,     // Waiting for a request, or reading its header.
    kBody,       // The header was read; the body is incomplete.
    kAnswer,     // Waiting for the answer, or writing it.
    kLingering,  // Closed for writing; incoming bytes are discarded.
    kClosed,
  };
  using Parser = boost::beast::http::request_parser<GrowingBody>;

  // Reading requests.
  void WaitReadable();
  void OnReadable();
  void OnPeerClosed();
  [[nodiscard]] std::size_t MaxReadSize() const;
  void ProcessBuffer();
  bool ProcessHeader();
  bool ParseHeader(std::size_t size);
  void OnHeaderParsed();
  bool ProcessBody();
  bool ParseBody();
  bool ReserveBody();
  void RefuseAndClose(const Problem& problem);
  void DispatchRequest();
  void SubmitRequest(UpstreamRequest request, std::string body);
  void SendLocalAnswer(const LocalRequest& request);

  // Writing answers.
  void SendCompleteAnswer(std::uint16_t status, std::vector<Header> headers,
                          const std::string& body);
  void FinishAnswer();
  void EndRequest();
  void ReportAnswerWritten(bool whole);
  void Write();
  void OnWritten(const boost::beast::error_code& error);
  void OnAnswerWritten();
  void PrepareForNextRequest();
  void StartLingeringClose();
  void ResetConnection();
  void SetDeadline(Clock::duration timeout);

  boost::asio::ip::tcp::socket socket_;
  CallerServer& server_;
  ListenerKind listener_;
  boost::beast::flat_buffer buffer_;      // Bytes read but not yet parsed.
  std::unique_ptr<Parser> parser_;        // Null between requests.
  std::optional<CallerRequest> request_;  // Set while its body is being read.
  std::string queued_output_;  // Output to be written after `write_buffer_`.
  std::string write_buffer_;   // Output being written; empty when idle.
  std::uint64_t queued_output_body_bytes_ = 0;  // Body in `queued_output_`.
  std::uint64_t write_buffer_body_bytes_ = 0;   // Body in `write_buffer_`.
  std::optional<Clock::time_point> deadline_;
  // Set from the request's submission until its answer is queued in full.
  std::optional<RequestNumber> request_number_;
  // Set from then on, until its answer is written or the connection closes.
  std::optional<RequestNumber> unwritten_number_;
  RequestId request_id_;  // Id of the request being answered.
  // The head of a short answer, written once the body is complete.
  std::optional<AnswerHead> buffered_head_;
  std::string buffered_body_;  // The body that belongs to `buffered_head_`.
  // Bytes of the answer's body as its head announced them (Content-Length).
  std::optional<std::uint64_t> declared_length_;
  std::uint64_t answer_body_bytes_ = 0;  // Bytes of the answer's body so far.
  // Bytes of `buffer_` already searched for the end of the header.
  std::size_t searched_bytes_ = 0;
  // Bytes of the request body when its current timeout started.
  std::size_t body_size_at_last_check_ = 0;
  std::size_t reserved_body_bytes_ = 0;  // Body bytes counted in the budget.
  Phase phase_ = Phase::kHeader;
  bool read_wait_pending_ = false;  // A wait for readability is pending.
  bool answer_started_ = false;     // The start of the answer was queued.
  bool answer_complete_ = false;    // The whole answer was queued.
  bool keep_alive_ = true;  // Another request may follow on the connection.
  bool omit_body_ = false;  // The method was HEAD or the status has no body.
};

}  // namespace mimosagauge::detail

#endif  // MIMOSAGAUGE_IMPL_DUTIES_CALLERS_CONNECTION_H_
