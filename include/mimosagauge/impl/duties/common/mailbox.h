// Queue from the thread of one duty to that of another, which also schedules
// the consumer.

#ifndef MIMOSAGAUGE_IMPL_DUTIES_COMMON_MAILBOX_H_
#define MIMOSAGAUGE_IMPL_DUTIES_COMMON_MAILBOX_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <cstddef>
#include <deque>
#include <functional>
#include <utility>

#include "mimosagauge/impl/core/ring.h"

namespace mimosagauge {

/// \brief Passes items from the producer's thread to the consumer's.
///
/// Items that do not fit into the ring are kept in order in a backlog on the
/// producer's side. The producer checks `backlog()` and accepts no new request
/// while it is not zero. Credit limits the data of requests in progress, so the
/// backlog is bounded by the number of requests in progress.
template <typename T>
class Mailbox {
 public:
  using Handler = std::function<void(T&&)>;

  /// \param producer Event loop of the thread that calls `Post`.
  /// \param consumer Event loop of the thread that calls the handler.
  /// \param capacity Maximum number of items in the ring.
  Mailbox(boost::asio::io_context& producer, boost::asio::io_context& consumer,
          std::size_t capacity)
      : producer_(producer), consumer_(consumer), ring_(capacity) {}

  Mailbox(const Mailbox&) = delete;
  Mailbox& operator=(const Mailbox&) = delete;

  /// \brief Sets the function that is called for each item. Call this before
  /// the threads start.
  void set_handler(Handler handler) { handler_ = std::move(handler); }

  /// \brief Queues an item for the consumer. Call this only on the producer's
  /// thread.
  void Post(T item) {
    if (!backlog_.empty() || !ring_.Push(item)) {
      backlog_.push_back(std::move(item));
      has_backlog_.store(true);
    }
    ScheduleConsumer();
  }

  /// \returns The number of items in the backlog. Call this only on the
  /// producer's thread.
  [[nodiscard]] std::size_t backlog() const noexcept { return backlog_.size(); }

 private:
  void ScheduleConsumer() {
    if (!consumer_scheduled_.exchange(true)) {
      boost::asio::post(consumer_, [this] { Consume(); });
    }
  }

  void Consume() {
    // The flag is cleared before the ring is drained, so that an item pushed
    // from now on schedules another call.
    consumer_scheduled_.store(false);
    ring_.Drain([this](T&& item) { handler_(std::move(item)); });
    if (has_backlog_.exchange(false)) {
      boost::asio::post(producer_, [this] { MoveBacklogToRing(); });
    }
  }

  void MoveBacklogToRing() {
    while (!backlog_.empty() && ring_.Push(backlog_.front())) {
      backlog_.pop_front();
    }
    if (!backlog_.empty()) {
      has_backlog_.store(true);
    }
    ScheduleConsumer();
  }

  boost::asio::io_context& producer_;
  boost::asio::io_context& consumer_;
  Ring<T> ring_;
  Handler handler_;
  std::deque<T> backlog_;  // Used only on the producer's thread.
  std::atomic<bool> consumer_scheduled_{false};
  std::atomic<bool> has_backlog_{false};  // Whether the producer has a backlog.
};

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DUTIES_COMMON_MAILBOX_H_
