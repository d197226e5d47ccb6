// The accepting side of links.

#include "mimosagauge/impl/duties/links/server.h"

#include <fmt/format.h>

#include <algorithm>
#include <type_traits>
#include <utility>
#include <variant>

#include "mimosagauge/impl/duties/common/listener.h"
#include "mimosagauge/impl/duties/common/log.h"
#include "mimosagauge/impl/duties/links/gossip.h"
#include "mimosagauge/impl/duties/links/log.h"

namespace mimosagauge {
namespace {

namespace asio = boost::asio;

/// Most bytes of request bodies that are still coming in, for each link.
constexpr Bytes kMaxPartialBytes = Kibibytes(64UL * 1024);
/// Answer bodies are cut into frames of this size, unless a part names its
/// last event and so holds whole events.
constexpr std::size_t kAnswerPieceBytes = 64UL * 1024;
/// Parts that name their last event may be this large.
constexpr std::size_t kMaxWholePieceBytes = 224UL * 1024;
constexpr std::size_t kMaxEventIdBytes = 4UL * 1024;
/// Texts of a problem that does not fit a frame are cut to this size.
constexpr std::size_t kMaxProblemTextBytes = 512;
constexpr std::chrono::milliseconds kAcceptRetry{100};
/// Entries about strangers on the peer port, for each second.
constexpr std::size_t kLogsPerSecond = 10;
constexpr Duration kRetryAfter = std::chrono::seconds(1);
constexpr std::uint64_t kNumberStep = 2;

[[nodiscard]] Problem Overloaded(const char* detail) {
  Problem problem;
  problem.status = 503;
  problem.type = "overloaded";
  problem.title = "The instance has reached a bound";
  problem.detail = detail;
  problem.remedy = "retry later";
  problem.run = RunState::kNotRun;
  problem.retry_after = kRetryAfter;
  return problem;
}

[[nodiscard]] Problem Leaving() {
  Problem problem;
  problem.status = 503;
  problem.type = "leaving";
  problem.title = "The instance is leaving";
  problem.detail = "it takes no new requests";
  problem.remedy = "send the request to another instance";
  problem.run = RunState::kNotRun;
  return problem;
}

[[nodiscard]] Problem TooLarge(Bytes limit) {
  Problem problem;
  problem.status = 413;
  problem.type = "body-too-large";
  problem.title = "The request body is too large";
  problem.detail = fmt::format("the limit is {} bytes", limit.count());
  problem.remedy = "send less, or raise limits.body on every instance";
  problem.run = RunState::kNotRun;
  return problem;
}

[[nodiscard]] Problem PathTooLong() {
  Problem problem;
  problem.status = 508;
  problem.type = "path-too-long";
  problem.title = "The request has passed too many places";
  problem.detail = fmt::format("the limit is {} places", kMaxPlaces);
  problem.remedy = "check the rules and the peers of the instances";
  problem.run = RunState::kNotRun;
  return problem;
}

[[nodiscard]] Problem AnswerHeadTooLarge() {
  Problem problem;
  problem.status = 502;
  problem.type = "answer-too-large";
  problem.title = "The answer's header fields are too large";
  problem.detail = "they do not fit a frame between instances";
  problem.remedy = "let the upstream send smaller header fields";
  problem.run = RunState::kRan;
  return problem;
}

[[nodiscard]] bool FitsWhole(const SendAnswerBody& body) {
  return body.data.size() <= kMaxWholePieceBytes &&
         body.last_event_id->size() <= kMaxEventIdBytes;
}

[[nodiscard]] Problem Shortened(Problem problem) {
  for (std::string* text :
       {&problem.type, &problem.title, &problem.detail, &problem.remedy}) {
    text->resize(std::min(text->size(), kMaxProblemTextBytes));
  }
  return problem;
}

[[nodiscard]] Error CannotListen(const Endpoint& endpoint,
                                 const boost::system::error_code& error) {
  return Error{ErrorKind::kUnavailable,
               fmt::format("cannot listen on {} for other instances: {}",
                           ToString(endpoint), error.message()),
               "choose a free port of this machine for peer"};
}

[[nodiscard]] Error Stopped() {
  return Error{ErrorKind::kUnavailable, "this instance is stopping", ""};
}

[[nodiscard]] std::string AddressOf(const asio::ip::tcp::socket& socket) {
  boost::system::error_code error;
  const auto endpoint = socket.remote_endpoint(error);
  if (error) {
    return "unknown";
  }
  return ToString(Endpoint{endpoint.address().to_string(), endpoint.port()});
}

}  // namespace

LinkServer::LinkServer(asio::io_context& io, const Settings& settings,
                       const LinkTimings& timings, Mailbox<Event>& decisions)
    : io_(io),
      settings_(settings),
      timings_(timings),
      decisions_(decisions),
      acceptor_(io),
      accept_timer_(io) {}

LinkServer::~LinkServer() = default;

Result<void> LinkServer::Start(LinkTlsContextPtr tls, HelloMessage own) {
  tls_ = std::move(tls);
  own_ = std::move(own);
  boost::system::error_code error = OpenListener(acceptor_, settings_.peer);
  if (error) {
    return CannotListen(settings_.peer, error);
  }
  port_ = acceptor_.local_endpoint(error).port();
  Log(log_events::kLinkListening,
      {{"address", ToString(Endpoint{settings_.peer.address, port_})}});
  Accept();
  return success();
}

void LinkServer::Stop() {
  stopped_ = true;
  boost::system::error_code ignored;
  acceptor_.close(ignored);
  accept_timer_.cancel();
  const auto links = links_;  // Closing changes the original.
  for (const auto& [connection, link] : links) {
    connection->Close(LinkEnd::kStopped, Stopped());
  }
}

void LinkServer::Leave() {
  leaving_ = true;
  for (const auto& [id, link] : link_of_) {
    link->connection->SendControl(
        GoodbyeMessage{GoodbyeReason::kLeaving, "the instance is leaving"});
  }
}

// --- connections ------------------------------------------------------------

void LinkServer::Accept() {
  acceptor_.async_accept(
      [this](const auto& error, asio::ip::tcp::socket socket) {
        OnAccepted(error, std::move(socket));
      });
}

void LinkServer::OnAccepted(const boost::system::error_code& error,
                            asio::ip::tcp::socket socket) {
  if (stopped_ || error == asio::error::operation_aborted) {
    return;
  }
  if (error) {
    // Mostly: no more open files. Try again when some may have been closed.
    Log(log_events::kLinkAcceptFailed, {{"error", error.message()}});
    accept_timer_.expires_after(kAcceptRetry);
    accept_timer_.async_wait([this](const auto& cancelled) {
      if (!cancelled && !stopped_) {
        Accept();
      }
    });
    return;
  }
  Accept();
  if (ungreeted_ >= kMaxUngreeted) {
    ++counters_.refused_connections;
    if (MayLog()) {
      Log(log_events::kLinkRefused, {{"peer", AddressOf(socket)}});
    }
    return;  // Closes the socket.
  }
  ++ungreeted_;
  const auto link = std::make_shared<Link>();
  link->address = AddressOf(socket);
  link->connection = std::make_shared<LinkConnection>(
      io_, LinkTransport(std::move(socket), tls_), LinkRole::kAccepting,
      timings_, own_, std::nullopt);
  links_.emplace(link->connection.get(), link);
  // The link is held by `links_` until it has closed.
  const std::weak_ptr<Link> weak = link;
  link->connection->Start(
      {[this, weak](const HelloMessage& hello) { OnOpen(weak.lock(), hello); },
       [this, weak](Message&& message) {
         OnMessage(weak.lock(), std::move(message));
       },
       [this, weak](LinkEnd why, const Error& failed) {
         OnClosed(weak.lock(), why, failed);
       }});
}

void LinkServer::OnOpen(const LinkPtr& link, const HelloMessage& hello) {
  --ungreeted_;
  link->greeted = true;
  // The other side keeps one connection, so it has given up an older one.
  const auto older = link_of_.find(hello.instance);
  if (older != link_of_.end()) {
    const LinkConnectionPtr connection = older->second->connection;
    connection->Close(LinkEnd::kStopped, Stopped());
  }
  link_of_[hello.instance] = link;
  Log(log_events::kLinkAccepted,
      {{"peer", hello.instance.value()},
       {"version", std::to_string(link->connection->version())}});
  if (leaving_) {
    link->connection->SendControl(
        GoodbyeMessage{GoodbyeReason::kLeaving, "the instance is leaving"});
  }
}

void LinkServer::OnClosed(const LinkPtr& link, LinkEnd why,
                          const Error& error) {
  const LinkConnectionPtr connection = link->connection;
  if (link->greeted) {
    LogLinkEnd(why, connection->peer().value(), error);
    const auto known = link_of_.find(connection->peer());
    if (known != link_of_.end() && known->second == link) {
      link_of_.erase(known);
    }
  } else {
    --ungreeted_;
    ++counters_.failed_connections;
    if (MayLog()) {
      LogLinkEnd(why, link->address, error);
    }
  }
  partial_count_ -= link->partials.size();
  link->partials.clear();
  for (const auto& [stream, number] : link->running) {
    running_.erase(number);
    decisions_.Post(RequestAbandoned{number});
  }
  link->running.clear();
  links_.erase(connection.get());
}

bool LinkServer::MayLog() {
  const auto now = Clock::now();
  if (now - log_window_ > std::chrono::seconds(1)) {
    log_window_ = now;
    logged_ = 0;
  }
  return logged_++ < kLogsPerSecond;
}

void LinkServer::BreakLink(Link& link, const char* what) {
  link.connection->CloseWith(
      GoodbyeReason::kProtocol, LinkEnd::kInvalidFrames,
      {ErrorKind::kInvalidInput, what, "run the same release on both sides"});
}

// --- requests ---------------------------------------------------------------

void LinkServer::OnMessage(const LinkPtr& link, Message&& message) {
  std::visit([&](auto&& one) { On(link, std::forward<decltype(one)>(one)); },
             std::move(message));
}

std::optional<Problem> LinkServer::Refusal(
    const Link& link, const RequestMessage& request) const {
  if (leaving_) {
    return Leaving();
  }
  if (request.head.path.size() > kMaxPlaces) {
    return PathTooLong();
  }
  if (request.body_size > settings_.limits.body) {
    return TooLarge(settings_.limits.body);
  }
  if (decisions_.backlog() > 0 ||
      running_.size() + partial_count_ >= settings_.limits.requests) {
    return Overloaded("too many requests are in progress");
  }
  if (link.partial_bytes + request.body_size > kMaxPartialBytes) {
    return Overloaded("too many request bodies are coming in");
  }
  return std::nullopt;
}

void LinkServer::Refuse(Link& link, StreamNumber stream, Problem&& problem) {
  ++counters_.refused_requests;
  static_cast<void>(link.connection->SendOnStream(
      stream, ProblemMessage{stream, std::move(problem)}));
  link.connection->queue().Finish(stream);
}

void LinkServer::On(const LinkPtr& link, RequestMessage&& request) {
  const StreamNumber stream = request.stream;
  if (link->partials.count(stream) + link->running.count(stream) > 0) {
    BreakLink(*link, "a request number came twice");
    return;
  }
  std::optional<Problem> refusal = Refusal(*link, request);
  if (refusal) {
    Refuse(*link, stream, std::move(*refusal));
    return;
  }
  Partial partial;
  partial.request = std::move(request);
  partial.began = Clock::now();
  if (partial.request.body_size == Bytes{}) {
    Arrive(link, std::move(partial));
    return;
  }
  ++partial_count_;
  link->partial_bytes += partial.request.body_size;
  link->partials.emplace(stream, std::move(partial));
}

void LinkServer::On(const LinkPtr& link, RequestBodyMessage&& body) {
  const auto found = link->partials.find(body.stream);
  if (found == link->partials.end()) {
    ++counters_.late_frames;
    return;
  }
  Partial& partial = found->second;
  const Bytes size = partial.request.body_size;
  const Bytes held{partial.body.size() + body.data.size()};
  if (body.sequence != partial.frames || held > size) {
    BreakLink(*link, "a part of a request body is missing or repeated");
    return;
  }
  ++partial.frames;
  partial.body += body.data;
  if (held == size) {
    Partial whole = std::move(partial);
    link->partials.erase(found);
    --partial_count_;
    link->partial_bytes -= size;
    Arrive(link, std::move(whole));
  }
}

void LinkServer::Arrive(const LinkPtr& link, Partial&& partial) {
  const RequestNumber number{next_number_};
  next_number_ += kNumberStep;
  RequestMessage& request = partial.request;
  request.head.remaining -= Clock::now() - partial.began;
  link->connection->queue().AddCredit(request.stream, request.credit);
  link->running.emplace(request.stream, number);
  Running running;
  running.link = link;
  running.stream = request.stream;
  running_.emplace(number, std::move(running));
  decisions_.Post(RequestArrived{
      number, Origin::kLink,
      std::make_shared<const RequestHead>(std::move(request.head)),
      std::make_shared<const std::string>(std::move(partial.body))});
}

void LinkServer::On(const LinkPtr& link, CancelMessage&& cancel) {
  const auto partial = link->partials.find(cancel.stream);
  if (partial != link->partials.end()) {
    link->partial_bytes -= partial->second.request.body_size;
    --partial_count_;
    link->partials.erase(partial);
    return;
  }
  const auto found = link->running.find(cancel.stream);
  if (found == link->running.end()) {
    ++counters_.late_frames;
    return;
  }
  const RequestNumber number = found->second;
  link->connection->queue().Drop(cancel.stream);
  link->running.erase(found);
  running_.erase(number);
  decisions_.Post(RequestAbandoned{number});
}

void LinkServer::On(const LinkPtr& link, CreditMessage&& credit) {
  const auto found = link->running.find(credit.stream);
  if (found == link->running.end()) {
    // The end of the answer may still wait for this credit.
    link->connection->queue().AddCreditIfKnown(credit.stream, credit.bytes);
    link->connection->Flush();
    return;
  }
  link->connection->queue().AddCredit(credit.stream, credit.bytes);
  link->connection->Flush();
  decisions_.Post(AnswerTaken{found->second, credit.bytes});
}

void LinkServer::On(const LinkPtr& link, GossipMessage&& gossip) {
  PostGossip(decisions_, link->connection->peer(), std::move(gossip.data));
}

void LinkServer::On(const LinkPtr& link, GoodbyeMessage&& goodbye) {
  // A leaving instance still takes the answers to its own requests.
  if (goodbye.reason != GoodbyeReason::kLeaving) {
    link->connection->Close(
        LinkEnd::kInvalidFrames,
        {ErrorKind::kInvalidInput,
         fmt::format("the other side refused: {}", goodbye.text),
         "read the other side's log"});
  }
}

template <typename Other>
void LinkServer::On(const LinkPtr& link, Other&& /*other*/) {
  static_assert(std::is_rvalue_reference_v<Other&&>);
  BreakLink(*link, "a message came from the wrong side");
}

// --- answers ----------------------------------------------------------------

LinkServer::Running* LinkServer::Find(RequestNumber number) {
  const auto found = running_.find(number);
  return found == running_.end() ? nullptr : &found->second;
}

void LinkServer::Finish(RequestNumber number) {
  const auto found = running_.find(number);
  const LinkPtr link = found->second.link;
  const StreamNumber stream = found->second.stream;
  link->connection->queue().Finish(stream);
  link->running.erase(stream);
  running_.erase(found);
}

Message LinkServer::ProblemFor(const Running& running, const Problem& problem) {
  if (running.answered) {
    return AnswerAbortedMessage{running.stream, problem};
  }
  return ProblemMessage{running.stream, problem};
}

void LinkServer::Abort(RequestNumber number, Running& running,
                       Problem problem) {
  const StreamNumber stream = running.stream;
  LinkConnection& connection = *running.link->connection;
  if (!connection.SendOnStream(stream, ProblemFor(running, problem))) {
    const Problem shorter = Shortened(std::move(problem));
    static_cast<void>(
        connection.SendOnStream(stream, ProblemFor(running, shorter)));
  }
  Finish(number);
}

void LinkServer::Handle(SendAnswerHead&& answer) {
  Running* running = Find(answer.number);
  if (running == nullptr) {
    return;
  }
  const bool sent = running->link->connection->SendOnStream(
      running->stream,
      AnswerHeadMessage{running->stream, std::move(answer.head)});
  if (!sent) {
    Abort(answer.number, *running, AnswerHeadTooLarge());
    decisions_.Post(RequestAbandoned{answer.number});
    return;
  }
  running->answered = true;
}

void LinkServer::Handle(SendAnswerBody&& body) {
  Running* running = Find(body.number);
  if (running == nullptr || body.data.empty()) {
    return;
  }
  if (body.last_event_id && !FitsWhole(body)) {
    // Its parts do not hold whole events each, so they name none.
    body.last_event_id = std::nullopt;
  }
  const std::size_t most =
      body.last_event_id ? kMaxWholePieceBytes : kAnswerPieceBytes;
  for (std::size_t at = 0; at < body.data.size(); at += most) {
    AnswerBodyMessage piece;
    piece.stream = running->stream;
    piece.sequence = running->frames++;
    piece.data = body.data.substr(at, most);
    piece.last_event_id = body.last_event_id;
    const Bytes size{piece.data.size()};
    running->sent += size;
    // Always fits: `FitsWhole` and the piece size leave room.
    static_cast<void>(running->link->connection->SendOnStream(
        running->stream, std::move(piece), size));
  }
}

void LinkServer::Handle(const SendAnswerEnd& end) {
  Running* running = Find(end.number);
  if (running == nullptr) {
    return;
  }
  static_cast<void>(running->link->connection->SendOnStream(
      running->stream,
      AnswerEndMessage{running->stream, running->sent, running->frames}));
  Finish(end.number);
}

void LinkServer::Handle(AbortAnswer&& abort) {
  Running* running = Find(abort.number);
  if (running != nullptr) {
    Abort(abort.number, *running, std::move(abort.problem));
  }
}

void LinkServer::Handle(SendProblem&& answer) {
  Running* running = Find(answer.number);
  if (running != nullptr) {
    Abort(answer.number, *running, std::move(answer.problem));
  }
}

std::uint64_t LinkServer::bytes_written() const noexcept {
  std::uint64_t bytes = 0;
  for (const auto& [connection, link] : links_) {
    bytes += connection->bytes_written();
  }
  return bytes;
}

}  // namespace mimosagauge
