// The table of a caller duty: its connections and the requests in progress.

#ifndef MIMOSAGAUGE_IMPL_DUTIES_CALLERS_SERVER_H_
#define MIMOSAGAUGE_IMPL_DUTIES_CALLERS_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

#include "mimosagauge/impl/decisions/effects.h"
#include "mimosagauge/impl/decisions/events.h"
#include "mimosagauge/impl/decisions/once/fingerprint.h"
#include "mimosagauge/impl/duties/callers/account_book.h"
#include "mimosagauge/impl/duties/callers/body_budget.h"
#include "mimosagauge/impl/duties/callers/dialect.h"
#include "mimosagauge/impl/duties/common/mailbox.h"
#include "mimosagauge/impl/settings/settings.h"

namespace mimosagauge::detail {

class CallerConnection;

/// \brief State shared by the connections of one duty. All on its thread.
class CallerServer {
 public:
  CallerServer(boost::asio::io_context& io, const Settings& settings,
               Mailbox<Event>& decisions, const CallerDialect& dialect);

  [[nodiscard]] Result<void> Listen();
  [[nodiscard]] std::uint16_t port() const noexcept { return port_; }
  void Handle(CallerEffect&& effect);
  void StopAccepting();
  void Stop();

  // For the connections.
  [[nodiscard]] const Settings& settings() const noexcept { return settings_; }
  [[nodiscard]] const AccountBook& accounts() const noexcept {
    return accounts_;
  }
  /// \returns What signs tickets; empty: no tickets.
  [[nodiscard]] const std::vector<Authenticator>& ticket_secrets()
      const noexcept {
    return ticket_secrets_;
  }
  [[nodiscard]] const InstanceView& view() const noexcept { return *view_; }
  /// \returns Whether callers may go on using their connections.
  [[nodiscard]] bool keeps_connections() const noexcept {
    return accepting_ && !view_->draining;
  }
  [[nodiscard]] const CallerDialect& dialect() const noexcept {
    return dialect_;
  }
  /// \returns What callers may send now.
  [[nodiscard]] CallerLimits limits() const noexcept;

  /// \brief Hands a request to the decisions.
  /// \returns Its number, or the problem when there is no room.
  [[nodiscard]] std::variant<RequestNumber, Problem> Submit(
      RequestHead head, BodyPtr body,
      std::shared_ptr<CallerConnection> connection);
  /// \brief Nothing more will be sent for the request.
  void Forget(RequestNumber number);
  /// \brief The caller went away before its answer was whole.
  void Abandon(RequestNumber number);
  void Taken(RequestNumber number, std::uint64_t bytes);
  void Remove(const std::shared_ptr<CallerConnection>& connection);

  /// \returns The bound on request bodies. Never null.
  [[nodiscard]] const std::shared_ptr<BodyBudget>& bodies() const noexcept {
    return bodies_;
  }

 private:
  /// \brief One address that is listened on.
  struct Listener {
    ListenerKind kind;
    boost::asio::ip::tcp::acceptor acceptor;
    boost::asio::steady_timer retry_timer;
  };

  [[nodiscard]] Result<void> ListenOn(const Endpoint& endpoint,
                                      const char* setting, ListenerKind kind);
  void Accept(Listener& listener);
  void OnAccepted(Listener& listener, const boost::system::error_code& error,
                  boost::asio::ip::tcp::socket socket);
  void Admit(boost::asio::ip::tcp::socket socket, ListenerKind kind);
  void RetryAccept(Listener& listener);
  void Sweep();
  void LimitConnections();
  [[nodiscard]] std::shared_ptr<CallerConnection> Find(RequestNumber number);
  void Touch(const std::shared_ptr<CallerConnection>& connection);
  void FlushTouched();

  boost::asio::io_context& io_;
  const Settings& settings_;
  Mailbox<Event>& decisions_;
  AccountBook accounts_;
  std::vector<Authenticator> ticket_secrets_;
  std::shared_ptr<BodyBudget> bodies_;
  InstanceViewPtr view_;  // Never null.
  const CallerDialect& dialect_;
  std::list<Listener> listeners_;  // The callers' one first.
  boost::asio::steady_timer sweep_timer_;
  std::unordered_set<std::shared_ptr<CallerConnection>> connections_;
  std::unordered_map<RequestNumber, std::shared_ptr<CallerConnection>>
      requests_;
  std::vector<std::shared_ptr<CallerConnection>> touched_;  // To be flushed.
  std::size_t connection_limit_ = 0;
  std::uint64_t next_number_ = 2;  // Even.
  std::uint16_t port_ = 0;
  bool accepting_ = false;
  bool stopped_ = false;
};

}  // namespace mimosagauge::detail

#endif  // MIMOSAGAUGE_IMPL_DUTIES_CALLERS_SERVER_H_
