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
// A request that crosses the upstream's close may have run or not, so the
// connection is given up earlier than the upstream would.
constexpr Duration kIdleMargin = std::chrono::milliseconds(700);
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

UpstreamPool::UpstreamPool(UpstreamSettings settings, Incarnation incarnation)
    : settings_(std::move(settings)), incarnation_(incarnation) {}

std::optional<asio::ip::tcp::socket> UpstreamPool::Take() {
  const auto now = Clock::now();
  while (!idle_.empty()) {
    IdleSocket idle = std::move(idle_.back());
    idle_.pop_back();
    if (now < idle.until && IsQuiet(idle.socket)) {
      return std::move(idle.socket);
    }
  }
  return std::nullopt;
}

void UpstreamPool::Return(asio::ip::tcp::socket socket,
                          std::optional<Duration> idle_timeout) {
  Clock::duration use = kLongestIdle;
  if (idle_timeout) {
    use = std::min<Clock::duration>(use, *idle_timeout - kIdleMargin);
  }
  if (use > Clock::duration::zero() &&
      idle_.size() < std::max(kFewestIdle, settings_.concurrency)) {
    idle_.push_back({std::move(socket), Clock::now() + use});
  }
}

void UpstreamPool::Sweep(Clock::time_point now) {
  std::erase_if(idle_, [now](IdleSocket& idle) {
    return now >= idle.until || !IsQuiet(idle.socket);
  });
}

}  // namespace mimosagauge::detail
