// Rendering of the deploy file's template, upstreams and callers.

#include "tests/support/platform_fleet.h"

#include <fmt/format.h>
#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/replace.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <set>
#include <sstream>
#include <stdexcept>
#include <utility>

#include "tests/support/http_client.h"
#include "tests/support/wait.h"

namespace mimosagauge::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint16_t kFirstPort = 21000;
constexpr std::size_t kSlots = 6;
constexpr milliseconds kWork{15};
constexpr const char* kHost = "desk.example";
constexpr const char* kSettingsVariable = "MIMOSAGAUGE_SETTINGS";

[[nodiscard]] std::string ReadFile(const std::string& name) {
  std::ifstream file(name);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

// The words of `run` in the deploy file, with the program of this build.
[[nodiscard]] std::vector<std::string> DeployCommand() {
  const std::string deploy =
      ReadFile(MIMOSAGAUGE_SOURCE_DIR "/deploy/system.toml");
  const std::string key = "run = \"";
  const std::size_t begin = deploy.find(key) + key.size();
  const std::string run = deploy.substr(begin, deploy.find('"', begin) - begin);
  std::vector<std::string> words;
  boost::split(words, run, boost::is_any_of(" "));
  words.front() = MIMOSAGAUGE_BINARY_DIR "/mimosagauge";
  return words;
}

[[nodiscard]] std::string MakeFolder() {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "mimosagauge-fleet-XXXXXX")
          .string();
  if (mkdtemp(pattern.data()) == nullptr) {
    throw std::runtime_error("cannot make a folder for the test");
  }
  return pattern;
}

// The content of the template's section of this name.
[[nodiscard]] std::string SectionOf(const std::string& text,
                                    const std::string& name) {
  const std::string begin = "{{#" + name + "}}";
  const std::size_t start = text.find(begin) + begin.size();
  return text.substr(start, text.find("{{/" + name + "}}") - start);
}

// Replaces the template's section of this name, with its marks.
void ReplaceSection(std::string& text, const std::string& name,
                    const std::string& content) {
  const std::string end = "{{/" + name + "}}";
  const std::size_t start = text.find("{{#" + name + "}}");
  text.replace(start, text.find(end) + end.size() - start, content);
}

// An address of the loopback range that no other test process uses.
[[nodiscard]] std::string OwnAddress() {
  const int pid = static_cast<int>(getpid());
  return fmt::format("127.{}.{}.2", 1 + ((pid >> 8) & 0x7f), pid & 0xff);
}

[[nodiscard]] std::string RegionName(std::size_t region) {
  return fmt::format("region-{}", region + 1);
}

[[nodiscard]] std::string ZoneName(std::size_t region) {
  return RegionName(region) + "-a";
}

[[nodiscard]] std::size_t CountBetween(
    const std::vector<FleetClock::time_point>& times,
    FleetClock::time_point begin, FleetClock::time_point end) {
  return static_cast<std::size_t>(
      std::lower_bound(times.begin(), times.end(), end) -
      std::lower_bound(times.begin(), times.end(), begin));
}

}  // namespace

void FleetJournal::AddSent(const std::string& request) {
  const std::lock_guard lock(mutex_);
  sent_.push_back({request, FleetClock::now()});
}

void FleetJournal::AddArrival(const std::string& request) {
  const std::lock_guard lock(mutex_);
  arrivals_.push_back({request, FleetClock::now()});
}

std::vector<FleetRecord> FleetJournal::sent() const {
  const std::lock_guard lock(mutex_);
  return sent_;
}

std::vector<FleetRecord> FleetJournal::arrivals() const {
  const std::lock_guard lock(mutex_);
  return arrivals_;
}

