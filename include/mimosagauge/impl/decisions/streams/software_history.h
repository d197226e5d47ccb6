// Which software versions the upstreams of each service run and have run
// lately, in all regions.

#ifndef MIMOSAGAUGE_IMPL_DECISIONS_STREAMS_SOFTWARE_HISTORY_H_
#define MIMOSAGAUGE_IMPL_DECISIONS_STREAMS_SOFTWARE_HISTORY_H_

#include <optional>
#include <unordered_map>
#include <vector>

#include "mimosagauge/impl/core/ids.h"
#include "mimosagauge/impl/core/time.h"

namespace mimosagauge {

/// \brief The versions of running upstreams, and of those that have gone.
struct SoftwareHistory {
  struct Running {
    ServiceId service;
    SoftwareVersion software;
  };
  struct Gone {
    SoftwareVersion software;
    TimePoint at;  ///< When it was last known to run.
  };
  std::unordered_map<UpstreamId, Running> running;
  /// By service; each version at most once.
  std::unordered_map<ServiceId, std::vector<Gone>> gone;
  /// All versions that ran from this time on are known; empty: the store has
  /// not been read yet. Later than now for a while after it was read, when
  /// entries may still return that had lapsed.
  std::optional<TimePoint> complete_since;
};

/// \brief Records that the store was read as a whole: versions that ran before
/// and have gone are not known.
void RecordFullRead(SoftwareHistory& history, TimePoint now);

/// \brief Records that an upstream of the service runs this version.
void RecordSoftware(SoftwareHistory& history, const UpstreamId& upstream,
                    const ServiceId& service, const SoftwareVersion& software,
                    TimePoint now);

/// \brief Records that an upstream does not run any more.
void RemoveSoftware(SoftwareHistory& history, const UpstreamId& upstream,
                    TimePoint now);

/// \returns Whether an upstream of the service states which version it runs.
/// Without that, streams cannot be bound to a version.
[[nodiscard]] bool StatesSoftware(const SoftwareHistory& history,
                                  const ServiceId& service);

/// \returns Whether all running upstreams of the service run this version, and
/// at least one does.
[[nodiscard]] bool RunsOnly(const SoftwareHistory& history,
                            const ServiceId& service,
                            const SoftwareVersion& software);

/// \returns Whether an upstream of the service runs this version, or is known
/// to have run it.
[[nodiscard]] bool HasRun(const SoftwareHistory& history,
                          const ServiceId& service,
                          const SoftwareVersion& software);

/// \returns The only version that upstreams of the service have run within
/// `period`; empty if there were several or none, or if the history does not
/// cover that time. It says nothing of changes of the store that have not been
/// received yet.
[[nodiscard]] std::optional<SoftwareVersion> SoleSoftware(
    const SoftwareHistory& history, const ServiceId& service, Duration period,
    TimePoint now);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_STREAMS_SOFTWARE_HISTORY_H_
