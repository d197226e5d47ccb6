// The network service for upstreams: converts effects to HTTP/1.1 requests, and
// HTTP/1.1 answers to events.

#ifndef MIMOSAGAUGE_IMPL_DUTIES_UPSTREAMS_DUTY_H_
#define MIMOSAGAUGE_IMPL_DUTIES_UPSTREAMS_DUTY_H_

#include <boost/asio/io_context.hpp>
#include <memory>

#include "mimosagauge/impl/decisions/effects.h"
#include "mimosagauge/impl/decisions/events.h"
#include "mimosagauge/impl/duties/common/mailbox.h"
#include "mimosagauge/impl/duties/upstreams/dialect.h"
#include "mimosagauge/impl/settings/settings.h"

namespace mimosagauge {

namespace detail {
class UpstreamServer;
}  // namespace detail

/// \brief Sends requests to this region's upstreams on one thread.
///
/// For every `StartUpstreamAttempt` it posts exactly one of `AttemptEnded` and
/// `AttemptFailed`, unless the attempt is cancelled first.
class UpstreamDuty {
 public:
  /// \param io Must be run by exactly one thread, the duty's.
  /// \param settings Must outlive the duty.
  /// \param decisions Receives the events; only the thread of `io` posts to
  /// it.
  UpstreamDuty(boost::asio::io_context& io, const Settings& settings,
               Mailbox<Event>& decisions,
               const UpstreamDialect& dialect = DefaultUpstreamDialect());
  ~UpstreamDuty();
  UpstreamDuty(const UpstreamDuty&) = delete;
  UpstreamDuty& operator=(const UpstreamDuty&) = delete;

  /// \brief Starts the periodic check of deadlines. Call before `io` runs, or
  /// on its thread.
  void Start();

  /// \brief Carries out an effect. Call on the duty's thread.
  void Handle(UpstreamEffect&& effect);

  /// \brief Closes all connections and cancels the attempts in progress. Call
  /// on the duty's thread, or after that thread has ended.
  void Stop();

 private:
  std::unique_ptr<detail::UpstreamServer> server_;
};

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DUTIES_UPSTREAMS_DUTY_H_
