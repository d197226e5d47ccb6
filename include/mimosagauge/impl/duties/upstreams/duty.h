// The duty that talks to upstreams: typed effects in, HTTP/1.1 out; HTTP/1.1
// answers in, typed events out.

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

/// \brief Runs attempts against this region's upstreams on one thread.
///
/// Every `StartUpstreamAttempt` is followed by exactly one of `AttemptEnded`
/// and `AttemptFailed`, unless it is cancelled first.
class UpstreamDuty {
 public:
  /// \param io Run by one thread, the duty's.
  /// \param settings Outlives the duty.
  /// \param decisions Its producer is `io`.
  UpstreamDuty(boost::asio::io_context& io, const Settings& settings,
               Mailbox<Event>& decisions,
               const UpstreamDialect& dialect = OwnUpstreamDialect());
  ~UpstreamDuty();
  UpstreamDuty(const UpstreamDuty&) = delete;
  UpstreamDuty& operator=(const UpstreamDuty&) = delete;

  /// \brief Begins to watch deadlines. Before `io` runs, or on its thread.
  void Start();

  /// \brief Carries out an effect. On the duty's thread.
  void Handle(UpstreamEffect&& effect);

  /// \brief Closes everything; attempts in progress are cancelled. On the
  /// duty's thread, or after it ended.
  void Stop();

 private:
  std::unique_ptr<detail::UpstreamServer> server_;
};

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DUTIES_UPSTREAMS_DUTY_H_
