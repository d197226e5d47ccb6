// Sending of single requests with Boost.Beast.

#include "tests/support/http_client.h"

#include <boost/algorithm/string/case_conv.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cstdint>
#include <limits>
#include <memory>

namespace mimosagauge::testing {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

/// \brief One request and its answer, run to its end on an own event loop.
class Exchange {
 public:
  Exchange(const HttpRequest& request,
           const std::function<bool(const HttpReply&)>& progress)
      : progress_(progress), stream_(io_) {
    request_.method_string(request.method);
    request_.target(request.target);
    request_.version(11);
    request_.set(http::field::connection, "close");
    request_.set(http::field::host, "test");
    for (const auto& [name, value] : request.headers) {
      request_.set(name, value);
    }
    request_.body() = request.body;
    request_.prepare_payload();
    parser_.body_limit(std::numeric_limits<std::uint64_t>::max());
    parser_.eager(true);
    stream_.expires_after(request.timeout);
  }

  [[nodiscard]] HttpReply Run(const Endpoint& endpoint) {
    const asio::ip::tcp::endpoint to(asio::ip::make_address(endpoint.address),
                                     endpoint.port);
    stream_.async_connect(
        to, [this](beast::error_code error) { error ? Fail(error) : Write(); });
    io_.run();
    return std::move(reply_);
  }

 private:
  void Fail(beast::error_code error) { reply_.error = error.message(); }

  void Write() {
    http::async_write(stream_, request_,
                      [this](beast::error_code error, std::size_t) {
                        error ? Fail(error) : ReadHead();
                      });
  }

  void ReadHead() {
    http::async_read_header(stream_, buffer_, parser_,
                            [this](beast::error_code error, std::size_t) {
                              error ? Fail(error) : TakeHead();
                            });
  }

  void TakeHead() {
    reply_.status = static_cast<int>(parser_.get().result_int());
    for (const auto& field : parser_.get()) {
      std::string name(field.name_string());
      boost::algorithm::to_lower(name);
      reply_.headers[name] = std::string(field.value());
    }
    Continue();
  }

  void Continue() {
    reply_.body = parser_.get().body();
    if (progress_ && !progress_(reply_)) {
      stream_.close();
      reply_.error = "closed by the test";
      return;
    }
    if (parser_.is_done()) {
      reply_.whole = true;
      return;
    }
    http::async_read_some(stream_, buffer_, parser_,
                          [this](beast::error_code error, std::size_t) {
                            if (error && !parser_.is_done()) {
                              reply_.body = parser_.get().body();
                              return Fail(error);
                            }
                            Continue();
                          });
  }

  const std::function<bool(const HttpReply&)>& progress_;
  asio::io_context io_;
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  http::request<http::string_body> request_;
  http::response_parser<http::string_body> parser_;
  HttpReply reply_;
};

}  // namespace

std::string HttpReply::header(const std::string& name) const {
  const auto found = headers.find(name);
  return found == headers.end() ? std::string() : found->second;
}

HttpReply Fetch(const Endpoint& endpoint, const HttpRequest& request,
                const std::function<bool(const HttpReply&)>& progress) {
  return Exchange(request, progress).Run(endpoint);
}

}  // namespace mimosagauge::testing
