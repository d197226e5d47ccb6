// Strong types for sizes and rates.

#ifndef MIMOSAGAUGE_IMPL_CORE_UNITS_H_
#define MIMOSAGAUGE_IMPL_CORE_UNITS_H_

#include <compare>
#include <cstdint>

namespace mimosagauge {

/// \brief A quantity in one unit; `Tag` names the unit.
template <typename Tag>
class Quantity {
 public:
  constexpr Quantity() noexcept = default;
  constexpr explicit Quantity(std::uint64_t count) noexcept : count_(count) {}

  /// \returns The number of units.
  [[nodiscard]] constexpr std::uint64_t count() const noexcept {
    return count_;
  }

  constexpr Quantity& operator+=(Quantity other) noexcept {
    count_ += other.count_;
    return *this;
  }
  /// Stops at zero.
  constexpr Quantity& operator-=(Quantity other) noexcept {
    count_ -= other.count_ < count_ ? other.count_ : count_;
    return *this;
  }
  [[nodiscard]] friend constexpr Quantity operator+(Quantity a,
                                                    Quantity b) noexcept {
    return a += b;
  }
  [[nodiscard]] friend constexpr Quantity operator-(Quantity a,
                                                    Quantity b) noexcept {
    return a -= b;
  }
  [[nodiscard]] friend constexpr bool operator==(Quantity, Quantity) = default;
  // The check takes the operator for a comparison with 0.
  // NOLINTBEGIN(modernize-use-nullptr)
  [[nodiscard]] friend constexpr auto operator<=>(Quantity, Quantity) = default;
  // NOLINTEND(modernize-use-nullptr)

 private:
  std::uint64_t count_ = 0;
};

using Bytes = Quantity<struct BytesTag>;
/// \returns That many times 1,024 bytes.
[[nodiscard]] constexpr Bytes Kibibytes(std::uint64_t count) noexcept {
  return Bytes{count * 1024};
}

using BitsPerSecond = Quantity<struct BitsPerSecondTag>;

/// \brief A part of a whole, from 0 for nothing to 1 for all of it.
class Share {
 public:
  constexpr Share() noexcept = default;
  constexpr explicit Share(double value) noexcept : value_(value) {}

  /// \returns The part, from 0 to 1.
  [[nodiscard]] constexpr double value() const noexcept { return value_; }

  // The check takes the operator for a comparison with 0.
  // NOLINTBEGIN(modernize-use-nullptr)
  [[nodiscard]] friend constexpr auto operator<=>(Share, Share) = default;
  // NOLINTEND(modernize-use-nullptr)

 private:
  double value_ = 0;
};

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_CORE_UNITS_H_
