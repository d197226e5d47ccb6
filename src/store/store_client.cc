// Typed calls over the connections.

#include "mimosagauge/impl/store/store_client.h"

#include <string>
#include <utility>

#include "store_connections.h"
#include "store_watch_loop.h"

namespace mimosagauge {
namespace {

// Decodes the answer, when there is one, and hands it on.
template <typename T>
[[nodiscard]] detail::StoreConnections::AnswerHandler Decoding(
    Result<T> (*decode)(const StoreAnswer&), StoreClient::Handler<T> handler) {
  return [decode, handler = std::move(handler)](Result<StoreAnswer>&& answer) {
    if (!answer) {
      return handler(std::move(answer).error());
    }
    handler(decode(answer.value()));
  };
}

// As above; a write whose answer does not parse has an unknown outcome.
template <typename T>
[[nodiscard]] detail::StoreConnections::AnswerHandler DecodingWrite(
    Result<T> (*decode)(const StoreAnswer&), StoreClient::Handler<T> handler) {
  return [decode, handler = std::move(handler)](Result<StoreAnswer>&& answer) {
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

void StoreWatch::Reopen() { loop_->Reopen(); }

StoreClient::StoreClient(boost::asio::io_context& io_context,
                         StoreClientSettings settings)
    : connections_(std::make_shared<detail::StoreConnections>(
          io_context, std::move(settings))) {}

StoreClient::~StoreClient() { connections_->Stop(); }

void StoreClient::Get(const StoreRange& range, Handler<StoreRead> handler) {
  const StoreDialect& dialect = *connections_->settings().dialect;
  connections_->Call({dialect.encode_range(range), true, {}},
                     Decoding(dialect.decode_range, std::move(handler)));
}

void StoreClient::Commit(const StoreTransaction& transaction,
                         Handler<StoreCommit> handler) {
  const StoreDialect& dialect = *connections_->settings().dialect;
  connections_->Call(
      {dialect.encode_transaction(transaction), false, {}},
      DecodingWrite(dialect.decode_transaction, std::move(handler)));
}

void StoreClient::GrantLease(Duration ttl, Handler<StoreLease> handler) {
  const StoreDialect& dialect = *connections_->settings().dialect;
  connections_->Call({dialect.encode_grant(ttl), false, {}},
                     DecodingWrite(dialect.decode_grant, std::move(handler)));
}

void StoreClient::KeepAlive(LeaseId lease, Handler<StoreLease> handler) {
  const StoreDialect& dialect = *connections_->settings().dialect;
  connections_->Call({dialect.encode_keep_alive(lease), true, {}},
                     Decoding(dialect.decode_keep_alive, std::move(handler)));
}

void StoreClient::Revoke(LeaseId lease, Handler<LeaseId> handler) {
  const StoreDialect& dialect = *connections_->settings().dialect;
  connections_->Call(
      {dialect.encode_revoke(lease), true, {}},
      [lease, handler = std::move(handler)](Result<StoreAnswer>&& answer) {
        const bool gone = answer || answer.error().kind == ErrorKind::kNotFound;
        if (gone) {
          return handler(lease);
        }
        handler(std::move(answer).error());
      });
}

void StoreClient::Poll(const StoreRange& range, StoreRevision after,
                       Duration wait, Handler<StoreWatchUpdate> handler) {
  const StoreDialect& dialect = *connections_->settings().dialect;
  connections_->Call({dialect.encode_poll(range, after, wait), true, wait},
                     Decoding(dialect.decode_poll, std::move(handler)));
}

StoreWatch StoreClient::Watch(const StoreRange& range, StoreRevision from,
                              WatchHandler handler) {
  auto loop = std::make_shared<detail::StoreWatchLoop>(
      connections_, range, from, std::move(handler));
  loop->Open();
  return StoreWatch(std::move(loop));
}

}  // namespace mimosagauge
