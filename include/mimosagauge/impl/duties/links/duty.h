// The duty that maintains the links to other instances.

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

/// \brief Sends requests to other instances and receives theirs.
///
/// All functions run on the one thread of the event loop. That thread is also
/// the producer of the mailbox to which events are posted.
class LinkDuty {
 public:
  /// \param settings Must outlive the duty.
  LinkDuty(boost::asio::io_context& io, const Settings& settings,
           Mailbox<Event>& decisions, const LinkTimings& timings = {});

  LinkDuty(const LinkDuty&) = delete;
  LinkDuty& operator=(const LinkDuty&) = delete;

  /// \brief Listens on the peer address and connects to the peers in the
  /// settings.
  /// \returns `kInvalidSettings` when the TLS files cannot be used, or when
  /// there are none, an address is not a loopback address, and `plain_links` is
  /// not set; `kUnavailable` when listening on the peer address fails.
  [[nodiscard]] Result<void> Start();

  /// \brief Closes every link. Attempts in progress fail with the run state
  /// that they have reached.
  void Stop();

  /// \brief Announces to the other instances that this one accepts no more
  /// requests. Requests in progress continue in both directions.
  void Leave() { server_.AnnounceLeaving(); }

  /// \brief Carries out an effect of the gateway state machine.
  void Handle(LinkEffect&& effect);

  /// \brief Adds another instance, which is dialed when a request or gossip for
  /// it is to be sent.
  void Learn(const PeerSettings& peer) { client_.AddPeer(peer); }

  /// \returns The port of the listening socket, once started.
  [[nodiscard]] std::uint16_t port() const noexcept { return server_.port(); }

  [[nodiscard]] const LinkClient& client() const noexcept { return client_; }
  [[nodiscard]] const LinkServer& server() const noexcept { return server_; }

 private:
  void Send(SendConfirmation&& confirmation);
  [[nodiscard]] Result<LinkTlsContextPtr> MakeTlsContext() const;

  void Send(SendAllowance&& message);
  void Send(SendStreams&& message);
  // Sends over the link that this instance opened, or else over the one that
  // the other instance opened.
  void SendEitherWay(const InstanceId& to, const std::string& bytes);

  const Settings& settings_;
  LinkTimings timings_;
  LinkClient client_;
  LinkServer server_;
};

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DUTIES_LINKS_DUTY_H_
