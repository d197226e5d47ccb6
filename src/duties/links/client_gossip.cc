// Control state that is sent over links which this instance has opened.

#include <utility>

#include "mimosagauge/impl/duties/links/client.h"
#include "mimosagauge/impl/wire/load_codec.h"
#include "mimosagauge/impl/wire/traffic_codec.h"

namespace mimosagauge {

void LinkClient::Handle(SendLoad&& load) {
  Handle(SendGossip{std::move(load.to), EncodeLoadDigest(*load.digest)});
}

void LinkClient::Handle(SendTraffic&& traffic) {
  Handle(SendGossip{std::move(traffic.to),
                    EncodeTrafficMessage(*traffic.message)});
}

void LinkClient::Handle(SendGossip&& gossip) {
  if (!TrySendGossip(gossip.to, std::move(gossip.bytes))) {
    ++counters_.dropped_gossip;
  }
}

bool LinkClient::TrySendGossip(const InstanceId& to, std::string bytes) {
  const auto found = peers_.find(to);
  const bool is_up =
      found != peers_.end() && found->second->state == PeerState::kUp;
  if (is_up) {
    LinkConnection& link = *found->second->connection;
    const bool sent = link.is_open() &&
                      link.queue().size() <= kMaxQueuedBytes &&
                      link.SendControl(GossipMessage{std::move(bytes)});
    return sent;
  }
  if (found != peers_.end() && found->second->state == PeerState::kIdle &&
      !stopped_) {
    Dial(*found->second);
  }
  return false;
}

}  // namespace mimosagauge
