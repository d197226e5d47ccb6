// Accepting of callers' connections, and the table of requests in progress.

#include "mimosagauge/impl/duties/callers/server.h"

#include <sys/resource.h>

#include <algorithm>
#include <boost/asio/error.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>
#include <boost/outcome/try.hpp>
#include <chrono>
#include <utility>

#include "mimosagauge/impl/core/log_catalogue.h"
#include "mimosagauge/impl/duties/callers/connection.h"
#include "mimosagauge/impl/duties/callers/problems.h"
#include "mimosagauge/impl/duties/common/hash.h"
#include "mimosagauge/impl/duties/common/listener.h"
#include "mimosagauge/impl/duties/common/log.h"

namespace mimosagauge::detail {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using Clock = std::chrono::steady_clock;

// Memory budget for request bodies, in bodies of the maximum size.
constexpr std::size_t kBodyBudgetInMaxBodies = 32;
// Connections beyond the limit that are answered with a problem before they are
// closed. Any further ones are closed without an answer.
constexpr std::size_t kMaxRefusedConnections = 64;
// File descriptors that the process needs besides callers' connections.
constexpr std::size_t kReservedFileDescriptors = 512;
constexpr std::chrono::milliseconds kAcceptRetryDelay{50};
constexpr std::chrono::nanoseconds kMaxSweepInterval = std::chrono::seconds(1);
constexpr std::chrono::nanoseconds kMinSweepInterval =
    std::chrono::milliseconds(5);
constexpr int kSweepsPerTimeout = 8;

// Raises the soft limit on open files to the hard limit. Returns the resulting
// limit, or 0 if it cannot be read.
[[nodiscard]] std::size_t RaiseOpenFileLimit() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) {
    return 0;
  }
  if (limit.rlim_cur < limit.rlim_max) {
    limit.rlim_cur = limit.rlim_max;
    if (setrlimit(RLIMIT_NOFILE, &limit) != 0) {
      getrlimit(RLIMIT_NOFILE, &limit);
    }
  }
  return limit.rlim_cur;
}

// Request bodies may use a quarter of the process's memory limit.
constexpr std::uint64_t kBodyMemoryDivisor = 4;

[[nodiscard]] std::size_t BodyBudgetBytes(const LimitSettings& limits) {
  const std::uint64_t wanted_bytes =
      kBodyBudgetInMaxBodies * limits.body.count();
  if (limits.memory == Bytes{}) {
    return wanted_bytes;
  }
  return std::min(wanted_bytes,
                  std::max(limits.body.count(),
                           limits.memory.count() / kBodyMemoryDivisor));
}

[[nodiscard]] Clock::duration SweepInterval(const LimitSettings& limits) {
  const Duration shortest =
      std::min(limits.header_timeout, limits.idle_timeout);
  return std::clamp<Clock::duration>(shortest / kSweepsPerTimeout,
                                     kMinSweepInterval, kMaxSweepInterval);
}

}  // namespace

CallerServer::CallerServer(asio::io_context& io, const Settings& settings,
                           Mailbox<Event>& decisions,
                           const CallerDialect& dialect)
    : io_(io),
      settings_(settings),
      decisions_(decisions),
      accounts_(settings.accounts),
      body_budget_(
          std::make_shared<BodyBudget>(BodyBudgetBytes(settings.limits))),
      view_(std::make_shared<InstanceView>()),
      dialect_(dialect),
      sweep_timer_(io) {
  if (!settings.ticket_secret.empty()) {
    ticket_secrets_.push_back(MakeAuthenticator(settings.ticket_secret));
  }
}

CallerLimits CallerServer::limits() const noexcept {
  const LimitSettings& configured = settings_.limits;
  if (view_->catalogue == nullptr) {
    return {configured.header, configured.body, configured.header_timeout,
            configured.idle_timeout};
  }
  return view_->catalogue->limits;
}

