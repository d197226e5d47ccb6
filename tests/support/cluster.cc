// Planning, starting and stopping of whole systems.

#include "tests/support/cluster.h"

#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <utility>

#include "tests/support/wait.h"

namespace mimosagauge::testing {
namespace {

constexpr std::uint16_t kFirstPort = 20000;
constexpr int kAddressBits = 8;
constexpr int kAddressMask = 0xff;

// Addresses of the loopback range that no other test process uses.
[[nodiscard]] std::string OwnAddress() {
  const int pid = static_cast<int>(getpid());
  return fmt::format("127.{}.{}.1", 1 + ((pid >> kAddressBits) & 0x7f),
                     pid & kAddressMask);
}

[[nodiscard]] std::string Program(const std::string& name) {
  const std::string build = MIMOSAGAUGE_BINARY_DIR;
  return name == "mimosagauge" ? build + "/" + name : build + "/tests/" + name;
}

[[nodiscard]] std::string MakeFolder() {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "mimosagauge-XXXXXX").string();
  if (mkdtemp(pattern.data()) == nullptr) {
    throw std::runtime_error("cannot make a folder for the test");
  }
  return pattern;
}

void WriteFile(const std::string& name, const std::string& text) {
  std::ofstream file(name);
  file << text;
}

[[nodiscard]] std::string ZoneOf(const std::string& region, std::size_t i) {
  return fmt::format("{}-zone-{}", region, i % 2 + 1);
}

}  // namespace

Cluster::Cluster(ClusterOptions options)
    : options_(std::move(options)),
      folder_(MakeFolder()),
      address_(OwnAddress()),
      next_port_(kFirstPort) {
  store_.name = "store";
  store_.entry = NextEndpoint();
  store_.command = {Program("store"), "--listen", ToString(store_.entry)};
  PlanUpstreams();
  PlanInstances();
  Start(store_);
  for (auto* members : {&engines_, &plain_services_, &instances_}) {
    for (ClusterMember& member : *members) {
      Start(member);
    }
  }
  for (const ClusterMember& member : instances_) {
    if (!WaitFor(member, "/healthz")) {
      throw std::runtime_error("not up: " + member.name + "\n" + Outputs());
    }
  }
  for (const ClusterMember& member : instances_) {
    if (!WaitForLinks(member)) {
      throw std::runtime_error("no links: " + member.name + "\n" + Outputs());
    }
  }
  if (options_.rules.empty()) {
    return;
  }
  if (!WaitUntil([this] {
        return ApplyRules(instances_.front(), options_.rules) == 0;
      })) {
    throw std::runtime_error("rules not applied\n" + Outputs());
  }
  for (const ClusterMember& member : instances_) {
    if (!WaitFor(member, "/readyz")) {
      throw std::runtime_error("not ready: " + member.name + "\n" + Outputs());
    }
  }
}

