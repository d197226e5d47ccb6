// A bounded ring from one duty's thread to another's, with the wake-up.

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

/// \brief Carries items from the producer's thread to the consumer's.
///
/// Items that do not fit into the ring wait with the producer, in order. The
/// producer reads `backlog()` and takes on no new request while it is not
/// zero; what is already in progress is bounded by credit, so the backlog is
/// bounded by the number of requests in progress.
template <typename T>
class Mailbox {
 public:
  using Handler = std::function<void(T&&)>;

  /// \param producer Runs on the thread that calls `Post`.
  /// \param consumer Runs on the thread that calls the handler.
  Mailbox(boost::asio::io_context& producer, boost::asio::io_context& consumer,
          std::size_t capacity)
      : producer_(producer), consumer_(consumer), ring_(capacity) {}

  Mailbox(const Mailbox&) = delete;
  Mailbox& operator=(const Mailbox&) = delete;

  /// \brief Sets what is called for each item; before the threads start.
  void set_handler(Handler handler) { handler_ = std::move(handler); }

  /// \brief Hands over an item. Only on the producer's thread.
  void Post(T item) {
    if (!backlog_.empty() || !ring_.Push(item)) {
      backlog_.push_back(std::move(item));
      waiting_.store(true);
    }
    Wake();
  }

  /// \returns Items that wait with the producer. Only on its thread.
  [[nodiscard]] std::size_t backlog() const noexcept { return backlog_.size(); }

 private:
  void Wake() {
    if (!scheduled_.exchange(true)) {
      boost::asio::post(consumer_, [this] { Consume(); });
    }
  }

  void Consume() {
    // Cleared first: an item pushed from here on schedules another turn.
    scheduled_.store(false);
    ring_.Drain([this](T&& item) { handler_(std::move(item)); });
    if (waiting_.exchange(false)) {
      boost::asio::post(producer_, [this] { Flush(); });
    }
  }

  void Flush() {
    while (!backlog_.empty() && ring_.Push(backlog_.front())) {
      backlog_.pop_front();
    }
    if (!backlog_.empty()) {
      waiting_.store(true);
    }
    Wake();
  }

  boost::asio::io_context& producer_;
  boost::asio::io_context& consumer_;
  Ring<T> ring_;
  Handler handler_;
  std::deque<T> backlog_;  // Producer's thread only.
  std::atomic<bool> scheduled_{false};
  std::atomic<bool> waiting_{false};  // The producer has a backlog.
};

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DUTIES_COMMON_MAILBOX_H_
