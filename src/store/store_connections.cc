// Keeps idle connections, and limits the number of calls in progress.

#include "store_connections.h"

#include <boost/asio/post.hpp>
#include <utility>

#include "store_call.h"

namespace mimosagauge::detail {

StoreConnections::StoreConnections(boost::asio::io_context& io_context,
                                   StoreClientSettings settings)
    : io_context_(io_context),
      settings_(std::move(settings)),
      random_(static_cast<std::minstd_rand::result_type>(settings_.seed)) {}

void StoreConnections::StartCall(StoreCallRequest request,
                                 AnswerHandler handler) {
  if (waiting_calls_.size() >= settings_.max_waiting_calls) {
    Error error{ErrorKind::kOverloaded,
                "too many calls are waiting for the key-value service",
                "retry later"};
    boost::asio::post(io_context_,
                      [client = weak_from_this(), handler = std::move(handler),
                       error = std::move(error)]() mutable {
                        if (!client.expired()) {
                          handler(std::move(error));
                        }
                      });
    return;
  }
  const auto call = std::make_shared<StoreCall>(*this, std::move(request),
                                                std::move(handler));
  call->StartDeadlineTimer();
  waiting_calls_.push_back(call);
  StartWaitingCalls();
}

void StoreConnections::StartWaitingCalls() {
  while (!waiting_calls_.empty() &&
         running_calls_.size() < settings_.connections) {
    const std::shared_ptr<StoreCall> call = waiting_calls_.front();
    waiting_calls_.pop_front();
    running_calls_.insert(call);
    call->Start();
  }
}

void StoreConnections::Stop() {
  for (const auto& call : std::exchange(running_calls_, {})) {
    call->Abandon();
  }
  for (const auto& call : std::exchange(waiting_calls_, {})) {
    call->Abandon();
  }
  idle_connections_.clear();
}

StoreConnectionPtr StoreConnections::TakeIdle() {
  const auto oldest_usable =
      std::chrono::steady_clock::now() - settings_.idle_timeout;
  while (!idle_connections_.empty()) {
    StoreConnectionPtr connection = std::move(idle_connections_.back());
    idle_connections_.pop_back();
    if (connection->idle_since < oldest_usable) {
      // The other connections have been idle for longer.
      idle_connections_.clear();
      return nullptr;
    }
    if (HasNothingToRead(connection->stream.socket())) {
      return connection;
    }
  }
  return nullptr;
}

void StoreConnections::DropIdle() { idle_connections_.clear(); }

void StoreConnections::ReturnIdle(StoreConnectionPtr connection) {
  connection->stream.expires_never();
  connection->idle_since = std::chrono::steady_clock::now();
  idle_connections_.push_back(std::move(connection));
}

void StoreConnections::MarkEndpointFailed(std::size_t endpoint) {
  std::erase_if(idle_connections_,
                [endpoint](const StoreConnectionPtr& connection) {
                  return connection->endpoint == endpoint;
                });
  if (preferred_endpoint_ == endpoint) {
    preferred_endpoint_ = (endpoint + 1) % settings_.endpoints.size();
  }
}

bool StoreConnections::RecordEra(StoreEra era) {
  if (era < era_) {
    return false;
  }
  const bool restored = era_ != StoreEra{} && era_ < era;
  era_ = era;
  if (restored && settings_.on_restored) {
    settings_.on_restored(era);
  }
  return true;
}

void StoreConnections::RemoveCall(const std::shared_ptr<StoreCall>& call) {
  running_calls_.erase(call);
  std::erase(waiting_calls_, call);
  StartWaitingCalls();
}

}  // namespace mimosagauge::detail
