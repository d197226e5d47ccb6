// One call: connect or reuse, write, read, and try again where that is safe.

#include "store_call.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/error.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>
#include <utility>

#include "mimosagauge/impl/store/store_dialect.h"

namespace mimosagauge::detail {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr int kHttp11 = 11;

[[nodiscard]] http::verb VerbOf(StoreVerb verb) {
  switch (verb) {
    case StoreVerb::kGet:
      return http::verb::get;
    case StoreVerb::kDelete:
      return http::verb::delete_;
    case StoreVerb::kPost:
      break;
  }
  return http::verb::post;
}

[[nodiscard]] asio::ip::tcp::endpoint ToAsio(const Endpoint& endpoint) {
  return {asio::ip::make_address(endpoint.address), endpoint.port};
}

[[nodiscard]] Error UnknownOutcome(const Error& cause) {
  return {ErrorKind::kUnknownOutcome,
          fmt::format("the write may have taken effect: {}", cause.message),
          "read the key again before writing once more"};
}

}  // namespace

StoreCall::StoreCall(StoreConnections& connections, StoreRequest request,
                     StoreConnections::AnswerHandler handler)
    : connections_(&connections),
      request_(std::move(request)),
      handler_(std::move(handler)),
      clock_(connections.io_context()),
      pause_(connections.io_context()),
      deadline_(Clock::now() + connections.settings().call_timeout +
                request_.wait),
      backoff_(connections.settings().first_backoff,
               connections.settings().longest_backoff) {}

void StoreCall::StartClock() {
  clock_.expires_at(deadline_);
  clock_.async_wait([self = shared_from_this()](const ErrorCode& error) {
    if (!error && self->connections_ != nullptr) {
      self->Finish(self->Describe(asio::error::timed_out));
    }
  });
}

void StoreCall::Begin() {
  asio::post(connections_->io_context(), [self = shared_from_this()] {
    if (self->connections_ != nullptr) {
      self->Try();
    }
  });
}

void StoreCall::Abandon() {
  connections_ = nullptr;
  handler_ = nullptr;
  clock_.cancel();
  pause_.cancel();
  if (connection_) {
    connection_->stream.close();
  }
}

Duration StoreCall::Remaining() const { return deadline_ - Clock::now(); }

void StoreCall::Try() {
  connection_ = connections_->TakeIdle();
  if (connection_) {
    return Write();
  }
  Connect();
}

void StoreCall::Connect() {
  const StoreClientSettings& settings = connections_->settings();
  connection_ = std::make_unique<StoreConnection>(
      StoreConnection{beast::tcp_stream(connections_->io_context()),
                      connections_->preferred(), Clock::time_point{}});
  const Endpoint& endpoint = settings.endpoints[connection_->endpoint];
  connection_->stream.expires_after(
      std::min(settings.connect_timeout, Remaining()));
  connection_->stream.async_connect(
      ToAsio(endpoint), [self = shared_from_this()](const ErrorCode& error) {
        if (self->connections_ == nullptr) {
          return;
        }
        if (error) {
          return self->HandleFailure(error);
        }
        self->connection_->stream.socket().set_option(
            asio::ip::tcp::no_delay(true));
        self->Write();
      });
}

void StoreCall::Write() {
  const StoreClientSettings& settings = connections_->settings();
  message_ = {VerbOf(request_.call.verb), request_.call.target, kHttp11,
              request_.call.body};
  message_.set(http::field::host,
               ToString(settings.endpoints[connection_->endpoint]));
  if (!request_.call.body.empty()) {
    message_.set(http::field::content_type, "application/json");
  }
  message_.prepare_payload();
  const Duration longest =
      (request_.repeatable ? settings.read_timeout : settings.call_timeout) +
      request_.wait;
  connection_->stream.expires_after(std::min(longest, Remaining()));
  sent_ = true;
  http::async_write(
      connection_->stream, message_,
      [self = shared_from_this()](const ErrorCode& error, std::size_t) {
        if (self->connections_ == nullptr) {
          return;
        }
        if (error) {
          return self->HandleFailure(error);
        }
        self->Read();
      });
}

void StoreCall::Read() {
  parser_.emplace();
  parser_->body_limit(connections_->settings().answer_bytes);
  buffer_.clear();
  http::async_read(
      connection_->stream, buffer_, *parser_,
      [self = shared_from_this()](const ErrorCode& error, std::size_t) {
        if (self->connections_ == nullptr) {
          return;
        }
        if (error) {
          return self->HandleFailure(error);
        }
        self->HandleAnswer();
      });
}

void StoreCall::HandleAnswer() {
  auto& answer = parser_->get();
  const std::size_t endpoint = connection_->endpoint;
  if (answer.keep_alive()) {
    connections_->PutIdle(std::move(connection_));
  }
  const StoreDialect& dialect = *connections_->settings().dialect;
  const unsigned status = answer.result_int();
  if (dialect.is_answer(status)) {
    return Finish(StoreAnswer{status, std::move(answer.body())});
  }
  Error error = dialect.decode_refusal(status, answer.body());
  if (error.kind != ErrorKind::kUnavailable) {
    return Finish(std::move(error));
  }
  connections_->MarkFailed(endpoint);
  if (request_.repeatable) {
    return TryAgain(std::move(error));
  }
  Finish(UnknownOutcome(error));
}

void StoreCall::HandleFailure(const ErrorCode& error) {
  if (error == http::error::body_limit) {
    Error too_large{ErrorKind::kInvalidInput,
                    "the key-value service's answer is too large",
                    "look for large values under the store prefix"};
    return Finish(request_.repeatable ? too_large : UnknownOutcome(too_large));
  }
  connections_->MarkFailed(connection_->endpoint);
  connection_.reset();
  Error description = Describe(error);
  if (sent_ && !request_.repeatable) {
    return Finish(std::move(description));
  }
  TryAgain(std::move(description));
}

void StoreCall::TryAgain(Error error) {
  const Duration wait = backoff_.Next(connections_->random());
  if (wait >= Remaining()) {
    return Finish(std::move(error));
  }
  pause_.expires_after(wait);
  pause_.async_wait([self = shared_from_this()](const ErrorCode& canceled) {
    if (!canceled && self->connections_ != nullptr) {
      self->Try();
    }
  });
}

Error StoreCall::Describe(const ErrorCode& error) const {
  const bool late = error == beast::error::timeout ||
                    error == asio::error::timed_out ||
                    error == asio::error::operation_aborted;
  Error description{late ? ErrorKind::kTimeout : ErrorKind::kUnavailable,
                    late ? "the key-value service did not answer in time"
                         : fmt::format("the key-value service cannot be "
                                       "reached: {}",
                                       error.message()),
                    "check that the store is up and its addresses are right"};
  if (sent_ && !request_.repeatable) {
    return UnknownOutcome(description);
  }
  return description;
}

void StoreCall::Finish(Result<StoreAnswer> result) {
  const auto self = shared_from_this();
  StoreConnections* connections = connections_;
  auto handler = std::move(handler_);
  Abandon();
  connections->Finish(self);
  handler(std::move(result));
}

}  // namespace mimosagauge::detail
