// Questions for the newest configuration, and their answers, to bytes and back.

#ifndef MIMOSAGAUGE_IMPL_WIRE_CONFIRMATION_CODEC_H_
#define MIMOSAGAUGE_IMPL_WIRE_CONFIRMATION_CODEC_H_

#include <string>
#include <string_view>

#include "mimosagauge/impl/core/error.h"
#include "mimosagauge/impl/decisions/accounts/confirmation.h"

namespace mimosagauge {

/// First byte of an encoded message; tells it from other control state.
inline constexpr char kConfirmationTag = 'C';

/// \returns The message as control state of a link. An age is rounded up to
/// microseconds, so that it is never understated.
[[nodiscard]] std::string EncodeConfirmation(
    const ConfirmationMessage& message);

/// \returns The message, or `kInvalidInput`.
[[nodiscard]] Result<ConfirmationMessage> DecodeConfirmation(
    std::string_view bytes);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_WIRE_CONFIRMATION_CODEC_H_
