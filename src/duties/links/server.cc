// The accepting side of links: its connections and the requests on them.

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
#include "mimosagauge/impl/wire/confirmation_codec.h"

namespace mimosagauge {
namespace {

namespace asio = boost::asio;

/// Maximum total size, per link, of the request bodies that are not complete
/// yet.
constexpr Bytes kMaxPartialBytes = Kibibytes(64UL * 1024);
constexpr std::chrono::milliseconds kAcceptRetryDelay{100};
/// Maximum log entries per second about connections to the peer port that did
/// not complete the greeting.
constexpr std::size_t kLogsPerSecond = 10;
constexpr Duration kRetryAfter = std::chrono::seconds(1);
constexpr std::uint64_t kRequestNumberStep = 2;

[[nodiscard]] Problem OverloadedProblem(const char* detail) {
  Problem problem;
  problem.status = 503;
  problem.type = "overloaded";
  problem.title = "The instance has reached a limit";
  problem.detail = detail;
  problem.remedy = "retry later";
  problem.run = RunState::kNotRun;
  problem.retry_after = kRetryAfter;
  return problem;
}

[[nodiscard]] Problem LeavingProblem() {
  Problem problem;
  problem.status = 503;
  problem.type = "leaving";
  problem.title = "The instance is leaving";
  problem.detail = "it accepts no new requests";
  problem.remedy = "send the request to another instance";
  problem.run = RunState::kNotRun;
  return problem;
}

[[nodiscard]] Problem BodyTooLargeProblem(Bytes limit) {
  Problem problem;
  problem.status = 413;
  problem.type = "body-too-large";
  problem.title = "The request body is too large";
  problem.detail = fmt::format("the limit is {} bytes", limit.count());
  problem.remedy =
      "send a smaller body, or raise limits.body on every instance";
  problem.run = RunState::kNotRun;
  return problem;
}

[[nodiscard]] Problem PathTooLongProblem() {
  Problem problem;
  problem.status = 508;
  problem.type = "path-too-long";
  problem.title = "The request has passed too many instances";
  problem.detail =
      fmt::format("the limit is {} instances and upstreams", kMaxHops);
  problem.remedy =
      "check the rules and the peers of the instances for a forwarding loop";
  problem.run = RunState::kNotRun;
  return problem;
}

[[nodiscard]] Error ListenError(const Endpoint& endpoint,
                                const boost::system::error_code& error) {
  return Error{ErrorKind::kUnavailable,
               fmt::format("cannot listen on {} for other instances: {}",
                           ToString(endpoint), error.message()),
               "set peer in the settings to a free port of this machine"};
}

[[nodiscard]] Error StoppingError() {
  return Error{ErrorKind::kUnavailable, "this instance is stopping", ""};
}

[[nodiscard]] std::string RemoteAddress(const asio::ip::tcp::socket& socket) {
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

Result<void> LinkServer::Start(LinkTlsContextPtr tls, HelloMessage own_hello) {
  tls_ = std::move(tls);
  own_hello_ = std::move(own_hello);
  boost::system::error_code error = OpenListener(acceptor_, settings_.peer);
  if (error) {
    return ListenError(settings_.peer, error);
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
  const auto links =
      links_;  // A copy, because closing a link erases it from `links_`.
  for (const auto& [connection, link] : links) {
    connection->Close(LinkCloseReason::kClosedLocally, StoppingError());
  }
}

void LinkServer::AnnounceLeaving() {
  leaving_ = true;
  for (const auto& [id, link] : link_by_instance_) {
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
    // The usual cause is that no more files can be opened. Accepting is retried
    // after a delay, when some may have been closed.
    Log(log_events::kLinkAcceptFailed, {{"error", error.message()}});
    accept_timer_.expires_after(kAcceptRetryDelay);
    accept_timer_.async_wait([this](const auto& cancelled) {
      if (!cancelled && !stopped_) {
        Accept();
      }
    });
    return;
  }
  Accept();
  if (pending_greetings_ >= kMaxUngreeted) {
    ++counters_.refused_connections;
    if (TakeLogQuota()) {
      Log(log_events::kLinkRefused, {{"peer", RemoteAddress(socket)}});
    }
    return;  // The destructor closes the socket.
  }
  ++pending_greetings_;
  const auto link = std::make_shared<Link>();
  link->address = RemoteAddress(socket);
  link->connection = std::make_shared<LinkConnection>(
      io_, LinkTransport(std::move(socket), tls_), LinkRole::kAccepting,
      timings_, own_hello_, std::nullopt);
  links_.emplace(link->connection.get(), link);
  // `links_` keeps the link alive until it has closed.
  const std::weak_ptr<Link> weak = link;
  link->connection->Start(
      {[this, weak](const HelloMessage& hello) { OnOpen(weak.lock(), hello); },
       [this, weak](Message&& message) {
         OnMessage(weak.lock(), std::move(message));
       },
       [this, weak](LinkCloseReason close_reason, const Error& close_error) {
         OnClosed(weak.lock(), close_reason, close_error);
       },
       [this, weak](const std::vector<StreamNumber>& streams) {
         OnStreamsWritten(weak.lock(), streams);
       }});
}

void LinkServer::OnOpen(const LinkPtr& link, const HelloMessage& hello) {
  --pending_greetings_;
  link->greeting_complete = true;
  // The other instance keeps only one connection, so it has abandoned an older
  // one.
  const auto older = link_by_instance_.find(hello.instance);
  if (older != link_by_instance_.end()) {
    const LinkConnectionPtr connection = older->second->connection;
    connection->Close(LinkCloseReason::kClosedLocally, StoppingError());
  }
  link_by_instance_[hello.instance] = link;
  Log(log_events::kLinkAccepted,
      {{"peer", hello.instance.value()},
       {"version", std::to_string(link->connection->version())}});
  if (leaving_) {
    link->connection->SendControl(
        GoodbyeMessage{GoodbyeReason::kLeaving, "the instance is leaving"});
  }
}

void LinkServer::OnClosed(const LinkPtr& link, LinkCloseReason close_reason,
                          const Error& error) {
  const LinkConnectionPtr connection = link->connection;
  if (link->greeting_complete) {
    LogLinkClosed(close_reason, connection->peer().value(), error);
    const auto known = link_by_instance_.find(connection->peer());
    if (known != link_by_instance_.end() && known->second == link) {
      link_by_instance_.erase(known);
    }
  } else {
    --pending_greetings_;
    ++counters_.failed_connections;
    if (TakeLogQuota()) {
      LogLinkClosed(close_reason, link->address, error);
    }
  }
  partial_request_count_ -= link->partial_requests.size();
  link->partial_requests.clear();
  for (const auto& [stream, number] : link->request_numbers) {
    active_requests_.erase(number);
    decisions_.Post(RequestAbandoned{number});
  }
  link->request_numbers.clear();
  AnswersWritten lost;
  for (const auto& [stream, number] : link->unwritten_answers) {
    lost.answers.push_back({number, false});
  }
  link->unwritten_answers.clear();
  if (!lost.answers.empty()) {
    decisions_.Post(std::move(lost));
  }
  links_.erase(connection.get());
}

bool LinkServer::TakeLogQuota() {
  const auto now = Clock::now();
  if (now - log_window_start_ > std::chrono::seconds(1)) {
    log_window_start_ = now;
    logged_in_window_ = 0;
  }
  return logged_in_window_++ < kLogsPerSecond;
}

void LinkServer::CloseOnProtocolError(Link& link, const char* detail) {
  link.connection->CloseWithGoodbye(
      GoodbyeReason::kProtocol, LinkCloseReason::kInvalidFrames,
      {ErrorKind::kInvalidInput, detail, "run the same release on both sides"});
}

// --- requests ---------------------------------------------------------------

void LinkServer::OnMessage(const LinkPtr& link, Message&& message) {
  std::visit(
      [&](auto&& typed) {
        HandleMessage(link, std::forward<decltype(typed)>(typed));
      },
      std::move(message));
}

std::optional<Problem> LinkServer::CheckAdmission(
    const Link& link, const RequestMessage& request) const {
  if (leaving_) {
    return LeavingProblem();
  }
  if (request.head.path.size() > kMaxHops) {
    return PathTooLongProblem();
  }
  if (request.body_size > settings_.limits.body) {
    return BodyTooLargeProblem(settings_.limits.body);
  }
  if (decisions_.backlog() > 0 ||
      active_requests_.size() + partial_request_count_ >=
          settings_.limits.requests) {
    return OverloadedProblem("too many requests are in progress");
  }
  if (link.partial_request_bytes + request.body_size > kMaxPartialBytes) {
    return OverloadedProblem(
        "too many request body bytes are being received on this link");
  }
  return std::nullopt;
}

void LinkServer::RefuseRequest(Link& link, StreamNumber stream,
                               Problem&& problem) {
  ++counters_.refused_requests;
  static_cast<void>(link.connection->SendOnStream(
      stream, ProblemMessage{stream, std::move(problem)}));
  link.connection->queue().FinishStream(stream);
}

void LinkServer::HandleMessage(const LinkPtr& link, RequestMessage&& request) {
  const StreamNumber stream = request.stream;
  if (link->partial_requests.count(stream) +
          link->request_numbers.count(stream) >
      0) {
    CloseOnProtocolError(
        *link, "received a second request with the same stream number");
    return;
  }
  std::optional<Problem> refusal = CheckAdmission(*link, request);
  if (refusal) {
    RefuseRequest(*link, stream, std::move(*refusal));
    return;
  }
  PartialRequest partial;
  partial.request = std::move(request);
  partial.started_at = Clock::now();
  if (partial.request.body_size == Bytes{}) {
    StartRequest(link, std::move(partial));
    return;
  }
  ++partial_request_count_;
  link->partial_request_bytes += partial.request.body_size;
  link->partial_requests.emplace(stream, std::move(partial));
}

void LinkServer::HandleMessage(const LinkPtr& link, RequestBodyMessage&& body) {
  const auto found = link->partial_requests.find(body.stream);
  if (found == link->partial_requests.end()) {
    ++counters_.late_frames;
    return;
  }
  PartialRequest& partial = found->second;
  const Bytes size = partial.request.body_size;
  const Bytes received{partial.body.size() + body.data.size()};
  if (body.sequence != partial.body_frames || received > size) {
    CloseOnProtocolError(
        *link,
        "a request body frame is missing or repeated, or the body is too long");
    return;
  }
  ++partial.body_frames;
  partial.body += body.data;
  if (received == size) {
    PartialRequest complete = std::move(partial);
    link->partial_requests.erase(found);
    --partial_request_count_;
    link->partial_request_bytes -= size;
    StartRequest(link, std::move(complete));
  }
}

void LinkServer::StartRequest(const LinkPtr& link, PartialRequest&& partial) {
  const RequestNumber number{next_number_};
  next_number_ += kRequestNumberStep;
  RequestMessage& request = partial.request;
  request.head.remaining -= Clock::now() - partial.started_at;
  link->connection->queue().AddCredit(request.stream, request.credit);
  link->request_numbers.emplace(request.stream, number);
  ActiveRequest active_request;
  active_request.link = link;
  active_request.stream = request.stream;
  active_requests_.emplace(number, std::move(active_request));
  decisions_.Post(RequestArrived{
      number, Origin::kLink,
      std::make_shared<const RequestHead>(std::move(request.head)),
      std::make_shared<const std::string>(std::move(partial.body))});
}

void LinkServer::HandleMessage(const LinkPtr& link, CancelMessage&& cancel) {
  const auto partial = link->partial_requests.find(cancel.stream);
  if (partial != link->partial_requests.end()) {
    link->partial_request_bytes -= partial->second.request.body_size;
    --partial_request_count_;
    link->partial_requests.erase(partial);
    return;
  }
  const auto unwritten = link->unwritten_answers.find(cancel.stream);
  if (unwritten != link->unwritten_answers.end()) {
    link->connection->queue().DropStream(cancel.stream);
    decisions_.Post(AnswersWritten{{{unwritten->second, false}}});
    link->unwritten_answers.erase(unwritten);
    return;
  }
  const auto found = link->request_numbers.find(cancel.stream);
  if (found == link->request_numbers.end()) {
    ++counters_.late_frames;
    return;
  }
  const RequestNumber number = found->second;
  link->connection->queue().DropStream(cancel.stream);
  link->request_numbers.erase(found);
  active_requests_.erase(number);
  decisions_.Post(RequestAbandoned{number});
}

void LinkServer::HandleMessage(const LinkPtr& link, CreditMessage&& credit) {
  const auto found = link->request_numbers.find(credit.stream);
  if (found == link->request_numbers.end()) {
    // The request has ended, but the last frames of its answer may still wait
    // for this credit.
    link->connection->queue().AddCreditIfKnown(credit.stream, credit.bytes);
    link->connection->Flush();
    return;
  }
  link->connection->queue().AddCredit(credit.stream, credit.bytes);
  link->connection->Flush();
  decisions_.Post(AnswerConsumed{found->second, credit.bytes});
}

void LinkServer::SendGossip(const InstanceId& to, std::string bytes) {
  const auto found = link_by_instance_.find(to);
  if (found == link_by_instance_.end()) {
    return;
  }
  LinkConnection& connection = *found->second->connection;
  if (connection.is_open() && connection.queue().size() <= kMaxQueuedBytes) {
    connection.SendControl(GossipMessage{std::move(bytes)});
  }
}

void LinkServer::HandleMessage(const LinkPtr& link, GossipMessage&& gossip) {
  PostGossip(decisions_, link->connection->peer(), std::move(gossip.data));
}

void LinkServer::HandleMessage(const LinkPtr& link, GoodbyeMessage&& goodbye) {
  // The link stays open, because a leaving instance still receives the answers
  // to its own requests.
  if (goodbye.reason != GoodbyeReason::kLeaving) {
    link->connection->Close(
        LinkCloseReason::kInvalidFrames,
        {ErrorKind::kInvalidInput,
         fmt::format("the other instance closed the link: {}", goodbye.text),
         "read the other instance's log"});
  }
}

template <typename Unexpected>
void LinkServer::HandleMessage(const LinkPtr& link, Unexpected&& /*message*/) {
  static_assert(std::is_rvalue_reference_v<Unexpected&&>);
  CloseOnProtocolError(
      *link, "received a message that only the accepting side may send");
}

void LinkServer::Handle(SendConfirmation&& answer) {
  SendGossip(answer.to, EncodeConfirmation(answer.message));
}

std::uint64_t LinkServer::bytes_written() const noexcept {
  std::uint64_t bytes = 0;
  for (const auto& [connection, link] : links_) {
    bytes += connection->bytes_written();
  }
  return bytes;
}

}  // namespace mimosagauge
