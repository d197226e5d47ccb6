// Streamed answers of a watch, line by line.

#include "store_watch_loop.h"

#include <boost/asio/ip/address.hpp>
#include <utility>

#include "mimosagauge/impl/store/store_codec.h"

namespace mimosagauge::detail {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr int kHttp11 = 11;
constexpr const char* kWatchTarget = "/v3/watch";

// First revision that the watch has not been told, after `update`. One update
// need not hold all changes up to the store's revision; one without changes
// says that there are no earlier ones to come, but for the very first.
[[nodiscard]] StoreRevision NextRevision(const StoreWatchUpdate& update,
                                         StoreRevision next) {
  if (update.gap) {
    return StoreRevision{};
  }
  if (!update.changes.empty()) {
    return update.changes.back().modified.next();
  }
  const bool resuming = update.created && next != StoreRevision{};
  return resuming ? next : update.revision.next();
}

}  // namespace

StoreWatchLoop::StoreWatchLoop(std::shared_ptr<StoreConnections> connections,
                               StoreRange range, StoreRevision from,
                               StoreClient::WatchHandler handler)
    : connections_(std::move(connections)),
      range_(std::move(range)),
      next_(from),
      handler_(std::move(handler)),
      pause_(connections_->io_context()),
      backoff_(connections_->settings().first_backoff,
               connections_->settings().longest_backoff) {}

bool StoreWatchLoop::Current(const ConnectionPtr& connection) const {
  return !stopped_ && connection == connection_;
}

void StoreWatchLoop::Open() {
  const StoreClientSettings& settings = connections_->settings();
  connection_ = std::make_shared<Connection>(connections_->io_context());
  connection_->endpoint = connections_->preferred();
  const Endpoint& endpoint = settings.endpoints[connection_->endpoint];
  connection_->stream.expires_after(settings.connect_timeout);
  connection_->stream.async_connect(
      {asio::ip::make_address(endpoint.address), endpoint.port},
      [self = shared_from_this(),
       connection = connection_](const ErrorCode& error) {
        if (!self->Current(connection)) {
          return;
        }
        if (error) {
          return self->Fail();
        }
        self->Write(connection);
      });
}

void StoreWatchLoop::Write(const ConnectionPtr& connection) {
  const StoreClientSettings& settings = connections_->settings();
  auto& request = connection->request;
  request = {http::verb::post, kWatchTarget, kHttp11,
             EncodeWatch(range_, next_)};
  request.set(http::field::host,
              ToString(settings.endpoints[connection->endpoint]));
  request.set(http::field::content_type, "application/json");
  request.prepare_payload();
  connection->stream.expires_after(settings.call_timeout);
  http::async_write(connection->stream, request,
                    [self = shared_from_this(), connection](
                        const ErrorCode& error, std::size_t) {
                      if (!self->Current(connection)) {
                        return;
                      }
                      if (error) {
                        return self->Fail();
                      }
                      self->ReadHead(connection);
                    });
}

void StoreWatchLoop::ReadHead(const ConnectionPtr& connection) {
  // A watch's answer has no end, so only its lines are bounded.
  connection->parser.body_limit(boost::none);
  http::async_read_header(
      connection->stream, connection->buffer, connection->parser,
      [self = shared_from_this(), connection](const ErrorCode& error,
                                              std::size_t) {
        if (!self->Current(connection)) {
          return;
        }
        const bool accepted =
            !error && connection->parser.get().result() == http::status::ok;
        if (!accepted) {
          return self->Fail();
        }
        self->ReadBody(connection);
      });
}

void StoreWatchLoop::ReadBody(const ConnectionPtr& connection) {
  auto& body = connection->parser.get().body();
  body.data = connection->chunk.data();
  body.size = connection->chunk.size();
  body.more = true;
  connection->stream.expires_after(connections_->settings().watch_timeout);
  http::async_read_some(
      connection->stream, connection->buffer, connection->parser,
      [self = shared_from_this(), connection](const ErrorCode& error,
                                              std::size_t) {
        if (!self->Current(connection)) {
          return;
        }
        if (error && error != http::error::need_buffer) {
          return self->Fail();
        }
        self->Take(connection, connection->chunk.size() -
                                   connection->parser.get().body().size);
      });
}

void StoreWatchLoop::Take(const ConnectionPtr& connection, std::size_t bytes) {
  for (const char character :
       std::string_view(connection->chunk.data(), bytes)) {
    if (character != '\n') {
      connection->line += character;
      continue;
    }
    TakeLine(std::exchange(connection->line, {}));
    if (!Current(connection)) {
      return;
    }
  }
  const bool too_long =
      connection->line.size() > connections_->settings().answer_bytes;
  if (too_long || connection->parser.is_done()) {
    return Fail();
  }
  ReadBody(connection);
}

void StoreWatchLoop::TakeLine(const std::string& line) {
  const Result<StoreWatchUpdate> update = DecodeWatch(line);
  if (!update) {
    return Fail();
  }
  backoff_.Reset();
  next_ = NextRevision(update.value(), next_);
  if (update.value().gap) {
    Fail();
  }
  const auto self = shared_from_this();  // The handler may end the watch.
  handler_(update.value());
}

void StoreWatchLoop::Fail() {
  if (connection_) {
    connections_->MarkFailed(connection_->endpoint);
    connection_->stream.close();
    connection_.reset();
  }
  pause_.expires_after(backoff_.Next(connections_->random()));
  pause_.async_wait([self = shared_from_this()](const ErrorCode& error) {
    if (!error && !self->stopped_ && !self->connection_) {
      self->Open();
    }
  });
}

void StoreWatchLoop::Reopen() {
  if (!stopped_ && connection_) {
    Fail();
  }
}

void StoreWatchLoop::Stop() {
  stopped_ = true;
  pause_.cancel();
  if (connection_) {
    connection_->stream.close();
    connection_.reset();
  }
}

}  // namespace mimosagauge::detail
