// What the rules say about one request.

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
  ServiceId service;   ///< Empty until a rule or the path names one.
  ModelId model;       ///< Empty for plain services.
  std::string method;  ///< In upper case.
  std::string path;    ///< Without query; starts with a slash.
  AccountId account;
  RegionId entry_region;  ///< Where the caller's request entered the system.
};

/// \brief What the rules say about one request.
struct Verdict {
  ServiceId service;  ///< Where it goes; empty when no rule says.
  /// Regions it may be served in; empty optional: any. Never an empty list.
  std::optional<std::vector<RegionId>> regions;
  std::uint8_t priority = kDefaultPriority;  ///< Smaller comes first.
  bool idempotent = false;                   ///< It may be run again.
  std::optional<Duration> due;               ///< Time from entry to answer.
  std::vector<std::uint32_t> lines;          ///< The lines that decided.
  /// Upstreams that may be given one request; zero: as the settings say.
  std::size_t attempts = 0;
  bool resumable = true;  ///< An idempotent stream may go on elsewhere.
  Duration objective{};   ///< Latency wanted; zero: none was named.

  static constexpr std::uint8_t kDefaultPriority = 5;
  static constexpr std::uint8_t kLastPriority = 9;
};

/// \returns Whether `verdict` lets the request be served in `region`.
[[nodiscard]] bool AllowsRegion(const Verdict& verdict,
                                const RegionId& region) noexcept;

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_RULES_VERDICT_H_
