// Reuse of idle connections.

#include "mimosagauge/impl/duties/upstreams/pool.h"

#include <algorithm>
#include <utility>

#include "mimosagauge/impl/store/http_connection.h"

namespace mimosagauge::detail {
namespace {

constexpr std::chrono::seconds kMaxIdleTime{30};
// If a request is sent while the upstream closes the connection, it is unknown
// whether the request was run. The pool therefore closes connections this long
// before the upstream's idle timeout.
constexpr Duration kIdleTimeoutMargin = std::chrono::milliseconds(700);
// The pool keeps as many idle connections as the upstream's concurrency, and at
// least this many.
constexpr std::size_t kMinIdleCapacity = 8;

}  // namespace

UpstreamPool::UpstreamPool(UpstreamSettings settings, Incarnation incarnation)
    : settings_(std::move(settings)), incarnation_(incarnation) {}

std::optional<boost::asio::ip::tcp::socket> UpstreamPool::TakeIdleSocket() {
  const auto now = Clock::now();
  while (!idle_.empty()) {
    IdleSocket idle = std::move(idle_.back());
    idle_.pop_back();
    if (now < idle.usable_until && HasNothingToRead(idle.socket)) {
      return std::move(idle.socket);
    }
  }
  return std::nullopt;
}

void UpstreamPool::ReturnSocket(boost::asio::ip::tcp::socket socket,
                                std::optional<Duration> idle_timeout) {
  Clock::duration usable_for = kMaxIdleTime;
  if (idle_timeout) {
    usable_for = std::min<Clock::duration>(usable_for,
                                           *idle_timeout - kIdleTimeoutMargin);
  }
  if (usable_for > Clock::duration::zero() &&
      idle_.size() < std::max(kMinIdleCapacity, settings_.concurrency)) {
    idle_.push_back({std::move(socket), Clock::now() + usable_for});
  }
}

void UpstreamPool::Sweep(Clock::time_point now) {
  std::erase_if(idle_, [now](IdleSocket& idle) {
    return now >= idle.usable_until || !HasNothingToRead(idle.socket);
  });
}

}  // namespace mimosagauge::detail
