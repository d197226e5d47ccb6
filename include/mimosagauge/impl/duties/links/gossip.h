// Control state that came over a link, as the event it stands for.

#ifndef MIMOSAGAUGE_IMPL_DUTIES_LINKS_GOSSIP_H_
#define MIMOSAGAUGE_IMPL_DUTIES_LINKS_GOSSIP_H_

#include <string>

#include "mimosagauge/impl/decisions/events.h"
#include "mimosagauge/impl/duties/common/mailbox.h"

namespace mimosagauge {

/// \brief Hands control state to the decisions; a load digest decoded.
void PostGossip(Mailbox<Event>& decisions, const InstanceId& from,
                std::string data);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DUTIES_LINKS_GOSSIP_H_
