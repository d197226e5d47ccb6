// The result of applying the rules to a request.

#ifndef MIMOSAGAUGE_IMPL_RULES_VERDICT_H_
#define MIMOSAGAUGE_IMPL_RULES_VERDICT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "mimosagauge/impl/core/ids.h"
#include "mimosagauge/impl/core/time.h"

namespace mimosagauge {

/// \brief The properties of a request that rules match on.
struct RequestTraits {
  ServiceId service;   ///< Empty until a rule or the path names a service.
  ModelId model;       ///< Empty for services without models.
  std::string method;  ///< In upper case.
  std::string path;    ///< Without the query string; starts with a slash.
  AccountId account;
  /// The region in which the caller's request entered the system.
  RegionId entry_region;
};

/// \brief How a request is to be handled.
struct Verdict {
  ServiceId service;  ///< The service to route to; empty when none is named.
  /// Regions in which the request may be served; without a value, any region.
  /// An empty list: no region may serve it.
  std::optional<std::vector<RegionId>> regions;
  /// A smaller number is served first.
  std::uint8_t priority = kDefaultPriority;
  bool idempotent = false;  ///< Whether the request may be run more than once.
  std::optional<Duration> due;  ///< Maximum time from entry to answer.
  /// The lines of the rules that were applied.
  std::vector<std::uint32_t> lines;
  /// Maximum number of upstreams that the request is sent to; zero: the limit
  /// in the settings applies.
  std::size_t attempts = 0;
  /// Whether an idempotent stream may be continued by another upstream.
  bool resumable = true;
  Duration objective{};  ///< Latency objective; zero when there is none.

  static constexpr std::uint8_t kDefaultPriority = 5;
  static constexpr std::uint8_t kLowestPriority = 9;
};

/// \returns Whether the request may be served in `region`.
[[nodiscard]] bool AllowsRegion(const Verdict& verdict,
                                const RegionId& region) noexcept;

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_RULES_VERDICT_H_
