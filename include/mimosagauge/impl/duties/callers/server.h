// The connections of a caller duty and its requests in progress.

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

/// \brief The state that the connections of one duty share. All members run on
/// the duty's thread.
class CallerServer {
 public:
  CallerServer(boost::asio::io_context& io, const Settings& settings,
               Mailbox<Event>& decisions, const CallerDialect& dialect);

  /// \brief Opens the configured listeners and starts accepting connections.
  /// \returns `kUnavailable` when an address cannot be bound.
  [[nodiscard]] Result<void> Listen();
  [[nodiscard]] std::uint16_t port() const noexcept { return port_; }
  void Handle(CallerEffect&& effect);
  void StopAccepting();
  void Stop();

  // Called by the connections.
  [[nodiscard]] const Settings& settings() const noexcept { return settings_; }
  [[nodiscard]] const AccountRegistry& accounts() const noexcept {
    return accounts_;
  }
  /// \returns The keys that sign tickets; when empty, no tickets are issued.
  [[nodiscard]] const std::vector<Authenticator>& ticket_secrets()
      const noexcept {
    return ticket_secrets_;
  }
  [[nodiscard]] const InstanceView& view() const noexcept { return *view_; }
  /// \returns Whether connections stay open after an answer: false once the
  /// instance drains or accepts no more connections.
  [[nodiscard]] bool allows_keep_alive() const noexcept {
    return accepting_ && !view_->draining;
  }
  [[nodiscard]] const CallerDialect& dialect() const noexcept {
    return dialect_;
  }
  /// \returns The current limits on callers' requests: those of the operators'
  /// configuration if there is one, else those of the settings.
  [[nodiscard]] CallerLimits limits() const noexcept;

  /// \brief Posts a request to the decision thread.
  /// \returns The request's number, or a problem when the instance is
  /// overloaded.
  [[nodiscard]] std::variant<RequestNumber, Problem> SubmitRequest(
      RequestHead head, BodyPtr body,
      std::shared_ptr<CallerConnection> connection);
  /// \brief Removes a request whose answer was queued in full or cut off.
  void RemoveRequest(RequestNumber number);
  /// \brief Removes a request whose caller disconnected before the answer was
  /// complete, and posts `RequestAbandoned`.
  void AbandonRequest(RequestNumber number);
  /// \brief Posts `AnswerConsumed` for body bytes written to the caller.
  void ReportBytesWritten(RequestNumber number, std::uint64_t bytes);
  /// \brief Posts `AnswersWritten` for an answer that was written completely,
  /// or whose connection has closed.
  void ReportAnswerWritten(const WrittenAnswer& written);
  void RemoveConnection(const std::shared_ptr<CallerConnection>& connection);

  /// \returns The memory budget for request bodies. Never null.
  [[nodiscard]] const std::shared_ptr<BodyBudget>& body_budget()
      const noexcept {
    return body_budget_;
  }

 private:
  /// \brief A listening socket, with the timer that retries a failed accept.
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
  void AdmitConnection(boost::asio::ip::tcp::socket socket, ListenerKind kind);
  void RetryAccept(Listener& listener);
  void Sweep();
  void ApplyOpenFileLimit();
  [[nodiscard]] std::shared_ptr<CallerConnection> FindConnection(
      RequestNumber number);
  void ScheduleFlush(const std::shared_ptr<CallerConnection>& connection);
  void FlushScheduled();
  void PostWrittenAnswers();

  boost::asio::io_context& io_;
  const Settings& settings_;
  Mailbox<Event>& decisions_;
  AccountRegistry accounts_;
  std::vector<Authenticator> ticket_secrets_;
  std::shared_ptr<BodyBudget> body_budget_;
  InstanceViewPtr view_;  // Never null.
  const CallerDialect& dialect_;
  std::list<Listener> listeners_;  // The listener for callers is the first.
  boost::asio::steady_timer sweep_timer_;
  std::unordered_set<std::shared_ptr<CallerConnection>> connections_;
  std::unordered_map<RequestNumber, std::shared_ptr<CallerConnection>>
      requests_;
  // Connections with queued output to be written.
  std::vector<std::shared_ptr<CallerConnection>> flush_queue_;
  // Answers written since the last `AnswersWritten` was posted.
  std::vector<WrittenAnswer> written_answers_;
  std::size_t connection_limit_ = 0;
  // Numbers from callers are even, those from links odd.
  std::uint64_t next_request_number_ = 2;
  std::uint16_t port_ = 0;
  bool accepting_ = false;
  bool stopped_ = false;
};

}  // namespace mimosagauge::detail

#endif  // MIMOSAGAUGE_IMPL_DUTIES_CALLERS_SERVER_H_
