// The public interface of the caller duty, which forwards to `CallerServer`.

#include "mimosagauge/impl/duties/callers/duty.h"

#include <utility>

#include "mimosagauge/impl/duties/callers/server.h"

namespace mimosagauge {

CallerDuty::CallerDuty(boost::asio::io_context& io, const Settings& settings,
                       Mailbox<Event>& decisions, const CallerDialect& dialect)
    : server_(std::make_unique<detail::CallerServer>(io, settings, decisions,
                                                     dialect)) {}

CallerDuty::~CallerDuty() = default;

Result<void> CallerDuty::Start() { return server_->Listen(); }

std::uint16_t CallerDuty::port() const noexcept { return server_->port(); }

void CallerDuty::Handle(CallerEffect&& effect) {
  server_->Handle(std::move(effect));
}

void CallerDuty::StopAccepting() { server_->StopAccepting(); }

void CallerDuty::Stop() { server_->Stop(); }

}  // namespace mimosagauge
