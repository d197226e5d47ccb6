// Measures how time and memory of the decisions grow with upstreams, peers and
// requests in progress, and prints the slopes as Markdown tables.

#include <fmt/format.h>
#include <malloc.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <iterator>
#include <memory>
#include <new>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "mimosagauge/impl/decisions/gateway.h"
#include "mimosagauge/impl/rules/rule_set.h"

namespace {

// One thread allocates.
std::size_t held_bytes = 0;

void Release(void* block) noexcept {
  held_bytes -= malloc_usable_size(block);
  std::free(block);
}

}  // namespace

void* operator new(std::size_t size, const std::nothrow_t&) noexcept {
  void* const block = std::malloc(size);
  held_bytes += malloc_usable_size(block);
  return block;
}
void* operator new(std::size_t size) {
  void* const block = operator new(size, std::nothrow);
  if (block == nullptr) {
    throw std::bad_alloc();
  }
  return block;
}
void operator delete(void* block) noexcept { Release(block); }
void operator delete(void* block, std::size_t) noexcept { Release(block); }

namespace mimosagauge {
namespace {

using Clock = std::chrono::steady_clock;

constexpr std::size_t kAccounts = 4'400;
constexpr std::size_t kModels = 25;
constexpr std::size_t kRounds = 7;
constexpr std::size_t kArrivals = 4'000;  // In a round.
constexpr std::size_t kBodies = 20'000;   // In a round.
constexpr std::size_t kViews = 200;       // In a round.
constexpr std::size_t kBodyBytes = 120;   // One token as a server-sent event.
constexpr std::size_t kAllUpstreams = 600;
constexpr std::size_t kAllPeers = 370;
constexpr std::array<std::size_t, 5> kUpstreamCounts{6, 25, 60, 120, 600};
constexpr std::array<std::size_t, 3> kPeerCounts{8, 74, 370};
constexpr std::array<std::size_t, 3> kRequestCounts{256, 1'024, 4'096};

// One line for each account, a tenth of them bound to their home.
[[nodiscard]] std::string RulesText() {
  std::string text;
  auto out = std::back_inserter(text);
  for (std::size_t i = 0; i < kAccounts; ++i) {
    if (i % 10 == 0) {
      fmt::format_to(out, "stay nairobi-a account=club-{}  # order desk\n", i);
    } else {
      fmt::format_to(out, "priority {} account=club-{}  # order desk\n",
                     1 + i % 9, i);
    }
  }
  text += "route quote-assistant model=quote-*  # order desk\n";
  text += "due 20s service=quote-assistant  # order desk\n";
  return text;
}

[[nodiscard]] std::shared_ptr<const RuleSet> Rules() {
  std::vector<RuleFault> faults;
  auto rules = std::make_shared<RuleSet>(ParseRules(RulesText(), faults));
  for (const RuleFault& fault : faults) {
    fmt::print(stderr, "line {}: {}\n", fault.line, fault.message);
  }
  if (!faults.empty()) {
    std::exit(EXIT_FAILURE);
  }
  rules->revision = Revision{1};
  return rules;
}

[[nodiscard]] ModelId Model(std::size_t i) {
  return ModelId{fmt::format("quote-{}", i % kModels)};
}

[[nodiscard]] GatewayConfig Config(std::size_t upstreams, std::size_t peers) {
  GatewayConfig config;
  config.instance = InstanceId{"nairobi-0"};
  config.region = RegionId{"nairobi-a"};
  config.zone = ZoneId{"nairobi-a-0"};
  for (std::size_t i = 0; i < upstreams; ++i) {
    config.upstreams.push_back({UpstreamId{fmt::format("engine-{}", i)},
                                ServiceId{"quote-assistant"},
                                ZoneId{fmt::format("nairobi-a-{}", i % 3)},
                                {Model(i), Model(i + 7)},
                                8,
                                true});
  }
  for (std::size_t i = 1; i <= peers; ++i) {
    const std::size_t region = i % 5;
    config.peers.push_back(
        {InstanceId{fmt::format("instance-{}", i)},
         RegionId{fmt::format("region-{}", region)},
         ZoneId{fmt::format("region-{}-{}", region, i % 3)},
         {fmt::format("10.0.{}.{}", i / 250, i % 250), 8080}});
  }
  config.limits.requests = kRequestCounts.back() * 2;
  config.limits.queued = kRequestCounts.back() * 2;
  return config;
}

/// A gateway with rules, all its links up, and a clock that stands.
class Bench {
 public:
  Bench(std::size_t upstreams, std::size_t peers,
        const std::shared_ptr<const RuleSet>& rules)
      : gateway_(MakeGateway(Config(upstreams, peers), TimePoint{}, 1)),
        models_(std::min(upstreams, kModels)) {
    static_cast<void>(Do(RulesReceived{rules}));
    for (std::size_t i = 1; i <= peers; ++i) {
      static_cast<void>(
          Do(LinkChanged{InstanceId{fmt::format("instance-{}", i)}, true}));
    }
    static_cast<void>(Do(Tick{}));
  }

