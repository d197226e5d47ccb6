// The dialing side of links: sends requests to other instances and receives
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

/// \brief Counters of the dialing side since its start.
struct LinkClientCounters {
  std::uint64_t failed_connections =
      0;  ///< Connections that ended before the link was up.
  std::uint64_t late_frames = 0;  ///< Frames of cancelled or unknown attempts.
  std::uint64_t dropped_gossip =
      0;  ///< Messages dropped: no link, or its queue is full.
  std::uint64_t invalid_answers = 0;  ///< Missing or repeated frame, wrong
                                      ///< total, or more bytes than credit.
};

/// \brief Keeps one link to each other instance that it has been given.
///
/// The run state reported for a failed attempt is `kNotRun` when no byte of its
/// request had been passed to the connection, `kRan` when its answer had begun,
/// and `kUnknown` otherwise. A problem sent by the other instance carries its
/// own run state.
class LinkClient {
 public:
  /// \param settings Must outlive the client.
  LinkClient(boost::asio::io_context& io, const Settings& settings,
             const LinkTimings& timings, Mailbox<Event>& decisions);
  ~LinkClient();

  LinkClient(const LinkClient&) = delete;
  LinkClient& operator=(const LinkClient&) = delete;

  /// \brief Connects to all peers in the settings.
  /// \param tls TLS context; null for plain TCP.
  /// \param own_hello The greeting that this instance sends.
  void Start(LinkTlsContextPtr tls, HelloMessage own_hello);
  void Stop();

  /// \brief Adds another instance, which is dialed when a request or gossip for
  /// it is to be sent. If it was added before, the new address is used from the
  /// next connection on.
  void AddPeer(const PeerSettings& peer);

  /// \brief Adds another instance and keeps a link to it.
  void Handle(const ConnectInstance& use);
  /// \brief Stops reconnecting to another instance. A link that is up stays
  /// until it is closed.
  void Handle(const DisconnectInstance& drop);

  void Handle(StartLinkAttempt&& start);
  void Handle(const CancelAttempt& cancel);
  void Handle(const AddAttemptCredit& credit);

  /// \brief Sends control state if the link is up; otherwise drops it and
  /// counts it in `dropped_gossip`.
  void Handle(SendGossip&& gossip);

  /// \brief Sends control state if the link is up.
  /// \returns Whether it was sent. An idle link is dialed otherwise.
  [[nodiscard]] bool TrySendGossip(const InstanceId& to, std::string bytes);

  /// \brief Encodes a load digest and sends it like gossip.
  void Handle(SendLoad&& load);
  void Handle(SendTraffic&& traffic);
  void Handle(SendPlacement&& placement);

  [[nodiscard]] const LinkClientCounters& counters() const noexcept {
    return counters_;
  }
  /// \returns The total bytes written on the connections that are open now.
  [[nodiscard]] std::uint64_t bytes_written() const noexcept;

 private:
  struct Attempt {
    AttemptNumber number;
    bool head_received = false;
    std::uint32_t body_frames = 0;
    Bytes received_bytes;
    Bytes granted_credit;  // Total credit granted to the other instance.
  };
  enum class PeerState : std::uint8_t {
    kIdle,        // Not connected, and no connection is needed.
    kConnecting,  // The TCP connection or the greeting is in progress.
    kUp,
    kBackoff,  // Waiting before the next connection attempt.
  };
  // Invariant: `connection` is set in kConnecting once TCP is connected, and in
  // kUp; `attempts` is empty except in kUp; `waiting_attempts` is empty except
  // in kConnecting.
  struct Peer {
    explicit Peer(boost::asio::io_context& io) : timer(io) {}
    PeerSettings settings;
    PeerState state = PeerState::kIdle;
    bool leaving =
        false;  // The peer accepts no more requests on this connection.
    bool dropped = false;  // The peer is not dialed again.
    std::uint32_t consecutive_failures =
        0;                          // Failed connection attempts in a row.
    std::uint64_t dial_number = 0;  // Number of the current connection attempt;
                                    // results of older ones are ignored.
    std::shared_ptr<boost::asio::ip::tcp::socket>
        socket;  // Set while TCP connects.
    LinkConnectionPtr connection;
    std::unordered_map<AttemptNumber, Attempt> attempts;
    std::deque<StartLinkAttempt> waiting_attempts;
    boost::asio::steady_timer timer;
  };
  using PeerPtr = std::unique_ptr<Peer>;

  void Dial(Peer& peer);
  void OnConnected(Peer& peer, const boost::system::error_code& error);
  void OnOpen(Peer& peer, const HelloMessage& hello);
  void OnClosed(Peer& peer, LinkCloseReason close_reason, const Error& error);
  void HandleDialFailure(Peer& peer, const Error& error);
  void ScheduleReconnect(Peer& peer);
  [[nodiscard]] Duration BackoffDelay(std::uint32_t consecutive_failures);

  void SendRequest(Peer& peer, StartLinkAttempt&& start);
  void PostFailure(AttemptNumber attempt, RunState run, const Error& error);
  void FailWaitingAttempts(Peer& peer, const Error& error);
  void FailStartedAttempts(Peer& peer, const Error& error);
  void RejectAnswer(Peer& peer, AttemptNumber attempt, const char* detail);
  void RemoveAttempt(Peer& peer, AttemptNumber attempt);
  Attempt* FindAttempt(Peer& peer, StreamNumber stream);

  void OnMessage(Peer& peer, Message&& message);
  void HandleMessage(Peer& peer, AnswerHeadMessage&& answer);
  void HandleMessage(Peer& peer, AnswerBodyMessage&& body);
  void HandleMessage(Peer& peer, AnswerEndMessage&& end);
  void HandleMessage(Peer& peer, AnswerAbortedMessage&& aborted);
  void HandleMessage(Peer& peer, ProblemMessage&& answer);
  void HandleMessage(Peer& peer, GossipMessage&& gossip);
  void HandleMessage(Peer& peer, GoodbyeMessage&& goodbye);
  template <typename Unexpected>
  void HandleMessage(Peer& peer, Unexpected&& message);
  void HandleProblem(Peer& peer, StreamNumber stream, Problem&& problem);

  boost::asio::io_context& io_;
  const Settings& settings_;
  LinkTimings timings_;
  Mailbox<Event>& decisions_;
  LinkTlsContextPtr tls_;
  HelloMessage own_hello_;
  bool stopped_ = false;
  std::unordered_map<InstanceId, PeerPtr> peers_;
  std::unordered_map<AttemptNumber, Peer*>
      peer_by_attempt_;              // All attempts not yet ended.
  std::minstd_rand backoff_random_;  // Randomizes the reconnect delay.
  LinkClientCounters counters_;
};

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DUTIES_LINKS_CLIENT_H_
