// Counters of coordinated placement as text.

#include "mimosagauge/impl/decisions/coordination/metrics.h"

#include <fmt/format.h>

#include <array>
#include <iterator>
#include <string_view>

namespace mimosagauge {
namespace {

struct DecisionCounter {
  std::string_view decision;
  std::uint64_t PlacementMetrics::*counter;
};

constexpr std::array kDecisions{
    DecisionCounter{"granted", &PlacementMetrics::granted},
    DecisionCounter{"queued", &PlacementMetrics::queued},
    DecisionCounter{"refused", &PlacementMetrics::refused},
    DecisionCounter{"elsewhere", &PlacementMetrics::elsewhere},
    DecisionCounter{"returned", &PlacementMetrics::unused},
};
constexpr std::array kFallbacks{
    DecisionCounter{"no_answer", &PlacementMetrics::timed_out},
    DecisionCounter{"unusable_engine", &PlacementMetrics::unusable},
};

}  // namespace

std::string PlacementMetricsText(const PlacementState& state) {
  std::string text;
  if (state.metrics.empty() && !state.own_in_use) {
    return text;
  }
  auto out = std::back_inserter(text);
  text +=
      "# HELP mimosagauge_placement_total Answers of coordinators.\n"
      "# TYPE mimosagauge_placement_total counter\n";
  for (const auto& [service, values] : state.metrics) {
    for (const DecisionCounter& one : kDecisions) {
      fmt::format_to(
          out,
          "mimosagauge_placement_total{{service=\"{}\",decision=\"{}\"}} {}\n",
          service.value(), one.decision, values.*one.counter);
    }
  }
  text +=
      "# HELP mimosagauge_placement_fallback_total Requests placed without a "
      "coordinator.\n"
      "# TYPE mimosagauge_placement_fallback_total counter\n";
  for (const auto& [service, values] : state.metrics) {
    for (const DecisionCounter& one : kFallbacks) {
      fmt::format_to(out,
                     "mimosagauge_placement_fallback_total{{service=\"{}\","
                     "reason=\"{}\"}} {}\n",
                     service.value(), one.decision, values.*one.counter);
    }
  }
  text +=
      "# HELP mimosagauge_engine_refusals_total Attempts that full engines "
      "refused.\n"
      "# TYPE mimosagauge_engine_refusals_total counter\n";
  for (const auto& [service, values] : state.metrics) {
    fmt::format_to(out,
                   "mimosagauge_engine_refusals_total{{service=\"{}\"}} {}\n",
                   service.value(), values.engine_refusals);
  }
  fmt::format_to(
      out,
      "# HELP mimosagauge_coordinator_grants Starts that this instance has "
      "granted and that have not ended.\n"
      "# TYPE mimosagauge_coordinator_grants gauge\n"
      "mimosagauge_coordinator_grants {}\n"
      "# HELP mimosagauge_coordinator_waiting Requests that wait at this "
      "instance as a coordinator.\n"
      "# TYPE mimosagauge_coordinator_waiting gauge\n"
      "mimosagauge_coordinator_waiting {}\n",
      state.own.grants.size(), state.own.waiting.size());
  return text;
}

}  // namespace mimosagauge
