// The network service for callers: converts HTTP/1.1 requests to events, and
// effects to HTTP/1.1 answers.

#ifndef MIMOSAGAUGE_IMPL_DUTIES_CALLERS_DUTY_H_
#define MIMOSAGAUGE_IMPL_DUTIES_CALLERS_DUTY_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>

#include "mimosagauge/impl/core/error.h"
#include "mimosagauge/impl/decisions/effects.h"
#include "mimosagauge/impl/decisions/events.h"
#include "mimosagauge/impl/duties/callers/dialect.h"
#include "mimosagauge/impl/duties/common/mailbox.h"
#include "mimosagauge/impl/settings/settings.h"

namespace mimosagauge {

namespace detail {
class CallerServer;
}  // namespace detail

/// \brief Accepts callers' connections and serves them on one thread.
///
/// Every request posted as `RequestArrived` is followed by exactly one
/// `RequestAbandoned` if its caller disconnects before the answer is complete.
/// `AnswerConsumed` is posted once bytes were written to the caller's socket.
class CallerDuty {
 public:
  /// \param io Must be run by exactly one thread, the duty's.
  /// \param settings Must outlive the duty.
  /// \param decisions Receives the events; only the thread of `io` posts to
  /// it.
  CallerDuty(boost::asio::io_context& io, const Settings& settings,
             Mailbox<Event>& decisions,
             const CallerDialect& dialect = DefaultCallerDialect());
  ~CallerDuty();
  CallerDuty(const CallerDuty&) = delete;
  CallerDuty& operator=(const CallerDuty&) = delete;

  /// \brief Starts listening on `settings.entry` and on the configured
  /// listeners for local resources. Call before `io` runs, or on its thread.
  /// \returns `kUnavailable` when an address cannot be bound.
  [[nodiscard]] Result<void> Start();

  /// \returns The port of the listener for callers: the one that the system
  /// assigned if the settings have port 0.
  [[nodiscard]] std::uint16_t port() const noexcept;

  /// \brief Carries out an effect. Call on the duty's thread.
  void Handle(CallerEffect&& effect);

  /// \brief Stops accepting callers' connections. Each open connection is
  /// closed after its next answer. Call on the duty's thread.
  void StopAccepting();

  /// \brief Closes all listeners and connections. Call on the duty's thread,
  /// or after that thread has ended.
  void Stop();

 private:
  std::unique_ptr<detail::CallerServer> server_;
};

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DUTIES_CALLERS_DUTY_H_
