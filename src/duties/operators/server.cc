// HTTP server and sessions of the operators' API.

#include "server.h"

#include <openssl/crypto.h>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cstddef>
#include <optional>
#include <utility>

#include "documents.h"
#include "mimosagauge/impl/duties/common/listener.h"
#include "mimosagauge/impl/duties/common/log.h"

namespace mimosagauge::detail {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr int kHttp11 = 11;
constexpr std::string_view kBearerPrefix = "Bearer ";
// Delay before accepting again after a failure. Accepting fails when file
// descriptors run out, and retrying at once would be a busy loop.
constexpr std::chrono::milliseconds kAcceptRetryDelay{100};

[[nodiscard]] std::string_view ToView(beast::string_view text) {
  return {text.data(), text.size()};
}

}  // namespace

bool SecretsEqual(std::string_view a, std::string_view b) {
  return !a.empty() && a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

/// \brief One connection, which serves its requests one after another.
class OperatorSession : public std::enable_shared_from_this<OperatorSession> {
 public:
  OperatorSession(std::shared_ptr<OperatorsServer> server,
                  asio::ip::tcp::socket socket)
      : server_(std::move(server)), stream_(std::move(socket)) {}

  void Read() {
    parser_.emplace();
    parser_->header_limit(
        static_cast<std::uint32_t>(server_->options().max_header_bytes));
    parser_->body_limit(server_->options().body_bytes);
    // The request timeout starts with the first byte of a request; until then
    // the idle timeout applies.
    stream_.socket().async_wait(
        asio::ip::tcp::socket::wait_read,
        [self = shared_from_this()](const error_code& error) {
          if (error || self->closed_) {
            return self->Close();
          }
          self->ReadRequest();
        });
    ArmIdleTimeout();
  }

  void Close() {
    if (std::exchange(closed_, true)) {
      return;
    }
    idle_timer_.cancel();
    stream_.close();
    server_->RemoveSession(shared_from_this());
  }

 private:
  void ArmIdleTimeout() {
    idle_timer_.expires_after(server_->options().idle_timeout);
    idle_timer_.async_wait(
        [self = shared_from_this()](const error_code& error) {
          if (!error) {
            self->Close();
          }
        });
  }

  void ReadRequest() {
    idle_timer_.cancel();
    stream_.expires_after(server_->options().request_timeout);
    http::async_read(
        stream_, buffer_, *parser_,
        [self = shared_from_this()](const error_code& error, std::size_t) {
          if (self->closed_) {
            return;
          }
          if (error) {
            return self->HandleReadError(error);
          }
          self->Dispatch();
        });
  }

  void HandleReadError(const error_code& error) {
    const bool connection_failed =
        error == http::error::end_of_stream || error == beast::error::timeout ||
        error.category() !=
            http::make_error_code(http::error::end_of_stream).category();
    if (connection_failed) {
      return Close();
    }
    const bool too_large =
        error == http::error::body_limit || error == http::error::header_limit;
    keep_alive_ = false;
    Write(ProblemAnswer(too_large ? 413 : 400,
                        {ErrorKind::kInvalidInput,
                         "the request is malformed: " + error.message(),
                         "send an HTTP/1.1 request within the size limits"}));
  }

  [[nodiscard]] bool IsAuthenticated() const {
    const auto& request = parser_->get();
    const std::string_view field = ToView(request[http::field::authorization]);
    return field.substr(0, kBearerPrefix.size()) == kBearerPrefix &&
           SecretsEqual(field.substr(kBearerPrefix.size()), server_->token());
  }

  void Dispatch() {
    const auto& request = parser_->get();
    keep_alive_ = request.keep_alive();
    stream_.expires_never();
    if (!IsAuthenticated()) {
      Log(log_events::kOperatorRefused);
      keep_alive_ = false;
      return Write(
          ProblemAnswer(401, {ErrorKind::kUnauthenticated,
                              "the operator token is missing or wrong",
                              "send the token as Authorization: Bearer"}));
    }
    const std::string_view target = ToView(request.target());
    const OperatorRequest operator_request{
        std::string(ToView(request.method_string())),
        std::string(target.substr(0, target.find('?'))), request.body()};
    server_->Serve(operator_request,
                   [weak = weak_from_this()](OperatorAnswer&& answer) {
                     const auto self = weak.lock();
                     if (self && !self->closed_) {
                       self->Write(std::move(answer));
                     }
                   });
  }

  void Write(OperatorAnswer answer) {
    response_ = {static_cast<http::status>(answer.status), kHttp11};
    response_.set(http::field::content_type, answer.content_type);
    response_.set(http::field::cache_control, "no-store");
    response_.body() = std::move(answer.body);
    response_.keep_alive(keep_alive_);
    response_.prepare_payload();
    stream_.expires_after(server_->options().request_timeout);
    http::async_write(
        stream_, response_,
        [self = shared_from_this()](const error_code& error, std::size_t) {
          if (self->closed_) {
            return;
          }
          if (error || !self->keep_alive_) {
            return self->Close();
          }
          self->ReadNext();
        });
  }

  void ReadNext() {
    if (buffer_.size() == 0) {
      return Read();
    }
    parser_.emplace();  // Bytes of the next request have already been received.
    parser_->header_limit(
        static_cast<std::uint32_t>(server_->options().max_header_bytes));
    parser_->body_limit(server_->options().body_bytes);
    ReadRequest();
  }

  std::shared_ptr<OperatorsServer> server_;
  beast::tcp_stream stream_;
  asio::steady_timer idle_timer_{stream_.get_executor()};
  beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  http::response<http::string_body> response_;
  bool keep_alive_ = false;
  bool closed_ = false;
};

OperatorsServer::OperatorsServer(asio::io_context& io_context,
                                 std::string token,
                                 OperatorsDutyOptions options,
                                 RequestHandler handler)
    : acceptor_(io_context),
      accept_retry_timer_(io_context),
      token_(std::move(token)),
      options_(options),
      handler_(std::move(handler)) {}

Result<Endpoint> OperatorsServer::Listen(const Endpoint& endpoint) {
  const error_code error = OpenListener(acceptor_, endpoint);
  if (error) {
    return Error{ErrorKind::kUnavailable,
                 "cannot listen for operators on " + ToString(endpoint) + ": " +
                     error.message(),
                 "set listen.operators to a free address of this machine"};
  }
  Accept();
  const auto bound = acceptor_.local_endpoint();
  return Endpoint{bound.address().to_string(), bound.port()};
}

void OperatorsServer::Accept() {
  acceptor_.async_accept(
      [self = shared_from_this()](const error_code& error,
                                  asio::ip::tcp::socket socket) {
        if (!self->acceptor_.is_open()) {
          return;
        }
        if (error) {
          return self->ScheduleAccept();
        }
        // Above the connection limit, a new connection is closed at once.
        if (self->sessions_.size() < self->options_.max_connections) {
          const auto session =
              std::make_shared<OperatorSession>(self, std::move(socket));
          self->sessions_.insert(session);
          session->Read();
        }
        self->Accept();
      });
}

void OperatorsServer::ScheduleAccept() {
  accept_retry_timer_.expires_after(kAcceptRetryDelay);
  accept_retry_timer_.async_wait(
      [self = shared_from_this()](const error_code& error) {
        if (!error && self->acceptor_.is_open()) {
          self->Accept();
        }
      });
}

void OperatorsServer::RemoveSession(
    const std::shared_ptr<OperatorSession>& session) {
  sessions_.erase(session);
}

void OperatorsServer::Stop() {
  error_code ignored;
  acceptor_.close(ignored);
  accept_retry_timer_.cancel();
  handler_ = [](const OperatorRequest&, const OperatorsDuty::AnswerHandler&) {};
  for (const auto& session : std::exchange(sessions_, {})) {
    session->Close();
  }
}

}  // namespace mimosagauge::detail
