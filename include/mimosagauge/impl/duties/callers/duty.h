// The duty that talks to callers: HTTP/1.1 in, typed events out; typed
// effects in, HTTP/1.1 out.

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

/// \brief Listens for callers and serves their connections on one thread.
///
/// Every request that was handed on as `RequestArrived` is followed by one
/// `RequestAbandoned` if its caller goes away before the answer is complete.
/// `AnswerTaken` is posted once bytes were written to the caller's socket.
class CallerDuty {
 public:
  /// \param io Run by one thread, the duty's.
  /// \param settings Outlives the duty.
  /// \param decisions Its producer is `io`.
  CallerDuty(boost::asio::io_context& io, const Settings& settings,
             Mailbox<Event>& decisions,
             const CallerDialect& dialect = OwnCallerDialect());
  ~CallerDuty();
  CallerDuty(const CallerDuty&) = delete;
  CallerDuty& operator=(const CallerDuty&) = delete;

  /// \brief Listens on `settings.entry`. Before `io` runs, or on its thread.
  /// \returns `kUnavailable` when the address cannot be had.
  [[nodiscard]] Result<void> Start();

  /// \returns The port listened on, also when the settings say 0.
  [[nodiscard]] std::uint16_t port() const noexcept;

  /// \brief Carries out an effect. On the duty's thread.
  void Handle(CallerEffect&& effect);

  /// \brief Takes no new connections; answers from now on close theirs. On
  /// the duty's thread.
  void StopAccepting();

  /// \brief Closes everything. On the duty's thread, or after it ended.
  void Stop();

 private:
  std::unique_ptr<detail::CallerServer> server_;
};

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DUTIES_CALLERS_DUTY_H_
