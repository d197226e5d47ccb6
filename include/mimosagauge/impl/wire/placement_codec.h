// Messages about placement to bytes and back.

#ifndef MIMOSAGAUGE_IMPL_WIRE_PLACEMENT_CODEC_H_
#define MIMOSAGAUGE_IMPL_WIRE_PLACEMENT_CODEC_H_

#include <string>
#include <string_view>

#include "mimosagauge/impl/core/error.h"
#include "mimosagauge/impl/decisions/coordination/messages.h"

namespace mimosagauge {

/// First byte of an encoded message; tells it from other control state.
inline constexpr char kPlacementTag = 'P';

/// \returns The message as control state of a link.
[[nodiscard]] std::string EncodePlacementMessage(
    const PlacementMessage& message);

/// \returns The message, or `kInvalidInput`.
[[nodiscard]] Result<PlacementMessage> DecodePlacementMessage(
    std::string_view bytes);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_WIRE_PLACEMENT_CODEC_H_
