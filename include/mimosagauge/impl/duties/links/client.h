// The dialing side of links: gives requests to other instances and takes
// their answers.

#ifndef MIMOSAGAUGE_IMPL_DUTIES_LINKS_CLIENT_H_
#define MIMOSAGAUGE_IMPL_DUTIES_LINKS_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <random>
#include <unordered_map>

#include "mimosagauge/impl/decisions/effects.h"
#include "mimosagauge/impl/decisions/events.h"
#include "mimosagauge/impl/duties/common/mailbox.h"
#include "mimosagauge/impl/duties/links/connection.h"
#include "mimosagauge/impl/settings/settings.h"

namespace mimosagauge {

/// \brief Counts of the dialing side since the start.
struct LinkClientCounters {
  std::uint64_t failed_connections = 0;  ///< Ended before they were up.
  std::uint64_t late_frames = 0;         ///< Of cancelled or unknown attempts.
  std::uint64_t dropped_gossip = 0;      ///< No link, or too much queued on it.
  std::uint64_t broken_answers = 0;      ///< Gap, repeat, wrong total, overrun.
};

/// \brief Keeps one link to each other instance it has to do with.
///
/// What is said of an attempt that failed: not run when no byte of its request
/// had been handed to the connection, ran when its answer had begun, unknown
/// otherwise; a problem from the other side says its own.
class LinkClient {
 public:
  /// \param tls Null: plain TCP.
  LinkClient(boost::asio::io_context& io, const Settings& settings,
             const LinkTimings& timings, Mailbox<Event>& decisions);
  ~LinkClient();

  LinkClient(const LinkClient&) = delete;
  LinkClient& operator=(const LinkClient&) = delete;

  /// \brief Connects to all known peers.
  /// \param tls Null: plain TCP.
  void Start(LinkTlsContextPtr tls, HelloMessage own);
  void Stop();

  /// \brief Makes another instance known; it is dialled when needed. A known
  /// one's address is replaced for its next connection.
  void Learn(const PeerSettings& peer);

  /// \brief Makes another instance known and keeps a link to it.
  void Handle(const UseInstance& use);
  /// \brief Ends the link to another instance and forgets it.
  void Handle(const DropInstance& drop);

  void Handle(StartLinkAttempt&& start);
  void Handle(const CancelAttempt& cancel);
  void Handle(const CreditAttempt& credit);

  /// \brief Sends control state if the link is up, else drops it and counts.
  void Handle(SendGossip&& gossip);

  /// \brief The same with a load digest.
  void Handle(SendLoad&& load);

  [[nodiscard]] const LinkClientCounters& counters() const noexcept {
    return counters_;
  }
  /// \returns Bytes written on links that are up now.
  [[nodiscard]] std::uint64_t bytes_written() const noexcept;

 private:
  struct Attempt {
    AttemptNumber number;
    bool answered = false;
    std::uint32_t frames = 0;
    Bytes received;
    Bytes allowed;  // Credit given so far.
  };
  enum class PeerState : std::uint8_t {
    kIdle,        // Not connected, and no reason to be.
    kConnecting,  // TCP connection or greeting in progress.
    kUp,
    kBackoff,  // Waits before connecting again.
  };
  // Invariant: `connection` is set while connecting after TCP is up, and while
  // up; attempts exist only while up; `waiting` only while connecting.
  struct Peer {
    explicit Peer(boost::asio::io_context& io) : timer(io) {}
    PeerSettings settings;
    PeerState state = PeerState::kIdle;
    bool leaving = false;        // Takes no more requests on this connection.
    bool dropped = false;        // Is not dialled any more.
    std::uint32_t failures = 0;  // Connections in a row that did not open.
    std::uint64_t dial = 0;      // Tells a late connect apart.
    std::shared_ptr<boost::asio::ip::tcp::socket> socket;  // Connecting.
    LinkConnectionPtr connection;
    std::unordered_map<AttemptNumber, Attempt> attempts;
    std::deque<StartLinkAttempt> waiting;
    boost::asio::steady_timer timer;
  };
  using PeerPtr = std::unique_ptr<Peer>;

  void Dial(Peer& peer);
  void OnConnected(Peer& peer, const boost::system::error_code& error);
  void OnOpen(Peer& peer, const HelloMessage& hello);
  void OnClosed(Peer& peer, LinkEnd why, const Error& error);
  void DialFailed(Peer& peer, const Error& error);
  void BackOff(Peer& peer);
  [[nodiscard]] Duration Pause(std::uint32_t failures);

  void Send(Peer& peer, StartLinkAttempt&& start);
  void Fail(AttemptNumber attempt, RunState run, const Error& error);
  void FailWaiting(Peer& peer, const Error& error);
  void FailAttempts(Peer& peer, const Error& error);
  void BreakAnswer(Peer& peer, AttemptNumber attempt, const char* what);
  void Forget(Peer& peer, AttemptNumber attempt);
  Attempt* Find(Peer& peer, StreamNumber stream);

  void OnMessage(Peer& peer, Message&& message);
  void On(Peer& peer, AnswerHeadMessage&& answer);
  void On(Peer& peer, AnswerBodyMessage&& body);
  void On(Peer& peer, AnswerEndMessage&& end);
  void On(Peer& peer, AnswerAbortedMessage&& aborted);
  void On(Peer& peer, ProblemMessage&& answer);
  void On(Peer& peer, GossipMessage&& gossip);
  void On(Peer& peer, GoodbyeMessage&& goodbye);
  template <typename Other>
  void On(Peer& peer, Other&& other);
  void OnProblem(Peer& peer, StreamNumber stream, Problem&& problem);

  boost::asio::io_context& io_;
  const Settings& settings_;
  LinkTimings timings_;
  Mailbox<Event>& decisions_;
  LinkTlsContextPtr tls_;
  HelloMessage own_;
  bool stopped_ = false;
  std::unordered_map<InstanceId, PeerPtr> peers_;
  std::unordered_map<AttemptNumber, Peer*> peer_of_;  // Live attempts.
  std::minstd_rand random_;                           // Spreads reconnections.
  LinkClientCounters counters_;
};

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DUTIES_LINKS_CLIENT_H_
