// The example settings and rules have no fault, and the rules decide as their
// comments say.

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include "mimosagauge/impl/rules/rule_set.h"
#include "mimosagauge/impl/settings/settings.h"

namespace mimosagauge {
namespace {

[[nodiscard]] std::filesystem::path ExamplesFolder() {
  return std::filesystem::path(MIMOSAGAUGE_SOURCE_DIR) / "examples";
}

[[nodiscard]] RuleSet LoadExampleRules(const std::string& customer) {
  std::ifstream stream(ExamplesFolder() / customer / "rules.txt");
  std::ostringstream text;
  text << stream.rdbuf();
  std::vector<RuleFault> faults;
  RuleSet rules = ParseRules(text.str(), faults);
  for (const RuleFault& fault : faults) {
    FAIL_CHECK(customer << ':' << fault.line << ':' << fault.column << ": "
                        << fault.message);
  }
  return rules;
}

TEST_CASE("the example settings hold") {
  std::size_t files = 0;
  for (const auto& entry :
       std::filesystem::recursive_directory_iterator(ExamplesFolder())) {
    if (entry.path().extension() != ".yaml") {
      continue;
    }
    ++files;
    std::vector<SettingsFault> faults;
    const Settings settings = LoadSettings(entry.path().string(), faults);
    for (const SettingsFault& fault : faults) {
      FAIL_CHECK(fault.file << ':' << fault.line << ": " << fault.message);
    }
    CHECK(settings.instance.value() == entry.path().stem().string());
    CHECK_FALSE(settings.operator_token.empty());
  }
  CHECK(files >= 16);
}

struct Example {
  std::string customer;
  RequestTraits traits;
  std::string service;
  std::vector<std::string> regions;
  int priority;
  bool idempotent;
  Duration due;
};

TEST_CASE("the example rules decide as their comments say") {
  using std::chrono::minutes;
  using std::chrono::seconds;
  const std::string chat = "/v1/chat/completions";
  const auto example = GENERATE_COPY(values<Example>({
      {"kamau",
       {ServiceId{}, ModelId{"quote-full"}, "POST", chat,
        AccountId{"county-kiambu"}, RegionId{"kisumu-a"}},
       "quote-assistant",
       {"nairobi-a", "mombasa-a"},
       1,
       true,
       minutes(5)},
      {"kamau",
       {ServiceId{}, ModelId{"quote-quick"}, "POST", chat,
        AccountId{"telephone-desk"}, RegionId{"kisumu-a"}},
       "quote-assistant",
       {},
       4,
       true,
       seconds(20)},
      {"kamau",
       {ServiceId{"order-desk"}, ModelId{}, "POST", "/order-desk/deposits",
        AccountId{"lakeside-academy"}, RegionId{"kisumu-a"}},
       "order-desk",
       {"kisumu-a"},
       2,
       false,
       seconds(20)},
      {"cabine-nordeste",
       {ServiceId{"agenda-app"}, ModelId{}, "POST", "/agenda-app/bookings",
        AccountId{"estudio-recife"}, RegionId{"salvador-pituba"}},
       "agenda-app",
       {"recife-boa-viagem"},
       1,
       false,
       seconds(5)},
      {"cabine-nordeste",
       {ServiceId{}, ModelId{"roteiro-review"}, "POST", chat,
        AccountId{"agencia-pelourinho"}, RegionId{"salvador-pituba"}},
       "roteiro-model",
       {"salvador-pituba"},
       6,
       true,
       minutes(30)},
  }));
  CAPTURE(example.customer, example.traits.path, example.traits.model.value());
  const RuleSet rules = LoadExampleRules(example.customer);
  const Verdict verdict = DecideByRules(rules, example.traits);
  CHECK(verdict.service.value() == example.service);
  std::vector<std::string> regions;
  for (const RegionId& region :
       verdict.regions.value_or(std::vector<RegionId>{})) {
    regions.push_back(region.value());
  }
  CHECK(regions == example.regions);
  CHECK(verdict.priority == example.priority);
  CHECK(verdict.idempotent == example.idempotent);
  CHECK(verdict.due == example.due);
}

}  // namespace
}  // namespace mimosagauge
