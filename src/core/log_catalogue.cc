// The list of all log events.

#include "mimosagauge/impl/core/log_catalogue.h"

#include <array>

namespace mimosagauge {
namespace {

constexpr std::array kCatalogue{
    log_events::kStarted,         log_events::kDraining,
    log_events::kStopped,         log_events::kDrainTimeout,
    log_events::kListening,       log_events::kRequestRefused,
    log_events::kCallerLeft,      log_events::kCallerStalled,
    log_events::kAnswerBrokenOff, log_events::kAcceptFailed,
    log_events::kFileLimit,       log_events::kAttemptFailed,
    log_events::kUpstreamEjected,
};

}  // namespace

std::span<const LogEvent> LogCatalogue() noexcept { return kCatalogue; }

}  // namespace mimosagauge
