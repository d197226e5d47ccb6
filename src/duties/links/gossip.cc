// Distinguishes the kinds of control state by their tags.

#include "mimosagauge/impl/duties/links/gossip.h"

#include <utility>

#include "mimosagauge/impl/duties/common/log.h"
#include "mimosagauge/impl/wire/allowance_codec.h"
#include "mimosagauge/impl/wire/confirmation_codec.h"
#include "mimosagauge/impl/wire/load_codec.h"
#include "mimosagauge/impl/wire/placement_codec.h"
#include "mimosagauge/impl/wire/streams_codec.h"
#include "mimosagauge/impl/wire/traffic_codec.h"

namespace mimosagauge {
namespace {

// Posts a decoded message as an event, or logs that it is not valid.
template <typename ReceivedEvent, typename Message>
void PostDecoded(Mailbox<Event>& decisions, const InstanceId& from,
                 Result<Message> message) {
  if (!message) {
    Log(log_events::kLinkInvalidFrames,
        {{"peer", from.value()}, {"error", message.error().message}});
    return;
  }
  decisions.Post(ReceivedEvent{from, std::move(message.value())});
}

}  // namespace

void PostGossip(Mailbox<Event>& decisions, const InstanceId& from,
                std::string data) {
  switch (data.empty() ? '\0' : data.front()) {
    case kLoadDigestTag:
      return PostDecoded<LoadReceived>(decisions, from, DecodeLoadDigest(data));
    case kPlacementTag:
      return PostDecoded<PlacementReceived>(decisions, from,
                                            DecodePlacementMessage(data));
    case kAllowanceTag:
      return PostDecoded<AllowanceReceived>(decisions, from,
                                            DecodeAllowance(data));
    case kConfirmationTag:
      return PostDecoded<ConfirmationReceived>(decisions, from,
                                               DecodeConfirmation(data));
    case kStreamsTag:
      return PostDecoded<StreamsReceived>(decisions, from, DecodeStreams(data));
    case kTrafficTag:
      return PostDecoded<TrafficReceived>(decisions, from,
                                          DecodeTrafficMessage(data));
    default:
      decisions.Post(GossipReceived{from, std::move(data)});
  }
}

}  // namespace mimosagauge