RepeatWindow WorstRepeatWindow(const FleetJournal& journal, double ratio,
                               double slack, std::chrono::seconds length) {
  std::vector<FleetClock::time_point> sent;
  for (const FleetRecord& record : journal.sent()) {
    sent.push_back(record.at);
  }
  std::vector<FleetClock::time_point> repeats;
  std::set<std::string> arrived;
  for (const FleetRecord& record : journal.arrivals()) {
    if (!arrived.insert(record.request).second) {
      repeats.push_back(record.at);
    }
  }
  RepeatWindow worst;
  bool found = false;
  // A window with the largest excess begins at a repeat or ends at one; of
  // these, the ones that end at a repeat have at most as many requests.
  for (const auto& repeat : repeats) {
    for (const auto& begin : {repeat, repeat - length + milliseconds(1)}) {
      if (begin < sent.front()) {
        continue;
      }
      RepeatWindow window;
      window.repeats = CountBetween(repeats, begin, begin + length);
      for (const auto& earlier : {length * 0, length / 2, length}) {
        window.requests = std::max(
            window.requests,
            CountBetween(sent, begin - earlier, begin - earlier + length));
      }
      window.allowed = ratio * static_cast<double>(window.requests) + slack;
      window.seconds =
          std::chrono::duration<double>(begin - sent.front()).count();
      if (!found || window.excess() > worst.excess()) {
        worst = window;
        found = true;
      }
    }
  }
  return worst;
}

// Upstreams.

FleetUpstream::FleetUpstream(std::string id, std::string zone,
                             PlatformStore& store, FleetJournal& journal)
    : id_(std::move(id)),
      zone_(std::move(zone)),
      store_(store),
      journal_(journal),
      random_(static_cast<unsigned>(std::hash<std::string>{}(id_))) {
  server_ = std::make_unique<StandinServer>(
      io_context_, Endpoint{"127.0.0.1", 0},
      [this](const StandinRequest& request,
             const StandinConnectionPtr& connection) {
        Answer(request, connection);
      });
  thread_ = std::thread([this] { io_context_.run(); });
}

FleetUpstream::~FleetUpstream() {
  io_context_.stop();
  thread_.join();
}

void FleetUpstream::Register(bool draining) {
  store_.Put("servers/" + id_,
             fmt::format(R"({{"service":"desk","addr":"127.0.0.1:{}",)"
                         R"("zone":"{}","version":"v1","slots":{},)"
                         R"("state":"{}","coldLeftMs":0,"seq":1}})",
                         server_->port(), zone_, kSlots,
                         draining ? "draining" : "ready"));
}

void FleetUpstream::Freeze(milliseconds duration) {
  boost::asio::post(io_context_,
                    [duration] { std::this_thread::sleep_for(duration); });
}

void FleetUpstream::SetRetryAfter(const std::string& text) {
  const std::lock_guard lock(mutex_);
  retry_after_ = text;
}

std::vector<FleetClock::time_point> FleetUpstream::arrivals() const {
  const std::lock_guard lock(mutex_);
  return arrivals_;
}

void FleetUpstream::Answer(const StandinRequest& request,
                           const StandinConnectionPtr& connection) {
  const std::string request_id(request["X-Mimosagauge-Request-Id"]);
  std::string echo = "X-Mimosagauge-Request-Id: " + request_id + "\r\n";
  if (leaving_) {
    echo += "Server-Leaving: 1\r\n";
  }
  if (request["X-Mimosagauge-Expect-Instance"] != id_) {
    return connection->Whole(421, "text/plain", "", echo);
  }
  if (!request_id.empty()) {
    journal_.AddArrival(request_id);
    const std::lock_guard lock(mutex_);
    arrivals_.push_back(FleetClock::now());
    if (!retry_after_.empty()) {
      return connection->Whole(503, "text/plain", "",
                               echo + "X-Mimosagauge-Not-Run: true\r\n" +
                                   "Retry-After: " + retry_after_ + "\r\n");
    }
  }
  if (running_ >= 2 * kSlots) {
    return connection->Whole(503, "text/plain", "",
                             echo + "X-Mimosagauge-Not-Run: true\r\n");
  }
  ++running_;
  const double draw = std::uniform_real_distribution<double>()(random_);
  auto timer = std::make_shared<boost::asio::steady_timer>(io_context_, kWork);
  timer->async_wait([this, timer, connection, echo,
                     draw](const boost::system::error_code& error) {
    --running_;
    if (error) {
      return;
    }
    if (draw < losing_) {
      return connection->Reset();
    }
    connection->Whole(draw < losing_ + failing_ ? 500 : 200, "text/plain", "ok",
                      echo + "X-Mimosagauge-Stamp: s-" + id_ + "\r\n");
  });
}

