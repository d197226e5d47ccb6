// A ring behaves like a bounded queue under any sequence of pushes and drains.

#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <cstddef>
#include <deque>
#include <vector>

#include "mimosagauge/impl/core/ring.h"

namespace mimosagauge {
namespace {

TEST_CASE("a ring is a bounded queue") {
  rc::prop("against a deque", [](const std::vector<bool>& pushes) {
    const auto capacity = *rc::gen::inRange<std::size_t>(1, 8);
    Ring<int> ring(capacity);
    std::deque<int> model;
    int next = 0;
    for (const bool push : pushes) {
      if (push) {
        int item = next++;
        const bool taken = ring.Push(item);
        RC_ASSERT(taken == (model.size() < capacity));
        if (taken) {
          model.push_back(next - 1);
        }
        continue;
      }
      ring.Drain([&model](int&& item) {
        RC_ASSERT(item == model.front());
        model.pop_front();
      });
      RC_ASSERT(model.empty());
    }
  });
}

}  // namespace
}  // namespace mimosagauge
