// Collection of the gateway's metrics and their Prometheus text format.

#include "mimosagauge/impl/decisions/gateway_metrics.h"

#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <iterator>
#include <string_view>

namespace mimosagauge {
namespace {

using Counter = std::uint64_t ServiceMetrics::*;

struct CounterName {
  std::string_view name;
  std::string_view help;
  Counter counter;
};

constexpr std::array kCounters{
    CounterName{"requests", "Requests that came in.",
                &ServiceMetrics::requests},
    CounterName{"answered", "Answers passed on whole.",
                &ServiceMetrics::answered},
    CounterName{"broken", "Answers broken off.", &ServiceMetrics::broken},
    CounterName{"retries", "Attempts after the first.",
                &ServiceMetrics::retries},
    CounterName{"resumed", "Streams continued on another upstream.",
                &ServiceMetrics::resumed},
    CounterName{"forwarded", "Requests given to another region.",
                &ServiceMetrics::forwarded},
};

void AppendCounters(std::string& text, const GatewayMetrics& metrics) {
  auto out = std::back_inserter(text);
  for (const CounterName& counter : kCounters) {
    fmt::format_to(out, "# HELP mimosagauge_{0}_total {1}\n", counter.name,
                   counter.help);
    fmt::format_to(out, "# TYPE mimosagauge_{0}_total counter\n", counter.name);
    for (const auto& [service, values] : metrics.services) {
      fmt::format_to(out, "mimosagauge_{}_total{{service=\"{}\"}} {}\n",
                     counter.name, service.value(), values.*counter.counter);
    }
  }
}

void AppendRefusals(std::string& text, const GatewayMetrics& metrics) {
  auto out = std::back_inserter(text);
  text +=
      "# HELP mimosagauge_refused_total Requests answered with a problem.\n"
      "# TYPE mimosagauge_refused_total counter\n";
  for (const auto& [service, values] : metrics.services) {
    for (const auto& [type, count] : values.refused) {
      fmt::format_to(
          out, "mimosagauge_refused_total{{service=\"{}\",type=\"{}\"}} {}\n",
          service.value(), type, count);
    }
  }
}

void AppendSummary(std::string& text, const GatewayMetrics& metrics,
                   std::string_view name, std::string_view help,
                   TimeSummary ServiceMetrics::*summary) {
  auto out = std::back_inserter(text);
  fmt::format_to(out, "# HELP mimosagauge_{0}_seconds {1}\n", name, help);
  fmt::format_to(out, "# TYPE mimosagauge_{0}_seconds summary\n", name);
  for (const auto& [service, values] : metrics.services) {
    const TimeSummary& times = values.*summary;
    for (std::size_t i = 0; i < kQuantiles.size(); ++i) {
      fmt::format_to(
          out,
          "mimosagauge_{}_seconds{{service=\"{}\",quantile=\"{}\"}} {:.6f}\n",
          name, service.value(), kQuantiles[i], times.quantile(i));
    }
    fmt::format_to(out,
                   "mimosagauge_{0}_seconds_sum{{service=\"{1}\"}} {2:.6f}\n"
                   "mimosagauge_{0}_seconds_count{{service=\"{1}\"}} {3}\n",
                   name, service.value(), times.sum(), times.count());
  }
}

void AppendAccounts(std::string& text, const AccountMetrics& metrics) {
  auto out = std::back_inserter(text);
  if (!metrics.refused.empty()) {
    text +=
        "# HELP mimosagauge_key_refusals_total Requests refused for their "
        "keys or accounts.\n"
        "# TYPE mimosagauge_key_refusals_total counter\n";
  }
  for (const auto& [reason, count] : metrics.refused) {
    fmt::format_to(out, "mimosagauge_key_refusals_total{{reason=\"{}\"}} {}\n",
                   reason, count);
  }
  if (!metrics.strict) {
    return;
  }
  fmt::format_to(
      out,
      "# HELP mimosagauge_confirmations_total Confirmations that the "
      "configuration in force is the newest.\n"
      "# TYPE mimosagauge_confirmations_total counter\n"
      "mimosagauge_confirmations_total{{source=\"store\"}} {}\n"
      "mimosagauge_confirmations_total{{source=\"instances\"}} {}\n",
      metrics.confirmed_by_store, metrics.confirmed_by_peers);
  if (metrics.confirmation_age) {
    fmt::format_to(
        out,
        "# HELP mimosagauge_confirmation_age_seconds Time since the "
        "configuration in force was known to be the newest.\n"
        "# TYPE mimosagauge_confirmation_age_seconds gauge\n"
        "mimosagauge_confirmation_age_seconds {:.3f}\n",
        std::chrono::duration<double>(*metrics.confirmation_age).count());
  }
}

void AppendValue(std::string& text, std::string_view name,
                 std::string_view type, std::string_view help,
                 std::uint64_t value) {
  fmt::format_to(std::back_inserter(text),
                 "# HELP mimosagauge_{0} {1}\n# TYPE mimosagauge_{0} {2}\n"
                 "mimosagauge_{0} {3}\n",
                 name, help, type, value);
}

void AppendHedgeCounter(std::string& text, const GatewayMetrics& metrics,
                        std::string_view name, std::string_view help,
                        const std::function<double(const HedgeMetrics&)>& of) {
  auto out = std::back_inserter(text);
  fmt::format_to(out, "# HELP mimosagauge_{0}_total {1}\n", name, help);
  fmt::format_to(out, "# TYPE mimosagauge_{0}_total counter\n", name);
  for (const auto& [service, values] : metrics.services) {
    fmt::format_to(out, "mimosagauge_{}_total{{service=\"{}\"}} {}\n", name,
                   service.value(), of(values.hedges));
  }
}

// Appends nothing where no request was ever checked for a hedge, as without the
// settings section.
void AppendHedges(std::string& text, const GatewayMetrics& metrics) {
  const bool used = std::any_of(
      metrics.services.begin(), metrics.services.end(), [](const auto& entry) {
        const HedgeMetrics& hedges = entry.second.hedges;
        return hedges.started > 0 || !hedges.blocked.empty();
      });
  if (!used) {
    return;
  }
  const auto to_double = [](std::uint64_t count) {
    return static_cast<double>(count);
  };
  AppendHedgeCounter(
      text, metrics, "hedges", "Second attempts of late requests.",
      [&](const HedgeMetrics& hedges) { return to_double(hedges.started); });
  AppendHedgeCounter(
      text, metrics, "hedges_won", "Second attempts whose answer was used.",
      [&](const HedgeMetrics& hedges) { return to_double(hedges.won); });
  AppendHedgeCounter(
      text, metrics, "hedges_lost",
      "Second attempts whose answer was not used.",
      [&](const HedgeMetrics& hedges) { return to_double(hedges.lost); });
  AppendHedgeCounter(
      text, metrics, "hedge_extra_seconds",
      "Work on attempts that were canceled because the other one had won.",
      [](const HedgeMetrics& hedges) { return hedges.extra_seconds; });
  text +=
      "# HELP mimosagauge_hedges_blocked_total Checks that started no second "
      "attempt.\n"
      "# TYPE mimosagauge_hedges_blocked_total counter\n";
  for (const auto& [service, values] : metrics.services) {
    for (const auto& [reason, count] : values.hedges.blocked) {
      fmt::format_to(
          std::back_inserter(text),
          "mimosagauge_hedges_blocked_total{{service=\"{}\",reason=\"{}\"}} "
          "{}\n",
          service.value(), reason, count);
    }
  }
}

void AppendStreamMetrics(std::string& text, const StreamMetrics& streams) {
  AppendValue(text, "streams_begun_total", "counter",
              "Streams begun here that may be resumed.", streams.begun);
  AppendValue(text, "stream_origins_told_total", "counter",
              "Origins of streams sent to other instances.", streams.told);
  AppendValue(text, "stream_questions_total", "counter",
              "Questions for the origin of a stream sent to other instances.",
              streams.questions);
  AppendValue(text, "stream_messages_total", "counter",
              "Messages about the origins of streams sent.", streams.messages);
  text +=
      "# HELP mimosagauge_stream_resumptions_total Streams that callers "
      "resumed, by how the software version that began them became known.\n"
      "# TYPE mimosagauge_stream_resumptions_total counter\n";
  for (const auto& [origin, count] : {std::pair{"found", streams.found},
                                      std::pair{"concluded", streams.concluded},
                                      std::pair{"unknown", streams.refused}}) {
    fmt::format_to(std::back_inserter(text),
                   "mimosagauge_stream_resumptions_total{{origin=\"{}\"}} {}\n",
                   origin, count);
  }
}

}  // namespace

TimeSummary::TimeSummary()
    : accumulator_(boost::accumulators::extended_p_square_probabilities =
                       kQuantiles) {}

void TimeSummary::Observe(Duration duration) {
  accumulator_(std::chrono::duration<double>(duration).count());
}

std::uint64_t TimeSummary::count() const {
  return boost::accumulators::count(accumulator_);
}

double TimeSummary::sum() const {
  return boost::accumulators::sum(accumulator_);
}

double TimeSummary::quantile(std::size_t i) const {
  if (count() == 0) {
    return 0.0;
  }
  return boost::accumulators::extended_p_square(
      accumulator_)[static_cast<std::ptrdiff_t>(i)];
}

std::string PrometheusText(const GatewayMetrics& metrics) {
  std::string text;
  AppendCounters(text, metrics);
  AppendRefusals(text, metrics);
  AppendAccounts(text, metrics.accounts);
  AppendHedges(text, metrics);
  AppendSummary(text, metrics, "first_byte",
                "Time from arrival to the answer's first byte.",
                &ServiceMetrics::first_byte);
  AppendSummary(text, metrics, "total",
                "Time from arrival to the answer's end.",
                &ServiceMetrics::total);
  text +=
      "# HELP mimosagauge_discarded_total Late events of past attempts.\n"
      "# TYPE mimosagauge_discarded_total counter\n";
  fmt::format_to(std::back_inserter(text), "mimosagauge_discarded_total {}\n",
                 metrics.discarded);
  AppendValue(text, "attempts_outside_homes_total", "counter",
              "Attempts started outside the home regions of their request.",
              metrics.outside_homes);
  AppendStreamMetrics(text, metrics.streams);
  AppendValue(text, "in_progress", "gauge",
              "Requests whose answer is not complete.", metrics.in_progress);
  AppendValue(text, "unwritten", "gauge",
              "Complete answers that their receivers have not taken yet.",
              metrics.unwritten);
  AppendValue(text, "health_requests_total", "counter",
              "Health requests to upstreams while the store was unavailable.",
              metrics.health_requests);
  AppendValue(text, "unwritten_cut_total", "counter",
              "Complete answers whose receiver disconnected before their end.",
              metrics.cut);
  return text;
}

}  // namespace mimosagauge
