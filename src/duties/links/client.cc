// The dialing side of links.

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

/// Most attempts that wait for one connection to open.
constexpr std::size_t kMaxWaiting = 1024;
/// Most bytes queued on one link before it takes no more requests.
constexpr Bytes kMaxQueued = Kibibytes(32UL * 1024);
/// An answer may exceed its credit by one frame.
constexpr Bytes kOverrun{kMaxDataPayload};
constexpr std::uint32_t kMostDoublings = 16;

[[nodiscard]] StreamNumber StreamOf(AttemptNumber attempt) {
  return StreamNumber{attempt.value()};
}

[[nodiscard]] AttemptNumber AttemptOf(StreamNumber stream) {
  return AttemptNumber{stream.value()};
}

[[nodiscard]] Error NotKnown(const InstanceId& instance) {
  return Error{ErrorKind::kNotFound,
               fmt::format("instance '{}' is not known", instance.value()),
               "name it under peers in the settings"};
}

[[nodiscard]] Error NoLink(const InstanceId& instance) {
  return Error{ErrorKind::kUnavailable,
               fmt::format("there is no link to '{}'", instance.value()),
               "check that instance and the network"};
}

[[nodiscard]] Error IsLeaving(const InstanceId& instance) {
  return Error{ErrorKind::kUnavailable,
               fmt::format("'{}' is leaving", instance.value()),
               "send the request to another instance"};
}

[[nodiscard]] Error LinkFull(const InstanceId& instance) {
  return Error{
      ErrorKind::kOverloaded,
      fmt::format("too much waits for the link to '{}'", instance.value()),
      "retry later, or widen the link"};
}

[[nodiscard]] Error HeadTooLarge() {
  return Error{ErrorKind::kInvalidInput,
               "the request's header fields are too large to be forwarded",
               "send smaller header fields"};
}

[[nodiscard]] Error BrokenAnswer(const char* what) {
  return Error{ErrorKind::kInvalidInput,
               fmt::format("the answer is not whole: {}", what),
               "run the same release on both sides"};
}

[[nodiscard]] Error ProblemError(const Problem& problem) {
  const ErrorKind kind = problem.run == RunState::kNotRun
                             ? ErrorKind::kUnavailable
                             : ErrorKind::kUnknownOutcome;
  return Error{kind, problem.detail, problem.remedy};
}

[[nodiscard]] Error Stopped() {
  return Error{ErrorKind::kUnavailable, "this instance is stopping", ""};
}

}  // namespace

LinkClient::LinkClient(boost::asio::io_context& io, const Settings& settings,
                       const LinkTimings& timings, Mailbox<Event>& decisions)
    : io_(io),
      settings_(settings),
      timings_(timings),
      decisions_(decisions),
      random_(std::random_device{}()) {}

LinkClient::~LinkClient() = default;

void LinkClient::Start(LinkTlsContextPtr tls, HelloMessage own) {
  tls_ = std::move(tls);
  own_ = std::move(own);
  for (const PeerSettings& peer : settings_.peers) {
    if (peer.id != settings_.instance) {
      Learn(peer);
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
      // A copy, for the peer lets go of it while it closes.
      const LinkConnectionPtr connection = peer->connection;
      connection->Close(LinkEnd::kStopped, Stopped());
    }
    FailWaiting(*peer, Stopped());
  }
}

void LinkClient::Learn(const PeerSettings& peer) {
  PeerPtr& known = peers_[peer.id];
  if (known == nullptr) {
    known = std::make_unique<Peer>(io_);
  }
  known->settings = peer;
}

void LinkClient::Handle(const UseInstance& use) {
  PeerSettings settings;
  settings.id = use.peer.id;
  settings.region = use.peer.region;
  settings.zone = use.peer.zone;
  settings.peer = use.peer.link;
  settings.entry = use.peer.entry;
  const auto known = peers_.find(settings.id);
  const bool moved =
      known != peers_.end() && known->second->settings.peer != settings.peer;
  Learn(settings);
  Peer& peer = *peers_[settings.id];
  peer.dropped = false;
  if (moved && peer.connection != nullptr) {
    // The instance that was there is another start at another address.
    const LinkConnectionPtr connection = peer.connection;
    connection->Close(LinkEnd::kStopped, NoLink(settings.id));
  }
  if (peer.state == PeerState::kIdle && !stopped_) {
    Dial(peer);
  }
}

