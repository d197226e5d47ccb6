// Messages about allowances to bytes and back.

#ifndef MIMOSAGAUGE_IMPL_WIRE_ALLOWANCE_CODEC_H_
#define MIMOSAGAUGE_IMPL_WIRE_ALLOWANCE_CODEC_H_

#include <string>
#include <string_view>

#include "mimosagauge/impl/core/error.h"
#include "mimosagauge/impl/decisions/allowance/messages.h"

namespace mimosagauge {

/// First byte of an encoded message; tells it from other control state.
inline constexpr char kAllowanceTag = 'A';

/// \returns The message as control state of a link.
[[nodiscard]] std::string EncodeAllowance(const AllowanceMessage& message);

/// \returns The message, or `kInvalidInput` if it cannot be read or contains an
/// amount that is negative or no number.
[[nodiscard]] Result<AllowanceMessage> DecodeAllowance(std::string_view bytes);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_WIRE_ALLOWANCE_CODEC_H_
