// Reads a watch's streamed answer line by line.

#include "store_watch_loop.h"

#include <boost/asio/ip/address.hpp>
#include <utility>

#include "mimosagauge/impl/store/store_codec.h"

namespace mimosagauge::detail {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

// HTTP/1.1 as Beast's version number.
constexpr int kHttp11 = 11;
constexpr const char* kWatchTarget = "/v3/watch";

// The first revision that the watch has not reported yet after `update`. An
// update does not necessarily contain all changes up to the store's revision.
// An update without changes means that no earlier changes will follow, except
// for the first update, which only confirms a resumed watch.
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
      next_revision_(from),
      handler_(std::move(handler)),
      reconnect_timer_(connections_->io_context()),
      backoff_(connections_->settings().initial_backoff,
               connections_->settings().longest_backoff) {}

bool StoreWatchLoop::IsCurrent(const ConnectionPtr& connection) const {
  return !stopped_ && connection == connection_;
}

void StoreWatchLoop::Open() {
  const StoreClientSettings& settings = connections_->settings();
  connection_ = std::make_shared<Connection>(connections_->io_context());
  connection_->endpoint = connections_->preferred_endpoint();
  const Endpoint& endpoint = settings.endpoints[connection_->endpoint];
  connection_->stream.expires_after(settings.connect_timeout);
  connection_->stream.async_connect(
      {asio::ip::make_address(endpoint.address), endpoint.port},
      [self = shared_from_this(),
       connection = connection_](const ErrorCode& error) {
        if (!self->IsCurrent(connection)) {
          return;
        }
        if (error) {
          return self->ScheduleReconnect();
        }
        self->WriteRequest(connection);
      });
}

void StoreWatchLoop::WriteRequest(const ConnectionPtr& connection) {
  const StoreClientSettings& settings = connections_->settings();
  auto& request = connection->request;
  request = {http::verb::post, kWatchTarget, kHttp11,
             EncodeWatch(range_, next_revision_)};
  request.set(http::field::host,
              ToString(settings.endpoints[connection->endpoint]));
  request.set(http::field::content_type, "application/json");
  request.prepare_payload();
  connection->stream.expires_after(settings.call_timeout);
  http::async_write(connection->stream, request,
                    [self = shared_from_this(), connection](
                        const ErrorCode& error, std::size_t) {
                      if (!self->IsCurrent(connection)) {
                        return;
                      }
                      if (error) {
                        return self->ScheduleReconnect();
                      }
                      self->ReadHeader(connection);
                    });
}

void StoreWatchLoop::ReadHeader(const ConnectionPtr& connection) {
  // A watch's answer does not end, so only the length of its lines is limited.
  connection->parser.body_limit(boost::none);
  http::async_read_header(
      connection->stream, connection->buffer, connection->parser,
      [self = shared_from_this(), connection](const ErrorCode& error,
                                              std::size_t) {
        if (!self->IsCurrent(connection)) {
          return;
        }
        const bool accepted =
            !error && connection->parser.get().result() == http::status::ok;
        if (!accepted) {
          return self->ScheduleReconnect();
        }
        self->ReadChunk(connection);
      });
}

void StoreWatchLoop::ReadChunk(const ConnectionPtr& connection) {
  auto& body = connection->parser.get().body();
  body.data = connection->chunk.data();
  body.size = connection->chunk.size();
  body.more = true;
  connection->stream.expires_after(connections_->settings().watch_timeout);
  http::async_read_some(
      connection->stream, connection->buffer, connection->parser,
      [self = shared_from_this(), connection](const ErrorCode& error,
                                              std::size_t) {
        if (!self->IsCurrent(connection)) {
          return;
        }
        if (error && error != http::error::need_buffer) {
          return self->ScheduleReconnect();
        }
        self->HandleChunk(connection, connection->chunk.size() -
                                          connection->parser.get().body().size);
      });
}

void StoreWatchLoop::HandleChunk(const ConnectionPtr& connection,
                                 std::size_t bytes) {
  for (const char character :
       std::string_view(connection->chunk.data(), bytes)) {
    if (character != '\n') {
      connection->line += character;
      continue;
    }
    HandleLine(std::exchange(connection->line, {}));
    if (!IsCurrent(connection)) {
      return;
    }
  }
  const bool too_long =
      connection->line.size() > connections_->settings().answer_bytes;
  if (too_long || connection->parser.is_done()) {
    return ScheduleReconnect();
  }
  ReadChunk(connection);
}

void StoreWatchLoop::HandleLine(const std::string& line) {
  const Result<StoreWatchUpdate> update = DecodeWatch(line);
  if (!update) {
    return ScheduleReconnect();
  }
  backoff_.Reset();
  next_revision_ = NextRevision(update.value(), next_revision_);
  if (update.value().gap) {
    ScheduleReconnect();
  }
  // Keeps this object alive, because the handler may destroy the watch.
  const auto self = shared_from_this();
  handler_(update.value());
}

void StoreWatchLoop::ScheduleReconnect() {
  if (connection_) {
    connections_->MarkEndpointFailed(connection_->endpoint);
    connection_->stream.close();
    connection_.reset();
  }
  reconnect_timer_.expires_after(backoff_.NextDelay(connections_->random()));
  reconnect_timer_.async_wait(
      [self = shared_from_this()](const ErrorCode& error) {
        if (!error && !self->stopped_ && !self->connection_) {
          self->Open();
        }
      });
}

void StoreWatchLoop::Reconnect() {
  if (!stopped_ && connection_) {
    ScheduleReconnect();
  }
}

void StoreWatchLoop::Stop() {
  stopped_ = true;
  reconnect_timer_.cancel();
  if (connection_) {
    connection_->stream.close();
    connection_.reset();
  }
}

}  // namespace mimosagauge::detail