// The peer itself stays: handlers on their way refer to it.
void LinkClient::Handle(const DropInstance& drop) {
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
  const std::uint64_t dial = ++peer.dial;
  boost::system::error_code error;
  const auto address =
      boost::asio::ip::make_address(peer.settings.peer.address, error);
  if (error) {
    DialFailed(peer, NoLink(peer.settings.id));
    return;
  }
  peer.socket = std::make_shared<boost::asio::ip::tcp::socket>(io_);
  // The socket closes itself when the deadline passes first.
  peer.timer.expires_after(timings_.connect);
  peer.timer.async_wait([socket = peer.socket](const auto& cancelled) {
    if (!cancelled) {
      boost::system::error_code ignored;
      socket->close(ignored);
    }
  });
  peer.socket->async_connect(
      {address, peer.settings.peer.port},
      [this, &peer, dial, socket = peer.socket](const auto& failed) {
        if (!stopped_ && peer.dial == dial) {
          OnConnected(peer, failed);
        }
      });
}

void LinkClient::OnConnected(Peer& peer,
                             const boost::system::error_code& error) {
  peer.timer.cancel();
  const auto socket = std::move(peer.socket);
  if (error || !socket->is_open()) {
    if (peer.failures == 0) {
      Log(log_events::kLinkNotUp,
          {{"peer", peer.settings.id.value()}, {"error", error.message()}});
    }
    DialFailed(peer, NoLink(peer.settings.id));
    return;
  }
  peer.connection = std::make_shared<LinkConnection>(
      io_, LinkTransport(std::move(*socket), tls_), LinkRole::kDialing,
      timings_, own_, peer.settings.id);
  peer.connection->Start(
      {[this, &peer](const HelloMessage& hello) { OnOpen(peer, hello); },
       [this, &peer](Message&& message) {
         OnMessage(peer, std::move(message));
       },
       [this, &peer](LinkEnd why, const Error& failed) {
         OnClosed(peer, why, failed);
       }});
}

void LinkClient::OnOpen(Peer& peer, const HelloMessage& hello) {
  peer.state = PeerState::kUp;
  peer.leaving = false;
  peer.failures = 0;
  Log(log_events::kLinkUp,
      {{"peer", hello.instance.value()},
       {"version", std::to_string(peer.connection->version())}});
  decisions_.Post(LinkChanged{peer.settings.id, true});
  std::deque<StartLinkAttempt> waiting = std::move(peer.waiting);
  peer.waiting.clear();
  for (StartLinkAttempt& start : waiting) {
    Send(peer, std::move(start));
  }
}

void LinkClient::OnClosed(Peer& peer, LinkEnd why, const Error& error) {
  const bool was_up = peer.state == PeerState::kUp;
  if (was_up || peer.failures == 0) {
    LogLinkEnd(why, peer.settings.id.value(), error);
  }
  if (!was_up) {
    peer.connection = nullptr;
    DialFailed(peer, error);
    return;
  }
  peer.state = PeerState::kBackoff;
  FailAttempts(peer, error);
  peer.connection = nullptr;
  decisions_.Post(LinkChanged{peer.settings.id, false});
  BackOff(peer);
}

void LinkClient::DialFailed(Peer& peer, const Error& error) {
  peer.state = PeerState::kBackoff;
  FailWaiting(peer, error);
  ++peer.failures;
  ++counters_.failed_connections;
  BackOff(peer);
}

void LinkClient::BackOff(Peer& peer) {
  if (stopped_) {
    return;
  }
  if (peer.dropped) {
    peer.state = PeerState::kIdle;
    return;
  }
  peer.timer.expires_after(Pause(peer.failures));
  peer.timer.async_wait([this, &peer](const auto& cancelled) {
    if (!cancelled && !stopped_) {
      Dial(peer);
    }
  });
}

Duration LinkClient::Pause(std::uint32_t failures) {
  const auto doublings = std::min(failures, kMostDoublings);
  const Duration pause = std::min(timings_.longest_backoff,
                                  timings_.first_backoff * (1U << doublings));
  // Between half and all of it, so that instances do not come at once.
  std::uniform_int_distribution<Duration::rep> spread(pause.count() / 2,
                                                      pause.count());
  return Duration{spread(random_)};
}

// --- attempts ---------------------------------------------------------------

void LinkClient::Handle(StartLinkAttempt&& start) {
  const auto found = peers_.find(start.instance);
  if (found == peers_.end()) {
    Fail(start.attempt, RunState::kNotRun, NotKnown(start.instance));
    return;
  }
  Peer& peer = *found->second;
  if (peer.state == PeerState::kIdle && !stopped_) {
    Dial(peer);
  }
  const bool may_wait =
      peer.state == PeerState::kConnecting && peer.failures == 0;
  if (may_wait && peer.waiting.size() < kMaxWaiting) {
    peer_of_[start.attempt] = &peer;
    peer.waiting.push_back(std::move(start));
    return;
  }
  if (peer.state != PeerState::kUp || !peer.connection->open()) {
    Fail(start.attempt, RunState::kNotRun, NoLink(start.instance));
    return;
  }
  Send(peer, std::move(start));
}

