// Messages about the origins of streams to bytes and back.

#ifndef MIMOSAGAUGE_IMPL_WIRE_STREAMS_CODEC_H_
#define MIMOSAGAUGE_IMPL_WIRE_STREAMS_CODEC_H_

#include <string>
#include <string_view>

#include "mimosagauge/impl/core/error.h"
#include "mimosagauge/impl/decisions/streams/stream_origins.h"

namespace mimosagauge {

/// First byte of an encoded message; tells it from other control state.
inline constexpr char kStreamsTag = 'S';

/// \returns The message as control state of a link. Times are rounded down to
/// microseconds.
[[nodiscard]] std::string EncodeStreams(const StreamMessage& message);

/// \returns The message, or `kInvalidInput`.
[[nodiscard]] Result<StreamMessage> DecodeStreams(std::string_view bytes);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_WIRE_STREAMS_CODEC_H_
