// Parsing and printing of numbers with units.

#include "mimosagauge/impl/core/unit_text.h"

#include <fmt/format.h>

#include <charconv>
#include <cstdint>
#include <limits>
#include <span>

namespace mimosagauge {
namespace {

/// \brief A unit's name and how many of the smallest unit it holds.
struct Unit {
  std::string_view name;
  std::uint64_t factor;
};

// Each list goes from the smallest unit to the largest.
constexpr Unit kTimeUnits[] = {{"us", 1},
                               {"ms", 1'000},
                               {"s", 1'000'000},
                               {"min", 60'000'000},
                               {"h", 3'600'000'000}};
constexpr Unit kSizeUnits[] = {
    {"B", 1}, {"KiB", 1ull << 10}, {"MiB", 1ull << 20}, {"GiB", 1ull << 30}};
constexpr Unit kRateUnits[] = {{"bit/s", 1},
                               {"kbit/s", 1'000},
                               {"Mbit/s", 1'000'000},
                               {"Gbit/s", 1'000'000'000}};

/// Keeps a time in nanoseconds within 64 bits.
constexpr std::uint64_t kMostMicroseconds =
    std::numeric_limits<std::int64_t>::max() / 1'000;

[[nodiscard]] Error InvalidQuantity(std::string_view text, std::string remedy) {
  return Error{ErrorKind::kInvalidInput,
               fmt::format("'{}' is not a whole number with its unit", text),
               std::move(remedy)};
}

[[nodiscard]] Result<std::uint64_t> ParseQuantity(std::string_view text,
                                                  std::span<const Unit> units,
                                                  std::uint64_t most,
                                                  const char* remedy) {
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (parsed.ec != std::errc{}) {
    return InvalidQuantity(text, remedy);
  }
  const auto digits = static_cast<std::size_t>(parsed.ptr - text.data());
  const std::string_view name = text.substr(digits);
  for (const Unit& unit : units) {
    if (unit.name != name) {
      continue;
    }
    if (number > most / unit.factor) {
      return Error{ErrorKind::kInvalidInput,
                   fmt::format("'{}' is too large", text),
                   "write a smaller number"};
    }
    return number * unit.factor;
  }
  return InvalidQuantity(text, remedy);
}

[[nodiscard]] std::string Print(std::uint64_t count,
                                std::span<const Unit> units) {
  const Unit* best = &units.front();
  for (const Unit& unit : units) {
    if (count != 0 && count % unit.factor == 0) {
      best = &unit;
    }
  }
  return fmt::format("{}{}", count / best->factor, best->name);
}

}  // namespace

Result<Duration> ParseDuration(std::string_view text) {
  const auto count =
      ParseQuantity(text, kTimeUnits, kMostMicroseconds,
                    "write a number and us, ms, s, min or h, as in 250ms");
  if (!count) {
    return count.error();
  }
  return Duration{
      std::chrono::microseconds{static_cast<std::int64_t>(count.value())}};
}

Result<Bytes> ParseBytes(std::string_view text) {
  const auto count =
      ParseQuantity(text, kSizeUnits, std::numeric_limits<std::uint64_t>::max(),
                    "write a number and B, KiB, MiB or GiB, as in 16KiB");
  if (!count) {
    return count.error();
  }
  return Bytes{count.value()};
}

Result<BitsPerSecond> ParseBitsPerSecond(std::string_view text) {
  const auto count = ParseQuantity(
      text, kRateUnits, std::numeric_limits<std::uint64_t>::max(),
      "write a number and bit/s, kbit/s, Mbit/s or Gbit/s, as in 140Mbit/s");
  if (!count) {
    return count.error();
  }
  return BitsPerSecond{count.value()};
}

Result<Share> ParseShare(std::string_view text) {
  constexpr double kPercent = 100;
  double number = 0;
  const char* end = text.data() + text.size();
  const auto parsed =
      std::from_chars(text.data(), end, number, std::chars_format::fixed);
  const bool whole =
      parsed.ec == std::errc{} && parsed.ptr + 1 == end && text.back() == '%';
  if (!whole || !(number >= 0 && number <= kPercent)) {
    return Error{ErrorKind::kInvalidInput,
                 fmt::format("'{}' is not a share in percent", text),
                 "write a number from 0 to 100 and %, as in 99.5%"};
  }
  return Share{number / kPercent};
}

std::string ToString(Duration duration) {
  const auto whole =
      std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
  return Print(static_cast<std::uint64_t>(whole), kTimeUnits);
}

std::string ToString(Bytes bytes) { return Print(bytes.count(), kSizeUnits); }

std::string ToString(BitsPerSecond rate) {
  return Print(rate.count(), kRateUnits);
}

}  // namespace mimosagauge
