// Strong types for identifiers: a name or a number that cannot be confused
// with another one of a different kind.

#ifndef MIMOSAGAUGE_IMPL_CORE_STRONG_ID_H_
#define MIMOSAGAUGE_IMPL_CORE_STRONG_ID_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace mimosagauge {

/// \brief An identifier held as text; `Tag` tells the kinds apart.
///
/// \code
/// RegionId region{"nairobi-a"};
/// region.value();  // "nairobi-a"
/// \endcode
template <typename Tag>
class StrongName {
 public:
  StrongName() = default;
  explicit StrongName(std::string value) noexcept : value_(std::move(value)) {}

  /// \returns The identifier as text.
  [[nodiscard]] const std::string& value() const noexcept { return value_; }
  /// \returns Whether no identifier has been set.
  [[nodiscard]] bool empty() const noexcept { return value_.empty(); }

  [[nodiscard]] friend bool operator==(const StrongName&,
                                       const StrongName&) = default;
  // The check takes the operator for a comparison with 0.
  // NOLINTBEGIN(modernize-use-nullptr)
  [[nodiscard]] friend auto operator<=>(const StrongName&,
                                        const StrongName&) = default;
  // NOLINTEND(modernize-use-nullptr)

 private:
  std::string value_;
};

/// \brief An identifier held as a 64-bit number; `Tag` tells the kinds apart.
template <typename Tag>
class StrongNumber {
 public:
  constexpr StrongNumber() noexcept = default;
  constexpr explicit StrongNumber(std::uint64_t value) noexcept
      : value_(value) {}

  /// \returns The number itself.
  [[nodiscard]] constexpr std::uint64_t value() const noexcept {
    return value_;
  }
  /// \returns The next number of the same kind.
  [[nodiscard]] constexpr StrongNumber next() const noexcept {
    return StrongNumber{value_ + 1};
  }

  [[nodiscard]] friend constexpr bool operator==(StrongNumber,
                                                 StrongNumber) = default;
  // The check takes the operator for a comparison with 0.
  // NOLINTBEGIN(modernize-use-nullptr)
  [[nodiscard]] friend constexpr auto operator<=>(StrongNumber,
                                                  StrongNumber) = default;
  // NOLINTEND(modernize-use-nullptr)

 private:
  std::uint64_t value_ = 0;
};

}  // namespace mimosagauge

template <typename Tag>
struct std::hash<mimosagauge::StrongName<Tag>> {
  [[nodiscard]] std::size_t operator()(
      const mimosagauge::StrongName<Tag>& name) const noexcept {
    return std::hash<std::string>{}(name.value());
  }
};

template <typename Tag>
struct std::hash<mimosagauge::StrongNumber<Tag>> {
  [[nodiscard]] std::size_t operator()(
      mimosagauge::StrongNumber<Tag> number) const noexcept {
    return std::hash<std::uint64_t>{}(number.value());
  }
};

#endif  // MIMOSAGAUGE_IMPL_CORE_STRONG_ID_H_
