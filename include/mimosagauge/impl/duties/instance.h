// One running instance: its duties (the components that each run on a thread of
// their own), their threads and the mailboxes between them.

#ifndef MIMOSAGAUGE_IMPL_DUTIES_INSTANCE_H_
#define MIMOSAGAUGE_IMPL_DUTIES_INSTANCE_H_

#include "mimosagauge/impl/core/error.h"
#include "mimosagauge/impl/decisions/config.h"
#include "mimosagauge/impl/duties/callers/dialect.h"
#include "mimosagauge/impl/duties/store/fleet_dialect.h"
#include "mimosagauge/impl/duties/upstreams/dialect.h"
#include "mimosagauge/impl/settings/settings.h"
#include "mimosagauge/impl/store/store_dialect.h"

namespace mimosagauge {

/// \brief Protocols that a deployment uses with its callers, upstreams and
/// store.
struct Dialects {
  const CallerDialect* callers = &DefaultCallerDialect();
  const UpstreamDialect* upstreams = &DefaultUpstreamDialect();
  const StoreDialect* store = &EtcdDialect();
  /// Format of the records in the store besides the gateway's own keys; null
  /// when no such records are read.
  const FleetDialect* fleet = nullptr;
};

/// \returns The part of the settings that the gateway state machine uses.
[[nodiscard]] GatewayConfig MakeGatewayConfig(const Settings& settings);

/// \brief Runs an instance until a signal stops it and the shutdown has ended.
///
/// SIGHUP changes nothing. SIGTERM or SIGINT begins a graceful shutdown; a
/// second one stops the instance at once.
/// \returns Whether all requests in progress finished in time; an error when
/// the instance could not start.
[[nodiscard]] Result<bool> RunInstance(const Settings& settings,
                                       const Dialects& dialects = {});

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DUTIES_INSTANCE_H_
