// Log entries about the ends of links.

#include "mimosagauge/impl/duties/links/log.h"

#include "mimosagauge/impl/duties/common/log.h"

namespace mimosagauge {
namespace {

[[nodiscard]] const LogEvent& EventOf(LinkEnd why) {
  switch (why) {
    case LinkEnd::kSilent:
      return log_events::kLinkSilent;
    case LinkEnd::kNoGreeting:
      return log_events::kLinkNoGreeting;
    case LinkEnd::kNotProved:
      return log_events::kLinkNotProved;
    case LinkEnd::kNoVersion:
      return log_events::kLinkNoVersion;
    case LinkEnd::kInvalidFrames:
      return log_events::kLinkInvalidFrames;
    case LinkEnd::kStopped:
    case LinkEnd::kLost:
      break;
  }
  return log_events::kLinkLost;
}

}  // namespace

void LogLinkEnd(LinkEnd why, const std::string& peer, const Error& error) {
  if (why != LinkEnd::kStopped) {
    Log(EventOf(why), {{"peer", peer}, {"error", ToString(error)}});
  }
}

}  // namespace mimosagauge
