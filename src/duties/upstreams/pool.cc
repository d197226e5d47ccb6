// Keeping of idle connections.

#include "mimosagauge/impl/duties/upstreams/pool.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <utility>

namespace mimosagauge::detail {
namespace {

namespace asio = boost::asio;

constexpr std::chrono::seconds kLongestIdle{30};
constexpr std::size_t kFewestIdle = 8;

// A connection is fit for a request when there is nothing to read on it: an
// end of file or stray bytes mean that the upstream is done with it.
[[nodiscard]] bool IsQuiet(asio::ip::tcp::socket& socket) {
  char byte = 0;
  boost::system::error_code error;
  socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek,
                 error);
  return error == asio::error::would_block;
}

}  // namespace

UpstreamPool::UpstreamPool(UpstreamSettings settings)
    : settings_(std::move(settings)) {}

std::optional<asio::ip::tcp::socket> UpstreamPool::Take() {
  while (!idle_.empty()) {
    asio::ip::tcp::socket socket = std::move(idle_.back().socket);
    idle_.pop_back();
    if (IsQuiet(socket)) {
      return socket;
    }
  }
  return std::nullopt;
}

void UpstreamPool::Return(asio::ip::tcp::socket socket) {
  if (idle_.size() < std::max(kFewestIdle, settings_.concurrency)) {
    idle_.push_back({std::move(socket), Clock::now()});
  }
}

void UpstreamPool::Sweep(Clock::time_point now) {
  std::erase_if(idle_, [now](IdleSocket& idle) {
    return now - idle.since > kLongestIdle || !IsQuiet(idle.socket);
  });
}

}  // namespace mimosagauge::detail
