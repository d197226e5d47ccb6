// Listening for callers, and the requests in progress.

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

// Bodies in memory at once, in units of the largest one.
constexpr std::size_t kBodiesHeld = 32;
// Connections beyond the limit that are told so before they are closed.
constexpr std::size_t kRefusalConnections = 64;
// Files that the process needs besides callers' connections.
constexpr std::size_t kOtherFiles = 512;
constexpr std::chrono::milliseconds kAcceptRetry{50};
constexpr std::chrono::nanoseconds kLongestSweep = std::chrono::seconds(1);
constexpr std::chrono::nanoseconds kShortestSweep =
    std::chrono::milliseconds(5);
constexpr int kSweepsPerTimeout = 8;

// Raises the limit on open files as far as it goes.
[[nodiscard]] std::size_t OpenFileLimit() {
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

// A quarter of the process's memory may hold request bodies.
constexpr std::uint64_t kBodiesPart = 4;

[[nodiscard]] std::size_t BodyMemory(const LimitSettings& limits) {
  const std::uint64_t wanted = kBodiesHeld * limits.body.count();
  if (limits.memory == Bytes{}) {
    return wanted;
  }
  return std::min(wanted, std::max(limits.body.count(),
                                   limits.memory.count() / kBodiesPart));
}

[[nodiscard]] Clock::duration SweepInterval(const LimitSettings& limits) {
  const Duration shortest =
      std::min(limits.header_timeout, limits.idle_timeout);
  return std::clamp<Clock::duration>(shortest / kSweepsPerTimeout,
                                     kShortestSweep, kLongestSweep);
}

}  // namespace

CallerServer::CallerServer(asio::io_context& io, const Settings& settings,
                           Mailbox<Event>& decisions,
                           const CallerDialect& dialect)
    : io_(io),
      settings_(settings),
      decisions_(decisions),
      accounts_(settings.accounts),
      bodies_(std::make_shared<BodyBudget>(BodyMemory(settings.limits))),
      view_(std::make_shared<InstanceView>()),
      dialect_(dialect),
      sweep_timer_(io) {
  if (!settings.ticket_secret.empty()) {
    ticket_secrets_.push_back(MakeAuthenticator(settings.ticket_secret));
  }
}

CallerLimits CallerServer::limits() const noexcept {
  const LimitSettings& own = settings_.limits;
  if (view_->catalogue == nullptr) {
    return {own.header, own.body, own.header_timeout, own.idle_timeout};
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
          ListenOn(**endpoint, setting, ListenerKind::kResources));
    }
  }
  accepting_ = true;
  LimitConnections();
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

void CallerServer::LimitConnections() {
  connection_limit_ = settings_.limits.connections;
  const std::size_t files = OpenFileLimit();
  const std::size_t room =
      files > 2 * kOtherFiles ? files - kOtherFiles : files / 2;
  if (files == 0 || room >= connection_limit_) {
    return;
  }
  connection_limit_ = room;
  Log(log_events::kFileLimit, {{"files", std::to_string(files)},
                               {"connections", std::to_string(room)}});
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
  Admit(std::move(socket), listener.kind);
  Accept(listener);
}

void CallerServer::RetryAccept(Listener& listener) {
  listener.retry_timer.expires_after(kAcceptRetry);
  listener.retry_timer.async_wait([this, &listener](const error_code& error) {
    if (!error && listener.acceptor.is_open()) {
      Accept(listener);
    }
  });
}

void CallerServer::Admit(asio::ip::tcp::socket socket, ListenerKind kind) {
  const std::size_t open = connections_.size();
  if (open >= connection_limit_ + kRefusalConnections) {
    return;  // The socket closes with its scope.
  }
  auto connection =
      std::make_shared<CallerConnection>(std::move(socket), *this, kind);
  connections_.insert(connection);
  if (open < connection_limit_) {
    connection->Start();
    return;
  }
  connection->Refuse(OverloadedProblem("too many connections are open"));
}

void CallerServer::Sweep() {
  const auto now = Clock::now();
  // A connection that closes takes itself out of the set.
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

std::variant<RequestNumber, Problem> CallerServer::Submit(
    RequestHead head, BodyPtr body,
    std::shared_ptr<CallerConnection> connection) {
  if (decisions_.backlog() > 0) {
    return OverloadedProblem("this instance is behind with its work");
  }
  if (requests_.size() >= settings_.limits.requests) {
    return OverloadedProblem("too many requests are in progress");
  }
  const RequestNumber number{next_number_};
  next_number_ += 2;
  requests_.emplace(number, std::move(connection));
  decisions_.Post(RequestArrived{
      number, Origin::kCaller,
      std::make_shared<const RequestHead>(std::move(head)), std::move(body)});
  return number;
}

void CallerServer::Forget(RequestNumber number) { requests_.erase(number); }

void CallerServer::Abandon(RequestNumber number) {
  requests_.erase(number);
  decisions_.Post(RequestAbandoned{number});
}

void CallerServer::Taken(RequestNumber number, std::uint64_t bytes) {
  decisions_.Post(AnswerTaken{number, Bytes{bytes}});
}

void CallerServer::Remove(const std::shared_ptr<CallerConnection>& connection) {
  connections_.erase(connection);
}

std::shared_ptr<CallerConnection> CallerServer::Find(RequestNumber number) {
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
  const auto connection = Find(number);
  if (connection == nullptr) {
    return;  // Its caller went away.
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
  Touch(connection);
}

// Effects that come together are written together.
void CallerServer::Touch(const std::shared_ptr<CallerConnection>& connection) {
  if (touched_.empty()) {
    asio::post(io_, [this] { FlushTouched(); });
  }
  if (touched_.empty() || touched_.back() != connection) {
    touched_.push_back(connection);
  }
}

void CallerServer::FlushTouched() {
  const auto touched = std::exchange(touched_, {});
  for (const auto& connection : touched) {
    connection->Flush();
  }
}

void CallerServer::StopAccepting() {
  accepting_ = false;
  error_code ignored;
  // Its own resources are asked for to the end.
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
  const auto open = std::exchange(connections_, {});
  for (const auto& connection : open) {
    connection->Close();
  }
  requests_.clear();
  touched_.clear();
}

}  // namespace mimosagauge::detail