Cluster::~Cluster() {
  for (auto* members : {&instances_, &plain_services_, &engines_}) {
    members->clear();
  }
  store_.process.reset();
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

ClusterMember& Cluster::instance(std::size_t r, std::size_t i) {
  return instances_.at(r * options_.instances + i);
}

ClusterMember& Cluster::engine(std::size_t r, std::size_t i) {
  return engines_.at(r * options_.engines + i);
}

ClusterMember& Cluster::plain_service(std::size_t r, std::size_t i) {
  return plain_services_.at(r * options_.plain_services + i);
}

Relay& Cluster::link_relay(std::size_t r, std::size_t i) {
  return *link_relays_.at(r * options_.instances + i);
}

Endpoint Cluster::LinkAddress(std::size_t instance) const {
  return link_relays_.empty()
             ? instances_[instance].peer
             : Endpoint{"127.0.0.1", link_relays_[instance]->port()};
}

void Cluster::Start(ClusterMember& member) {
  member.process.reset();
  member.process = std::make_unique<Process>(
      member.command, folder_ + "/" + member.name + ".log");
}

bool Cluster::WaitFor(const ClusterMember& member,
                      const std::string& path) const {
  return WaitUntil([&] {
    HttpRequest request;
    request.target = path;
    return Fetch(member.entry, request).status == 200;
  });
}

bool Cluster::WaitForLinks(const ClusterMember& member) const {
  HttpRequest request;
  request.target = "/v1/entry";
  request.headers = {{"Authorization", std::string("Bearer ") + kSchoolToken}};
  return WaitUntil([&] {
    const HttpReply reply = Fetch(member.entry, request);
    return std::all_of(
        instances_.begin(), instances_.end(), [&](const ClusterMember& other) {
          return other.name == member.name ||
                 reply.body.find('"' + other.name + '"') != std::string::npos;
        });
  });
}

std::unique_ptr<Process> Cluster::BeginApplyRules(const ClusterMember& through,
                                                  const std::string& rules) {
  const std::string number = std::to_string(++applied_);
  const std::string file = folder_ + "/rules-" + number + ".txt";
  const std::string token = folder_ + "/operator.token";
  WriteFile(file, rules);
  WriteFile(token, kOperatorToken);
  return std::make_unique<Process>(
      std::vector<std::string>{Program("mimosagauge"), "rules", "apply",
                               "--instance", ToString(through.operators),
                               "--token-file", token, file},
      folder_ + "/apply-" + number + ".log");
}

int Cluster::ApplyRules(const ClusterMember& through,
                        const std::string& rules) {
  return BeginApplyRules(through, rules)->WaitExit().value_or(-1);
}

std::string Cluster::Outputs() const {
  std::string text;
  for (const auto& entry : std::filesystem::directory_iterator(folder_)) {
    if (entry.path().extension() != ".log") {
      continue;
    }
    std::ifstream file(entry.path());
    text += "== " + entry.path().filename().string() + "\n";
    text.append(std::istreambuf_iterator<char>(file), {});
  }
  return text;
}

Endpoint Cluster::NextEndpoint() { return {address_, next_port_++}; }

void Cluster::PlanUpstreams() {
  for (const std::string& region : options_.regions) {
    for (std::size_t i = 0; i < options_.engines; ++i) {
      ClusterMember member;
      member.name = fmt::format("engine-{}-{}", region, i + 1);
      member.region = region;
      member.entry = NextEndpoint();
      member.command = {Program("engine"), "--listen", ToString(member.entry),
                        "--name", member.name};
      member.command.insert(member.command.end(),
                            options_.engine_arguments.begin(),
                            options_.engine_arguments.end());
      engines_.push_back(std::move(member));
    }
    for (std::size_t i = 0; i < options_.plain_services; ++i) {
      ClusterMember member;
      member.name = fmt::format("desk-{}-{}", region, i + 1);
      member.region = region;
      member.entry = NextEndpoint();
      member.command = {Program("plain_service"), "--listen",
                        ToString(member.entry)};
      plain_services_.push_back(std::move(member));
    }
  }
}

void Cluster::PlanInstances() {
  for (const std::string& region : options_.regions) {
    for (std::size_t i = 0; i < options_.instances; ++i) {
      ClusterMember member;
      member.name = fmt::format("{}-{}", region, i + 1);
      member.region = region;
      member.entry = NextEndpoint();
      member.peer = NextEndpoint();
      member.operators = NextEndpoint();
      member.command = {Program("mimosagauge"), "serve", "--settings",
                        folder_ + "/" + member.name + ".yaml"};
      instances_.push_back(std::move(member));
    }
  }
  for (const ClusterMember& member : instances_) {
    if (options_.relayed_links) {
      link_relays_.push_back(std::make_unique<Relay>(member.peer));
    }
  }
  for (const ClusterMember& member : instances_) {
    WriteSettings(member);
  }
}

void Cluster::WriteSettings(const ClusterMember& member) {
  std::string text = fmt::format(
      "instance: {}\nregion: {}\nzone: {}\n"
      "listen: {{entry: '{}', peer: '{}', operators: '{}'}}\n"
      "operator: {{token: {}}}\ntickets: {{token: ticket-secret}}\nplatform: "
      "{{store: ['{}']}}\n",
      member.name, member.region,
      ZoneOf(member.region, member.name.back() - '1'), ToString(member.entry),
      ToString(member.peer), ToString(member.operators), kOperatorToken,
      ToString(store_.entry));
  text += "regions:\n";
  for (const std::string& region : options_.regions) {
    text += fmt::format("  - {{id: {0}, zones: [{0}-zone-1, {0}-zone-2]}}\n",
                        region);
  }
  text += fmt::format(
      "accounts:\n  - {{id: school, token: {}}}\n"
      "  - {{id: home-club, token: {}, home: {}}}\n",
      kSchoolToken, kHomeClubToken, options_.regions.front());
  if (instances_.size() > 1) {
    text += "peers:\n";
  }
  for (std::size_t i = 0; i < instances_.size(); ++i) {
    const ClusterMember& peer = instances_[i];
    if (peer.name != member.name) {
      text += fmt::format(
          "  - {{id: {}, region: {}, zone: {}, peer: '{}', entry: '{}'}}\n",
          peer.name, peer.region, ZoneOf(peer.region, peer.name.back() - '1'),
          ToString(LinkAddress(i)), ToString(peer.entry));
    }
  }
  text += "upstreams:\n";
  for (std::size_t i = 0; i < engines_.size(); ++i) {
    const ClusterMember& engine = engines_[i];
    if (engine.region == member.region) {
      text += fmt::format(
          "  - {{id: {}, service: quote-assistant, kind: engine, zone: {}, "
          "endpoint: '{}', models: [quote-full], concurrency: 8, "
          "honours_resume: true}}\n",
          engine.name, ZoneOf(engine.region, i), ToString(engine.entry));
    }
  }
  for (std::size_t i = 0; i < plain_services_.size(); ++i) {
    const ClusterMember& plain = plain_services_[i];
    if (plain.region == member.region) {
      text += fmt::format(
          "  - {{id: {}, service: order-desk, zone: {}, endpoint: '{}', "
          "concurrency: 32}}\n",
          plain.name, ZoneOf(plain.region, i), ToString(plain.entry));
    }
  }
  WriteFile(folder_ + "/" + member.name + ".yaml",
            text + options_.more_settings);
}

HttpRequest ChatRequest(const std::string& content, bool stream) {
  HttpRequest request;
  request.method = "POST";
  request.target = "/v1/chat/completions";
  request.headers = {{"Authorization", std::string("Bearer ") + kSchoolToken},
                     {"Content-Type", "application/json"}};
  request.body =
      fmt::format(R"({{"model":"quote-full","stream":{},"messages":[)"
                  R"({{"role":"user","content":"{}"}}]}})",
                  stream, content);
  return request;
}

HttpRequest DeskRequest(const std::string& method, const std::string& path,
                        const std::string& key) {
  HttpRequest request;
  request.method = method;
  request.target = "/order-desk" + path;
  request.headers = {{"Authorization", std::string("Bearer ") + kSchoolToken}};
  if (!key.empty()) {
    request.headers.emplace_back("Idempotency-Key", key);
  }
  if (method != "GET") {
    request.headers.emplace_back("Content-Type", "application/json");
    request.body = R"({"deposit":20})";
  }
  return request;
}

std::string DefaultRules() {
  return "route quote-assistant model=quote-*  # Wanjiru Kamau\n"
         "retry yes service=quote-assistant  # Wanjiru Kamau\n"
         "retry yes service=order-desk method=GET  # the clerk\n"
         "stay nairobi-a account=home-*  # the county office\n"
         "due 30s service=quote-assistant  # Wanjiru Kamau\n";
}

}  // namespace mimosagauge::testing
