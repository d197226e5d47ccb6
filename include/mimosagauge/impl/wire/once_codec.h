// Bytes of claims and hand-overs. Decoding checks them whole.

#ifndef MIMOSAGAUGE_IMPL_WIRE_ONCE_CODEC_H_
#define MIMOSAGAUGE_IMPL_WIRE_ONCE_CODEC_H_

#include <string>
#include <string_view>

#include "mimosagauge/impl/core/error.h"
#include "mimosagauge/impl/decisions/once/claim.h"
#include "mimosagauge/impl/decisions/once/handover.h"

namespace mimosagauge {

/// \returns The value of a slot as the store holds it.
[[nodiscard]] std::string EncodeSlot(const SlotValue& value);
/// \returns `kInvalidInput` when the bytes do not hold; the slot must then not
/// be written over.
[[nodiscard]] Result<SlotValue> DecodeSlot(std::string_view bytes);

[[nodiscard]] std::string EncodeClaim(const ClaimBinding& binding);
[[nodiscard]] Result<ClaimBinding> DecodeClaim(std::string_view bytes);

[[nodiscard]] std::string EncodeHandover(const HandoverChunk& chunk);
[[nodiscard]] Result<HandoverChunk> DecodeHandover(std::string_view bytes);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_WIRE_ONCE_CODEC_H_
