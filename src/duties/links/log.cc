// Log entries about closed links.

#include "mimosagauge/impl/duties/links/log.h"

#include "mimosagauge/impl/duties/common/log.h"

namespace mimosagauge {
namespace {

[[nodiscard]] const LogEvent& LogEventFor(LinkCloseReason reason) {
  switch (reason) {
    case LinkCloseReason::kSilenceTimeout:
      return log_events::kLinkSilent;
    case LinkCloseReason::kGreetingTimeout:
      return log_events::kLinkNoGreeting;
    case LinkCloseReason::kNotAuthenticated:
      return log_events::kLinkNotProved;
    case LinkCloseReason::kNoCommonVersion:
      return log_events::kLinkNoVersion;
    case LinkCloseReason::kInvalidFrames:
      return log_events::kLinkInvalidFrames;
    case LinkCloseReason::kClosedLocally:
    case LinkCloseReason::kConnectionLost:
      break;
  }
  return log_events::kLinkLost;
}

}  // namespace

void LogLinkClosed(LinkCloseReason reason, const std::string& peer,
                   const Error& error) {
  if (reason != LinkCloseReason::kClosedLocally) {
    Log(LogEventFor(reason), {{"peer", peer}, {"error", ToString(error)}});
  }
}

}  // namespace mimosagauge
