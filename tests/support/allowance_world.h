// Instances that share allowances of client accounts over a simulated network
// and store, without sockets, in simulated time.

#ifndef TESTS_SUPPORT_ALLOWANCE_WORLD_H_
#define TESTS_SUPPORT_ALLOWANCE_WORLD_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "mimosagauge/impl/decisions/allowance/allowances.h"

namespace mimosagauge::testing {

/// \brief What a test's world consists of.
struct AllowanceWorldSettings {
  std::vector<std::size_t> instances;  ///< Number in each region.
  Accounts accounts;
  AllowanceSettings allowances;
  Duration in_region = std::chrono::microseconds(1400);  ///< One way.
  Duration between_regions = std::chrono::milliseconds(55);
  std::uint64_t seed = 1;
};

/// \brief A request that an instance has decided about.
struct DecidedRequest {
  TimePoint at{};
  std::size_t instance = 0;
  AccountHash account;
  double units = 0;
  AllowanceVerdict verdict = AllowanceVerdict::kAdmitted;
  Duration retry_after{};
  Duration held{};
  /// Whether a bucket with the whole allowance, which all admitted requests
  /// are taken from, had enough for it.
  bool below_allowance = false;
};

/// \brief One instance, with what it has heard of the store.
struct AllowanceNode {
  Allowances state;
  std::size_t region = 0;
  Duration clock_offset{};  ///< Its clock, compared with the world's.
  bool running = true;
  TimePoint frozen_until{};
  bool store_reachable = true;
  bool renewal_answers_lost = false;  ///< The store renews, but it is not told.
  std::uint64_t messages_in = 0;
  std::uint64_t bytes_in = 0;
  std::uint64_t bytes_out = 0;
};

/// \brief A rule that a test leaves out, to see that it is needed.
enum class WithoutAllowanceRule : std::uint8_t {
  kNothing,
  kLeaseEnd,  ///< A lender goes on after the end of its lease.
  kOlder,     ///< A lender does not wait for older registrations to end.
  kOwnEntry,  ///< The entry of an earlier process confers seniority.
};

class AllowanceWorld {
 public:
  explicit AllowanceWorld(AllowanceWorldSettings settings);

  [[nodiscard]] TimePoint now() const { return now_; }
  [[nodiscard]] std::vector<AllowanceNode>& nodes() { return nodes_; }
  [[nodiscard]] const std::vector<DecidedRequest>& decided() const {
    return decided_;
  }
  void ForgetDecided() { decided_.clear(); }
  [[nodiscard]] std::mt19937_64& random() { return random_; }
  [[nodiscard]] Accounts& accounts() { return settings_.accounts; }

  /// \brief Lets time pass.
  void Run(Duration duration);
  /// \brief A request reaches an instance; ignored where that does not run.
  void Request(std::size_t instance, AccountHash account, double units);
  /// \brief Does something at a later time.
  void At(TimePoint at, std::function<void()> action);
  /// \brief Returns the charge of the last admitted request of an instance.
  void RefundLast(std::size_t instance);

  void Kill(std::size_t instance);
  void Restart(std::size_t instance);
  void Leave(std::size_t instance);
  void Freeze(std::size_t instance, Duration duration);

  /// Fate of the messages; the whole network.
  double loss = 0;
  double duplication = 0;
  Duration extra_delay{};  ///< Largest random delay beyond the usual.
  Duration store_delay{};  ///< Largest age of what is heard of the store.
  WithoutAllowanceRule without = WithoutAllowanceRule::kNothing;
  /// Whether regions a and b are cut off from each other.
  std::function<bool(std::size_t, std::size_t)> cut;

  /// \returns The most instances of one region that could lend at any time.
  [[nodiscard]] std::size_t most_lenders() const { return most_lenders_; }
  bool watch_lenders = false;  ///< Whether that is determined.

  /// \returns The instances that would lend now, if they got to act.
  [[nodiscard]] std::vector<std::size_t> Lenders(std::size_t region);
  /// \returns The most units of an account admitted in any window, less what
  /// was returned.
  [[nodiscard]] double LargestWindow(AccountHash account,
                                     Duration window) const;

 private:
  struct Entry {
    std::uint64_t created = 0;
    std::uint64_t modified = 0;
    std::uint64_t lease = 0;
    std::size_t instance = 0;
  };
  struct Action {
    TimePoint at;
    std::uint64_t order = 0;
    std::function<void()> run;
    bool operator<(const Action& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };
  struct Waiting {
    TimePoint since;
    AccountHash account;
    double units = 0;
  };

  [[nodiscard]] TimePoint ClockOf(const AllowanceNode& node) const {
    return now_ + node.clock_offset;
  }
  void Act(std::size_t instance, const std::function<void()>& action);
  void Start(std::size_t instance);
  void TickNode(std::size_t instance, std::uint64_t life);
  void Register(std::size_t instance);
  void Adopt(std::size_t instance, RegistrationTable table);
  void ReplaceLater(std::size_t instance);
  void Renew(std::size_t instance, std::uint64_t life);
  void ReadStore(std::size_t instance, std::uint64_t life);
  void ExpireLeases();
  void Deliver(std::size_t from, AllowanceOutput&& output);
  void Send(std::size_t from, std::size_t to, const AllowanceMessage& message);
  void Record(std::size_t instance, AccountHash account, double units,
              TimePoint since, const AllowanceDecision& decision);

  AllowanceWorldSettings settings_;
  TimePoint now_{std::chrono::seconds(1000)};
  std::mt19937_64 random_;
  std::vector<AllowanceNode> nodes_;
  std::vector<std::uint64_t> lives_;   // Counts the starts of each instance.
  std::vector<std::uint64_t> leases_;  // Lease of each instance; zero: none.
  std::map<InstanceId, std::size_t> index_;
  std::priority_queue<Action> actions_;
  std::uint64_t next_order_ = 0;
  std::map<std::string, Entry> store_;
  std::map<std::uint64_t, TimePoint> lease_ends_;
  std::uint64_t revision_ = 1;
  std::uint64_t next_number_ = 1;
  std::map<std::pair<std::size_t, RequestNumber>, Waiting> waiting_;
  std::map<std::size_t, AllowanceCharge> last_charge_;
  std::map<AccountHash, AllowanceBucket> reference_;
  std::vector<DecidedRequest> decided_;
  std::size_t most_lenders_ = 0;
};

}  // namespace mimosagauge::testing

#endif  // TESTS_SUPPORT_ALLOWANCE_WORLD_H_
