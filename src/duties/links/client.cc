// Implementation of the dialing side of links.

#include "mimosagauge/impl/duties/links/client.h"

#include <fmt/format.h>

#include <algorithm>
#include <type_traits>
#include <utility>
#include <variant>

#include "mimosagauge/impl/duties/common/log.h"
#include "mimosagauge/impl/duties/links/gossip.h"
#include "mimosagauge/impl/duties/links/log.h"
#include "mimosagauge/impl/wire/load_codec.h"

namespace mimosagauge {
namespace {

/// Maximum number of attempts that wait for one connection to open.
constexpr std::size_t kMaxWaitingAttempts = 1024;
/// Bytes by which an answer may exceed its credit: the payload of one frame.
constexpr Bytes kMaxCreditOverrun{kMaxDataPayload};
constexpr std::uint32_t kMaxBackoffDoublings = 16;

[[nodiscard]] StreamNumber StreamOf(AttemptNumber attempt) {
  return StreamNumber{attempt.value()};
}

[[nodiscard]] AttemptNumber AttemptOf(StreamNumber stream) {
  return AttemptNumber{stream.value()};
}

[[nodiscard]] Error UnknownInstanceError(const InstanceId& instance) {
  return Error{
      ErrorKind::kNotFound,
      fmt::format("no address is known for instance '{}'", instance.value()),
      "add the instance to peers in the settings"};
}

[[nodiscard]] Error LinkNotUpError(const InstanceId& instance) {
  return Error{
      ErrorKind::kUnavailable,
      fmt::format("the link to instance '{}' is not up", instance.value()),
      "check that the instance is running and reachable"};
}

[[nodiscard]] Error InstanceLeavingError(const InstanceId& instance) {
  return Error{ErrorKind::kUnavailable,
               fmt::format("instance '{}' is leaving and accepts no requests",
                           instance.value()),
               "send the request to another instance"};
}

[[nodiscard]] Error LinkQueueFullError(const InstanceId& instance) {
  return Error{
      ErrorKind::kOverloaded,
      fmt::format("the send queue of the link to instance '{}' is full",
                  instance.value()),
      "retry later, or increase the bandwidth between the instances"};
}

[[nodiscard]] Error RequestHeadTooLargeError() {
  return Error{ErrorKind::kInvalidInput,
               "the request's header fields do not fit into one link frame",
               "send smaller header fields"};
}

[[nodiscard]] Error InvalidAnswerError(const char* detail) {
  return Error{ErrorKind::kInvalidInput,
               fmt::format("invalid answer from another instance: {}", detail),
               "run the same release on both sides"};
}

[[nodiscard]] Error ErrorFromProblem(const Problem& problem) {
  const ErrorKind kind = problem.run == RunState::kNotRun
                             ? ErrorKind::kUnavailable
                             : ErrorKind::kUnknownOutcome;
  return Error{kind, problem.detail, problem.remedy};
}

[[nodiscard]] Error StoppingError() {
  return Error{ErrorKind::kUnavailable, "this instance is stopping", ""};
}

}  // namespace

LinkClient::LinkClient(boost::asio::io_context& io, const Settings& settings,
                       const LinkTimings& timings, Mailbox<Event>& decisions)
    : io_(io),
      settings_(settings),
      timings_(timings),
      decisions_(decisions),
      backoff_random_(std::random_device{}()) {}

LinkClient::~LinkClient() = default;

void LinkClient::Start(LinkTlsContextPtr tls, HelloMessage own_hello) {
  tls_ = std::move(tls);
  own_hello_ = std::move(own_hello);
  for (const PeerSettings& peer : settings_.peers) {
    if (peer.id != settings_.instance) {
      AddPeer(peer);
      Dial(*peers_[peer.id]);
    }
  }
}

void LinkClient::Stop() {
  stopped_ = true;
  for (auto& [id, peer] : peers_) {
    boost::system::error_code ignored;
    peer->timer.cancel();
    if (peer->socket != nullptr) {
      peer->socket->close(ignored);
    }
    if (peer->connection != nullptr) {
      // This copy keeps the connection alive: `OnClosed` resets
      // `peer->connection`.
      const LinkConnectionPtr connection = peer->connection;
      connection->Close(LinkCloseReason::kClosedLocally, StoppingError());
    }
    FailWaitingAttempts(*peer, StoppingError());
  }
}

void LinkClient::AddPeer(const PeerSettings& peer) {
  PeerPtr& known = peers_[peer.id];
  if (known == nullptr) {
    known = std::make_unique<Peer>(io_);
  }
  known->settings = peer;
}

void LinkClient::Handle(const ConnectInstance& use) {
  PeerSettings settings;
  settings.id = use.peer.id;
  settings.region = use.peer.region;
  settings.zone = use.peer.zone;
  settings.peer = use.peer.link;
  settings.entry = use.peer.entry;
  const auto known = peers_.find(settings.id);
  const bool address_changed =
      known != peers_.end() && known->second->settings.peer != settings.peer;
  AddPeer(settings);
  Peer& peer = *peers_[settings.id];
  peer.dropped = false;
  if (address_changed && peer.connection != nullptr) {
    // The instance has been started again at another address, so the connection
    // to its old address is closed.
    const LinkConnectionPtr connection = peer.connection;
    connection->Close(LinkCloseReason::kClosedLocally,
                      LinkNotUpError(settings.id));
  }
  if (peer.state == PeerState::kIdle && !stopped_) {
    Dial(peer);
  }
}

// The `Peer` object is kept, because pending handlers refer to it.
void LinkClient::Handle(const DisconnectInstance& drop) {
  const auto found = peers_.find(drop.id);
  if (found == peers_.end()) {
    return;
  }
  Peer& peer = *found->second;
  peer.dropped = true;
  if (peer.state == PeerState::kBackoff) {
    peer.timer.cancel();
    peer.state = PeerState::kIdle;
  }
}

// --- connecting -------------------------------------------------------------

void LinkClient::Dial(Peer& peer) {
  peer.state = PeerState::kConnecting;
  const std::uint64_t dial_number = ++peer.dial_number;
  boost::system::error_code error;
  const auto address =
      boost::asio::ip::make_address(peer.settings.peer.address, error);
  if (error) {
    HandleDialFailure(peer, LinkNotUpError(peer.settings.id));
    return;
  }
  peer.socket = std::make_shared<boost::asio::ip::tcp::socket>(io_);
  // If the deadline passes first, closing the socket makes the connect fail.
  peer.timer.expires_after(timings_.connect_timeout);
  peer.timer.async_wait([socket = peer.socket](const auto& cancelled) {
    if (!cancelled) {
      boost::system::error_code ignored;
      socket->close(ignored);
    }
  });
  peer.socket->async_connect(
      {address, peer.settings.peer.port},
      [this, &peer, dial_number, socket = peer.socket](const auto& failure) {
        if (!stopped_ && peer.dial_number == dial_number) {
          OnConnected(peer, failure);
        }
      });
}

void LinkClient::OnConnected(Peer& peer,
                             const boost::system::error_code& error) {
  peer.timer.cancel();
  const auto socket = std::move(peer.socket);
  if (error || !socket->is_open()) {
    if (peer.consecutive_failures == 0) {
      Log(log_events::kLinkNotUp,
          {{"peer", peer.settings.id.value()}, {"error", error.message()}});
    }
    HandleDialFailure(peer, LinkNotUpError(peer.settings.id));
    return;
  }
  peer.connection = std::make_shared<LinkConnection>(
      io_, LinkTransport(std::move(*socket), tls_), LinkRole::kDialing,
      timings_, own_hello_, peer.settings.id);
  peer.connection->Start(
      {[this, &peer](const HelloMessage& hello) { OnOpen(peer, hello); },
       [this, &peer](Message&& message) {
         OnMessage(peer, std::move(message));
       },
       [this, &peer](LinkCloseReason close_reason, const Error& failure) {
         OnClosed(peer, close_reason, failure);
       }});
}

void LinkClient::OnOpen(Peer& peer, const HelloMessage& hello) {
  peer.state = PeerState::kUp;
  peer.leaving = false;
  peer.consecutive_failures = 0;
  Log(log_events::kLinkUp,
      {{"peer", hello.instance.value()},
       {"version", std::to_string(peer.connection->version())}});
  decisions_.Post(LinkChanged{peer.settings.id, true});
  std::deque<StartLinkAttempt> waiting_attempts =
      std::move(peer.waiting_attempts);
  peer.waiting_attempts.clear();
  for (StartLinkAttempt& start : waiting_attempts) {
    SendRequest(peer, std::move(start));
  }
}

void LinkClient::OnClosed(Peer& peer, LinkCloseReason close_reason,
                          const Error& error) {
  const bool was_up = peer.state == PeerState::kUp;
  if (was_up || peer.consecutive_failures == 0) {
    LogLinkClosed(close_reason, peer.settings.id.value(), error);
  }
  if (!was_up) {
    peer.connection = nullptr;
    HandleDialFailure(peer, error);
    return;
  }
  peer.state = PeerState::kBackoff;
  FailStartedAttempts(peer, error);
  peer.connection = nullptr;
  decisions_.Post(LinkChanged{peer.settings.id, false});
  ScheduleReconnect(peer);
}

void LinkClient::HandleDialFailure(Peer& peer, const Error& error) {
  peer.state = PeerState::kBackoff;
  FailWaitingAttempts(peer, error);
  ++peer.consecutive_failures;
  ++counters_.failed_connections;
  ScheduleReconnect(peer);
}

void LinkClient::ScheduleReconnect(Peer& peer) {
  if (stopped_) {
    return;
  }
  if (peer.dropped) {
    peer.state = PeerState::kIdle;
    return;
  }
  peer.timer.expires_after(BackoffDelay(peer.consecutive_failures));
  peer.timer.async_wait([this, &peer](const auto& cancelled) {
    if (!cancelled && !stopped_) {
      Dial(peer);
    }
  });
}

Duration LinkClient::BackoffDelay(std::uint32_t consecutive_failures) {
  const auto doublings = std::min(consecutive_failures, kMaxBackoffDoublings);
  const Duration delay = std::min(timings_.longest_backoff,
                                  timings_.first_backoff * (1U << doublings));
  // The delay is chosen at random between half and all of the backoff, so that
  // instances do not reconnect at the same moment.
  std::uniform_int_distribution<Duration::rep> jitter(delay.count() / 2,
                                                      delay.count());
  return Duration{jitter(backoff_random_)};
}

// --- attempts ---------------------------------------------------------------

void LinkClient::Handle(StartLinkAttempt&& start) {
  const auto found = peers_.find(start.instance);
  if (found == peers_.end()) {
    PostFailure(start.attempt, RunState::kNotRun,
                UnknownInstanceError(start.instance));
    return;
  }
  Peer& peer = *found->second;
  if (peer.state == PeerState::kIdle && !stopped_) {
    Dial(peer);
  }
  const bool can_wait =
      peer.state == PeerState::kConnecting && peer.consecutive_failures == 0;
  if (can_wait && peer.waiting_attempts.size() < kMaxWaitingAttempts) {
    peer_by_attempt_[start.attempt] = &peer;
    peer.waiting_attempts.push_back(std::move(start));
    return;
  }
  if (peer.state != PeerState::kUp || !peer.connection->is_open()) {
    PostFailure(start.attempt, RunState::kNotRun,
                LinkNotUpError(start.instance));
    return;
  }
  SendRequest(peer, std::move(start));
}

void LinkClient::SendRequest(Peer& peer, StartLinkAttempt&& start) {
  LinkConnection& link = *peer.connection;
  if (peer.leaving) {
    PostFailure(start.attempt, RunState::kNotRun,
                InstanceLeavingError(start.instance));
    return;
  }
  if (link.queue().size() > kMaxQueuedBytes) {
    PostFailure(start.attempt, RunState::kNotRun,
                LinkQueueFullError(start.instance));
    return;
  }
  RequestMessage request;
  request.stream = StreamOf(start.attempt);
  request.head = *start.head;
  request.head.remaining = start.remaining;
  request.body_size = Bytes{start.body->size()};
  request.credit = start.credit;
  const StreamNumber stream = request.stream;
  if (!link.SendOnStream(stream, std::move(request))) {
    PostFailure(start.attempt, RunState::kNotRun, RequestHeadTooLargeError());
    return;
  }
  link.queue().PushRequestBody(stream, std::move(start.body), link.version());
  Attempt attempt;
  attempt.number = start.attempt;
  attempt.granted_credit = start.credit;
  peer.attempts.emplace(start.attempt, attempt);
  peer_by_attempt_[start.attempt] = &peer;
}

void LinkClient::Handle(const CancelAttempt& cancel) {
  const auto found = peer_by_attempt_.find(cancel.attempt);
  if (found == peer_by_attempt_.end()) {
    return;
  }
  Peer& peer = *found->second;
  if (peer.attempts.count(cancel.attempt) == 0) {
    const auto is_cancelled = [&cancel](const StartLinkAttempt& start) {
      return start.attempt == cancel.attempt;
    };
    peer.waiting_attempts.erase(
        std::remove_if(peer.waiting_attempts.begin(),
                       peer.waiting_attempts.end(), is_cancelled),
        peer.waiting_attempts.end());
    peer_by_attempt_.erase(found);
    return;
  }
  const StreamNumber stream = StreamOf(cancel.attempt);
  const bool not_started = !peer.connection->queue().HasStarted(stream);
  RemoveAttempt(peer, cancel.attempt);
  if (!not_started) {
    peer.connection->SendControl(CancelMessage{stream});
  }
}

void LinkClient::Handle(const AddAttemptCredit& credit) {
  const auto found = peer_by_attempt_.find(credit.attempt);
  if (found == peer_by_attempt_.end()) {
    return;
  }
  Peer& peer = *found->second;
  const auto attempt = peer.attempts.find(credit.attempt);
  if (attempt == peer.attempts.end()) {
    // The attempt still waits for the connection; its request will carry the
    // credit.
    for (StartLinkAttempt& start : peer.waiting_attempts) {
      if (start.attempt == credit.attempt) {
        start.credit += credit.bytes;
      }
    }
    return;
  }
  attempt->second.granted_credit += credit.bytes;
  // The message is queued on the stream, so that it cannot overtake the
  // request.
  static_cast<void>(peer.connection->SendOnStream(
      StreamOf(credit.attempt),
      CreditMessage{StreamOf(credit.attempt), credit.bytes}));
}

void LinkClient::PostFailure(AttemptNumber attempt, RunState run,
                             const Error& error) {
  decisions_.Post(AttemptFailed{attempt, run, error, std::nullopt});
}

void LinkClient::FailWaitingAttempts(Peer& peer, const Error& error) {
  std::deque<StartLinkAttempt> waiting_attempts =
      std::move(peer.waiting_attempts);
  peer.waiting_attempts.clear();
  for (const StartLinkAttempt& start : waiting_attempts) {
    peer_by_attempt_.erase(start.attempt);
    PostFailure(start.attempt, RunState::kNotRun, error);
  }
}

void LinkClient::FailStartedAttempts(Peer& peer, const Error& error) {
  const auto attempts = std::move(peer.attempts);
  peer.attempts.clear();
  for (const auto& [number, attempt] : attempts) {
    peer_by_attempt_.erase(number);
    const bool started = peer.connection->queue().HasStarted(StreamOf(number));
    const RunState run_without_answer =
        started ? RunState::kUnknown : RunState::kNotRun;
    PostFailure(number,
                attempt.head_received ? RunState::kRan : run_without_answer,
                error);
  }
}

void LinkClient::RemoveAttempt(Peer& peer, AttemptNumber attempt) {
  peer.connection->queue().DropStream(StreamOf(attempt));
  peer.attempts.erase(attempt);
  peer_by_attempt_.erase(attempt);
}

void LinkClient::RejectAnswer(Peer& peer, AttemptNumber attempt,
                              const char* detail) {
  ++counters_.invalid_answers;
  const bool head_received = peer.attempts.at(attempt).head_received;
  const Error error = InvalidAnswerError(detail);
  Log(log_events::kBrokenAnswer,
      {{"peer", peer.settings.id.value()}, {"error", ToString(error)}});
  RemoveAttempt(peer, attempt);
  peer.connection->SendControl(CancelMessage{StreamOf(attempt)});
  PostFailure(attempt, head_received ? RunState::kRan : RunState::kUnknown,
              error);
}

LinkClient::Attempt* LinkClient::FindAttempt(Peer& peer, StreamNumber stream) {
  const auto found = peer.attempts.find(AttemptOf(stream));
  if (found == peer.attempts.end()) {
    ++counters_.late_frames;
    return nullptr;
  }
  return &found->second;
}

// --- messages ---------------------------------------------------------------

void LinkClient::OnMessage(Peer& peer, Message&& message) {
  std::visit(
      [&](auto&& typed) {
        HandleMessage(peer, std::forward<decltype(typed)>(typed));
      },
      std::move(message));
}

void LinkClient::HandleMessage(Peer& peer, AnswerHeadMessage&& answer) {
  Attempt* attempt = FindAttempt(peer, answer.stream);
  if (attempt == nullptr) {
    return;
  }
  if (attempt->head_received) {
    RejectAnswer(peer, attempt->number, "a second head was received");
    return;
  }
  attempt->head_received = true;
  decisions_.Post(AttemptHeadReceived{attempt->number, std::move(answer.head)});
}

void LinkClient::HandleMessage(Peer& peer, AnswerBodyMessage&& body) {
  Attempt* attempt = FindAttempt(peer, body.stream);
  if (attempt == nullptr) {
    return;
  }
  if (!attempt->head_received || body.sequence != attempt->body_frames) {
    RejectAnswer(peer, attempt->number,
                 "a body frame is missing or repeated, or precedes the head");
    return;
  }
  ++attempt->body_frames;
  attempt->received_bytes += Bytes{body.data.size()};
  if (attempt->received_bytes > attempt->granted_credit + kMaxCreditOverrun) {
    RejectAnswer(peer, attempt->number, "the body exceeds the granted credit");
    return;
  }
  decisions_.Post(AttemptBodyReceived{attempt->number, std::move(body.data),
                                      std::move(body.last_event_id)});
}

void LinkClient::HandleMessage(Peer& peer, AnswerEndMessage&& end) {
  Attempt* attempt = FindAttempt(peer, end.stream);
  if (attempt == nullptr) {
    return;
  }
  const bool is_complete = attempt->head_received &&
                           end.total == attempt->received_bytes &&
                           end.frames == attempt->body_frames;
  if (!is_complete) {
    RejectAnswer(peer, attempt->number,
                 "the head is missing, or the size or frame count is wrong");
    return;
  }
  const AttemptNumber number = attempt->number;
  RemoveAttempt(peer, number);
  decisions_.Post(AttemptEnded{number});
}

void LinkClient::HandleMessage(Peer& peer, AnswerAbortedMessage&& aborted) {
  HandleProblem(peer, aborted.stream, std::move(aborted.problem));
}

void LinkClient::HandleMessage(Peer& peer, ProblemMessage&& answer) {
  HandleProblem(peer, answer.stream, std::move(answer.problem));
}

void LinkClient::HandleProblem(Peer& peer, StreamNumber stream,
                               Problem&& problem) {
  Attempt* attempt = FindAttempt(peer, stream);
  if (attempt == nullptr) {
    return;
  }
  const AttemptNumber number = attempt->number;
  // Once its answer has begun, an attempt cannot be reported as not run.
  const RunState known =
      attempt->head_received ? RunState::kRan : RunState::kNotRun;
  problem.run = Join(known, problem.run);
  RemoveAttempt(peer, number);
  const Error error = ErrorFromProblem(problem);
  decisions_.Post(
      AttemptFailed{number, problem.run, error, std::move(problem)});
}

void LinkClient::HandleMessage(Peer& peer, GossipMessage&& gossip) {
  PostGossip(decisions_, peer.settings.id, std::move(gossip.data));
}

void LinkClient::HandleMessage(Peer& peer, GoodbyeMessage&& goodbye) {
  if (goodbye.reason != GoodbyeReason::kLeaving) {
    const LinkConnectionPtr connection = peer.connection;
    connection->Close(
        LinkCloseReason::kInvalidFrames,
        {ErrorKind::kInvalidInput,
         fmt::format("the other instance closed the link: {}", goodbye.text),
         "read the other instance's log"});
    return;
  }
  if (!peer.leaving) {
    peer.leaving = true;
    Log(log_events::kPeerLeaving, {{"peer", peer.settings.id.value()}});
    decisions_.Post(LinkChanged{peer.settings.id, false, true});
  }
}

template <typename Unexpected>
void LinkClient::HandleMessage(Peer& peer, Unexpected&& /*message*/) {
  static_assert(std::is_rvalue_reference_v<Unexpected&&>);
  peer.connection->CloseWithGoodbye(
      GoodbyeReason::kProtocol, LinkCloseReason::kInvalidFrames,
      {ErrorKind::kInvalidInput,
       "received a message that only the dialing side may send",
       "run the same release on both sides"});
}

std::uint64_t LinkClient::bytes_written() const noexcept {
  std::uint64_t bytes = 0;
  for (const auto& [id, peer] : peers_) {
    bytes += peer->connection ? peer->connection->bytes_written() : 0;
  }
  return bytes;
}

}  // namespace mimosagauge
