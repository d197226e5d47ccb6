// One call: uses an idle or a new connection, writes the request, reads the
// answer, and retries where that is safe.

#include "store_call.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/error.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>
#include <charconv>
#include <cstdint>
#include <string_view>
#include <utility>

#include "mimosagauge/impl/store/store_dialect.h"

namespace mimosagauge::detail {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

// HTTP/1.1 as Beast's version number.
constexpr int kHttp11 = 11;

[[nodiscard]] http::verb ToBeastVerb(StoreHttpMethod verb) {
  switch (verb) {
    case StoreHttpMethod::kGet:
      return http::verb::get;
    case StoreHttpMethod::kDelete:
      return http::verb::delete_;
    case StoreHttpMethod::kPost:
      break;
  }
  return http::verb::post;
}

[[nodiscard]] asio::ip::tcp::endpoint ToAsioEndpoint(const Endpoint& endpoint) {
  return {asio::ip::make_address(endpoint.address), endpoint.port};
}

[[nodiscard]] Error UnknownOutcomeError(const Error& cause) {
  return {ErrorKind::kUnknownOutcome,
          fmt::format("the write may have taken effect: {}", cause.message),
          "read the key again before retrying the write"};
}

// Returns the era that the answer states, or zero if it states none.
[[nodiscard]] StoreEra EraOf(const http::fields& answer,
                             std::string_view field) {
  if (field.empty()) {
    return {};
  }
  const auto text = answer[beast::string_view(field.data(), field.size())];
  std::uint64_t era = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, era);
  return parsed.ec == std::errc{} && parsed.ptr == end ? StoreEra{era}
                                                       : StoreEra{};
}

}  // namespace

StoreCall::StoreCall(StoreConnections& connections, StoreCallRequest request,
                     StoreConnections::AnswerHandler handler)
    : connections_(&connections),
      request_(std::move(request)),
      handler_(std::move(handler)),
      deadline_timer_(connections.io_context()),
      retry_timer_(connections.io_context()),
      deadline_(Clock::now() + connections.settings().call_timeout +
                request_.server_wait),
      backoff_(connections.settings().initial_backoff,
               connections.settings().longest_backoff) {}

void StoreCall::StartDeadlineTimer() {
  deadline_timer_.expires_at(deadline_);
  deadline_timer_.async_wait(
      [self = shared_from_this()](const ErrorCode& error) {
        if (!error && self->connections_ != nullptr) {
          self->Finish(self->MakeError(asio::error::timed_out));
        }
      });
}

void StoreCall::Start() {
  asio::post(connections_->io_context(), [self = shared_from_this()] {
    if (self->connections_ != nullptr) {
      self->StartAttempt();
    }
  });
}

void StoreCall::Abandon() {
  connections_ = nullptr;
  handler_ = nullptr;
  deadline_timer_.cancel();
  retry_timer_.cancel();
  if (connection_) {
    connection_->stream.close();
  }
}

Duration StoreCall::RemainingTime() const { return deadline_ - Clock::now(); }

void StoreCall::StartAttempt() {
  connection_ = connections_->TakeIdle();
  if (connection_) {
    return WriteRequest();
  }
  Connect();
}

void StoreCall::Connect() {
  const StoreClientSettings& settings = connections_->settings();
  connection_ = std::make_unique<StoreConnection>(
      StoreConnection{beast::tcp_stream(connections_->io_context()),
                      connections_->preferred_endpoint(), Clock::time_point{}});
  const Endpoint& endpoint = settings.endpoints[connection_->endpoint];
  connection_->stream.expires_after(
      std::min(settings.connect_timeout, RemainingTime()));
  connection_->stream.async_connect(
      ToAsioEndpoint(endpoint),
      [self = shared_from_this()](const ErrorCode& error) {
        if (self->connections_ == nullptr) {
          return;
        }
        if (error) {
          return self->HandleFailure(error);
        }
        asio::ip::tcp::socket& socket = self->connection_->stream.socket();
        socket.non_blocking(true);
        socket.set_option(asio::ip::tcp::no_delay(true));
        self->WriteRequest();
      });
}