  [[nodiscard]] std::vector<Effect> Do(Event event) {
    return Step(gateway_, kNow, std::move(event));
  }

  /// \returns Arrivals of so many requests, of all accounts and models in turn.
  [[nodiscard]] std::vector<Event> Arrivals(std::size_t count) {
    std::vector<Event> events;
    events.reserve(count);
    for (std::size_t i = 0; i < count; ++i) {
      events.emplace_back(Arrival());
    }
    return events;
  }

  void AbandonAll() {
    std::vector<RequestNumber> numbers;
    for (const auto& [number, record] : gateway_.requests) {
      numbers.push_back(number);
    }
    for (const RequestNumber number : numbers) {
      static_cast<void>(Do(RequestAbandoned{number}));
    }
  }

  [[nodiscard]] InstanceView Look() const { return View(gateway_, kNow); }
  [[nodiscard]] const Gateway& gateway() const noexcept { return gateway_; }

 private:
  static constexpr TimePoint kNow{std::chrono::seconds(1)};

  [[nodiscard]] RequestArrived Arrival() {
    auto head = std::make_shared<RequestHead>();
    head->id = RequestId{fmt::format("{:032}", next_)};
    head->account = AccountId{fmt::format("club-{}", next_ / 2 % kAccounts)};
    head->entry_region = RegionId{"nairobi-a"};
    head->model = Model(next_ / 2 % models_);
    head->method = "POST";
    head->caller_path = "/v1/chat/completions";
    head->target = head->caller_path;
    const RequestNumber number{next_};
    next_ += 2;
    return {number, Origin::kCaller, std::move(head), body_};
  }

