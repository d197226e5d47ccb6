// Sends one health request and reads the head of its response.

#include "mimosagauge/impl/duties/upstreams/health_request.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <chrono>
#include <utility>

namespace mimosagauge::detail {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

// The health path responds immediately, so a later response is out of date.
constexpr std::chrono::seconds kTimeLimit{1};
constexpr std::uint32_t kMaxHeadBytes = 16U * 1024;

}  // namespace

void HealthRequest::Start(RequestHealth request,
                          const UpstreamSettings& upstream,
                          asio::io_context& io, const UpstreamDialect& dialect,
                          Mailbox<Event>& decisions) {
  const Endpoint endpoint = upstream.endpoint;
  std::make_shared<HealthRequest>(std::move(request), upstream, io, dialect,
                                  decisions)
      ->Connect(endpoint);
}

HealthRequest::HealthRequest(RequestHealth request,
                             const UpstreamSettings& upstream,
                             asio::io_context& io,
                             const UpstreamDialect& dialect,
                             Mailbox<Event>& decisions)
    : request_(std::move(request)),
      dialect_(dialect),
      decisions_(decisions),
      stream_(io),
      header_(dialect.format_health(request_.path, upstream)) {
  parser_.header_limit(kMaxHeadBytes);
}

void HealthRequest::Connect(const Endpoint& endpoint) {
  error_code error;
  const auto address = asio::ip::make_address(endpoint.address, error);
  if (error) {
    return;
  }
  // Every step below ends by this limit and then releases the connection.
  stream_.expires_after(kTimeLimit);
  stream_.async_connect(asio::ip::tcp::endpoint{address, endpoint.port},
                        [self = shared_from_this()](const error_code& failure) {
                          if (!failure) {
                            self->Write();
                          }
                        });
}

void HealthRequest::Write() {
  asio::async_write(
      stream_, asio::buffer(header_),
      [self = shared_from_this()](const error_code& error, std::size_t) {
        if (!error) {
          self->Read();
        }
      });
}

void HealthRequest::Read() {
  http::async_read_header(
      stream_, buffer_, parser_,
      [self = shared_from_this()](const error_code& error, std::size_t) {
        if (!error) {
          self->OnHead();
        }
      });
}

void HealthRequest::OnHead() {
  if (auto signals = dialect_.read_health(parser_.get().base())) {
    decisions_.Post(
        UpstreamHealthReceived{request_.upstream, request_.start, *signals});
  }
}

}  // namespace mimosagauge::detail
