// Idle connections, and the bound on calls at once.

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

void StoreConnections::Call(StoreRequest request, AnswerHandler handler) {
  if (waiting_.size() >= settings_.waiting_calls) {
    Error error{ErrorKind::kOverloaded,
                "too many calls wait for the key-value service",
                "try again later"};
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
  call->StartClock();
  waiting_.push_back(call);
  BeginWaiting();
}

void StoreConnections::BeginWaiting() {
  while (!waiting_.empty() && running_.size() < settings_.connections) {
    const std::shared_ptr<StoreCall> call = waiting_.front();
    waiting_.pop_front();
    running_.insert(call);
    call->Begin();
  }
}

void StoreConnections::Stop() {
  for (const auto& call : std::exchange(running_, {})) {
    call->Abandon();
  }
  for (const auto& call : std::exchange(waiting_, {})) {
    call->Abandon();
  }
  idle_.clear();
}

StoreConnectionPtr StoreConnections::TakeIdle() {
  const auto oldest = std::chrono::steady_clock::now() - settings_.idle_timeout;
  while (!idle_.empty()) {
    StoreConnectionPtr connection = std::move(idle_.back());
    idle_.pop_back();
    if (connection->idle_since >= oldest) {
      return connection;
    }
    idle_.clear();  // The others have been idle for longer.
  }
  return nullptr;
}

void StoreConnections::PutIdle(StoreConnectionPtr connection) {
  connection->stream.expires_never();
  connection->idle_since = std::chrono::steady_clock::now();
  idle_.push_back(std::move(connection));
}

void StoreConnections::MarkFailed(std::size_t endpoint) {
  std::erase_if(idle_, [endpoint](const StoreConnectionPtr& connection) {
    return connection->endpoint == endpoint;
  });
  if (preferred_ == endpoint) {
    preferred_ = (endpoint + 1) % settings_.endpoints.size();
  }
}

void StoreConnections::Finish(const std::shared_ptr<StoreCall>& call) {
  running_.erase(call);
  std::erase(waiting_, call);
  BeginWaiting();
}

}  // namespace mimosagauge::detail
