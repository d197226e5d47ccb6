// Distinguishes load digests and messages about placement from other control
// state by their tags.

#include "mimosagauge/impl/duties/links/gossip.h"

#include <utility>

#include "mimosagauge/impl/duties/common/log.h"
#include "mimosagauge/impl/wire/load_codec.h"
#include "mimosagauge/impl/wire/placement_codec.h"

namespace mimosagauge {
namespace {

void LogInvalid(const InstanceId& from, const Error& error) {
  Log(log_events::kLinkInvalidFrames,
      {{"peer", from.value()}, {"error", error.message}});
}

}  // namespace

void PostGossip(Mailbox<Event>& decisions, const InstanceId& from,
                std::string data) {
  const char tag = data.empty() ? '\0' : data.front();
  if (tag == kLoadDigestTag) {
    Result<LoadDigest> digest = DecodeLoadDigest(data);
    digest ? decisions.Post(LoadReceived{from, std::move(digest.value())})
           : LogInvalid(from, digest.error());
    return;
  }
  if (tag == kPlacementTag) {
    Result<PlacementMessage> message = DecodePlacementMessage(data);
    message
        ? decisions.Post(PlacementReceived{from, std::move(message.value())})
        : LogInvalid(from, message.error());
    return;
  }
  decisions.Post(GossipReceived{from, std::move(data)});
}

}  // namespace mimosagauge
