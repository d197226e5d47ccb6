// A limit on the memory for request bodies.

#ifndef MIMOSAGAUGE_IMPL_DUTIES_CALLERS_BODY_BUDGET_H_
#define MIMOSAGAUGE_IMPL_DUTIES_CALLERS_BODY_BUDGET_H_

#include <atomic>
#include <cstddef>
#include <memory>
#include <string>
#include <utility>

#include "mimosagauge/impl/decisions/request.h"

namespace mimosagauge::detail {

/// \brief Counts the bytes of request bodies in memory, from the first byte
/// read until the last reference to the body is dropped. Thread-safe.
class BodyBudget {
 public:
  explicit BodyBudget(std::size_t limit_bytes) noexcept
      : limit_bytes_(limit_bytes) {}

  /// \returns Whether the bytes fit within the limit; if not, none are
  /// reserved.
  [[nodiscard]] bool TryReserve(std::size_t bytes) noexcept {
    if (reserved_bytes_.fetch_add(bytes) + bytes <= limit_bytes_) {
      return true;
    }
    reserved_bytes_.fetch_sub(bytes);
    return false;
  }

  /// \brief Returns reserved bytes to the budget.
  void Release(std::size_t bytes) noexcept { reserved_bytes_.fetch_sub(bytes); }

  [[nodiscard]] std::size_t reserved_bytes() const noexcept {
    return reserved_bytes_.load();
  }

 private:
  const std::size_t limit_bytes_;
  std::atomic<std::size_t> reserved_bytes_{0};
};

/// \brief Wraps a body whose bytes are already reserved in `budget`.
/// \returns A shared pointer that releases the bytes when the body is
/// destroyed.
[[nodiscard]] inline BodyPtr MakeBudgetedBody(
    std::string body, std::shared_ptr<BodyBudget> budget) {
  // The deleter runs once, on whichever thread drops the last reference.
  auto owned = std::make_unique<const std::string>(std::move(body));
  return {owned.release(),
          [budget = std::move(budget)](const std::string* text) {
            budget->Release(text->size());
            std::default_delete<const std::string>{}(text);
          }};
}

}  // namespace mimosagauge::detail

#endif  // MIMOSAGAUGE_IMPL_DUTIES_CALLERS_BODY_BUDGET_H_
