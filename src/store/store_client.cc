// Encodes typed calls, and decodes their answers.

#include "mimosagauge/impl/store/store_client.h"

#include <string>
#include <utility>

#include "store_connections.h"
#include "store_watch_loop.h"

namespace mimosagauge {
namespace {

// Makes a handler that decodes the answer and calls `handler` with the result,
// or with the error of a call that failed.
template <typename T>
[[nodiscard]] detail::StoreConnections::AnswerHandler DecodingHandler(
    Result<T> (*decode)(const StoreHttpAnswer&),
    StoreClient::Handler<T> handler) {
  return
      [decode, handler = std::move(handler)](Result<StoreHttpAnswer>&& answer) {
        if (!answer) {
          return handler(std::move(answer).error());
        }
        handler(decode(answer.value()));
      };
}

// As above, but for writes: one whose answer cannot be decoded may have taken
// effect, so its outcome is unknown.
template <typename T>
[[nodiscard]] detail::StoreConnections::AnswerHandler WriteDecodingHandler(
    Result<T> (*decode)(const StoreHttpAnswer&),
    StoreClient::Handler<T> handler) {
  return
      [decode, handler = std::move(handler)](Result<StoreHttpAnswer>&& answer) {
        if (!answer) {
          return handler(std::move(answer).error());
        }
        Result<T> result = decode(answer.value());
        if (!result) {
          result.error().kind = ErrorKind::kUnknownOutcome;
        }
        handler(std::move(result));
      };
}

}  // namespace

StoreWatch::StoreWatch(std::shared_ptr<detail::StoreWatchLoop> loop)
    : loop_(std::move(loop)) {}

StoreWatch::~StoreWatch() {
  if (loop_) {
    loop_->Stop();
  }
}

StoreWatch::StoreWatch(StoreWatch&& other) noexcept = default;
StoreWatch& StoreWatch::operator=(StoreWatch&& other) noexcept {
  std::swap(loop_, other.loop_);
  return *this;
}

void StoreWatch::Reconnect() { loop_->Reconnect(); }

StoreClient::StoreClient(boost::asio::io_context& io_context,
                         StoreClientSettings settings)
    : connections_(std::make_shared<detail::StoreConnections>(
          io_context, std::move(settings))) {}

StoreClient::~StoreClient() { connections_->Stop(); }

void StoreClient::Get(const StoreRange& range,
                      Handler<StoreReadResult> handler) {
  const StoreDialect& dialect = *connections_->settings().dialect;
  connections_->StartCall(
      {dialect.encode_range(range), true, {}},
      DecodingHandler(dialect.decode_range, std::move(handler)));
}

void StoreClient::Commit(const StoreTransaction& transaction,
                         Handler<StoreCommitResult> handler) {
  const StoreDialect& dialect = *connections_->settings().dialect;
  connections_->StartCall(
      {dialect.encode_transaction(transaction), false, {}},
      WriteDecodingHandler(dialect.decode_transaction, std::move(handler)));
}

void StoreClient::GrantLease(Duration ttl, Handler<StoreLease> handler) {
  const StoreDialect& dialect = *connections_->settings().dialect;
  connections_->StartCall(
      {dialect.encode_grant(ttl), false, {}},
      WriteDecodingHandler(dialect.decode_grant, std::move(handler)));
}

void StoreClient::KeepAlive(LeaseId lease, Handler<StoreLease> handler) {
  const StoreDialect& dialect = *connections_->settings().dialect;
  connections_->StartCall(
      {dialect.encode_keep_alive(lease), true, {}},
      DecodingHandler(dialect.decode_keep_alive, std::move(handler)));
}

void StoreClient::Revoke(LeaseId lease, Handler<LeaseId> handler) {
  const StoreDialect& dialect = *connections_->settings().dialect;
  connections_->StartCall(
      {dialect.encode_revoke(lease), true, {}},
      [lease, handler = std::move(handler)](Result<StoreHttpAnswer>&& answer) {
        const bool revoked =
            answer || answer.error().kind == ErrorKind::kNotFound;
        if (revoked) {
          return handler(lease);
        }
        handler(std::move(answer).error());
      });
}

void StoreClient::Poll(const StoreRange& range, StoreRevision after,
                       Duration wait, Handler<StoreWatchUpdate> handler) {
  const StoreDialect& dialect = *connections_->settings().dialect;
  connections_->StartCall(
      {dialect.encode_poll(range, after, wait), true, wait},
      DecodingHandler(dialect.decode_poll, std::move(handler)));
}

StoreEra StoreClient::era() const noexcept { return connections_->era(); }

void StoreClient::DropIdleConnections() { connections_->DropIdle(); }

StoreWatch StoreClient::Watch(const StoreRange& range, StoreRevision from,
                              WatchHandler handler) {
  auto loop = std::make_shared<detail::StoreWatchLoop>(
      connections_, range, from, std::move(handler));
  loop->Open();
  return StoreWatch(std::move(loop));
}

}  // namespace mimosagauge
