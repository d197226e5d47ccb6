// Allowances under load: how often a request is refused though its account is
// below its allowance, and whether the bound holds. Without network, in
// simulated time.

#include <catch2/catch.hpp>
#include <cmath>
#include <iostream>

#include "tests/support/allowance_world.h"

namespace mimosagauge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::AllowanceNode;
using testing::AllowanceWorld;
using testing::AllowanceWorldSettings;
using testing::DecidedRequest;

constexpr double kLongUnits = 17140;
constexpr double kShortUnits = 383;
constexpr double kLongPerSecond = 49.8;
constexpr double kShortPerSecond = 1017;
constexpr double kLeastRate = 47000;
constexpr double kHeadroom = 1.8;
constexpr double kMeanUse =
    kLongUnits * kLongPerSecond + kShortUnits * kShortPerSecond;

// Largest share of requests that may be refused though their account is below
// its allowance.
constexpr double kAllowedShare = 0.005;

// Parts of the demand; the accounts after the first few are small.
const std::vector<double> kWeights{0.35,  0.2,   0.12,  0.08, 0.06, 0.05,
                                   0.03,  0.03,  0.02,  0.02, 0.01, 0.01,
                                   0.005, 0.005, 0.005, 0.005};

[[nodiscard]] AccountId NameOf(std::size_t account) {
  return AccountId{"account-" + std::to_string(account)};
}

[[nodiscard]] AccountHash HashOf(std::size_t account) {
  return HashAccountId(NameOf(account));
}

[[nodiscard]] double RateOf(std::size_t account) {
  return std::max(kLeastRate, kMeanUse * kWeights[account] * kHeadroom);
}

[[nodiscard]] AllowanceWorldSettings LargeDeployment() {
  AllowanceWorldSettings settings;
  settings.instances = {35, 25, 19};
  for (std::size_t i = 0; i < kWeights.size(); ++i) {
    Account account;
    account.id = NameOf(i);
    account.allowance = {AllowanceUnit::kTokens, RateOf(i), RateOf(i), 1000};
    settings.accounts.list.push_back(account);
  }
  IndexAccounts(settings.accounts);
  settings.allowances.enforced = true;
  return settings;
}

// Poisson arrivals of all accounts.
class Callers {
 public:
  explicit Callers(AllowanceWorld& world) : world_(world) {}

  double hot_factor = 1;  // Of the first account.
  bool peaks = true;      // One region after the other has 2.5 times its mean.

  void Run(Duration duration) {
    const TimePoint end = world_.now() + duration;
    while (world_.now() < end) {
      const double extra = kWeights[0] * (hot_factor - 1);
      const double rate = (kLongPerSecond + kShortPerSecond) * (1 + extra);
      std::exponential_distribution<double> gap(rate);
      world_.Run(FromSeconds(gap(world_.random())));
      const std::size_t account = PickAccount(extra);
      const bool is_long =
          Draw() < kLongPerSecond / (kLongPerSecond + kShortPerSecond);
      world_.Request(PickInstance(account), HashOf(account),
                     is_long ? kLongUnits : kShortUnits);
    }
  }

 private:
  double Draw() {
    return std::uniform_real_distribution<double>()(world_.random());
  }
  std::size_t PickAccount(double extra) {
    std::vector<double> weights = kWeights;
    weights[0] += extra;
    return std::discrete_distribution<std::size_t>(
        weights.begin(), weights.end())(world_.random());
  }
  // 80% of the requests of the first account enter at three instances of a
  // region.
  std::size_t PickInstance(std::size_t account) {
    constexpr Duration kPeak = std::chrono::milliseconds(2500);
    const auto turn = (world_.now().time_since_epoch() / kPeak) % 3;
    std::vector<double> regions{1, 1, 1};
    if (peaks) {
      regions = {0.25, 0.25, 0.25};
      regions[static_cast<std::size_t>(turn)] = 2.5;
    }
    const auto region = std::discrete_distribution<std::size_t>(
        regions.begin(), regions.end())(world_.random());
    constexpr std::size_t kFirst[] = {0, 35, 60, 79};
    const std::size_t size = kFirst[region + 1] - kFirst[region];
    const bool few = account == 0 && Draw() < 0.8;
    return kFirst[region] + world_.random()() % (few ? 3 : size);
  }