void StoreCall::WriteRequest() {
  const StoreClientSettings& settings = connections_->settings();
  http_request_ = {ToBeastVerb(request_.call.verb), request_.call.target,
                   kHttp11, request_.call.body};
  http_request_.set(http::field::host,
                    ToString(settings.endpoints[connection_->endpoint]));
  if (!request_.call.body.empty()) {
    http_request_.set(http::field::content_type, "application/json");
  }
  http_request_.prepare_payload();
  const Duration attempt_timeout =
      (request_.repeatable ? settings.read_timeout : settings.call_timeout) +
      request_.server_wait;
  connection_->stream.expires_after(std::min(attempt_timeout, RemainingTime()));
  maybe_sent_ = true;
  http::async_write(
      connection_->stream, http_request_,
      [self = shared_from_this()](const ErrorCode& error, std::size_t) {
        if (self->connections_ == nullptr) {
          return;
        }
        if (error) {
          return self->HandleFailure(error);
        }
        self->ReadAnswer();
      });
}

void StoreCall::ReadAnswer() {
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
  // Bytes behind the answer belong to no call.
  if (answer.keep_alive() && buffer_.size() == 0) {
    connections_->ReturnIdle(std::move(connection_));
  }
  const StoreDialect& dialect = *connections_->settings().dialect;
  const StoreEra era = EraOf(answer, dialect.era_field);
  if (era != StoreEra{} && !connections_->RecordEra(era)) {
    return HandleOutdatedAnswer();
  }
  const unsigned status = answer.result_int();
  if (dialect.is_result_status(status)) {
    return Finish(StoreHttpAnswer{status, std::move(answer.body())});
  }
  Error error = dialect.decode_error_answer(status, answer.body());
  if (error.kind != ErrorKind::kUnavailable) {
    return Finish(std::move(error));
  }
  connections_->MarkEndpointFailed(endpoint);
  if (request_.repeatable) {
    return ScheduleRetry(std::move(error));
  }
  Finish(UnknownOutcomeError(error));
}

void StoreCall::HandleOutdatedAnswer() {
  Error outdated{ErrorKind::kUnavailable,
                 "the key-value service was restored after it had answered",
                 "repeat the call"};
  if (request_.repeatable) {
    return ScheduleRetry(std::move(outdated));
  }
  Finish(UnknownOutcomeError(outdated));
}

void StoreCall::HandleFailure(const ErrorCode& error) {
  if (error == http::error::body_limit) {
    Error too_large{ErrorKind::kInvalidInput,
                    "the key-value service's answer exceeds the size limit",
                    "check for large values under the store prefix"};
    return Finish(request_.repeatable ? too_large
                                      : UnknownOutcomeError(too_large));
  }
  connections_->MarkEndpointFailed(connection_->endpoint);
  connection_.reset();
  Error failure = MakeError(error);
  if (maybe_sent_ && !request_.repeatable) {
    return Finish(std::move(failure));
  }
  ScheduleRetry(std::move(failure));
}

void StoreCall::ScheduleRetry(Error error) {
  const Duration delay = backoff_.NextDelay(connections_->random());
  if (delay >= RemainingTime()) {
    return Finish(std::move(error));
  }
  retry_timer_.expires_after(delay);
  retry_timer_.async_wait(
      [self = shared_from_this()](const ErrorCode& canceled) {
        if (!canceled && self->connections_ != nullptr) {
          self->StartAttempt();
        }
      });
}

Error StoreCall::MakeError(const ErrorCode& error) const {
  const bool is_timeout = error == beast::error::timeout ||
                          error == asio::error::timed_out ||
                          error == asio::error::operation_aborted;
  Error failure{
      is_timeout ? ErrorKind::kTimeout : ErrorKind::kUnavailable,
      is_timeout ? "the key-value service did not answer in time"
                 : fmt::format("the key-value service cannot be "
                               "reached: {}",
                               error.message()),
      "check that the store is running and that its addresses are correct"};
  if (maybe_sent_ && !request_.repeatable) {
    return UnknownOutcomeError(failure);
  }
  return failure;
}

void StoreCall::Finish(Result<StoreHttpAnswer> result) {
  const auto self = shared_from_this();
  StoreConnections* connections = connections_;
  auto handler = std::move(handler_);
  Abandon();
  connections->RemoveCall(self);
  handler(std::move(result));
}

}  // namespace mimosagauge::detail
