// Messages about placement as control state of the dialing side of links.

#include <utility>

#include "mimosagauge/impl/duties/links/client.h"
#include "mimosagauge/impl/wire/placement_codec.h"

namespace mimosagauge {

void LinkClient::Handle(SendPlacement&& placement) {
  Handle(SendGossip{std::move(placement.to),
                    EncodePlacementMessage(placement.message)});
}

}  // namespace mimosagauge
