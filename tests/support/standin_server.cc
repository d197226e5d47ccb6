// Reading of requests and writing of answers for the stand-ins.

#include "tests/support/standin_server.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/status.hpp>
#include <limits>
#include <utility>

namespace mimosagauge::testing {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

[[nodiscard]] std::string StatusLine(unsigned status) {
  const auto reason = http::obsolete_reason(http::int_to_status(status));
  return fmt::format("HTTP/1.1 {} {}\r\n", status,
                     std::string_view(reason.data(), reason.size()));
}

}  // namespace

StandinConnection::StandinConnection(asio::ip::tcp::socket socket,
                                     StandinServer& server)
    : socket_(std::move(socket)), server_(server) {}

void StandinConnection::Read() {
  ended_ = false;
  on_gone_ = nullptr;
  parser_ = std::make_unique<http::request_parser<http::string_body>>();
  parser_->body_limit(std::numeric_limits<std::uint64_t>::max());
  http::async_read(
      socket_, buffer_, *parser_,
      [self = shared_from_this()](const error_code& error, std::size_t) {
        if (error || self->closed_) {
          self->Gone();
        } else if (!self->silent_) {
          self->OnRequest();
        } else {
          self->Watch();
        }
      });
}

void StandinConnection::OnRequest() {
  StandinRequest request = parser_->release();
  head_only_ = request.method() == http::verb::head;
  closing_ = !request.keep_alive();
  server_.Handle(std::move(request), shared_from_this());
  Watch();
}

// Notices that the client closes while its answer is awaited.
void StandinConnection::Watch() {
  if (watching_ || closed_) {
    return;
  }
  watching_ = true;
  socket_.async_wait(asio::socket_base::wait_read,
                     [self = shared_from_this()](const error_code& error) {
                       self->watching_ = false;
                       if (error || self->closed_ || self->ended_) {
                         return;
                       }
                       char byte = 0;
                       error_code failure;
                       self->socket_.receive(asio::buffer(&byte, 1),
                                             asio::socket_base::message_peek,
                                             failure);
                       if (failure && failure != asio::error::would_block) {
                         self->Gone();
                       }
                     });
}

void StandinConnection::Begin(unsigned status,
                              const std::string& content_type) {
  Send(fmt::format("{}Content-Type: {}\r\nTransfer-Encoding: chunked\r\n\r\n",
                   StatusLine(status), content_type));
}

void StandinConnection::Chunk(std::string_view data) {
  Send(fmt::format("{:x}\r\n{}\r\n", data.size(), data));
}

void StandinConnection::End() {
  ended_ = true;
  Send("0\r\n\r\n");
}

void StandinConnection::Whole(unsigned status, const std::string& content_type,
                              const std::string& body,
                              const std::string& fields) {
  ended_ = true;
  Send(fmt::format("{}Content-Type: {}\r\nContent-Length: {}\r\n{}\r\n{}",
                   StatusLine(status), content_type, body.size(), fields,
                   head_only_ ? "" : body));
}

void StandinConnection::Close() {
  closing_ = true;
  ended_ = true;
  if (writing_.empty()) {
    Gone();
  }
}

void StandinConnection::Reset() {
  error_code ignored;
  socket_.set_option(asio::socket_base::linger(true, 0), ignored);
  Gone();
}

void StandinConnection::Send(std::string_view bytes) {
  if (closed_ || silent_) {
    return;
  }
  out_ += bytes;
  if (writing_.empty()) {
    Write();
  }
}

void StandinConnection::Write() {
  writing_.swap(out_);
  asio::async_write(
      socket_, asio::buffer(writing_),
      [self = shared_from_this()](const error_code& error, std::size_t) {
        self->writing_.clear();
        const bool over = self->out_.empty() && self->ended_ && self->closing_;
        if (error || self->closed_ || over) {
          self->Gone();
        } else if (!self->out_.empty()) {
          self->Write();
        } else if (self->ended_) {
          self->Read();
        }
      });
}

void StandinConnection::Gone() {
  if (closed_) {
    return;
  }
  closed_ = true;
  error_code ignored;
  socket_.close(ignored);
  if (const auto on_gone = std::exchange(on_gone_, nullptr)) {
    on_gone();
  }
}

StandinServer::StandinServer(asio::io_context& io, const Endpoint& listen,
                             Handler handler)
    : acceptor_(io, {asio::ip::make_address(listen.address), listen.port}),
      handler_(std::move(handler)) {
  Accept();
}

std::uint16_t StandinServer::port() const {
  return acceptor_.local_endpoint().port();
}

void StandinServer::SilenceOpenConnections() {
  for (const auto& weak : connections_) {
    if (const auto connection = weak.lock()) {
      connection->GoSilent();
    }
  }
}

void StandinServer::Accept() {
  acceptor_.async_accept(
      [this](const error_code& error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted) {
          return;
        }
        if (!error) {
          error_code ignored;
          socket.non_blocking(true, ignored);
          socket.set_option(asio::ip::tcp::no_delay(true), ignored);
          auto connection =
              std::make_shared<StandinConnection>(std::move(socket), *this);
          std::erase_if(connections_,
                        [](const auto& weak) { return weak.expired(); });
          connections_.push_back(connection);
          connection->Read();
        }
        Accept();
      });
}

}  // namespace mimosagauge::testing
