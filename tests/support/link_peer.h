// A link duty on threads of its own, whose events tests can wait for.

#ifndef TESTS_SUPPORT_LINK_PEER_H_
#define TESTS_SUPPORT_LINK_PEER_H_

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "mimosagauge/impl/duties/links/duty.h"
#include "tests/support/wait.h"

namespace mimosagauge::testing {

/// \brief Short times, so that tests of deadlines end soon.
[[nodiscard]] LinkTimings ShortLinkTimings();

/// \returns Settings of an instance in `region` that listens on a free
/// loopback port.
[[nodiscard]] Settings LinkSettings(const std::string& instance,
                                    const std::string& region);

/// \brief Names `peer` at `port` of 127.0.0.1.
[[nodiscard]] PeerSettings PeerAt(const std::string& peer, std::uint16_t port);

/// \brief A request with the given body.
[[nodiscard]] StartLinkAttempt LinkAttempt(std::uint64_t attempt,
                                           const std::string& instance,
                                           std::string body,
                                           Bytes credit = Kibibytes(64));

/// \brief Runs a link duty and collects its events.
class LinkPeer {
 public:
  explicit LinkPeer(Settings settings,
                    const LinkTimings& timings = ShortLinkTimings());
  ~LinkPeer();

  LinkPeer(const LinkPeer&) = delete;
  LinkPeer& operator=(const LinkPeer&) = delete;

  /// \brief Starts the duty.
  [[nodiscard]] Result<void> Start();
  [[nodiscard]] std::uint16_t port();

  /// \brief Hands an effect to the duty on its thread.
  void Do(LinkEffect effect);
  /// \brief Calls `act` on the duty's thread and waits for it.
  void Call(const std::function<void(LinkDuty&)>& act);
  /// \brief Holds the duty's thread until `Thaw`, as a paused process would.
  void Freeze();
  void Thaw();

  /// \returns All events of type `T` so far, in order.
  template <typename T>
  [[nodiscard]] std::vector<T> All() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::vector<T> found;
    for (const Event& event : events_) {
      if (const T* one = std::get_if<T>(&event)) {
        found.push_back(*one);
      }
    }
    return found;
  }

  /// \brief Waits for an event of type `T` that `accept` holds for.
  template <typename T, typename Accept>
  [[nodiscard]] std::optional<T> Wait(const Accept& accept) const {
    std::optional<T> found;
    static_cast<void>(WaitUntil([&] {
      for (const T& event : All<T>()) {
        if (accept(event)) {
          found = event;
          return true;
        }
      }
      return false;
    }));
    return found;
  }
  template <typename T>
  [[nodiscard]] std::optional<T> Wait() const {
    return Wait<T>([](const T&) { return true; });
  }
  /// \brief Waits for the event of type `T` about this attempt.
  template <typename T>
  [[nodiscard]] std::optional<T> WaitOf(std::uint64_t attempt) const {
    return Wait<T>(
        [&](const T& event) { return event.attempt.value() == attempt; });
  }
  /// \returns Body bytes of an attempt so far.
  [[nodiscard]] std::string Body(std::uint64_t attempt) const;
  /// \brief Waits until the link to `instance` is up.
  [[nodiscard]] bool WaitUp(const std::string& instance) const;

 private:
  Settings settings_;
  boost::asio::io_context io_;
  boost::asio::io_context decisions_io_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      decisions_work_;
  Mailbox<Event> mailbox_;
  mutable std::mutex mutex_;
  std::vector<Event> events_;
  std::unique_ptr<LinkDuty> duty_;
  std::mutex freeze_;
  std::thread thread_;
  std::thread decisions_thread_;
};

}  // namespace mimosagauge::testing

#endif  // TESTS_SUPPORT_LINK_PEER_H_
