// Distinguishes load digests and messages about allowances from other control
// state by their tag.

#include "mimosagauge/impl/duties/links/gossip.h"

#include <utility>

#include "mimosagauge/impl/duties/common/log.h"
#include "mimosagauge/impl/wire/allowance_codec.h"
#include "mimosagauge/impl/wire/load_codec.h"

namespace mimosagauge {
namespace {

void PostAllowance(Mailbox<Event>& decisions, const InstanceId& from,
                   const std::string& data) {
  Result<AllowanceMessage> message = DecodeAllowance(data);
  if (!message) {
    return Log(log_events::kLinkInvalidFrames,
               {{"peer", from.value()}, {"error", message.error().message}});
  }
  decisions.Post(AllowanceReceived{from, std::move(message.value())});
}

}  // namespace

void PostGossip(Mailbox<Event>& decisions, const InstanceId& from,
                std::string data) {
  if (!data.empty() && data.front() == kAllowanceTag) {
    return PostAllowance(decisions, from, data);
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
