// Measures how long a decision and a check of a whole rules text take, by the
// number of rules.

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "mimosagauge/impl/rules/rule_set.h"

namespace mimosagauge {
namespace {

using Clock = std::chrono::steady_clock;

constexpr std::size_t kAccounts = 4'400;
constexpr std::size_t kDecisions = 200'000;
constexpr std::size_t kRounds = 7;

[[nodiscard]] std::string RuleLine(std::size_t i) {
  constexpr const char* kAskedBy = "  # order desk";
  switch (i % 5) {
    case 0:
      return fmt::format("stay nairobi-a,mombasa-a account=club-{}{}", i,
                         kAskedBy);
    case 1:
      return fmt::format(
          "priority {} service=quote-assistant account=club-{}{}", 1 + i % 9, i,
          kAskedBy);
    case 2:
      return fmt::format("due {}s account=county-{}-* model=quote-full{}",
                         1 + i % 60, i, kAskedBy);
    case 3:
      return fmt::format("retry yes path=/order-desk/v{}/* method=GET{}", i,
                         kAskedBy);
    default:
      return fmt::format("route quote-assistant model=quote-{}-*{}", i,
                         kAskedBy);
  }
}

/// Rules for single accounts, counties, paths and models, with the general
/// ones last.
[[nodiscard]] std::string RulesText(std::size_t count) {
  std::string text;
  for (std::size_t i = 0; i + 5 < count; ++i) {
    text += RuleLine(i) + "\n";
  }
  text += "route quote-assistant model=quote-*  # order desk\n";
  text += "stay nairobi-a service=quote-assistant  # order desk\n";
  text += "priority 3 service=quote-assistant  # order desk\n";
  text += "retry yes service=quote-assistant  # order desk\n";
  text += "due 20s service=quote-assistant  # order desk\n";
  return text;
}

[[nodiscard]] std::vector<RequestTraits> Requests() {
  std::vector<RequestTraits> requests;
  for (std::size_t i = 0; i < kAccounts; ++i) {
    requests.push_back({ServiceId{}, ModelId{fmt::format("quote-{}-a", i)},
                        "POST", "/v1/chat/completions",
                        AccountId{fmt::format("club-{}", i)},
                        RegionId{"nairobi-a"}});
  }
  return requests;
}

[[nodiscard]] double NanosecondsSince(Clock::time_point start) {
  return std::chrono::duration<double, std::nano>(Clock::now() - start).count();
}

/// \returns Nanoseconds per decision in the median round.
[[nodiscard]] double MeasureDecide(const RuleSet& rules,
                                   const std::vector<RequestTraits>& requests) {
  std::vector<double> rounds;
  std::size_t lines = 0;
  for (std::size_t round = 0; round < kRounds; ++round) {
    const auto start = Clock::now();
    for (std::size_t i = 0; i < kDecisions; ++i) {
      lines += DecideByRules(rules, requests[i % requests.size()]).lines.size();
    }
    rounds.push_back(NanosecondsSince(start) / kDecisions);
  }
  if (lines == 0) {
    fmt::print("no rule decided anything\n");
  }
  std::sort(rounds.begin(), rounds.end());
  return rounds[kRounds / 2];
}

void Measure(std::size_t count, const std::vector<RequestTraits>& requests) {
  const std::string text = RulesText(count);
  std::vector<RuleFault> faults;
  const auto start = Clock::now();
  const RuleSet rules = ParseRules(text, faults);
  const double parse = NanosecondsSince(start);
  for (const RuleFault& fault : faults) {
    fmt::print("line {}: {}\n", fault.line, fault.message);
  }
  fmt::print("{:>6} rules: {:>7.0f} ns per decision, {:>8.2f} ms to check\n",
             rules.rules.size(), MeasureDecide(rules, requests), parse / 1e6);
}

}  // namespace
}  // namespace mimosagauge

int main() {
  const auto requests = mimosagauge::Requests();
  for (const std::size_t count : {10, 100, 1'000, 5'000}) {
    mimosagauge::Measure(count, requests);
  }
  return 0;
}
