// Connections to one upstream that wait for their next request.

#ifndef MIMOSAGAUGE_IMPL_DUTIES_UPSTREAMS_POOL_H_
#define MIMOSAGAUGE_IMPL_DUTIES_UPSTREAMS_POOL_H_

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <deque>
#include <optional>

#include "mimosagauge/impl/settings/settings.h"

namespace mimosagauge::detail {

/// \brief Idle connections to one upstream.
class UpstreamPool {
 public:
  using Clock = std::chrono::steady_clock;

  /// \param incarnation Of the upstream; zero: not told.
  explicit UpstreamPool(UpstreamSettings settings,
                        Incarnation incarnation = {});

  [[nodiscard]] Incarnation incarnation() const noexcept {
    return incarnation_;
  }

  [[nodiscard]] const UpstreamSettings& settings() const noexcept {
    return settings_;
  }

  /// \brief Takes out a connection that the upstream has not closed and has
  /// sent nothing on.
  [[nodiscard]] std::optional<boost::asio::ip::tcp::socket> Take();

  /// \brief Keeps a connection for later, or closes it when there are enough.
  /// \param idle_timeout After which the upstream closes it; nothing: untold.
  void Return(boost::asio::ip::tcp::socket socket,
              std::optional<Duration> idle_timeout = std::nullopt);

  /// \brief Closes the connections that are old or that the upstream closed.
  void Sweep(Clock::time_point now);

  [[nodiscard]] std::size_t idle() const noexcept { return idle_.size(); }

 private:
  struct IdleSocket {
    boost::asio::ip::tcp::socket socket;
    Clock::time_point until;  // Of no use from then on.
  };

  UpstreamSettings settings_;
  Incarnation incarnation_;
  std::deque<IdleSocket> idle_;  // The one used last at the back.
};

}  // namespace mimosagauge::detail

#endif  // MIMOSAGAUGE_IMPL_DUTIES_UPSTREAMS_POOL_H_
