// A bounded ring between two duties: one thread pushes, one thread pops.

#ifndef MIMOSAGAUGE_IMPL_CORE_RING_H_
#define MIMOSAGAUGE_IMPL_CORE_RING_H_

#include <boost/lockfree/spsc_queue.hpp>
#include <cstddef>
#include <memory>
#include <utility>

namespace mimosagauge {

/// \brief Bounded queue for one producer thread and one consumer thread.
///
/// A full ring refuses the item and leaves it with the producer, which keeps
/// it or answers "not run, retry later"; nothing is dropped here. Memory for
/// an item is taken while it is in the ring, not before.
template <typename T>
class Ring {
 public:
  /// \param capacity Most items held at once.
  explicit Ring(std::size_t capacity) : queue_(capacity) {}
  ~Ring() {
    Drain([](T&&) {});
  }
  Ring(const Ring&) = delete;
  Ring& operator=(const Ring&) = delete;

  /// \param item Moved from only when there was room.
  /// \returns Whether there was room.
  [[nodiscard]] bool Push(T& item) {
    if (queue_.write_available() == 0) {
      return false;
    }
    return queue_.push(std::make_unique<T>(std::move(item)).release());
  }

  /// \brief Hands every item now in the ring to `consume(T&&)`, oldest first.
  /// \returns How many there were.
  template <typename Consume>
  std::size_t Drain(Consume&& consume) {
    return queue_.consume_all([&consume](T* held) {
      const std::unique_ptr<T> item(held);
      consume(std::move(*item));
    });
  }

  /// \returns Whether the consumer sees no item.
  [[nodiscard]] bool empty() const noexcept {
    return queue_.read_available() == 0;
  }

 private:
  // Owned pointers: the queue copies what is pushed and cannot hold owners.
  boost::lockfree::spsc_queue<T*> queue_;
};

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_CORE_RING_H_
