// Reports about crashes and poison content that instances exchange with their
// load digests.

#ifndef MIMOSAGAUGE_IMPL_DECISIONS_POISON_NEWS_H_
#define MIMOSAGAUGE_IMPL_DECISIONS_POISON_NEWS_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "mimosagauge/impl/core/ids.h"
#include "mimosagauge/impl/core/time.h"

namespace mimosagauge {

/// Identifies content that requests have in common: a prompt part by its id, or
/// a whole request by a hash.
using ContentId = StrongNumber<struct ContentTag>;

/// \brief Content of a request that was cut off by a crash.
struct SuspectContent {
  ContentId id;
  std::uint32_t depth = 0;  ///< Position in the prompt, from 1; zero: it is
                            ///< the whole request.
  bool begun = false;       ///< The request's answer had begun, without a body.

  [[nodiscard]] friend bool operator==(const SuspectContent&,
                                       const SuspectContent&) = default;
};

/// Value of `SuspectContent::depth` for a whole request.
inline constexpr std::uint32_t kWholeRequestDepth = 0;

/// Largest number of suspects of one crash.
inline constexpr std::size_t kMaxSuspectsPerCrash = 64;

/// \brief A crash as one instance saw it.
struct CrashReport {
  UpstreamHash upstream;
  Incarnation incarnation;               ///< Zero: unknown.
  Duration age{};                        ///< Time since the crash.
  std::vector<SuspectContent> suspects;  ///< At most `kMaxSuspectsPerCrash`.
};

/// \brief A sound answer to a request with content that was a suspect.
struct Clearance {
  ContentId id;
  Duration age{};  ///< Time since the answer.
};

/// \brief Content that the sender refuses.
struct PoisonReport {
  ContentId id;
  Duration age{};        ///< Time since its last crash.
  Duration refusal{};    ///< Length of the refusal.
  Duration remaining{};  ///< Time until the refusal ends.
  std::uint32_t crashes = 0;
};

/// \brief What instances tell each other about crashes and poison content.
struct PoisonNews {
  /// Largest number of entries in each list of one message.
  static constexpr std::size_t kMaxEntries = 64;

  std::vector<CrashReport> crashes;
  std::vector<Clearance> clearances;
  std::vector<PoisonReport> poison;

  /// \returns Whether there is nothing to report.
  [[nodiscard]] bool empty() const noexcept {
    return crashes.empty() && clearances.empty() && poison.empty();
  }
};

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_POISON_NEWS_H_
