// The public interface of the upstream duty, which forwards to
// `UpstreamServer`.

#include "mimosagauge/impl/duties/upstreams/duty.h"

#include <utility>

#include "mimosagauge/impl/duties/upstreams/server.h"

namespace mimosagauge {

UpstreamDuty::UpstreamDuty(boost::asio::io_context& io,
                           const Settings& settings, Mailbox<Event>& decisions,
                           const UpstreamDialect& dialect)
    : server_(std::make_unique<detail::UpstreamServer>(io, settings, decisions,
                                                       dialect)) {}

UpstreamDuty::~UpstreamDuty() = default;

void UpstreamDuty::Start() { server_->Start(); }

void UpstreamDuty::Handle(UpstreamEffect&& effect) {
  server_->Handle(std::move(effect));
}

void UpstreamDuty::Stop() { server_->Stop(); }

}  // namespace mimosagauge
