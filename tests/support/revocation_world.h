// Instances under strict revocation, their store and the messages between them,
// all driven by the test. Clocks differ between instances.

#ifndef TESTS_SUPPORT_REVOCATION_WORLD_H_
#define TESTS_SUPPORT_REVOCATION_WORLD_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "mimosagauge/impl/decisions/gateway.h"

namespace mimosagauge::testing {

/// \brief Instances of two regions, alternately, with links between all.
class RevocationWorld {
 public:
  static constexpr Duration kBound = std::chrono::seconds(5);

  explicit RevocationWorld(std::size_t instances);

  // Single steps, for any order of events.
  void Advance(Duration duration) { now_ += duration; }
  void Tick(std::size_t instance);
  /// \brief The instance sends a poll, which the store answers at once; the
  /// answer is under way until `AnswerPoll` or `LosePoll`.
  void StartPoll(std::size_t instance);
  void AnswerPoll(std::size_t instance);
  void LosePoll(std::size_t instance) { members_[instance].poll.reset(); }
  [[nodiscard]] std::size_t messages() const noexcept {
    return messages_.size();
  }
  void Deliver(std::size_t message);
  void Drop(std::size_t message);
  /// \brief Starts the process anew, on a clock with another origin.
  void Restart(std::size_t instance);
  /// \brief The operators write a configuration, with or without the key
  /// `k-1`. The key `k-steady` is in all of them.
  void Write(bool has_key);

  // Failures that `Run` takes into account.
  void CutStore(std::size_t instance, bool cut);
  /// \brief Messages in this direction wait until the cut ends.
  void CutLink(std::size_t from, std::size_t to, bool cut);
  /// \brief A frozen process does nothing, but its clock runs on.
  void Freeze(std::size_t instance, bool frozen);
  void SetStoreDelay(Duration delay) { store_delay_ = delay; }
  /// \brief Lets all instances poll, tick and exchange messages.
  void Run(Duration duration);

  /// \returns The status of the refusal; zero: the request runs.
  std::uint16_t Ask(std::size_t instance, const std::string& key = "k-1");
  /// \returns Whether a request with `k-1` that was sent this long ago may run
  /// if it is decided now.
  [[nodiscard]] bool MayRun(Duration sent_ago) const;
  /// \returns The messages sent so far.
  [[nodiscard]] std::size_t sent() const noexcept { return sent_; }

 private:
  struct Poll {
    TimePoint sent_at{};  // On the clock of the instance.
    std::uint64_t version = 0;
  };
  struct Member {
    Gateway gateway;
    Duration clock_offset{};
    std::optional<Poll> poll;
    bool frozen = false;
    bool cut_from_store = false;
  };
  struct Underway {
    std::size_t from = 0;
    std::size_t to = 0;
    ConfirmationMessage message;
    TimePoint sent_real{};
  };
  struct Written {
    TimePoint at{};
    bool has_key = false;
  };

  [[nodiscard]] Member MakeMember(std::size_t instance);
  [[nodiscard]] TimePoint LocalNow(std::size_t instance) const;
  [[nodiscard]] std::vector<Effect> Give(std::size_t instance, Event event);
  [[nodiscard]] RouteCatalogue CatalogueOf(std::uint64_t version) const;
  void RunPolls();

  TimePoint now_{std::chrono::hours(1)};
  std::vector<Member> members_;
  std::vector<Written> versions_;  // Version 1 first.
  std::vector<Underway> messages_;
  std::set<std::pair<std::size_t, std::size_t>> cut_links_;
  Duration store_delay_ = std::chrono::milliseconds(800);
  std::uint64_t starts_ = 0;
  std::uint64_t next_number_ = 2;
  std::size_t sent_ = 0;
};

}  // namespace mimosagauge::testing

#endif  // TESTS_SUPPORT_REVOCATION_WORLD_H_
