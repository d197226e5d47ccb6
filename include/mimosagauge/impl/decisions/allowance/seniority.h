// Selection of the lender of a region: the instance with the oldest
// registration in the store, while its lease is certainly valid.

#ifndef MIMOSAGAUGE_IMPL_DECISIONS_ALLOWANCE_SENIORITY_H_
#define MIMOSAGAUGE_IMPL_DECISIONS_ALLOWANCE_SENIORITY_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "mimosagauge/impl/core/ids.h"
#include "mimosagauge/impl/core/time.h"

namespace mimosagauge {

/// \brief The registration of an instance in the store.
struct Registration {
  InstanceId id;
  RegionId region;
  /// Revision of the store that created the entry; zero: not known, counted as
  /// older than all others.
  std::uint64_t created = 0;
  /// Revision of the last write of the entry.
  std::uint64_t modified = 0;
};

/// \brief All registrations, as of one revision of the store.
struct RegistrationTable {
  std::vector<Registration> list;
  std::uint64_t revision = 0;
  /// Lease of the entry of this instance; zero: there is none.
  std::uint64_t own_entry_lease = 0;
};

/// \brief The part of a region that an instance may play for allowances.
struct LenderTenure {
  /// Since when this instance lends; empty: it does not.
  std::optional<TimePoint> since;
};

/// \brief What decides whether this instance lends.
struct SeniorityFacts {
  RegistrationTable registrations;
  std::uint64_t lease = 0;  ///< Lease that this process holds; zero: none.
  /// End of that lease, counted from when its last successful renewal was sent.
  TimePoint lease_end{};
  /// A planned stop has begun, after which the registration is revoked.
  bool leaving = false;
};

/// \returns Until when this instance is certainly the only lender of its
/// region; empty: it is not.
///
/// The entry of this instance must be one that this process created under the
/// lease that it holds now. An entry of an earlier process that this one wrote
/// over keeps its creation revision, and the earlier process may act on it
/// until its lease has ended. An entry of an earlier lease may have been
/// removed. \param session Lifetime of a lease; a part of it is the margin.
[[nodiscard]] std::optional<TimePoint> LendsUntil(const SeniorityFacts& facts,
                                                  const InstanceId& self,
                                                  Duration session);

/// \brief Updates `tenure` with whether this instance lends at `now`.
/// \returns Whether that changed.
bool UpdateTenure(LenderTenure& tenure, std::optional<TimePoint> lends_until,
                  TimePoint now);

/// \returns The instance with the oldest registration of each region, in the
/// order in which this instance asks them: its own region first.
[[nodiscard]] std::vector<InstanceId> LenderCandidates(
    const RegistrationTable& registrations, const RegionId& own_region);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_ALLOWANCE_SENIORITY_H_
