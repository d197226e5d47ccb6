// Converts control state received over a link into events.

#ifndef MIMOSAGAUGE_IMPL_DUTIES_LINKS_GOSSIP_H_
#define MIMOSAGAUGE_IMPL_DUTIES_LINKS_GOSSIP_H_

#include <string>

#include "mimosagauge/impl/decisions/events.h"
#include "mimosagauge/impl/duties/common/mailbox.h"

namespace mimosagauge {

/// \brief Posts received control state as an event. Load digests and messages
/// about allowances are decoded first; an invalid one is logged and dropped.
void PostGossip(Mailbox<Event>& decisions, const InstanceId& from,
                std::string data);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DUTIES_LINKS_GOSSIP_H_