void LinkClient::Send(Peer& peer, StartLinkAttempt&& start) {
  LinkConnection& link = *peer.connection;
  if (peer.leaving) {
    Fail(start.attempt, RunState::kNotRun, IsLeaving(start.instance));
    return;
  }
  if (link.queue().size() > kMaxQueued) {
    Fail(start.attempt, RunState::kNotRun, LinkFull(start.instance));
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
    Fail(start.attempt, RunState::kNotRun, HeadTooLarge());
    return;
  }
  link.queue().PushRequestBody(stream, std::move(start.body), link.version());
  Attempt attempt;
  attempt.number = start.attempt;
  attempt.allowed = start.credit;
  peer.attempts.emplace(start.attempt, attempt);
  peer_of_[start.attempt] = &peer;
}

void LinkClient::Handle(const CancelAttempt& cancel) {
  const auto found = peer_of_.find(cancel.attempt);
  if (found == peer_of_.end()) {
    return;
  }
  Peer& peer = *found->second;
  if (peer.attempts.count(cancel.attempt) == 0) {
    const auto same = [&cancel](const StartLinkAttempt& start) {
      return start.attempt == cancel.attempt;
    };
    peer.waiting.erase(
        std::remove_if(peer.waiting.begin(), peer.waiting.end(), same),
        peer.waiting.end());
    peer_of_.erase(found);
    return;
  }
  const StreamNumber stream = StreamOf(cancel.attempt);
  const bool untouched = !peer.connection->queue().Started(stream);
  Forget(peer, cancel.attempt);
  if (!untouched) {
    peer.connection->SendControl(CancelMessage{stream});
  }
}

void LinkClient::Handle(const CreditAttempt& credit) {
  const auto found = peer_of_.find(credit.attempt);
  if (found == peer_of_.end()) {
    return;
  }
  Peer& peer = *found->second;
  const auto attempt = peer.attempts.find(credit.attempt);
  if (attempt == peer.attempts.end()) {
    // Still waits for the connection: the request itself carries the credit.
    for (StartLinkAttempt& start : peer.waiting) {
      if (start.attempt == credit.attempt) {
        start.credit += credit.bytes;
      }
    }
    return;
  }
  attempt->second.allowed += credit.bytes;
  // On the stream, so that it cannot overtake the request.
  static_cast<void>(peer.connection->SendOnStream(
      StreamOf(credit.attempt),
      CreditMessage{StreamOf(credit.attempt), credit.bytes}));
}

void LinkClient::Fail(AttemptNumber attempt, RunState run, const Error& error) {
  decisions_.Post(AttemptFailed{attempt, run, error, std::nullopt});
}

void LinkClient::FailWaiting(Peer& peer, const Error& error) {
  std::deque<StartLinkAttempt> waiting = std::move(peer.waiting);
  peer.waiting.clear();
  for (const StartLinkAttempt& start : waiting) {
    peer_of_.erase(start.attempt);
    Fail(start.attempt, RunState::kNotRun, error);
  }
}

void LinkClient::FailAttempts(Peer& peer, const Error& error) {
  const auto attempts = std::move(peer.attempts);
  peer.attempts.clear();
  for (const auto& [number, attempt] : attempts) {
    peer_of_.erase(number);
    const bool started = peer.connection->queue().Started(StreamOf(number));
    const RunState sent = started ? RunState::kUnknown : RunState::kNotRun;
    Fail(number, attempt.answered ? RunState::kRan : sent, error);
  }
}

void LinkClient::Forget(Peer& peer, AttemptNumber attempt) {
  peer.connection->queue().Drop(StreamOf(attempt));
  peer.attempts.erase(attempt);
  peer_of_.erase(attempt);
}

void LinkClient::BreakAnswer(Peer& peer, AttemptNumber attempt,
                             const char* what) {
  ++counters_.broken_answers;
  const bool answered = peer.attempts.at(attempt).answered;
  const Error error = BrokenAnswer(what);
  Log(log_events::kBrokenAnswer,
      {{"peer", peer.settings.id.value()}, {"error", ToString(error)}});
  Forget(peer, attempt);
  peer.connection->SendControl(CancelMessage{StreamOf(attempt)});
  Fail(attempt, answered ? RunState::kRan : RunState::kUnknown, error);
}

LinkClient::Attempt* LinkClient::Find(Peer& peer, StreamNumber stream) {
  const auto found = peer.attempts.find(AttemptOf(stream));
  if (found == peer.attempts.end()) {
    ++counters_.late_frames;
    return nullptr;
  }
  return &found->second;
}

// --- messages ---------------------------------------------------------------

void LinkClient::OnMessage(Peer& peer, Message&& message) {
  std::visit([&](auto&& one) { On(peer, std::forward<decltype(one)>(one)); },
             std::move(message));
}

