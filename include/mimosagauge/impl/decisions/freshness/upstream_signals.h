// What an upstream states about itself in its responses, as typed fields.

#ifndef MIMOSAGAUGE_IMPL_DECISIONS_FRESHNESS_UPSTREAM_SIGNALS_H_
#define MIMOSAGAUGE_IMPL_DECISIONS_FRESHNESS_UPSTREAM_SIGNALS_H_

#include <optional>

#include "mimosagauge/impl/core/endpoint.h"
#include "mimosagauge/impl/core/ids.h"
#include "mimosagauge/impl/core/time.h"

namespace mimosagauge {

/// \brief Identifies one start of an upstream's process. What the process
/// states about itself is not valid for its successor.
struct UpstreamStart {
  Incarnation incarnation;  ///< Zero: unknown.
  Endpoint endpoint;        ///< Empty address: unknown.

  [[nodiscard]] friend bool operator==(const UpstreamStart&,
                                       const UpstreamStart&) = default;
};

/// \brief Statements in one response of an upstream.
struct UpstreamSignals {
  /// The upstream is being shut down.
  bool leaving = false;
  /// Time for which the upstream wants no requests, from a 503 response; empty:
  /// none was stated, or the value was invalid.
  std::optional<Duration> pause;
  /// A 503 response stated a time that is not a single decimal number of
  /// seconds within the limits.
  bool has_invalid_pause = false;
  /// Time for which the upstream is still cold; empty: not stated, and zero
  /// means that it is not cold.
  std::optional<Duration> cold;
};

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_FRESHNESS_UPSTREAM_SIGNALS_H_
