// A bound on the request bodies that are in memory at once.

#ifndef MIMOSAGAUGE_IMPL_DUTIES_CALLERS_BODY_BUDGET_H_
#define MIMOSAGAUGE_IMPL_DUTIES_CALLERS_BODY_BUDGET_H_

#include <atomic>
#include <cstddef>
#include <memory>
#include <string>
#include <utility>

#include "mimosagauge/impl/decisions/request.h"

namespace mimosagauge::detail {

/// \brief Counts bytes of request bodies, from the first byte read until the
/// last user of the body lets go of it. Any thread.
class BodyBudget {
 public:
  explicit BodyBudget(std::size_t limit) noexcept : limit_(limit) {}

  /// \returns Whether there was room.
  [[nodiscard]] bool Reserve(std::size_t bytes) noexcept {
    if (held_.fetch_add(bytes) + bytes <= limit_) {
      return true;
    }
    held_.fetch_sub(bytes);
    return false;
  }

  void Release(std::size_t bytes) noexcept { held_.fetch_sub(bytes); }

  [[nodiscard]] std::size_t held() const noexcept { return held_.load(); }

 private:
  const std::size_t limit_;
  std::atomic<std::size_t> held_{0};
};

/// \returns The body, whose bytes are reserved already; they are released
/// with it.
[[nodiscard]] inline BodyPtr HoldBody(std::string body,
                                      std::shared_ptr<BodyBudget> budget) {
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
