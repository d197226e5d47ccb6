// Keys and value formats of the entries in a platform's store that this product
// does not write itself, as constants and plain functions.

#ifndef MIMOSAGAUGE_IMPL_DUTIES_STORE_FLEET_DIALECT_H_
#define MIMOSAGAUGE_IMPL_DUTIES_STORE_FLEET_DIALECT_H_

#include <string_view>

#include "mimosagauge/impl/core/error.h"
#include "mimosagauge/impl/decisions/routes.h"
#include "mimosagauge/impl/decisions/upstream_table.h"

namespace mimosagauge {

/// \brief Keys and value formats of the entries that operators and upstreams
/// write.
struct FleetDialect {
  /// Key of the operators' configuration.
  std::string_view configuration_key;
  /// Prefix of the keys of evacuated zones; the zone's name follows it.
  std::string_view evacuations_prefix;
  /// Prefix of the keys of upstreams; the upstream's id follows it.
  std::string_view upstreams_prefix;
  /// \returns The routes in the operators' configuration, or an error when the
  /// value is not valid.
  Result<RouteCatalogue> (*decode_configuration)(std::string_view value);
  /// \param id The upstream's id, taken from the key.
  /// \returns The upstream, or an error when the value is not valid.
  Result<UpstreamRecord> (*decode_upstream)(std::string_view id,
                                            std::string_view value);
};

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DUTIES_STORE_FLEET_DIALECT_H_
