// The duty that keeps links to other instances.

#ifndef MIMOSAGAUGE_IMPL_DUTIES_LINKS_DUTY_H_
#define MIMOSAGAUGE_IMPL_DUTIES_LINKS_DUTY_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>

#include "mimosagauge/impl/core/error.h"
#include "mimosagauge/impl/decisions/effects.h"
#include "mimosagauge/impl/decisions/events.h"
#include "mimosagauge/impl/duties/common/mailbox.h"
#include "mimosagauge/impl/duties/links/client.h"
#include "mimosagauge/impl/duties/links/connection.h"
#include "mimosagauge/impl/duties/links/server.h"
#include "mimosagauge/impl/settings/settings.h"

namespace mimosagauge {

/// \brief Gives requests to other instances and takes theirs.
///
/// Everything runs on the io context's one thread. Events go to the mailbox,
/// whose producer that thread is.
class LinkDuty {
 public:
  /// \param settings Outlives the duty.
  LinkDuty(boost::asio::io_context& io, const Settings& settings,
           Mailbox<Event>& decisions, const LinkTimings& timings = {});

  LinkDuty(const LinkDuty&) = delete;
  LinkDuty& operator=(const LinkDuty&) = delete;

  /// \brief Listens and connects to the peers of the settings.
  /// \returns `kInvalidSettings` when the TLS files cannot be used, or when
  /// there are none and an address is not a loopback address;
  /// `kUnavailable` when the peer address cannot be listened on.
  [[nodiscard]] Result<void> Start();

  /// \brief Closes every link; attempts fail as far as they had come.
  void Stop();

  /// \brief Tells the others to send no more requests. What is in progress,
  /// in both directions, goes on.
  void Leave() { server_.Leave(); }

  /// \brief Carries out an effect of the decisions.
  void Handle(LinkEffect&& effect);

  /// \brief Makes another instance known; it is dialled when needed.
  void Learn(const PeerSettings& peer) { client_.Learn(peer); }

  /// \returns The port listened on, once started.
  [[nodiscard]] std::uint16_t port() const noexcept { return server_.port(); }

  [[nodiscard]] const LinkClient& client() const noexcept { return client_; }
  [[nodiscard]] const LinkServer& server() const noexcept { return server_; }

 private:
  [[nodiscard]] Result<LinkTlsContextPtr> MakeTls() const;

  const Settings& settings_;
  LinkTimings timings_;
  LinkClient client_;
  LinkServer server_;
};

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DUTIES_LINKS_DUTY_H_
