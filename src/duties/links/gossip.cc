// Distinguishes load digests from other control state by their tag.

#include "mimosagauge/impl/duties/links/gossip.h"

#include <utility>

#include "mimosagauge/impl/duties/common/log.h"
#include "mimosagauge/impl/wire/load_codec.h"
#include "mimosagauge/impl/wire/traffic_codec.h"

namespace mimosagauge {
namespace {

void PostTraffic(Mailbox<Event>& decisions, const InstanceId& from,
                 const std::string& data) {
  Result<TrafficMessage> message = DecodeTrafficMessage(data);
  if (!message) {
    Log(log_events::kLinkInvalidFrames,
        {{"peer", from.value()}, {"error", message.error().message}});
    return;
  }
  decisions.Post(TrafficReceived{from, std::move(message.value())});
}

}  // namespace

void PostGossip(Mailbox<Event>& decisions, const InstanceId& from,
                std::string data) {
  if (!data.empty() && data.front() == kTrafficTag) {
    return PostTraffic(decisions, from, data);
  }
  if (data.empty() || data.front() != kLoadDigestTag) {
    decisions.Post(GossipReceived{from, std::move(data)});
    return;
  }
  Result<LoadDigest> digest = DecodeLoadDigest(data);
  if (!digest) {
    Log(log_events::kLinkInvalidFrames,
        {{"peer", from.value()}, {"error", digest.error().message}});
    return;
  }
  decisions.Post(LoadReceived{from, std::move(digest.value())});
}

}  // namespace mimosagauge