  AllowanceWorld& world_;
};

struct Counts {
  std::size_t requests = 0;
  std::size_t refused = 0;
  std::size_t refused_below = 0;
  std::size_t held = 0;
  Duration longest_hold{};
};

[[nodiscard]] Counts CountOf(const AllowanceWorld& world, std::size_t first,
                             std::size_t last) {
  Counts counts;
  for (const DecidedRequest& one : world.decided()) {
    bool counted = false;
    for (std::size_t i = first; i < last; ++i) {
      counted = counted || one.account == HashOf(i);
    }
    if (!counted) {
      continue;
    }
    ++counts.requests;
    counts.held += one.held > Duration::zero() ? 1 : 0;
    counts.longest_hold = std::max(counts.longest_hold, one.held);
    if (one.verdict != AllowanceVerdict::kAdmitted) {
      ++counts.refused;
      counts.refused_below += one.below_allowance ? 1 : 0;
    }
  }
  return counts;
}

[[nodiscard]] double BelowShare(const Counts& counts) {
  return static_cast<double>(counts.refused_below) /
         static_cast<double>(counts.requests);
}

void Print(const char* what, const Counts& counts) {
  std::cout
      << what << ": requests " << counts.requests << ", refused "
      << counts.refused << ", refused below the allowance "
      << counts.refused_below << ", held " << counts.held
      << ", longest hold ms "
      << std::chrono::duration_cast<milliseconds>(counts.longest_hold).count()
      << '\n';
}

void CheckBound(const AllowanceWorld& world, std::size_t account) {
  const AllowanceSettings settings;
  const double bound =
      (RateOf(account) * Seconds(settings.window) + RateOf(account)) *
          settings.excess +
      settings.slack;
  CHECK(world.LargestWindow(HashOf(account), settings.window) <= bound);
}

// Guards against refusals of accounts that are within their allowance because
// their requests enter at a few instances, or mostly in one region.
TEST_CASE("accounts below their allowance are hardly ever refused") {
  AllowanceWorld world(LargeDeployment());
  world.Run(seconds(6));
  Callers callers(world);
  callers.peaks = GENERATE(false, true);
  CAPTURE(callers.peaks);
  callers.Run(seconds(3));
  world.ForgetDecided();
  for (AllowanceNode& node : world.nodes()) {
    node.bytes_in = node.bytes_out = 0;
  }
  constexpr int kSeconds = 20;
  callers.Run(seconds(kSeconds));
  const Counts large = CountOf(world, 0, 6);
  const Counts small = CountOf(world, 6, kWeights.size());
  Print("large accounts", large);
  Print("small accounts", small);
  std::uint64_t most = 0;
  std::uint64_t sum = 0;
  for (const AllowanceNode& node : world.nodes()) {
    most = std::max(most, node.bytes_in + node.bytes_out);
    sum += node.bytes_in + node.bytes_out;
  }
  std::cout << "control bytes per second and instance: mean "
            << sum / world.nodes().size() / kSeconds << ", most "
            << most / kSeconds << '\n';
  CHECK(BelowShare(large) < kAllowedShare);
  CHECK(BelowShare(small) < kAllowedShare);
  for (std::size_t i = 0; i < kWeights.size(); ++i) {
    CheckBound(world, i);
  }
}