// The fleet.

PlatformFleet::PlatformFleet(PlatformFleetOptions options)
    : options_(options),
      folder_(MakeFolder()),
      address_(OwnAddress()),
      next_port_(kFirstPort),
      command_(DeployCommand()) {
  WriteConfiguration("");
  if (options_.strict_revocation > milliseconds(0)) {
    store_relay_ = std::make_unique<Relay>(store_.endpoint());
  }
  for (std::size_t region = 0; region < options_.regions; ++region) {
    for (std::size_t i = 0; i < options_.upstreams_per_region; ++i) {
      upstreams_.push_back(std::make_unique<FleetUpstream>(
          NextUpstreamId(), ZoneName(region), store_, journal_));
      upstreams_.back()->Register();
    }
  }
  for (std::size_t i = 0; i < options_.instances; ++i) {
    FleetInstance& instance = instances_.emplace_back();
    instance.name = fmt::format("front-{}", i + 1);
    instance.zone = ZoneName(i % options_.regions);
    WriteSettings(instance);
    Start(instance);
  }
  for (const FleetInstance& instance : instances_) {
    if (!WaitReady(instance)) {
      throw std::runtime_error("not ready: " + instance.name + "\n" +
                               Outputs());
    }
  }
  // Until then each instance has learned of all others.
  std::this_thread::sleep_for(seconds(2));
}

void PlatformFleet::WriteConfiguration(const std::string& accounts) {
  const std::string member =
      accounts.empty() ? "" : R"(,"tenants":)" + accounts;
  store_.Put(
      "op/config",
      fmt::format(R"({{"version":{},"routes":[{{"name":"r-read","host":"{}",)"
                  R"("prefix":"/read/","kind":"idempotent","timeoutMs":2000,)"
                  R"("sloMs":400,"priority":2,"service":"desk",)"
                  R"("attempts":{}}}],"services":[{{"name":"desk",)"
                  R"("healthPath":"/healthz","maxConns":400,"coldS":0,)"
                  R"("coldPerS":0}}],"limits":{{"maxHeaderBytes":16384,)"
                  R"("maxBodyBytes":4194304,"headerTimeoutMs":3000,)"
                  R"("idleTimeoutMs":15000}}{}}})",
                  ++configuration_version_, kHost, options_.attempts, member));
}

int PlatformFleet::Ask(const FleetInstance& instance, const std::string& key) {
  const std::string id = fmt::format("ask-{}", ++next_request_);
  HttpRequest request;
  request.target = "/read/" + id;
  request.timeout = milliseconds(3000);
  request.headers = {{"Host", kHost},
                     {"X-Mimosagauge-Request-Id", id},
                     {"X-Mimosagauge-Deadline-Ms", "3000"},
                     {"Authorization", "Bearer " + key}};
  return Fetch(instance.front, request).status;
}

std::string PlatformFleet::NextUpstreamId() {
  return fmt::format("i-desk-{}", ++next_upstream_);
}

