// Distinguishes kinds of control state by their tags.

#include "mimosagauge/impl/duties/links/gossip.h"

#include <utility>

#include "mimosagauge/impl/duties/common/log.h"
#include "mimosagauge/impl/wire/confirmation_codec.h"
#include "mimosagauge/impl/wire/load_codec.h"

namespace mimosagauge {
namespace {

void LogInvalid(const InstanceId& from, const Error& error) {
  Log(log_events::kLinkInvalidFrames,
      {{"peer", from.value()}, {"error", error.message}});
}

void PostConfirmation(Mailbox<Event>& decisions, const InstanceId& from,
                      const std::string& data) {
  Result<ConfirmationMessage> message = DecodeConfirmation(data);
  if (!message) {
    return LogInvalid(from, message.error());
  }
  decisions.Post(ConfirmationReceived{from, message.value()});
}

}  // namespace

void PostGossip(Mailbox<Event>& decisions, const InstanceId& from,
                std::string data) {
  if (!data.empty() && data.front() == kConfirmationTag) {
    return PostConfirmation(decisions, from, data);
  }
  if (data.empty() || data.front() != kLoadDigestTag) {
    decisions.Post(GossipReceived{from, std::move(data)});
    return;
  }
  Result<LoadDigest> digest = DecodeLoadDigest(data);
  if (!digest) {
    return LogInvalid(from, digest.error());
  }
  decisions.Post(LoadReceived{from, std::move(digest.value())});
}

}  // namespace mimosagauge