// Guards against an account with ten times its usual load that exceeds its
// bound, gets much less than its allowance, or takes from the others.
TEST_CASE("an account at ten times its load is held to its allowance") {
  AllowanceWorld world(LargeDeployment());
  world.Run(seconds(6));
  Callers callers(world);
  callers.Run(seconds(2));
  callers.hot_factor = 10;
  callers.Run(seconds(3));
  world.ForgetDecided();
  callers.Run(seconds(10));
  const Counts hot = CountOf(world, 0, 1);
  const Counts others = CountOf(world, 1, kWeights.size());
  Print("hot account", hot);
  Print("other accounts", others);
  const double used = world.LargestWindow(HashOf(0), seconds(8)) / 8;
  std::cout << "hot account: used of its rate " << used / RateOf(0) << '\n';
  CheckBound(world, 0);
  CHECK(used > 0.9 * RateOf(0));
  CHECK(BelowShare(others) < kAllowedShare);
}

// Guards against a region without service because its lender was lost.
TEST_CASE("the loss of a lender is bridged by the lenders of other regions") {
  AllowanceWorld world(LargeDeployment());
  world.Run(seconds(6));
  Callers callers(world);
  callers.peaks = false;
  callers.Run(seconds(3));
  world.ForgetDecided();
  const std::vector<std::size_t> lenders = world.Lenders(0);
  REQUIRE(lenders.size() == 1);
  const bool frozen = GENERATE(false, true);
  CAPTURE(frozen);
  if (frozen) {
    world.Freeze(lenders[0], seconds(6));
  } else {
    world.Kill(lenders[0]);
  }
  callers.Run(seconds(8));
  const Counts all = CountOf(world, 0, kWeights.size());
  Print(frozen ? "lender frozen" : "lender killed", all);
  CHECK(BelowShare(all) < kAllowedShare);
  CHECK(world.Lenders(0).size() == 1);
  CHECK(world.Lenders(0) != lenders);
  for (std::size_t i = 0; i < kWeights.size(); ++i) {
    CheckBound(world, i);
  }
}

// Uses up all of an account's allowance, then asks once more, and again when a
// part of the time in Retry-After has passed, from another instance.
[[nodiscard]] AllowanceVerdict RetryAfterPart(double units, double part) {
  AllowanceWorldSettings settings = LargeDeployment();
  settings.instances = {3, 3, 3};
  AllowanceWorld world(std::move(settings));
  world.Run(seconds(8));
  const AccountHash account = HashOf(8);
  while (true) {
    const std::size_t before = world.decided().size();
    for (std::size_t i = 0; i < world.nodes().size(); ++i) {
      world.Request(i, account, units / 10);
    }
    world.Run(milliseconds(300));
    bool admitted = false;
    for (std::size_t i = before; i < world.decided().size(); ++i) {
      admitted =
          admitted || world.decided()[i].verdict == AllowanceVerdict::kAdmitted;
    }
    if (!admitted) {
      break;
    }
    for (std::size_t i = 0; i < 100; ++i) {
      world.Request(i % 9, account, units / 10);
    }
  }
  world.Request(1, account, units);
  world.Run(milliseconds(260));
  const DecidedRequest refused = world.decided().back();
  REQUIRE(refused.verdict == AllowanceVerdict::kExceeded);
  world.Run(refused.at + FromSeconds(Seconds(refused.retry_after) * part) -
            world.now());
  world.Request(2, account, units);
  world.Run(milliseconds(260));
  std::cout
      << "retry after ms "
      << std::chrono::duration_cast<milliseconds>(refused.retry_after).count()
      << '\n';
  return world.decided().back().verdict;
}

// Guards against callers that are told to come back too early, or much later
// than they could.
TEST_CASE("an account is admitted again after Retry-After and not before") {
  const double units = GENERATE(17140.0, 40000.0);
  CAPTURE(units);
  CHECK(RetryAfterPart(units, 0.8) == AllowanceVerdict::kExceeded);
  CHECK(RetryAfterPart(units, 1.2) == AllowanceVerdict::kAdmitted);
}

}  // namespace
}  // namespace mimosagauge
