// A bounded ring between two duties: one thread pushes, one thread pops.

#ifndef MIMOSAGAUGE_IMPL_CORE_RING_H_
#define MIMOSAGAUGE_IMPL_CORE_RING_H_

#include <boost/lockfree/spsc_queue.hpp>
#include <cstddef>
#include <utility>

namespace mimosagauge {

/// \brief Bounded queue for one producer thread and one consumer thread.
///
/// A full ring refuses the item and leaves it with the producer, which keeps
/// it or answers "not run, retry later"; nothing is dropped here.
template <typename T>
class Ring {
 public:
  /// \param capacity Most items held at once.
  explicit Ring(std::size_t capacity) : queue_(capacity) {}

  /// \param item Moved from only when there was room.
  /// \returns Whether there was room.
  [[nodiscard]] bool Push(T& item) {
    if (queue_.write_available() == 0) {
      return false;
    }
    Slot slot{std::move(item)};
    return queue_.push(slot);
  }

  /// \brief Hands every item now in the ring to `consume(T&&)`, oldest first.
  /// \returns How many there were.
  template <typename Consume>
  std::size_t Drain(Consume&& consume) {
    return queue_.consume_all(
        [&consume](Slot& slot) { consume(std::move(slot.item)); });
  }

  /// \returns Whether the consumer sees no item.
  [[nodiscard]] bool empty() const noexcept {
    return queue_.read_available() == 0;
  }

 private:
  // The queue copies what is pushed; a slot turns that copy into a move.
  struct Slot {
    Slot() = default;
    explicit Slot(T value) : item(std::move(value)) {}
    Slot(const Slot& other) : item(std::move(other.item)) {}
    Slot& operator=(const Slot& other) {
      item = std::move(other.item);
      return *this;
    }
    mutable T item;
  };

  boost::lockfree::spsc_queue<Slot> queue_;
};

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_CORE_RING_H_
