// A pool of idle connections to one upstream.

#ifndef MIMOSAGAUGE_IMPL_DUTIES_UPSTREAMS_POOL_H_
#define MIMOSAGAUGE_IMPL_DUTIES_UPSTREAMS_POOL_H_

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <deque>
#include <optional>

#include "mimosagauge/impl/settings/settings.h"

namespace mimosagauge::detail {

/// \brief Idle connections to one upstream, kept for reuse.
class UpstreamPool {
 public:
  using Clock = std::chrono::steady_clock;

  /// \param incarnation The upstream's incarnation; zero if unknown.
  explicit UpstreamPool(UpstreamSettings settings,
                        Incarnation incarnation = {});

  [[nodiscard]] Incarnation incarnation() const noexcept {
    return incarnation_;
  }

  [[nodiscard]] const UpstreamSettings& settings() const noexcept {
    return settings_;
  }

  /// \brief Removes the most recently used connection that is still usable:
  /// the upstream has neither closed it nor sent anything on it.
  /// \returns The connection, or nothing if none is usable.
  [[nodiscard]] std::optional<boost::asio::ip::tcp::socket> TakeIdleSocket();

  /// \brief Keeps a connection for reuse, or closes it if the pool is full or
  /// the upstream would close it too soon.
  /// \param idle_timeout The time after which the upstream closes an idle
  /// connection; nothing if unknown.
  void ReturnSocket(boost::asio::ip::tcp::socket socket,
                    std::optional<Duration> idle_timeout = std::nullopt);

  /// \brief Closes the connections that have expired, that the upstream closed
  /// or on which it sent something.
  void Sweep(Clock::time_point now);

  [[nodiscard]] std::size_t idle_count() const noexcept { return idle_.size(); }

 private:
  struct IdleSocket {
    boost::asio::ip::tcp::socket socket;
    Clock::time_point usable_until;  // Not to be used from then on.
  };

  UpstreamSettings settings_;
  Incarnation incarnation_;
  std::deque<IdleSocket> idle_;  // The most recently used is at the back.
};

}  // namespace mimosagauge::detail

#endif  // MIMOSAGAUGE_IMPL_DUTIES_UPSTREAMS_POOL_H_
