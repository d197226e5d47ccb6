// Rendezvous hashing: instances with the same view choose the same one.

#ifndef MIMOSAGAUGE_IMPL_DECISIONS_RENDEZVOUS_H_
#define MIMOSAGAUGE_IMPL_DECISIONS_RENDEZVOUS_H_

#include <cstdint>
#include <span>
#include <string_view>

#include "mimosagauge/impl/core/ids.h"

namespace mimosagauge {

/// \returns How much the named one is preferred for the subject; the greatest
/// weight wins.
[[nodiscard]] std::uint64_t RendezvousWeight(std::uint64_t subject,
                                             std::string_view name) noexcept;

/// \param subject What an instance is chosen for.
/// \param candidates Any order.
/// \returns The same one on every instance and in every version; empty when
/// there is none.
[[nodiscard]] InstanceId Rendezvous(std::uint64_t subject,
                                    std::span<const InstanceId> candidates);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_RENDEZVOUS_H_
