// Runs the gateway state machine on its own thread: passes events to it and
// sends the resulting effects to the other duties.

#ifndef MIMOSAGAUGE_IMPL_DUTIES_DECISIONS_DUTY_H_
#define MIMOSAGAUGE_IMPL_DUTIES_DECISIONS_DUTY_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

#include "mimosagauge/impl/decisions/gateway.h"
#include "mimosagauge/impl/duties/common/mailbox.h"

namespace mimosagauge {

/// \brief Destinations of the effects that the gateway state machine returns.
struct DecisionOutputs {
  Mailbox<CallerEffect>& callers;
  Mailbox<UpstreamEffect>& upstreams;
  Mailbox<LinkEffect>& links;
  Mailbox<StoreEffect>& platform;
  Mailbox<PublishView>& operators;
  /// Called when this instance starts to leave; safe on any thread.
  std::function<void()> begin_leaving;
  /// Called when no new callers are to be accepted; safe on any thread.
  std::function<void()> stop_accepting;
  /// Called when the drain has ended, with whether all requests finished within
  /// the deadline; safe on any thread.
  std::function<void(bool in_time)> on_finished;
};

/// \brief Runs the gateway state machine on the thread of its event loop.
class DecisionsDuty {
 public:
  DecisionsDuty(boost::asio::io_context& io, Gateway gateway,
                DecisionOutputs outputs);

  /// \brief Starts the periodic ticks. Call this before the thread runs.
  void Start();
  /// \brief Stops the ticks. Call this on the duty's thread.
  void Stop();
  /// \brief Passes one event to the state machine and carries out its effects.
  /// Call this on the duty's thread.
  void Deliver(Event&& event);

 private:
  void ScheduleTick();
  void Execute(ForCallers&& effect);
  void Execute(ForUpstreams&& effect);
  void Execute(ForLinks&& effect);
  void Execute(ForPlatform&& effect);
  void Execute(ForOperators&& effect);
  void Execute(WriteLog&& effect);
  void Execute(AnnounceDeparture&& effect);
  void Execute(StopAccepting&& effect);
  void Execute(Finished&& effect);

  boost::asio::steady_timer timer_;
  Gateway gateway_;
  DecisionOutputs outputs_;
  bool stopped_ = false;
};

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DUTIES_DECISIONS_DUTY_H_