Result<void> CallerServer::Listen() {
  BOOST_OUTCOME_TRYV(
      ListenOn(settings_.entry, "listen.entry", ListenerKind::kCallers));
  error_code ignored;
  port_ = listeners_.front().acceptor.local_endpoint(ignored).port();
  for (const auto& [endpoint, setting] :
       {std::pair{&settings_.ready, "listen.ready"},
        std::pair{&settings_.directory, "listen.directory"},
        std::pair{&settings_.metrics, "listen.metrics"}}) {
    if (*endpoint) {
      BOOST_OUTCOME_TRYV(
          ListenOn(**endpoint, setting, ListenerKind::kLocalResources));
    }
  }
  accepting_ = true;
  ApplyOpenFileLimit();
  Log(log_events::kListening,
      {{"address", ToString(Endpoint{settings_.entry.address, port_})}});
  for (Listener& listener : listeners_) {
    Accept(listener);
  }
  Sweep();
  return boost::outcome_v2::success();
}

Result<void> CallerServer::ListenOn(const Endpoint& endpoint,
                                    const char* setting, ListenerKind kind) {
  Listener& listener = listeners_.emplace_back(
      Listener{kind, asio::ip::tcp::acceptor(io_), asio::steady_timer(io_)});
  const error_code error = OpenListener(listener.acceptor, endpoint);
  if (error) {
    return Error{
        ErrorKind::kUnavailable,
        "cannot listen on " + ToString(endpoint) + ": " + error.message(),
        std::string("free the address or change ") + setting +
            " in the settings"};
  }
  return boost::outcome_v2::success();
}

void CallerServer::ApplyOpenFileLimit() {
  connection_limit_ = settings_.limits.connections;
  const std::size_t file_limit = RaiseOpenFileLimit();
  const std::size_t connections_allowed =
      file_limit > 2 * kReservedFileDescriptors
          ? file_limit - kReservedFileDescriptors
          : file_limit / 2;
  if (file_limit == 0 || connections_allowed >= connection_limit_) {
    return;
  }
  connection_limit_ = connections_allowed;
  Log(log_events::kFileLimit,
      {{"files", std::to_string(file_limit)},
       {"connections", std::to_string(connections_allowed)}});
}

void CallerServer::Accept(Listener& listener) {
  listener.acceptor.async_accept(
      [this, &listener](const error_code& error, asio::ip::tcp::socket socket) {
        OnAccepted(listener, error, std::move(socket));
      });
}

void CallerServer::OnAccepted(Listener& listener, const error_code& error,
                              asio::ip::tcp::socket socket) {
  if (!listener.acceptor.is_open() || error == asio::error::operation_aborted) {
    return;
  }
  if (error == asio::error::connection_aborted) {
    Accept(listener);
    return;
  }
  if (error) {
    Log(log_events::kAcceptFailed, {{"error", error.message()}});
    RetryAccept(listener);
    return;
  }
  AdmitConnection(std::move(socket), listener.kind);
  Accept(listener);
}

void CallerServer::RetryAccept(Listener& listener) {
  listener.retry_timer.expires_after(kAcceptRetryDelay);
  listener.retry_timer.async_wait([this, &listener](const error_code& error) {
    if (!error && listener.acceptor.is_open()) {
      Accept(listener);
    }
  });
}

void CallerServer::AdmitConnection(asio::ip::tcp::socket socket,
                                   ListenerKind kind) {
  const std::size_t open = connections_.size();
  if (open >= connection_limit_ + kMaxRefusedConnections) {
    return;  // The socket is closed by its destructor.
  }
  auto connection =
      std::make_shared<CallerConnection>(std::move(socket), *this, kind);
  connections_.insert(connection);
  if (open < connection_limit_) {
    connection->Start();
    return;
  }
  connection->Refuse(OverloadedProblem(
      "the number of open connections has reached this instance's limit"));
}

void CallerServer::Sweep() {
  const auto now = Clock::now();
  // A copy, since a connection that closes removes itself from the set.
  std::vector<std::shared_ptr<CallerConnection>> open(connections_.begin(),
                                                      connections_.end());
  for (const auto& connection : open) {
    connection->CheckDeadline(now);
  }
  sweep_timer_.expires_after(SweepInterval(settings_.limits));
  sweep_timer_.async_wait([this](const error_code& error) {
    if (!error && !stopped_) {
      Sweep();
    }
  });
}

