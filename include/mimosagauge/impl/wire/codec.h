// Messages to frames and back.

#ifndef MIMOSAGAUGE_IMPL_WIRE_CODEC_H_
#define MIMOSAGAUGE_IMPL_WIRE_CODEC_H_

#include <cstdint>
#include <optional>
#include <string>

#include "mimosagauge/impl/core/error.h"
#include "mimosagauge/impl/wire/frame.h"
#include "mimosagauge/impl/wire/messages.h"

namespace mimosagauge {

/// \brief Encodes a message as one frame.
/// \param version The version agreed on the link. What it does not know is
/// left out; a Hello is the same in every version.
[[nodiscard]] std::string EncodeMessage(const Message& message,
                                        std::uint8_t version);

/// \returns Whether the payload of an encoded frame is within its bound; one
/// that is not must not be sent.
[[nodiscard]] bool FitsFrame(const std::string& encoded) noexcept;

/// \brief Checks a frame whole and decodes it.
/// \returns The message; nothing for a type that this program does not know;
/// `kInvalidInput` when the payload does not hold.
[[nodiscard]] Result<std::optional<Message>> DecodeMessage(const Frame& frame);

/// \returns The highest version that both sides speak, or nothing.
[[nodiscard]] std::optional<std::uint8_t> CommonVersion(
    const HelloMessage& ours, const HelloMessage& theirs) noexcept;

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_WIRE_CODEC_H_
