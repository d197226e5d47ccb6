// The thread that runs the decisions: events in, effects out to the duties.

#ifndef MIMOSAGAUGE_IMPL_DUTIES_DECISIONS_DUTY_H_
#define MIMOSAGAUGE_IMPL_DUTIES_DECISIONS_DUTY_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

#include "mimosagauge/impl/decisions/gateway.h"
#include "mimosagauge/impl/duties/common/mailbox.h"

namespace mimosagauge {

/// \brief Where the decisions' effects go.
struct DecisionOutputs {
  Mailbox<CallerEffect>& callers;
  Mailbox<UpstreamEffect>& upstreams;
  Mailbox<LinkEffect>& links;
  Mailbox<StoreEffect>& platform;
  Mailbox<PublishView>& operators;
  std::function<void()> begin_leaving;         ///< Any thread.
  std::function<void()> stop_accepting;        ///< Any thread.
  std::function<void(bool in_time)> finished;  ///< Any thread.
};

/// \brief Runs the gateway state machine on its own thread.
class DecisionsDuty {
 public:
  DecisionsDuty(boost::asio::io_context& io, Gateway gateway,
                DecisionOutputs outputs);

  /// \brief Starts the ticks. Before the thread runs.
  void Start();
  /// \brief Ends the ticks. On the duty's thread.
  void Stop();
  /// \brief Learns one event. On the duty's thread.
  void Deliver(Event&& event);

 private:
  void ScheduleTick();
  void Carry(ForCallers&& effect);
  void Carry(ForUpstreams&& effect);
  void Carry(ForLinks&& effect);
  void Carry(ForPlatform&& effect);
  void Carry(ForOperators&& effect);
  void Carry(WriteLog&& effect);
  void Carry(BeginLeaving&& effect);
  void Carry(StopAccepting&& effect);
  void Carry(Finished&& effect);

  boost::asio::steady_timer timer_;
  Gateway gateway_;
  DecisionOutputs outputs_;
  bool stopped_ = false;
};

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DUTIES_DECISIONS_DUTY_H_