std::variant<RequestNumber, Problem> CallerServer::SubmitRequest(
    RequestHead head, BodyPtr body,
    std::shared_ptr<CallerConnection> connection) {
  if (decisions_.backlog() > 0) {
    return OverloadedProblem(
        "this instance has a backlog of unprocessed events");
  }
  if (requests_.size() >= settings_.limits.requests) {
    return OverloadedProblem(
        "the number of requests in progress has reached limits.requests");
  }
  const RequestNumber number{next_request_number_};
  next_request_number_ += 2;
  requests_.emplace(number, std::move(connection));
  decisions_.Post(RequestArrived{
      number, Origin::kCaller,
      std::make_shared<const RequestHead>(std::move(head)), std::move(body)});
  return number;
}

void CallerServer::RemoveRequest(RequestNumber number) {
  requests_.erase(number);
}

void CallerServer::AbandonRequest(RequestNumber number) {
  requests_.erase(number);
  decisions_.Post(RequestAbandoned{number});
}

void CallerServer::ReportBytesWritten(RequestNumber number,
                                      std::uint64_t bytes) {
  decisions_.Post(AnswerConsumed{number, Bytes{bytes}});
}

// Answers that are written in one turn of the event loop share an event.
void CallerServer::ReportAnswerWritten(const WrittenAnswer& written) {
  if (written_answers_.empty()) {
    asio::post(io_, [this] { PostWrittenAnswers(); });
  }
  written_answers_.push_back(written);
}

void CallerServer::PostWrittenAnswers() {
  decisions_.Post(AnswersWritten{std::exchange(written_answers_, {})});
}

void CallerServer::RemoveConnection(
    const std::shared_ptr<CallerConnection>& connection) {
  connections_.erase(connection);
}

std::shared_ptr<CallerConnection> CallerServer::FindConnection(
    RequestNumber number) {
  const auto found = requests_.find(number);
  return found == requests_.end() ? nullptr : found->second;
}

void CallerServer::Handle(CallerEffect&& effect) {
  if (auto* publish = std::get_if<PublishView>(&effect)) {
    view_ = std::move(publish->view);
    return;
  }
  const RequestNumber number = std::visit(
      [](const auto& item) {
        if constexpr (requires { item.number; }) {
          return item.number;
        } else {
          return RequestNumber{};
        }
      },
      effect);
  const auto connection = FindConnection(number);
  if (connection == nullptr) {
    return;  // The caller has disconnected.
  }
  if (auto* head = std::get_if<SendAnswerHead>(&effect)) {
    connection->SendHead(std::move(head->head));
  } else if (const auto* body = std::get_if<SendAnswerBody>(&effect)) {
    connection->SendBody(body->data);
  } else if (std::holds_alternative<SendAnswerEnd>(effect)) {
    connection->SendEnd();
  } else if (const auto* abort = std::get_if<AbortAnswer>(&effect)) {
    connection->Abort(abort->problem);
  } else if (const auto* problem = std::get_if<SendProblem>(&effect)) {
    connection->SendProblem(problem->problem);
  }
  ScheduleFlush(connection);
}

// Queues the connection for a flush after the pending handlers, so that effects
// that arrive together are written together.
void CallerServer::ScheduleFlush(
    const std::shared_ptr<CallerConnection>& connection) {
  if (flush_queue_.empty()) {
    asio::post(io_, [this] { FlushScheduled(); });
  }
  if (flush_queue_.empty() || flush_queue_.back() != connection) {
    flush_queue_.push_back(connection);
  }
}

void CallerServer::FlushScheduled() {
  const auto scheduled = std::exchange(flush_queue_, {});
  for (const auto& connection : scheduled) {
    connection->Flush();
  }
}

void CallerServer::StopAccepting() {
  accepting_ = false;
  error_code ignored;
  // The listeners for local resources stay open until `Stop`, so that health
  // and metrics can be read while the instance drains.
  listeners_.front().acceptor.close(ignored);
  listeners_.front().retry_timer.cancel();
}

void CallerServer::Stop() {
  accepting_ = false;
  for (Listener& listener : listeners_) {
    error_code ignored;
    listener.acceptor.close(ignored);
    listener.retry_timer.cancel();
  }
  stopped_ = true;
  sweep_timer_.cancel();
  // What the decisions refused at the end of the shutdown.
  FlushScheduled();
  const auto open = std::exchange(connections_, {});
  for (const auto& connection : open) {
    connection->Close();
  }
  requests_.clear();
  flush_queue_.clear();
}

}  // namespace mimosagauge::detail
