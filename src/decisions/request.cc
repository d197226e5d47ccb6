// Texts of places.

#include "mimosagauge/impl/decisions/request.h"

namespace mimosagauge {

std::string ToString(const Place& place) {
  return place.region.value() + "/" + place.name;
}

}  // namespace mimosagauge
