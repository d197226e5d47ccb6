// Every fault of a settings text is named by line with a remedy, all at once.

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "mimosagauge/impl/settings/settings.h"

namespace mimosagauge {
namespace {

constexpr const char* kText = R"(instance: nairobi-a-1
region: nairobi-a
zone: nairobi-a-zone-1
listen:
  entry: 127.0.0.1:8080
  peer: 127.0.0.1:8081
  operators: 127.0.0.1:8082
operator: {token: operator-secret}
platform: {store: [127.0.0.1:2379]}
regions:
  - {id: nairobi-a, zones: [nairobi-a-zone-1]}
  - {id: mombasa-a, zones: [mombasa-a-zone-1]}
links:
  - {between: [nairobi-a, mombasa-a], width: 140Mbit/s}
accounts:
  - {id: county, token: county-secret, home: nairobi-a}
  - {id: school, token: school-secret}
peers:
  - {id: mombasa-a-1, region: mombasa-a, zone: mombasa-a-zone-1,
     peer: 127.0.0.1:8181, entry: 127.0.0.1:8180}
upstreams:
  - {id: desk-1, service: order-desk, zone: nairobi-a-zone-1,
     endpoint: 127.0.0.1:9000}
  - {id: quote-1, service: quote-assistant, zone: nairobi-a-zone-1,
     endpoint: 127.0.0.1:9001, kind: engine, models: [quote-full]}
objectives:
  - {service: order-desk, target: 99.9%, latency: 3s}
policy: {cost_weight: 3, tail_weight: 0.5}
limits: {drain: 2min}
)";

[[nodiscard]] std::string Replace(std::string text, const std::string& from,
                                  const std::string& to) {
  const std::size_t at = text.find(from);
  REQUIRE(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

[[nodiscard]] std::vector<SettingsFault> FaultsOf(const std::string& text) {
  std::vector<SettingsFault> faults;
  static_cast<void>(ParseSettings(text, "a.yaml", faults));
  return faults;
}

TEST_CASE("sound settings are read as written") {
  std::vector<SettingsFault> faults;
  const Settings settings = ParseSettings(kText, "a.yaml", faults);
  CHECK(faults.empty());
  CHECK(settings.limits.drain == std::chrono::minutes(2));
  CHECK(settings.limits.queued == LimitSettings{}.queued);
  REQUIRE(settings.links.size() == 1);
  CHECK(settings.links[0].width == BitsPerSecond{140'000'000});
  CHECK(settings.policy.tail_weight == 0.5);
  CHECK(settings.operator_token == "operator-secret");
  REQUIRE(settings.objectives.size() == 1);
  CHECK(settings.objectives[0].target.value() == Approx(0.999));
  CHECK(settings.upstreams[1].kind == UpstreamKind::kEngine);
}

struct Example {
  std::string from;
  std::string to;
  std::uint32_t line;
  std::string message;
};

TEST_CASE("a fault in the settings is named where it stands") {
  const auto example = GENERATE(values<Example>({
      {"region: n", "regoin: n", 2, "'regoin' is not a key of the settings"},
      {"drain: 2min", "drein: 2min", 29,
       "'limits.drein' is not a key of the settings"},
      {"zone: nairobi-a-zone-1", "", 1, "'zone' is missing"},
      {"service: order-desk, zone", "zone", 22,
       "'upstreams[0].service' is missing"},
      {"zone: n", "region: nairobi-a\nzone: n", 3, "'region' is given twice"},
      {"drain: 2min", "drain: 30", 29,
       "limits.drain: '30' is not a whole number with its unit"},
      {"drain: 2min", "body: 30kB", 29,
       "limits.body: '30kB' is not a whole number with its unit"},
      {"140Mbit/s", "140", 14,
       "links[0].width: '140' is not a whole number with its unit"},
      {"140Mbit/s", "0bit/s", 14,
       "links[0].between: the link has no usable width"},
      {"99.9%", "0.999", 27,
       "objectives[0].target: '0.999' is not a share in percent"},
      {"99.9%", "100%", 27,
       "the target leaves nothing to burn or nothing to reach"},
      {"target", "priority: 10, target", 27, "10 is not a priority"},
      {"drain: 2min", "requests: many", 29,
       "limits.requests: 'many' is not a number"},
      {"drain: 2min", "requests: -1", 29,
       "limits.requests: '-1' is not a number"},
      {"drain: 2min", "requests: 10", 29,
       "limits.queued is 1024, more than limits.requests, 10"},
      {"drain: 2min", "header_timeout: 3min", 29,
       "limits.header_timeout is 3min, longer than limits.idle_timeout, 2min"},
      {"drain: 2min", "silence: 0s", 29, "'limits.silence' is zero"},
      {"limits: {drain: 2min}", "allowances: {window: 500ms}", 29,
       "'allowances.window' is shorter than a lent amount needs"},
      {"limits: {drain: 2min}", "allowances: {excess: 0}", 29,
       "'allowances.excess' leaves no room for amounts that are lent"},
      {"limits: {drain: 2min}", "allowances: {slack: -1}", 29,
       "'allowances.slack' is below zero"},
      {"limits: {drain: 2min}", "allowances: {reserve: 1}", 29,
       "'allowances.reserve' is no part of an allowance"},
      {"limits: {drain: 2min}", "allowances: {window: 8s}", 29,
       "allowances need accounts from the store's configuration"},
      {"{drain: 2min}", "", 29, "'limits' is not a section"},
      {"{drain: 2min}", "{drain: }", 29, "'limits.drain' has no value"},
      {"{drain: 2min}", "{drain: [1s]}", 29,
       "'limits.drain' is not a single value"},
      {"[quote-full]", "quote-full", 25, "'upstreams[1].models' is not a list"},
      {"- {id: school, token: school-secret}", "- school", 17,
       "'accounts[1]' is not a section"},
      {"id: school", "id: a school", 17,
       "accounts[1].id: 'a school' is not a name"},
      {"127.0.0.1:8080", "localhost:8080", 5,
       "listen.entry: 'localhost:8080' is not an address and port"},
      {"127.0.0.1:8081", "127.0.0.1:8080", 6,
       "listen.peer: '127.0.0.1:8080' is also 'listen.entry' on line 5"},
      {"127.0.0.1:8181", "127.0.0.1:8081", 20,
       "peers[0].peer: '127.0.0.1:8081' is also 'listen.peer' on line 6"},
      {"127.0.0.1:8180", "127.0.0.1:0", 20,
       "peers[0].entry: port 0 cannot be reached"},
      {"127.0.0.1:9001", "127.0.0.1:8080", 25,
       "upstreams[1].endpoint: '127.0.0.1:8080' is also 'listen.entry' on "
       "line 5"},
      {"id: mombasa-a-1", "id: nairobi-a-1", 19,
       "peers[0].id: 'nairobi-a-1' is also 'instance' on line 1"},
      {"id: quote-1", "id: desk-1", 24,
       "upstreams[1].id: 'desk-1' is also 'upstreams[0].id' on line 22"},
      {"id: school", "id: county", 17,
       "accounts[1].id: 'county' is also 'accounts[0].id' on line 16"},
      {"school-secret", "county-secret", 17,
       "account 'school' has the token of 'county'"},
      {"school-secret", "operator-secret", 17,
       "account 'school' has the token of the operators"},
      {"token: school-secret", "home: nairobi-a", 17,
       "accounts[1].token is missing"},
      {"token: school-secret", "token: a b", 17,
       "accounts[1].token: the token cannot be sent in a header"},
      {"token: school-secret", "token_file: no-such-file", 17,
       "the file 'no-such-file' cannot be read"},
      {"token: school-secret", "token: s, token_file: /dev/null", 17,
       "accounts[1].token is given twice"},
      {"token: school-secret", "token_file: /dev/null", 17,
       "'/dev/null': the token cannot be sent in a header"},
      {"home: nairobi-a", "home: kisumu-a", 16,
       "accounts[0].home: region 'kisumu-a' is unknown"},
      {"accounts:\n  - {id: county, token: county-secret, home: nairobi-a}",
       "accounts:\n  - bad\n  - {id: county, token: county-secret, home: x}",
       17, "accounts[1].home: region 'x' is unknown"},
      {"\nzone: nairobi-a-zone-1", "\nzone: mombasa-a-zone-1", 3,
       "zone: region 'nairobi-a' has no availability zone 'mombasa-a-zone-1'"},
      {"order-desk, zone: nairobi-a-zone-1",
       "order-desk, zone: mombasa-a-zone-1", 22,
       "upstreams[0].zone: region 'nairobi-a' has no availability zone "
       "'mombasa-a-zone-1'"},
      {"kind: engine, models: [quote-full]", "kind: engine", 24,
       "engine 'quote-1' runs no model"},
      {"kind: engine, ", "", 25, "plain service 'quote-1' has models"},
      {"kind: engine", "kind: gpu", 25,
       "upstreams[1].kind: 'gpu' is not a kind of upstream"},
      {"127.0.0.1:9000", "127.0.0.1:9000, concurrency: 0", 23,
       "upstream 'desk-1' may run no request"},
      {"[nairobi-a, mombasa-a]", "[nairobi-a, nairobi-a]", 14,
       "links[0].between: a link joins two regions"},
      {"[nairobi-a, mombasa-a]", "[nairobi-a]", 14,
       "'links[0].between' does not name two regions"},
      {"cost_weight: 3, tail_weight: 0.5", "cost_weight: 0, tail_weight: 0", 28,
       "the weights do not compare anything"},
      {"policy", "revocation: {strict: 5s}\npolicy", 28,
       "'revocation.strict' applies only to keys in the store"},
      {"policy", "revocation: {strict: 2s}\npolicy", 28,
       "'revocation.strict' is too short"},
      {"policy", "hedging: {limit: 11%}\npolicy", 28,
       "'hedging.limit' is above 'retries.ratio'"},
      {"policy", "hedging: {limit: 5}\npolicy", 28,
       "hedging.limit: '5' is not a share in percent"},
      {"policy", "hedging: {percentile: 100%}\npolicy", 28,
       "'hedging.percentile' does not tell late answers from usual ones"},
      {"policy", "hedging: {percentile: 49%}\npolicy", 28,
       "'hedging.percentile' does not tell late answers from usual ones"},
      {"policy", "hedging: {min_delay: 0s}\npolicy", 28,
       "'hedging.min_delay' is below 1ms"},
      {"policy", "log: {level: loud}\npolicy", 28,
       "'loud' is not a level of the log"},
      {"policy", "link_tls: {key_file: /dev/null}\npolicy", 28,
       "'link_tls.certificate_file' is missing"},
      {"policy: {", "policy: }", 28, "the file is not valid YAML: "},
  }));
  CAPTURE(example.from, example.to);
  const auto faults = FaultsOf(Replace(kText, example.from, example.to));
  bool found = false;
  for (const SettingsFault& fault : faults) {
    INFO(fault.line << ": " << fault.message);
    CHECK_FALSE(fault.remedy.empty());
    CHECK(fault.file == "a.yaml");
    CHECK(fault.message.find("secret") == std::string::npos);
    found = found || (fault.line == example.line &&
                      fault.message.starts_with(example.message));
  }
  std::string all;
  for (const SettingsFault& fault : faults) {
    all += std::to_string(fault.line) + ": " + fault.message + "\n";
  }
  CAPTURE(all);
  CHECK(found);
}

TEST_CASE("a text that is no settings file has one fault") {
  const std::string text =
      GENERATE(as<std::string>{}, "", "a", "- a", "a: 1\n---\nb: 2\n",
               "a: &x [*x, *y]", std::string(600, '['));
  CAPTURE(text);
  CHECK(FaultsOf(text).size() == 1);
}

TEST_CASE("all faults of the settings are named at once") {
  std::string text = Replace(kText, "drain: 2min", "drain: 2, queued: 9999");
  text = Replace(text, "region: nairobi-a", "region: kisumu-a");
  text = Replace(text, "id: quote-1", "id: desk-1");
  std::vector<std::uint32_t> lines;
  for (const SettingsFault& fault : FaultsOf(text)) {
    lines.push_back(fault.line);
  }
  CHECK(lines == std::vector<std::uint32_t>{29, 2, 24, 29});
}

}  // namespace
}  // namespace mimosagauge
