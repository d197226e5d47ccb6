// The duty that maintains the links to other instances.

#include "mimosagauge/impl/duties/links/duty.h"

#include <fmt/format.h>

#include <boost/asio/ip/address.hpp>
#include <type_traits>
#include <utility>
#include <variant>

#include "mimosagauge/impl/duties/common/log.h"
#include "mimosagauge/impl/wire/allowance_codec.h"
#include "mimosagauge/impl/wire/confirmation_codec.h"
#include "mimosagauge/impl/wire/streams_codec.h"

namespace mimosagauge {
namespace {

[[nodiscard]] bool IsLoopback(const Endpoint& endpoint) {
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(endpoint.address, error);
  return !error && address.is_loopback();
}

[[nodiscard]] Error PlainTcpNotAllowedError(const Endpoint& endpoint) {
  return Error{
      ErrorKind::kInvalidSettings,
      fmt::format("links without TLS are allowed on loopback addresses only, "
                  "and {} is not a loopback address",
                  ToString(endpoint)),
      "set link_tls to a certificate, its key and the authority's certificate"};
}

[[nodiscard]] Result<void> CheckPlainTcp(const Settings& settings) {
  if (!IsLoopback(settings.peer)) {
    return PlainTcpNotAllowedError(settings.peer);
  }
  for (const PeerSettings& peer : settings.peers) {
    if (!IsLoopback(peer.peer)) {
      return PlainTcpNotAllowedError(peer.peer);
    }
  }
  return success();
}

template <typename Effect>
constexpr bool kIsClientEffect =
    std::is_same_v<Effect, StartLinkAttempt> ||
    std::is_same_v<Effect, CancelAttempt> ||
    std::is_same_v<Effect, AddAttemptCredit> ||
    std::is_same_v<Effect, SendGossip> || std::is_same_v<Effect, SendLoad> ||
    std::is_same_v<Effect, SendTraffic> ||
    std::is_same_v<Effect, SendPlacement> ||
    std::is_same_v<Effect, ConnectInstance> ||
    std::is_same_v<Effect, DisconnectInstance>;

}  // namespace

LinkDuty::LinkDuty(boost::asio::io_context& io, const Settings& settings,
                   Mailbox<Event>& decisions, const LinkTimings& timings)
    : settings_(settings),
      timings_(timings),
      client_(io, settings, timings, decisions),
      server_(io, settings, timings, decisions) {}

Result<LinkTlsContextPtr> LinkDuty::MakeTlsContext() const {
  if (settings_.link_tls) {
    return MakeLinkTlsContext(*settings_.link_tls);
  }
  const Result<void> plain_allowed = CheckPlainTcp(settings_);
  if (!plain_allowed && !settings_.plain_links) {
    return plain_allowed.error();
  }
  Log(log_events::kLinkPlain);
  return LinkTlsContextPtr();
}

Result<void> LinkDuty::Start() {
  const auto tls = MakeTlsContext();
  if (!tls) {
    return tls.error();
  }
  const HelloMessage own_hello{timings_.min_version, timings_.max_version,
                               settings_.instance, settings_.region,
                               settings_.zone};
  const Result<void> listening = server_.Start(tls.value(), own_hello);
  if (!listening) {
    return listening.error();
  }
  client_.Start(tls.value(), own_hello);
  return success();
}

void LinkDuty::Stop() {
  client_.Stop();
  server_.Stop();
}

// A question goes out by the link that this instance opened, and its answer
// comes back by the same one: an instance of another region that is asked need
// not have a link of its own to the one that asks.
void LinkDuty::Send(SendConfirmation&& confirmation) {
  if (confirmation.message.confirmed) {
    return server_.Handle(std::move(confirmation));
  }
  client_.Handle(SendGossip{std::move(confirmation.to),
                            EncodeConfirmation(confirmation.message)});
}

void LinkDuty::Handle(LinkEffect&& effect) {
  std::visit(
      [this](auto&& typed) {
        using Typed = std::decay_t<decltype(typed)>;
        if constexpr (std::is_same_v<Typed, SendConfirmation> ||
                      std::is_same_v<Typed, SendAllowance> ||
                      std::is_same_v<Typed, SendStreams>) {
          Send(std::forward<decltype(typed)>(typed));
        } else if constexpr (kIsClientEffect<Typed>) {
          client_.Handle(std::forward<decltype(typed)>(typed));
        } else {
          server_.Handle(std::forward<decltype(typed)>(typed));
        }
      },
      std::move(effect));
}

// A lender answers instances of other regions, to which it has no link of its
// own, over the link that they have opened.
void LinkDuty::Send(SendAllowance&& message) {
  SendEitherWay(message.to, EncodeAllowance(*message.message));
}

void LinkDuty::Send(SendStreams&& message) {
  SendEitherWay(message.to, EncodeStreams(message.message));
}

void LinkDuty::SendEitherWay(const InstanceId& to, const std::string& bytes) {
  if (!client_.TrySendGossip(to, bytes)) {
    server_.SendGossip(to, bytes);
  }
}

}  // namespace mimosagauge
