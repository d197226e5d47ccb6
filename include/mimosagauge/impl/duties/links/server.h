// The accepting side of links: takes requests of other instances and sends
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

#include "mimosagauge/impl/decisions/effects.h"
#include "mimosagauge/impl/decisions/events.h"
#include "mimosagauge/impl/duties/common/mailbox.h"
#include "mimosagauge/impl/duties/links/connection.h"
#include "mimosagauge/impl/settings/settings.h"

namespace mimosagauge {

/// Connections that have not greeted, at most.
inline constexpr std::size_t kMaxUngreeted = 64;

/// \brief Counts of the accepting side since the start.
struct LinkServerCounters {
  std::uint64_t refused_connections = 0;  ///< Beyond `kMaxUngreeted`.
  std::uint64_t failed_connections = 0;   ///< Ended before the greeting.
  std::uint64_t refused_requests = 0;
  std::uint64_t late_frames = 0;  ///< Of requests that had ended.
};

/// \brief Listens for other instances; one connection of each is kept.
class LinkServer {
 public:
  LinkServer(boost::asio::io_context& io, const Settings& settings,
             const LinkTimings& timings, Mailbox<Event>& decisions);
  ~LinkServer();

  LinkServer(const LinkServer&) = delete;
  LinkServer& operator=(const LinkServer&) = delete;

  /// \brief Listens on `settings.peer`.
  /// \param tls Null: plain TCP.
  /// \returns `kUnavailable` when the address cannot be listened on.
  [[nodiscard]] Result<void> Start(LinkTlsContextPtr tls, HelloMessage own);
  void Stop();

  /// \brief Tells all others that this instance takes no more requests; those
  /// in progress go on.
  void Leave();

  void Handle(SendAnswerHead&& answer);
  void Handle(SendAnswerBody&& body);
  void Handle(const SendAnswerEnd& end);
  void Handle(AbortAnswer&& abort);
  void Handle(SendProblem&& answer);

  [[nodiscard]] std::uint16_t port() const noexcept { return port_; }
  [[nodiscard]] const LinkServerCounters& counters() const noexcept {
    return counters_;
  }
  /// \returns Connections that have not greeted yet.
  [[nodiscard]] std::size_t ungreeted() const noexcept { return ungreeted_; }
  /// \returns Bytes written on links that are up now.
  [[nodiscard]] std::uint64_t bytes_written() const noexcept;

 private:
  using Clock = std::chrono::steady_clock;
  struct Link;
  using LinkPtr = std::shared_ptr<Link>;
  /// A request whose body is still coming in.
  struct Partial {
    RequestMessage request;
    std::string body;
    std::uint32_t frames = 0;
    Clock::time_point began;
  };
  /// A request handed to the decisions.
  struct Running {
    LinkPtr link;
    StreamNumber stream;
    bool answered = false;
    std::uint32_t frames = 0;
    Bytes sent;
  };
  struct Link {
    LinkConnectionPtr connection;
    std::string address;
    bool greeted = false;
    Bytes partial_bytes;
    std::unordered_map<StreamNumber, Partial> partials;
    std::unordered_map<StreamNumber, RequestNumber> running;
  };

  void Accept();
  void OnAccepted(const boost::system::error_code& error,
                  boost::asio::ip::tcp::socket socket);
  void OnOpen(const LinkPtr& link, const HelloMessage& hello);
  void OnClosed(const LinkPtr& link, LinkEnd why, const Error& error);
  [[nodiscard]] bool MayLog();

  void OnMessage(const LinkPtr& link, Message&& message);
  void On(const LinkPtr& link, RequestMessage&& request);
  void On(const LinkPtr& link, RequestBodyMessage&& body);
  void On(const LinkPtr& link, CancelMessage&& cancel);
  void On(const LinkPtr& link, CreditMessage&& credit);
  void On(const LinkPtr& link, GossipMessage&& gossip);
  void On(const LinkPtr& link, GoodbyeMessage&& goodbye);
  template <typename Other>
  void On(const LinkPtr& link, Other&& other);

  [[nodiscard]] std::optional<Problem> Refusal(
      const Link& link, const RequestMessage& request) const;
  void Refuse(Link& link, StreamNumber stream, Problem&& problem);
  void Arrive(const LinkPtr& link, Partial&& partial);
  void BreakLink(Link& link, const char* what);
  Running* Find(RequestNumber number);
  [[nodiscard]] static Message ProblemFor(const Running& running,
                                          const Problem& problem);
  void Abort(RequestNumber number, Running& running, Problem problem);
  void Finish(RequestNumber number);

  boost::asio::io_context& io_;
  const Settings& settings_;
  LinkTimings timings_;
  Mailbox<Event>& decisions_;
  LinkTlsContextPtr tls_;
  HelloMessage own_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_timer_;
  std::uint16_t port_ = 0;
  bool stopped_ = false;
  bool leaving_ = false;
  std::size_t ungreeted_ = 0;
  std::unordered_map<LinkConnection*, LinkPtr> links_;
  std::unordered_map<InstanceId, LinkPtr> link_of_;  // Greeted ones.
  std::unordered_map<RequestNumber, Running> running_;
  std::size_t partial_count_ = 0;  // Over all links.
  std::uint64_t next_number_ = 1;  // Odd.
  Clock::time_point log_window_;
  std::size_t logged_ = 0;  // In the window.
  LinkServerCounters counters_;
};

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DUTIES_LINKS_SERVER_H_