void LinkClient::On(Peer& peer, AnswerHeadMessage&& answer) {
  Attempt* attempt = Find(peer, answer.stream);
  if (attempt == nullptr) {
    return;
  }
  if (attempt->answered) {
    BreakAnswer(peer, attempt->number, "its head came twice");
    return;
  }
  attempt->answered = true;
  decisions_.Post(AttemptAnswered{attempt->number, std::move(answer.head)});
}

void LinkClient::On(Peer& peer, AnswerBodyMessage&& body) {
  Attempt* attempt = Find(peer, body.stream);
  if (attempt == nullptr) {
    return;
  }
  if (!attempt->answered || body.sequence != attempt->frames) {
    BreakAnswer(peer, attempt->number, "a part is missing or repeated");
    return;
  }
  ++attempt->frames;
  attempt->received += Bytes{body.data.size()};
  if (attempt->received > attempt->allowed + kOverrun) {
    BreakAnswer(peer, attempt->number, "more came than was asked for");
    return;
  }
  decisions_.Post(AttemptBody{attempt->number, std::move(body.data),
                              std::move(body.last_event_id)});
}

void LinkClient::On(Peer& peer, AnswerEndMessage&& end) {
  Attempt* attempt = Find(peer, end.stream);
  if (attempt == nullptr) {
    return;
  }
  const bool whole = attempt->answered && end.total == attempt->received &&
                     end.frames == attempt->frames;
  if (!whole) {
    BreakAnswer(peer, attempt->number, "its total is wrong");
    return;
  }
  const AttemptNumber number = attempt->number;
  Forget(peer, number);
  decisions_.Post(AttemptEnded{number});
}

void LinkClient::On(Peer& peer, AnswerAbortedMessage&& aborted) {
  OnProblem(peer, aborted.stream, std::move(aborted.problem));
}

void LinkClient::On(Peer& peer, ProblemMessage&& answer) {
  OnProblem(peer, answer.stream, std::move(answer.problem));
}

void LinkClient::OnProblem(Peer& peer, StreamNumber stream, Problem&& problem) {
  Attempt* attempt = Find(peer, stream);
  if (attempt == nullptr) {
    return;
  }
  const AttemptNumber number = attempt->number;
  // An answer that had begun cannot be taken back to "not run".
  const RunState known = attempt->answered ? RunState::kRan : RunState::kNotRun;
  problem.run = Join(known, problem.run);
  Forget(peer, number);
  const Error error = ProblemError(problem);
  decisions_.Post(
      AttemptFailed{number, problem.run, error, std::move(problem)});
}

void LinkClient::On(Peer& peer, GossipMessage&& gossip) {
  PostGossip(decisions_, peer.settings.id, std::move(gossip.data));
}

void LinkClient::On(Peer& peer, GoodbyeMessage&& goodbye) {
  if (goodbye.reason != GoodbyeReason::kLeaving) {
    const LinkConnectionPtr connection = peer.connection;
    connection->Close(LinkEnd::kInvalidFrames,
                      {ErrorKind::kInvalidInput,
                       fmt::format("the other side refused: {}", goodbye.text),
                       "read the other side's log"});
    return;
  }
  if (!peer.leaving) {
    peer.leaving = true;
    Log(log_events::kPeerLeaving, {{"peer", peer.settings.id.value()}});
    decisions_.Post(LinkChanged{peer.settings.id, false, true});
  }
}

template <typename Other>
void LinkClient::On(Peer& peer, Other&& /*other*/) {
  static_assert(std::is_rvalue_reference_v<Other&&>);
  peer.connection->CloseWith(
      GoodbyeReason::kProtocol, LinkEnd::kInvalidFrames,
      {ErrorKind::kInvalidInput, "a message came from the wrong side",
       "run the same release on both sides"});
}

void LinkClient::Handle(SendLoad&& load) {
  Handle(SendGossip{std::move(load.to), EncodeLoadDigest(*load.digest)});
}

void LinkClient::Handle(SendGossip&& gossip) {
  const auto found = peers_.find(gossip.to);
  const bool up =
      found != peers_.end() && found->second->state == PeerState::kUp;
  if (up) {
    LinkConnection& link = *found->second->connection;
    const bool sent = link.open() && link.queue().size() <= kMaxQueued &&
                      link.SendControl(GossipMessage{std::move(gossip.bytes)});
    if (sent) {
      return;
    }
  } else if (found != peers_.end() &&
             found->second->state == PeerState::kIdle && !stopped_) {
    Dial(*found->second);
  }
  ++counters_.dropped_gossip;
}

std::uint64_t LinkClient::bytes_written() const noexcept {
  std::uint64_t bytes = 0;
  for (const auto& [id, peer] : peers_) {
    bytes += peer->connection ? peer->connection->bytes_written() : 0;
  }
  return bytes;
}

}  // namespace mimosagauge
