// Text form of a hop, and the properties of a request that the rules match on.

#include "mimosagauge/impl/decisions/request.h"

namespace mimosagauge {

std::string ToString(const Place& place) {
  return place.region.value() + "/" + place.name;
}

RequestTraits TraitsOf(const RequestHead& head) {
  return {head.service,     head.model,   head.method,
          head.caller_path, head.account, head.entry_region};
}

}  // namespace mimosagauge
