// What stands in a platform's store beside our own keys, as plain functions:
// where it stands and how it is read.

#ifndef MIMOSAGAUGE_IMPL_DUTIES_STORE_FLEET_DIALECT_H_
#define MIMOSAGAUGE_IMPL_DUTIES_STORE_FLEET_DIALECT_H_

#include <string_view>

#include "mimosagauge/impl/core/error.h"
#include "mimosagauge/impl/decisions/routes.h"
#include "mimosagauge/impl/decisions/upstream_table.h"

namespace mimosagauge {

/// \brief Keys and formats of what operators and upstreams write.
struct FleetDialect {
  std::string_view configuration_key;   ///< Of the operators' configuration.
  std::string_view evacuations_prefix;  ///< A zone's name follows.
  std::string_view upstreams_prefix;    ///< An upstream's id follows.
  Result<RouteCatalogue> (*decode_configuration)(std::string_view value);
  /// \param id From the key.
  Result<UpstreamRecord> (*decode_upstream)(std::string_view id,
                                            std::string_view value);
};

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DUTIES_STORE_FLEET_DIALECT_H_
