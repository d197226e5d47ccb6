// Typed calls over the connections.

#include "mimosagauge/impl/store/store_client.h"

#include <string>
#include <utility>

#include "mimosagauge/impl/store/store_codec.h"
#include "store_connections.h"
#include "store_watch_loop.h"

namespace mimosagauge {
namespace {

// Decodes the answer's body, when there is one, and hands it on.
template <typename T>
[[nodiscard]] detail::StoreConnections::AnswerHandler Decoding(
    Result<T> (*decode)(std::string_view), StoreClient::Handler<T> handler) {
  return [decode, handler = std::move(handler)](Result<std::string>&& answer) {
    if (!answer) {
      return handler(std::move(answer).error());
    }
    handler(decode(answer.value()));
  };
}

// As above; a write whose answer does not parse has an unknown outcome.
template <typename T>
[[nodiscard]] detail::StoreConnections::AnswerHandler DecodingWrite(
    Result<T> (*decode)(std::string_view), StoreClient::Handler<T> handler) {
  return [decode, handler = std::move(handler)](Result<std::string>&& answer) {
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
  connections_->Call({"/v3/kv/range", EncodeRange(range), true},
                     Decoding(&DecodeRange, std::move(handler)));
}

void StoreClient::Commit(const StoreTransaction& transaction,
                         Handler<StoreCommit> handler) {
  connections_->Call({"/v3/kv/txn", EncodeTransaction(transaction), false},
                     DecodingWrite(&DecodeTransaction, std::move(handler)));
}

void StoreClient::GrantLease(Duration ttl, Handler<StoreLease> handler) {
  connections_->Call({"/v3/lease/grant", EncodeGrant(ttl), false},
                     DecodingWrite(&DecodeGrant, std::move(handler)));
}

void StoreClient::KeepAlive(LeaseId lease, Handler<StoreLease> handler) {
  connections_->Call({"/v3/lease/keepalive", EncodeLease(lease), true},
                     Decoding(&DecodeKeepAlive, std::move(handler)));
}

void StoreClient::Revoke(LeaseId lease, Handler<LeaseId> handler) {
  connections_->Call(
      {"/v3/lease/revoke", EncodeLease(lease), true},
      [lease, handler = std::move(handler)](Result<std::string>&& answer) {
        const bool gone = answer || answer.error().kind == ErrorKind::kNotFound;
        if (gone) {
          return handler(lease);
        }
        handler(std::move(answer).error());
      });
}

StoreWatch StoreClient::Watch(const StoreRange& range, StoreRevision from,
                              WatchHandler handler) {
  auto loop = std::make_shared<detail::StoreWatchLoop>(
      connections_, range, from, std::move(handler));
  loop->Open();
  return StoreWatch(std::move(loop));
}

}  // namespace mimosagauge