  Gateway gateway_;
  std::size_t models_;
  std::uint64_t next_ = 2;
  BodyPtr body_ = std::make_shared<const std::string>("{}");
};

[[nodiscard]] double Median(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

/// \returns Nanoseconds of one call of `work`, of `count` calls.
template <typename Work>
[[nodiscard]] double TimeEach(std::size_t count, const Work& work) {
  const auto start = Clock::now();
  for (std::size_t i = 0; i < count; ++i) {
    work(i);
  }
  return std::chrono::duration<double, std::nano>(Clock::now() - start)
             .count() /
         static_cast<double>(count);
}

/// \returns Bytes held from the allocator, its rounding up included.
[[nodiscard]] double HeldBytes() { return static_cast<double>(held_bytes); }

/// \returns Nanoseconds of an arrival that finds an upstream free.
[[nodiscard]] double ArrivalTime(Bench& bench, std::size_t upstreams) {
  const std::size_t batch = upstreams * 2;  // A quarter of all places.
  std::vector<double> rounds;
  for (std::size_t round = 0; round < kRounds; ++round) {
    double sum = 0;
    std::size_t done = 0;
    while (done < kArrivals) {
      std::vector<Event> events = bench.Arrivals(batch);
      sum += TimeEach(batch,
                      [&](std::size_t i) {
                        static_cast<void>(bench.Do(std::move(events[i])));
                      }) *
             static_cast<double>(batch);
      done += batch;
      bench.AbandonAll();
    }
    rounds.push_back(sum / static_cast<double>(done));
  }
  return Median(std::move(rounds));
}

/// \brief Begins one answer.
/// \returns Its attempt.
[[nodiscard]] AttemptNumber BeginAnswer(Bench& bench) {
  static_cast<void>(bench.Do(std::move(bench.Arrivals(1).front())));
  const AttemptNumber attempt = bench.gateway().attempts.begin()->first;
  AnswerHead head;
  head.status = 200;
  head.headers.push_back({"content-type", "text/event-stream"});
  static_cast<void>(bench.Do(AttemptHeadReceived{attempt, std::move(head)}));
  return attempt;
}

/// \returns Nanoseconds of one event of the answer `attempt` and of the credit
/// for it, together.
[[nodiscard]] double BodyTime(Bench& bench, AttemptNumber attempt) {
  const RequestNumber number = bench.gateway().attempts.at(attempt);
  std::vector<double> rounds;
  for (std::size_t round = 0; round < kRounds; ++round) {
    rounds.push_back(TimeEach(kBodies, [&](std::size_t) {
      static_cast<void>(bench.Do(AttemptBodyReceived{
          attempt, std::string(kBodyBytes, 'x'), std::nullopt}));
      static_cast<void>(bench.Do(AnswerConsumed{number, Bytes{kBodyBytes}}));
    }));
  }
  return Median(std::move(rounds));
}

// Fills every upstream and lets requests wait behind them.
void Saturate(Bench& bench, std::size_t upstreams) {
  for (Event& event : bench.Arrivals(upstreams * 8 + 64)) {
    static_cast<void>(bench.Do(std::move(event)));
  }
}

void PrintSteps(const std::shared_ptr<const RuleSet>& rules) {
  fmt::print(
      "| upstreams | arrival, ns | to the first | body event and credit, ns | "
      "the same with requests waiting, ns |\n| ---: | ---: | ---: | ---: | "
      "---: |\n");
  double first = 0;
  for (const std::size_t upstreams : kUpstreamCounts) {
    Bench bench(upstreams, kAllPeers, rules);
    const double arrival = ArrivalTime(bench, upstreams);
    first = first == 0 ? arrival : first;
    const AttemptNumber attempt = BeginAnswer(bench);
    const double body = BodyTime(bench, attempt);
    Saturate(bench, upstreams);
    const double waiting = BodyTime(bench, attempt);
    fmt::print("| {} | {:.0f} | {:.2f} | {:.0f} | {:.0f} |\n", upstreams,
               arrival, arrival / first, body, waiting);
  }
}

void PrintRequestMemory(const std::shared_ptr<const RuleSet>& rules) {
  fmt::print("\n| requests in progress | bytes each |\n| ---: | ---: |\n");
  for (const std::size_t count : kRequestCounts) {
    Bench bench(kAllUpstreams, 0, rules);
    const double before = HeldBytes();
    for (Event& event : bench.Arrivals(count)) {
      static_cast<void>(bench.Do(std::move(event)));
    }
    fmt::print("| {} | {:.0f} |\n", count,
               (HeldBytes() - before) / static_cast<double>(count));
  }
}

template <typename Counts, typename Make>
void PrintMemory(const char* name, const Counts& counts, const Make& make) {
  fmt::print("\n| {} | bytes each |\n| ---: | ---: |\n", name);
  for (const std::size_t count : counts) {
    const double before = HeldBytes();
    const Gateway gateway = MakeGateway(make(count), TimePoint{}, 1);
    fmt::print("| {} | {:.0f} |\n", count,
               (HeldBytes() - before) / static_cast<double>(count));
  }
}

void PrintViews(const std::shared_ptr<const RuleSet>& rules) {
  fmt::print(
      "\n| peers | view, us | to the first | entries, bytes | metrics, bytes "
      "|\n| ---: | ---: | ---: | ---: | ---: |\n");
  double first = 0;
  for (const std::size_t peers : kPeerCounts) {
    Bench bench(kAllUpstreams, peers, rules);
    const AttemptNumber attempt = BeginAnswer(bench);
    static_cast<void>(bench.Do(AttemptEnded{attempt}));
    std::vector<double> rounds;
    for (std::size_t round = 0; round < kRounds; ++round) {
      rounds.push_back(TimeEach(
          kViews, [&](std::size_t) { static_cast<void>(bench.Look()); }));
    }
    const double time = Median(std::move(rounds));
    first = first == 0 ? time : first;
    const InstanceView view = bench.Look();
    const std::size_t metrics = view.metrics.size();
    const double before = HeldBytes();
    const std::vector<EntryInstance> copy(view.entries);
    fmt::print("| {} | {:.1f} | {:.2f} | {:.0f} | {} |\n", peers, time / 1e3,
               time / first, HeldBytes() - before, metrics);
  }
}

void PrintRulesMemory() {
  const double before = HeldBytes();
  const auto rules = Rules();
  fmt::print(
      "\nA rule set of {} lines, {} bytes of text, holds {:.0f} bytes.\n",
      rules->rules.size(), rules->text.size(), HeldBytes() - before);
}

}  // namespace
}  // namespace mimosagauge

int main() {
  using namespace mimosagauge;  // NOLINT(google-build-using-namespace)
  const auto rules = Rules();
  PrintSteps(rules);
  PrintRequestMemory(rules);
  PrintMemory("upstreams", kUpstreamCounts,
              [](std::size_t count) { return Config(count, 0); });
  PrintMemory("peers", kPeerCounts,
              [](std::size_t count) { return Config(0, count); });
  PrintViews(rules);
  PrintRulesMemory();
  return 0;
}
