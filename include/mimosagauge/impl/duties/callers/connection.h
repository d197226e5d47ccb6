// One connection from a caller: reads requests one after the other and
// writes their answers.

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

/// \brief A connection from a caller. All on the duty's thread.
///
/// Requests on one connection are served one at a time; bytes that arrive
/// early wait in the buffer, up to the bound of a header.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
 public:
  using Clock = std::chrono::steady_clock;

  /// \param server Outlives the connection.
  /// \param listener Which one took the connection.
  CallerConnection(boost::asio::ip::tcp::socket socket, CallerServer& server,
                   ListenerKind listener);

  /// \brief Begins to read requests.
  void Start();
  /// \brief Answers with a problem without reading anything, and closes.
  void Refuse(const Problem& problem);

  /// \brief Each does what the effect of the same name says.
  void SendHead(AnswerHead head);
  void SendBody(const std::string& data);
  void SendEnd();
  void Abort(const Problem& problem);
  void SendProblem(const Problem& problem);

  /// \brief Writes what has been queued.
  void Flush();
  /// \brief Ends the connection if its deadline has passed.
  void CheckDeadline(Clock::time_point now);
  /// \brief Closes the socket; the answer in progress, if any, is cut off.
  void Close();

 private:
  enum class Phase : std::uint8_t {
    kHeader,  // Between requests, or some of a header is there.
    kBody,    // A header is there, its body is not whole.
    kAnswer,  // The answer is awaited or being written.
    kLinger,  // Closed for writing; what still arrives is thrown away.
    kClosed,
  };
  using Parser = boost::beast::http::request_parser<GrowingBody>;

  // Reading.
  void WaitReadable();
  void OnReadable();
  void OnPeerClosed();
  [[nodiscard]] std::size_t ReadRoom() const;
  void Advance();
  bool TakeHeader();
  bool ParseHeader(std::size_t size);
  void BeginRequest();
  bool TakeBody();
  bool ParseBody();
  bool ReserveBody();
  void RefuseAndClose(const Problem& problem);
  void Dispatch();
  void Submit(UpstreamRequest request, std::string body);
  void AnswerOwn(const OwnRequest& request);

  // Writing.
  void SendWhole(std::uint16_t status, std::vector<Header> headers,
                 const std::string& body);
  void FinishAnswer();
  void Write();
  void OnWritten(const boost::beast::error_code& error);
  void OnAnswerWritten();
  void NextRequest();
  void Linger();
  void Reset();
  void Expect(Clock::duration within);

  boost::asio::ip::tcp::socket socket_;
  CallerServer& server_;
  ListenerKind listener_;
  boost::beast::flat_buffer buffer_;      // Read and not yet parsed.
  std::unique_ptr<Parser> parser_;        // Null between requests.
  std::optional<CallerRequest> request_;  // While its body is being read.
  std::string out_;                       // Queued behind `writing_`.
  std::string writing_;                   // Being written; empty: no write.
  std::uint64_t out_payload_ = 0;         // Body bytes within `out_`.
  std::uint64_t writing_payload_ = 0;     // Body bytes within `writing_`.
  std::optional<Clock::time_point> deadline_;
  std::optional<RequestNumber> number_;    // Known to the decisions.
  RequestId id_;                           // Of the request being answered.
  std::optional<AnswerHead> held_;         // Written once its body is whole.
  std::string held_body_;                  // Of the held head.
  std::optional<std::uint64_t> declared_;  // Length of the answer's body.
  std::uint64_t passed_ = 0;               // Body bytes of the answer so far.
  std::size_t searched_ = 0;   // Of the buffer, for the end of the header.
  std::size_t body_mark_ = 0;  // Size of the body when its time began.
  std::size_t reserved_ = 0;   // Body bytes counted in the budget.
  Phase phase_ = Phase::kHeader;
  bool watching_ = false;   // A wait for readability is pending.
  bool started_ = false;    // Part of the answer has been queued.
  bool finished_ = false;   // All of the answer has been queued.
  bool keep_alive_ = true;  // Another request may follow.
  bool head_only_ = false;  // The request was HEAD.
};

}  // namespace mimosagauge::detail

#endif  // MIMOSAGAUGE_IMPL_DUTIES_CALLERS_CONNECTION_H_