void PlatformFleet::WriteSettings(FleetInstance& instance) {
  std::string text = ReadFile(MIMOSAGAUGE_SOURCE_DIR "/deploy/fleet.yaml");
  std::string zones;
  for (std::size_t region = 0; region < options_.regions; ++region) {
    zones += fmt::format("  - id: \"{}\"\n    region: \"{}\"\n",
                         ZoneName(region), RegionName(region));
  }
  ReplaceSection(text, "zones", zones);
  const auto strict = options_.strict_revocation;
  ReplaceSection(
      text, "bounds.strictRevoke",
      strict == milliseconds(0) ? "" : SectionOf(text, "bounds.strictRevoke"));
  ReplaceSection(
      text, "bounds.quotaWindowS",
      options_.allowances ? SectionOf(text, "bounds.quotaWindowS") : "");
  const auto next_endpoint = [this] {
    return Endpoint{address_, next_port_++};
  };
  instance.front = next_endpoint();
  instance.ready = next_endpoint();
  const std::string zone = instance.zone;
  const bool relayed =
      store_relay_ != nullptr && instances_.size() == options_.instances;
  const Endpoint store =
      relayed ? Endpoint{"127.0.0.1", store_relay_->port()} : store_.endpoint();
  const std::map<std::string, std::string> values{
      {"{{node}}", instance.name},
      {"{{region}}", zone.substr(0, zone.rfind('-'))},
      {"{{zone}}", zone},
      {"{{listen.front}}", ToString(instance.front)},
      {"{{listen.ready}}", ToString(instance.ready)},
      {"{{listen.directory}}", ToString(next_endpoint())},
      {"{{ip}}:{{portRange.0}}", ToString(next_endpoint())},
      {"{{ip}}:{{portRange.1}}", ToString(next_endpoint())},
      {"{{platform.addr}}", ToString(store)},
      {"{{limits.memoryMb}}", "260"},
      {"{{bounds.revokeMs}}",
       std::to_string(options_.strict_revocation.count())},
      {"{{bounds.quotaWindowS}}", "8"},
      {"{{bounds.quotaExcess}}", "0.1"},
      {"{{bounds.quotaSlack}}", "190000"},
      {"{{bounds.configMs}}", "3000"},
      {"{{bounds.retryRatio}}", std::to_string(options_.retry_ratio)},
      {"{{bounds.retrySlack}}", std::to_string(options_.retry_slack)}};
  for (const auto& [name, value] : values) {
    boost::replace_all(text, name, value);
  }
  instance.settings = folder_ + "/" + instance.name + ".yaml";
  std::ofstream(instance.settings) << text;
}

void PlatformFleet::Start(FleetInstance& instance) {
  if (instance.process) {
    instance.process->Kill();
  }
  setenv(kSettingsVariable, instance.settings.c_str(), 1);
  instance.process = std::make_unique<Process>(
      command_, folder_ + "/" + instance.name + ".log");
}

bool PlatformFleet::WaitReady(const FleetInstance& instance) {
  return WaitUntil([&] {
    HttpRequest request;
    request.target = "/mimosagauge/readyz";
    request.timeout = seconds(1);
    return Fetch(instance.ready, request).status == 200;
  });
}

void PlatformFleet::Replace(std::size_t upstream) {
  const std::string zone = upstreams_[upstream]->zone();
  upstreams_[upstream].reset();
  upstreams_[upstream] =
      std::make_unique<FleetUpstream>(NextUpstreamId(), zone, store_, journal_);
  upstreams_[upstream]->Register();
}

void PlatformFleet::RemoveEntry(const std::string& upstream_id) {
  store_.Remove("servers/" + upstream_id);
}

std::string PlatformFleet::Outputs() const {
  std::string outputs;
  for (const FleetInstance& instance : instances_) {
    outputs += "== " + instance.name + "\n" +
               ReadFile(folder_ + "/" + instance.name + ".log");
  }
  return outputs;
}

// Callers.

FleetCallers::FleetCallers(PlatformFleet& fleet, std::size_t threads,
                           milliseconds interval, std::uint64_t seed) {
  for (std::size_t number = 0; number < threads; ++number) {
    threads_.emplace_back([this, &fleet, interval, seed, number] {
      std::minstd_rand random(static_cast<unsigned>(seed * 1000 + number));
      for (std::size_t i = 0; !stop_; ++i) {
        const auto next = FleetClock::now() + interval;
        HttpRequest request;
        const std::string id = fmt::format("r-{}-{}-{}", seed, number, i);
        request.target = "/read/" + id;
        request.timeout = milliseconds(3000);
        request.headers = {{"Host", kHost},
                           {"X-Mimosagauge-Request-Id", id},
                           {"X-Mimosagauge-Deadline-Ms", "3000"}};
        auto& instances = fleet.instances();
        const Endpoint& front = instances[random() % instances.size()].front;
        fleet.journal().AddSent(id);
        answered_ += Fetch(front, request).status == 200 ? 1 : 0;
        std::this_thread::sleep_until(next);
      }
    });
  }
}

FleetCallers::~FleetCallers() { Stop(); }

void FleetCallers::Stop() {
  stop_ = true;
  for (std::thread& thread : threads_) {
    if (thread.joinable()) {
      thread.join();
    }
  }
}

}  // namespace mimosagauge::testing
