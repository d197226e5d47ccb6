// The accepting side of links: receives requests from other instances and sends
// them the answers.

#ifndef MIMOSAGAUGE_IMPL_DUTIES_LINKS_SERVER_H_
#define MIMOSAGAUGE_IMPL_DUTIES_LINKS_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "mimosagauge/impl/decisions/effects.h"
#include "mimosagauge/impl/decisions/events.h"
#include "mimosagauge/impl/duties/common/mailbox.h"
#include "mimosagauge/impl/duties/links/connection.h"
#include "mimosagauge/impl/settings/settings.h"

namespace mimosagauge {

/// Maximum number of connections whose greeting is not complete; further ones
/// are closed at once.
inline constexpr std::size_t kMaxUngreeted = 64;

/// \brief Counters of the accepting side since its start.
struct LinkServerCounters {
  std::uint64_t refused_connections =
      0;  ///< Closed because of `kMaxUngreeted`.
  std::uint64_t failed_connections =
      0;  ///< Ended before the greeting was complete.
  std::uint64_t refused_requests = 0;
  std::uint64_t late_frames =
      0;  ///< Frames of requests that had already ended.
};

/// \brief Accepts connections from other instances and keeps the newest one of
/// each.
class LinkServer {
 public:
  LinkServer(boost::asio::io_context& io, const Settings& settings,
             const LinkTimings& timings, Mailbox<Event>& decisions);
  ~LinkServer();

  LinkServer(const LinkServer&) = delete;
  LinkServer& operator=(const LinkServer&) = delete;

  /// \brief Listens on `settings.peer`.
  /// \param tls TLS context; null for plain TCP.
  /// \param own_hello The greeting that this instance sends.
  /// \returns `kUnavailable` when listening on the address fails.
  [[nodiscard]] Result<void> Start(LinkTlsContextPtr tls,
                                   HelloMessage own_hello);
  void Stop();

  /// \brief Announces to all connected instances that this one accepts no more
  /// requests. Requests in progress continue.
  void AnnounceLeaving();

  void Handle(SendAnswerHead&& answer);
  void Handle(SendAnswerBody&& body);
  void Handle(const SendAnswerEnd& end);
  void Handle(AbortAnswer&& abort);
  void Handle(SendProblem&& answer);
  /// \brief Sends the answer to a question of another instance over the
  /// connection by which the question came; drops it if that is closed.
  void Handle(SendConfirmation&& answer);

  /// \brief Sends control state to an instance over the connection that it has
  /// opened. The message is dropped if there is none, or if it is too busy.
  void SendGossip(const InstanceId& to, std::string bytes);

  [[nodiscard]] std::uint16_t port() const noexcept { return port_; }
  [[nodiscard]] const LinkServerCounters& counters() const noexcept {
    return counters_;
  }
  /// \returns The number of connections whose greeting is not complete.
  [[nodiscard]] std::size_t ungreeted() const noexcept {
    return pending_greetings_;
  }
  /// \returns The total bytes written on the connections that are open now.
  [[nodiscard]] std::uint64_t bytes_written() const noexcept;

 private:
  using Clock = std::chrono::steady_clock;
  struct Link;
  using LinkPtr = std::shared_ptr<Link>;
  /// A request whose body has not been received completely.
  struct PartialRequest {
    RequestMessage request;
    std::string body;
    std::uint32_t body_frames = 0;
    Clock::time_point started_at;
  };
  /// A request that has been posted to the gateway state machine and whose
  /// answer is not complete.
  struct ActiveRequest {
    LinkPtr link;
    StreamNumber stream;
    bool head_sent = false;
    std::uint32_t body_frames = 0;
    Bytes sent_bytes;
  };
  struct Link {
    LinkConnectionPtr connection;
    std::string address;
    bool greeting_complete = false;
    Bytes partial_request_bytes;
    std::unordered_map<StreamNumber, PartialRequest> partial_requests;
    std::unordered_map<StreamNumber, RequestNumber> request_numbers;
    /// Requests whose answers have ended and still have frames to be written.
    std::unordered_map<StreamNumber, RequestNumber> unwritten_answers;
  };

  void Accept();
  void OnAccepted(const boost::system::error_code& error,
                  boost::asio::ip::tcp::socket socket);
  void OnOpen(const LinkPtr& link, const HelloMessage& hello);
  void OnClosed(const LinkPtr& link, LinkCloseReason close_reason,
                const Error& error);
  [[nodiscard]] bool TakeLogQuota();

  void OnMessage(const LinkPtr& link, Message&& message);
  void HandleMessage(const LinkPtr& link, RequestMessage&& request);
  void HandleMessage(const LinkPtr& link, RequestBodyMessage&& body);
  void HandleMessage(const LinkPtr& link, CancelMessage&& cancel);
  void HandleMessage(const LinkPtr& link, CreditMessage&& credit);
  void HandleMessage(const LinkPtr& link, GossipMessage&& gossip);
  void HandleMessage(const LinkPtr& link, GoodbyeMessage&& goodbye);
  template <typename Unexpected>
  void HandleMessage(const LinkPtr& link, Unexpected&& message);

  [[nodiscard]] std::optional<Problem> CheckAdmission(
      const Link& link, const RequestMessage& request) const;
  void RefuseRequest(Link& link, StreamNumber stream, Problem&& problem);
  void StartRequest(const LinkPtr& link, PartialRequest&& partial);
  void CloseOnProtocolError(Link& link, const char* detail);
  ActiveRequest* FindActiveRequest(RequestNumber number);
  [[nodiscard]] static Message MakeProblemMessage(
      const ActiveRequest& active_request, const Problem& problem);
  void AbortRequest(RequestNumber number, ActiveRequest& active_request,
                    Problem problem);
  void FinishRequest(RequestNumber number);
  void OnStreamsWritten(const LinkPtr& link,
                        const std::vector<StreamNumber>& streams);

  boost::asio::io_context& io_;
  const Settings& settings_;
  LinkTimings timings_;
  Mailbox<Event>& decisions_;
  LinkTlsContextPtr tls_;
  HelloMessage own_hello_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_timer_;
  std::uint16_t port_ = 0;
  bool stopped_ = false;
  bool leaving_ = false;
  std::size_t pending_greetings_ = 0;
  std::unordered_map<LinkConnection*, LinkPtr> links_;
  std::unordered_map<InstanceId, LinkPtr>
      link_by_instance_;  // Links whose greeting is complete.
  std::unordered_map<RequestNumber, ActiveRequest> active_requests_;
  std::size_t partial_request_count_ = 0;  // Sum over all links.
  std::uint64_t next_number_ =
      1;  // Odd; requests from callers have even numbers.
  Clock::time_point log_window_start_;
  std::size_t logged_in_window_ = 0;  // Entries logged in the current window.
  LinkServerCounters counters_;
};

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DUTIES_LINKS_SERVER_H_
