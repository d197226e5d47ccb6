// The list of all log events.

#include "mimosagauge/impl/core/log_catalogue.h"

#include <array>

namespace mimosagauge {
namespace {

// One a line, so that the parts of the product can add theirs side by side.
// clang-format off
constexpr std::array kCatalogue{
    log_events::kStarted,
    log_events::kDraining,
    log_events::kStopped,
    log_events::kDrainTimeout,
    log_events::kUpstreamEjected,
    log_events::kPoisonFound,
    log_events::kUpstreamCrashed,
    log_events::kRequestAnswered,
    log_events::kRequestNotServed,
    log_events::kRequestAbandoned,
    log_events::kRequestTriedAgain,
    log_events::kHedgeStarted,
    log_events::kHedgeSettled,
    log_events::kHedgeOtherFailed,
    log_events::kConfigurationAdopted,
    log_events::kUpstreamLearned,
    log_events::kUpstreamLimit,
    log_events::kStopRepeated,
    log_events::kUpstreamCold,
    log_events::kSourceChanged,
    log_events::kUpstreamLeaving,
    log_events::kUpstreamPaused,
    log_events::kPauseIgnored,
    log_events::kStreamOriginUnknown,
    log_events::kStreamOriginConcluded,
    log_events::kSoftwareUnheard,
    log_events::kUpstreamGone,
    log_events::kZoneEvacuated,
    log_events::kCoordinatorSilent,
    log_events::kCoordinatorBack,
    log_events::kCoordinatorChanged,
    log_events::kKeysRefused,
    log_events::kKeysAccepted,
    log_events::kAccountRefusals,
    log_events::kOutsideHomes,
    log_events::kLendingBegan,
    log_events::kLendingEnded,
    log_events::kLenderMissing,
    log_events::kInstanceLearned,
    log_events::kInstanceGone,
    log_events::kRegistered,
    log_events::kRegistrationLost,
    log_events::kSettingsKept,
    log_events::kLogLinesLost,
    log_events::kStoreEntryIgnored,
    log_events::kStoreReread,
    log_events::kStoreRestored,
    log_events::kListening,
    log_events::kRequestRefused,
    log_events::kCallerLeft,
    log_events::kCallerStalled,
    log_events::kAnswerBrokenOff,
    log_events::kAcceptFailed,
    log_events::kFileLimit,
    log_events::kAttemptFailed,
    log_events::kLinkListening,
    log_events::kLinkUp,
    log_events::kLinkLost,
    log_events::kLinkNotUp,
    log_events::kLinkSilent,
    log_events::kLinkNotProved,
    log_events::kLinkNoVersion,
    log_events::kLinkInvalidFrames,
    log_events::kLinkNoGreeting,
    log_events::kLinkRefused,
    log_events::kLinkAcceptFailed,
    log_events::kPeerLeaving,
    log_events::kBrokenAnswer,
    log_events::kLinkPlain,
    log_events::kLinkAccepted,
    log_events::kStoreUnreachable,
    log_events::kStoreReachable,
    log_events::kWatchSilent,
    log_events::kOperatorRefused,
    log_events::kRulesLearned,
    log_events::kRulesDamaged,
    log_events::kRulesRemoved,
    log_events::kRulesOlder,
    log_events::kRulesAccepted,
};
// clang-format on

}  // namespace

std::span<const LogEvent> LogCatalogue() noexcept { return kCatalogue; }

}  // namespace mimosagauge
