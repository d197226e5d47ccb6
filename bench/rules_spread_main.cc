// Program: how fast rules reach all instances from one that learned them, and
// what that costs, under a clock of its own.

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <exception>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "mimosagauge/impl/decisions/rules_spread.h"

namespace mimosagauge {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kRegions = 3;
constexpr Duration kWithinRegion = 1ms;
constexpr Duration kBetweenRegions = 55ms;
constexpr Duration kStep = 10ms;
constexpr Duration kLongest = 60s;
constexpr Duration kSteadyTime = 30s;
/// Frame, table, TCP and IP around one control message.
constexpr std::size_t kOverheadBytes = 120;

/// \brief A message under way.
struct Delivery {
  TimePoint at;
  std::uint64_t order = 0;
  std::size_t from = 0;
  std::size_t to = 0;
  RulesMessage message;

  [[nodiscard]] bool operator<(const Delivery& other) const {
    return std::pair(at, order) > std::pair(other.at, other.order);
  }
};

/// \brief Many instances under one clock.
class Fleet {
 public:
  Fleet(std::size_t size, double loss, std::uint64_t seed)
      : random_(static_cast<std::minstd_rand::result_type>(seed)), loss_(loss) {
    for (std::size_t i = 0; i < size; ++i) {
      ids_.emplace_back(fmt::format("instance-{}", i));
      index_[ids_.back()] = i;
      instances_.push_back(MakeRulesGossip({}, random_()));
      // Heartbeats are spread over their interval.
      std::uniform_int_distribution<Duration::rep> phase(
          0, RulesGossipConfig{}.heartbeat.count());
      instances_.back().next_heartbeat = now_ + Duration(phase(random_));
    }
    for (std::size_t i = 0; i < size; ++i) {
      for (std::size_t j = 0; j < size; ++j) {
        if (i != j) {
          Send(i, SetMemberReachable(instances_[i], ids_[j], true));
        }
      }
    }
  }

  void Learn(std::size_t instance, std::shared_ptr<const RuleSet> rules) {
    Send(instance, AdoptRulesFromStore(instances_[instance], std::move(rules)));
  }

  void Run(Duration time) {
    for (const TimePoint end = now_ + time; now_ < end;) {
      Step();
    }
  }

  /// \returns The time until every instance has the revision.
  [[nodiscard]] Duration RunUntil(Revision revision) {
    const TimePoint begin = now_;
    while (!AllHave(revision) && now_ - begin < kLongest) {
      Step();
    }
    return now_ - begin;
  }

  void ResetBytes() { bytes_ = 0; }
  [[nodiscard]] std::uint64_t bytes() const { return bytes_; }

 private:
  void Step() {
    now_ += kStep;
    while (!under_way_.empty() && under_way_.top().at <= now_) {
      const Delivery delivery = under_way_.top();
      under_way_.pop();
      Send(delivery.to,
           HandleRulesMessage(instances_[delivery.to], ids_[delivery.from],
                              delivery.message, delivery.at));
    }
    for (std::size_t i = 0; i < instances_.size(); ++i) {
      Send(i, TickRulesGossip(instances_[i], now_));
    }
  }

  void Send(std::size_t from, RulesGossipOutput output) {
    for (AddressedRulesMessage& message : output.messages) {
      const std::size_t to = index_.at(message.to);
      bytes_ += kOverheadBytes + EncodeRulesMessage(message.message).size();
      if (std::bernoulli_distribution(loss_)(random_)) {
        continue;
      }
      const bool same = from % kRegions == to % kRegions;
      under_way_.push({now_ + (same ? kWithinRegion : kBetweenRegions),
                       order_++, from, to, std::move(message.message)});
    }
  }

  [[nodiscard]] bool AllHave(Revision revision) const {
    return std::all_of(instances_.begin(), instances_.end(),
                       [revision](const RulesGossip& spread) {
                         return RevisionOf(spread) >= revision;
                       });
  }

