// Selection of the lender of a region by the age of registrations.

#include "mimosagauge/impl/decisions/allowance/seniority.h"

#include <algorithm>
#include <map>

namespace mimosagauge {
namespace {

// The lease counts as ended this part (1/8) of its lifetime earlier, for clocks
// that do not run at the same speed.
constexpr int kLeaseMarginDivisor = 8;

}  // namespace

// Why two instances of one region never lend at the same time: let X be older
// than Y. Y lends only after it has seen the store at a revision that contains
// Y's entry and not X's. X's entry was then removed earlier, and it cannot come
// back with its old creation revision. X's entry is removed only when X's lease
// has ended or X has left, and X stops before that. A store that is restored
// from an earlier copy may lose X's entry and lease; for one session after that
// the registrations are not posted to Y, and X stops within it.
std::optional<TimePoint> LendsUntil(const SeniorityFacts& facts,
                                    const InstanceId& self, Duration session) {
  const RegistrationTable& table = facts.registrations;
  if (facts.leaving || facts.lease == 0 ||
      facts.lease != table.own_entry_lease) {
    return std::nullopt;
  }
  const auto own = std::find_if(
      table.list.begin(), table.list.end(),
      [&self](const Registration& entry) { return entry.id == self; });
  const bool created_here = own != table.list.end() && own->created != 0 &&
                            own->created == own->modified;
  // Until the table covers the revision of the own entry, an older entry may be
  // missing from it.
  if (!created_here || table.revision < own->modified) {
    return std::nullopt;
  }
  const bool has_older = std::any_of(
      table.list.begin(), table.list.end(), [&own](const Registration& entry) {
        return entry.region == own->region && entry.created < own->created;
      });
  if (has_older) {
    return std::nullopt;
  }
  return facts.lease_end - session / kLeaseMarginDivisor;
}

bool UpdateTenure(LenderTenure& tenure, std::optional<TimePoint> lends_until,
                  TimePoint now) {
  const bool lends = lends_until && now < *lends_until;
  if (lends == tenure.since.has_value()) {
    return false;
  }
  tenure.since = lends ? std::optional(now) : std::nullopt;
  return true;
}

std::vector<InstanceId> LenderCandidates(const RegistrationTable& registrations,
                                         const RegionId& own_region) {
  std::map<RegionId, const Registration*> oldest;
  for (const Registration& entry : registrations.list) {
    const Registration*& known = oldest[entry.region];
    if (known == nullptr || entry.created < known->created) {
      known = &entry;
    }
  }
  std::vector<InstanceId> candidates;
  // Regions after the own one in the order of their names, then those before
  // it, so that not all regions turn to the same one.
  const auto append = [&](auto first, auto last) {
    for (; first != last; ++first) {
      candidates.push_back(first->second->id);
    }
  };
  const auto own = oldest.lower_bound(own_region);
  append(own, oldest.end());
  append(oldest.begin(), own);
  return candidates;
}

}  // namespace mimosagauge
