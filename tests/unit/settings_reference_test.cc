// docs/SETTINGS.md, the list of keys and the defaults in the code agree.

#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

#include "mimosagauge/impl/core/unit_text.h"
#include "mimosagauge/impl/settings/settings.h"
#include "mimosagauge/impl/settings/settings_keys.h"

namespace mimosagauge {
namespace {

TEST_CASE("the settings reference lists the keys that the code reads") {
  std::vector<std::string> listed;
  std::ifstream stream(MIMOSAGAUGE_SOURCE_DIR "/docs/SETTINGS.md");
  for (std::string line; std::getline(stream, line);) {
    if (line.starts_with("| `")) {
      listed.push_back(line);
    }
  }
  std::vector<std::string> known;
  for (const SettingsKey& key : SettingsKeys()) {
    known.push_back(fmt::format("| `{}` | {} | {} | {} |", key.path, key.form,
                                key.without, key.meaning));
  }
  CHECK(listed == known);
}

TEST_CASE("the settings reference names the defaults that hold") {
  const LimitSettings limits;
  const auto [path, value] = GENERATE_COPY(table<std::string, std::string>({
      {"limits.connections", std::to_string(limits.connections)},
      {"limits.requests", std::to_string(limits.requests)},
      {"limits.queued", std::to_string(limits.queued)},
      {"limits.header", ToString(limits.header)},
      {"limits.body", ToString(limits.body)},
      {"limits.stream_window", ToString(limits.stream_window)},
      {"limits.header_timeout", ToString(limits.header_timeout)},
      {"limits.idle_timeout", ToString(limits.idle_timeout)},
      {"limits.default_due", ToString(limits.default_due)},
      {"limits.silence", ToString(limits.silence)},
      {"limits.drain", ToString(limits.drain)},
      {"platform.prefix", Settings{}.store_prefix},
      {"hedging.percentile",
       fmt::format("{:g}%", 100 * HedgingSettings{}.percentile.value())},
      {"hedging.min_delay", ToString(HedgingSettings{}.min_delay)},
      {"log.level", Settings{}.log_level},
      {"upstreams[].concurrency",
       std::to_string(UpstreamSettings{}.concurrency)},
      {"policy.cost_weight", fmt::format("{}", PolicySettings{}.cost_weight)},
      {"policy.tail_weight", fmt::format("{}", PolicySettings{}.tail_weight)},
  }));
  CAPTURE(path);
  bool found = false;
  for (const SettingsKey& key : SettingsKeys()) {
    if (key.path == path) {
      found = true;
      CHECK(key.without == value);
    }
  }
  CHECK(found);
}

}  // namespace
}  // namespace mimosagauge