  std::minstd_rand random_;
  double loss_;
  TimePoint now_{};
  std::vector<InstanceId> ids_;
  std::map<InstanceId, std::size_t> index_;
  std::vector<RulesGossip> instances_;
  std::priority_queue<Delivery> under_way_;
  std::uint64_t order_ = 0;
  std::uint64_t bytes_ = 0;
};

[[nodiscard]] std::shared_ptr<const RuleSet> MakeRules(Revision revision,
                                                       std::size_t lines) {
  std::string text;
  for (std::size_t i = 0; i < lines; ++i) {
    text +=
        fmt::format("route service-{} path=/service-{}/*  # the bench\n", i, i);
  }
  std::vector<RuleFault> faults;
  auto rules = std::make_shared<RuleSet>(ParseRules(text, faults));
  rules->revision = revision;
  return rules;
}

struct Row {
  std::vector<double> seconds;  // Of each run, until all had the revision.
  double steady = 0;            // Bytes a second and instance, nothing new.
  double text = 0;              // Bytes an instance for one revision.
};

[[nodiscard]] Row Measure(std::size_t size, double loss, std::size_t runs,
                          std::size_t lines) {
  Row row;
  for (std::size_t run = 1; run <= runs; ++run) {
    Fleet fleet(size, loss, run);
    fleet.Learn(0, MakeRules(Revision{1}, lines));
    static_cast<void>(fleet.RunUntil(Revision{1}));
    fleet.Run(kSteadyTime);
    fleet.ResetBytes();
    fleet.Run(kSteadyTime);
    const auto count = static_cast<double>(size);
    row.steady += static_cast<double>(fleet.bytes()) / count /
                  std::chrono::duration<double>(kSteadyTime).count() /
                  static_cast<double>(runs);
    fleet.ResetBytes();
    fleet.Learn(run % size, MakeRules(Revision{2}, lines));
    const Duration time = fleet.RunUntil(Revision{2});
    row.seconds.push_back(std::chrono::duration<double>(time).count());
    row.text +=
        static_cast<double>(fleet.bytes()) / count / static_cast<double>(runs);
  }
  std::sort(row.seconds.begin(), row.seconds.end());
  return row;
}

int Run(int argc, char** argv) {
  TCLAP::CmdLine command_line(
      "Time and bytes until rules that one instance learned are in force on "
      "all, with the store's help taken away.",
      ' ', "1");
  TCLAP::ValueArg<std::size_t> runs("", "runs", "Runs a row.", false, 20,
                                    "COUNT", command_line);
  TCLAP::ValueArg<std::size_t> lines("", "lines", "Lines of the rules.", false,
                                     50, "COUNT", command_line);
  command_line.parse(argc, argv);
  fmt::print("seeds 1 to {}, {} lines ({} bytes)\n", runs.getValue(),
             lines.getValue(),
             MakeRules(Revision{1}, lines.getValue())->text.size());
  fmt::print("{:>9} {:>5} {:>10} {:>10} {:>14} {:>16}\n", "instances", "loss",
             "median s", "longest s", "steady B/s", "B a revision");
  for (const double loss : {0.0, 0.1}) {
    for (const std::size_t size : {8U, 32U, 128U, 370U}) {
      const Row row = Measure(size, loss, runs.getValue(), lines.getValue());
      fmt::print("{:>9} {:>5.2f} {:>10.2f} {:>10.2f} {:>14.0f} {:>16.0f}\n",
                 size, loss, row.seconds[row.seconds.size() / 2],
                 row.seconds.back(), row.steady, row.text);
    }
  }
  return 0;
}

}  // namespace
}  // namespace mimosagauge

int main(int argc, char** argv) {
  try {
    return mimosagauge::Run(argc, argv);
  } catch (const std::exception& error) {
    fmt::print(stderr, "{}\n", error.what());
    return 1;
  }
}
