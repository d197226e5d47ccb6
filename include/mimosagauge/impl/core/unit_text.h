// Times, sizes and rates as operators write them: a number and its unit.

#ifndef MIMOSAGAUGE_IMPL_CORE_UNIT_TEXT_H_
#define MIMOSAGAUGE_IMPL_CORE_UNIT_TEXT_H_

#include <string>
#include <string_view>

#include "mimosagauge/impl/core/error.h"
#include "mimosagauge/impl/core/time.h"
#include "mimosagauge/impl/core/units.h"

namespace mimosagauge {

/// \param text A whole number and `us`, `ms`, `s`, `min` or `h`, as in
/// `250ms`.
/// \returns The time, or `kInvalidInput`; a bare number is refused.
[[nodiscard]] Result<Duration> ParseDuration(std::string_view text);

/// \param text A whole number and `B`, `KiB`, `MiB` or `GiB`, as in `16KiB`.
/// \returns The size, or `kInvalidInput`; a bare number is refused.
[[nodiscard]] Result<Bytes> ParseBytes(std::string_view text);

/// \param text A whole number and `bit/s`, `kbit/s`, `Mbit/s` or `Gbit/s`, as
/// in `140Mbit/s`.
/// \returns The rate, or `kInvalidInput`; a bare number is refused.
[[nodiscard]] Result<BitsPerSecond> ParseBitsPerSecond(std::string_view text);

/// \param text A decimal number and `%`, as in `99.5%`.
/// \returns The share, or `kInvalidInput`; more than `100%` is refused.
[[nodiscard]] Result<Share> ParseShare(std::string_view text);

/// \returns The time in the largest unit that holds it exactly; parts of a
/// microsecond are cut off.
[[nodiscard]] std::string ToString(Duration duration);

/// \returns The size in the largest unit that holds it exactly.
[[nodiscard]] std::string ToString(Bytes bytes);

/// \returns The rate in the largest unit that holds it exactly.
[[nodiscard]] std::string ToString(BitsPerSecond rate);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_CORE_UNIT_TEXT_H_
