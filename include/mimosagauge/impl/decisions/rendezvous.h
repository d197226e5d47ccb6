// Rendezvous hashing (highest random weight): instances that have the
// same list of candidates choose the same candidate.

#ifndef MIMOSAGAUGE_IMPL_DECISIONS_RENDEZVOUS_H_
#define MIMOSAGAUGE_IMPL_DECISIONS_RENDEZVOUS_H_

#include <cstdint>
#include <span>
#include <string_view>

#include "mimosagauge/impl/core/ids.h"

namespace mimosagauge {

/// \returns The weight of the candidate with this name for `key`.
/// The candidate with the greatest weight is chosen.
[[nodiscard]] std::uint64_t RendezvousWeight(std::uint64_t key,
                                             std::string_view name) noexcept;

/// \brief Chooses an instance for a key by rendezvous hashing.
/// \param key Key that an instance is chosen for.
/// \param candidates The instances to choose from, in any order.
/// \returns The chosen instance; the same for the same candidates on every
/// instance and in every version of the program. Empty when there are no
/// candidates.
[[nodiscard]] InstanceId ChooseByRendezvous(
    std::uint64_t key, std::span<const InstanceId> candidates);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_RENDEZVOUS_H_
