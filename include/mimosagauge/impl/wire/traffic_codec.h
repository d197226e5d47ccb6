// Messages about the traffic between regions to bytes and back.

#ifndef MIMOSAGAUGE_IMPL_WIRE_TRAFFIC_CODEC_H_
#define MIMOSAGAUGE_IMPL_WIRE_TRAFFIC_CODEC_H_

#include <string>
#include <string_view>

#include "mimosagauge/impl/core/error.h"
#include "mimosagauge/impl/decisions/traffic_plan/region_reports.h"

namespace mimosagauge {

/// First byte of an encoded message; distinguishes it from other control state.
inline constexpr char kTrafficTag = 'T';

/// \returns The message as control state of a link.
[[nodiscard]] std::string EncodeTrafficMessage(const TrafficMessage& message);

/// \returns The message, or `kInvalidInput`.
[[nodiscard]] Result<TrafficMessage> DecodeTrafficMessage(
    std::string_view bytes);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_WIRE_TRAFFIC_CODEC_H_
