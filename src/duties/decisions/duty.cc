// Passes events to the gateway state machine and carries out its effects.

#include "mimosagauge/impl/duties/decisions/duty.h"

#include <utility>
#include <variant>

#include "mimosagauge/impl/duties/common/log.h"
#include "mimosagauge/impl/duties/common/monotonic_clock.h"

namespace mimosagauge {
namespace {

constexpr std::chrono::milliseconds kTickInterval{10};

}  // namespace

DecisionsDuty::DecisionsDuty(boost::asio::io_context& io, Gateway gateway,
                             DecisionOutputs outputs)
    : timer_(io), gateway_(std::move(gateway)), outputs_(std::move(outputs)) {}

void DecisionsDuty::Start() { ScheduleTick(); }

void DecisionsDuty::Stop() {
  stopped_ = true;
  timer_.cancel();
}

void DecisionsDuty::Deliver(Event&& event) {
  for (Effect& effect : Step(gateway_, MonotonicNow(), std::move(event))) {
    std::visit(
        [this](auto&& typed) { Execute(std::forward<decltype(typed)>(typed)); },
        std::move(effect));
  }
}

void DecisionsDuty::ScheduleTick() {
  timer_.expires_after(kTickInterval);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (error || stopped_) {
      return;
    }
    Deliver(Tick{});
    ScheduleTick();
  });
}

void DecisionsDuty::Execute(ForCallers&& effect) {
  outputs_.callers.Post(std::move(effect.effect));
}

void DecisionsDuty::Execute(ForUpstreams&& effect) {
  outputs_.upstreams.Post(std::move(effect.effect));
}

void DecisionsDuty::Execute(ForLinks&& effect) {
  outputs_.links.Post(std::move(effect.effect));
}

void DecisionsDuty::Execute(ForPlatform&& effect) {
  outputs_.platform.Post(std::move(effect.effect));
}

void DecisionsDuty::Execute(ForOperators&& effect) {
  outputs_.operators.Post(std::move(effect.effect));
}

void DecisionsDuty::Execute(WriteLog&& effect) {
  LogWithFields(effect.event, effect.fields);
}

void DecisionsDuty::Execute(AnnounceDeparture&&) { outputs_.begin_leaving(); }

void DecisionsDuty::Execute(StopAccepting&&) { outputs_.stop_accepting(); }

void DecisionsDuty::Execute(Finished&& effect) {
  outputs_.on_finished(effect.in_time);
}

}  // namespace mimosagauge
