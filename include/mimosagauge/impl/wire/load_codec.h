// Load digests to bytes and back.

#ifndef MIMOSAGAUGE_IMPL_WIRE_LOAD_CODEC_H_
#define MIMOSAGAUGE_IMPL_WIRE_LOAD_CODEC_H_

#include <string>
#include <string_view>

#include "mimosagauge/impl/core/error.h"
#include "mimosagauge/impl/decisions/load_digest.h"

namespace mimosagauge {

/// First byte of an encoded digest; tells it from other control state.
inline constexpr char kLoadDigestTag = 'L';

/// \returns The digest as control state of a link.
[[nodiscard]] std::string EncodeLoadDigest(const LoadDigest& digest);

/// \returns The digest, or `kInvalidInput`.
[[nodiscard]] Result<LoadDigest> DecodeLoadDigest(std::string_view bytes);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_WIRE_LOAD_CODEC_H_
