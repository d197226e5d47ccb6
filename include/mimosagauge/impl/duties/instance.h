// One running instance: its duties, their threads and the rings between them.

#ifndef MIMOSAGAUGE_IMPL_DUTIES_INSTANCE_H_
#define MIMOSAGAUGE_IMPL_DUTIES_INSTANCE_H_

#include "mimosagauge/impl/core/error.h"
#include "mimosagauge/impl/decisions/config.h"
#include "mimosagauge/impl/settings/settings.h"

namespace mimosagauge {

/// \returns The part of the settings that the decisions are told.
[[nodiscard]] GatewayConfig ConfigOf(const Settings& settings);

/// \brief Runs an instance until it is told to stop and has finished.
///
/// SIGTERM or SIGINT begins a graceful shutdown; a second one ends at once.
/// \returns Whether everything in progress was finished; an error when the
/// instance could not start.
[[nodiscard]] Result<bool> RunInstance(const Settings& settings);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DUTIES_INSTANCE_H_
