// Requests go through separate processes: caller, instance, upstream; and,
// where their region has no upstream left, another region's instance.

#include <signal.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "tests/support/cluster.h"
#include "tests/support/wait.h"

namespace mimosagauge {
namespace {

using testing::Cluster;
using testing::ClusterOptions;
using testing::Fetch;
using testing::HttpReply;

[[nodiscard]] ClusterOptions WithRules() {
  ClusterOptions options;
  options.rules = testing::DefaultRules();
  return options;
}

TEST_CASE("requests are answered whole, and where they were served is told") {
  Cluster cluster(WithRules());
  const HttpReply stream =
      Fetch(cluster.instance(0, 0).entry, testing::ChatRequest("two nets"));
  const HttpReply lookup = Fetch(cluster.instance(1, 1).entry,
                                 testing::DeskRequest("GET", "/stock/nets"));
  INFO(cluster.Outputs());
  CHECK(stream.status == 200);
  CHECK(stream.whole);
  CHECK(stream.body.find("data: [DONE]") != std::string::npos);
  CHECK(stream.header("mimosagauge-served-by").starts_with("nairobi-a/"));
  CHECK(lookup.status == 200);
  CHECK(lookup.whole);
  CHECK(lookup.header("mimosagauge-served-by").starts_with("mombasa-a/"));
}

TEST_CASE(
    "with its region's upstreams gone a request goes elsewhere, unless it "
    "must stay") {
  Cluster cluster(WithRules());
  cluster.engine(0, 0).process->Kill();
  cluster.engine(0, 1).process->Kill();
  const HttpReply roaming =
      Fetch(cluster.instance(0, 0).entry, testing::ChatRequest("two nets"));
  auto bound = testing::ChatRequest("two nets");
  bound.headers[0].second = std::string("Bearer ") + testing::kHomeClubToken;
  const HttpReply refused = Fetch(cluster.instance(0, 0).entry, bound);
  INFO(cluster.Outputs());
  CHECK(roaming.status == 200);
  CHECK(roaming.whole);
  CHECK(roaming.header("mimosagauge-served-by").starts_with("mombasa-a/"));
  CHECK(refused.status == 503);
  CHECK(refused.body.find("\"run\":\"not_run\"") != std::string::npos);
}

TEST_CASE("a planned stop lets a stream finish and exits with 0") {
  ClusterOptions options = WithRules();
  options.engine_arguments = {"--tokens", "40", "--token-interval", "100"};
  Cluster cluster(options);
  bool told = false;
  const HttpReply stream = Fetch(
      cluster.instance(0, 0).entry, testing::ChatRequest("a long quotation"),
      [&](const HttpReply& reply) {
        if (!told && !reply.body.empty()) {
          told = true;
          // A second SIGTERM must not cut the stop short.
          cluster.instance(0, 0).process->Signal(SIGTERM);
          std::this_thread::sleep_for(std::chrono::milliseconds(50));
          cluster.instance(0, 0).process->Signal(SIGTERM);
        }
        return true;
      });
  const auto exit_code = cluster.instance(0, 0).process->WaitExit();
  INFO(cluster.Outputs());
  CHECK(told);
  CHECK(stream.status == 200);
  CHECK(stream.whole);
  CHECK(stream.body.find("data: [DONE]") != std::string::npos);
  CHECK(exit_code == 0);
}

// Callers that send one request after the other, each on a new connection, to
// an instance until it is gone.
class SteadyCallers {
 public:
  SteadyCallers(const Endpoint& entry, std::size_t count) {
    for (std::size_t caller = 0; caller < count; ++caller) {
      threads_.emplace_back([this, entry, caller] { Send(entry, caller); });
    }
  }
  ~SteadyCallers() { Stop(); }
  SteadyCallers(const SteadyCallers&) = delete;
  SteadyCallers& operator=(const SteadyCallers&) = delete;

  void Stop() {
    stopped_ = true;
    for (std::thread& thread : threads_) {
      if (thread.joinable()) {
        thread.join();
      }
    }
  }
  /// \returns The paths whose answers came back whole.
  [[nodiscard]] std::set<std::string> answered() const {
    const std::lock_guard lock(mutex_);
    return answered_;
  }

 private:
  void Send(const Endpoint& entry, std::size_t caller) {
    for (int sent = 0; !stopped_; ++sent) {
      const std::string path =
          "/of-" + std::to_string(caller) + "-" + std::to_string(sent);
      const HttpReply reply = Fetch(entry, testing::DeskRequest("POST", path));
      if (reply.whole && reply.status >= 200 && reply.status < 300) {
        const std::lock_guard lock(mutex_);
        answered_.insert(path);
      }
    }
  }

  std::atomic<bool> stopped_{false};
  mutable std::mutex mutex_;
  std::set<std::string> answered_;
  std::vector<std::thread> threads_;
};

// Requests that an instance has accepted when it is told to stop, and those
// that it accepts until it is gone.
TEST_CASE("a planned stop under load cuts off no request that was passed on") {
  Cluster cluster(WithRules());
  testing::HttpRequest faults;
  faults.method = "POST";
  faults.target = "/standin/faults";
  faults.body = R"({"delay_ms":40})";
  for (const std::size_t region : {0, 1}) {
    REQUIRE(Fetch(cluster.plain_service(region, 0).entry, faults).status < 300);
  }
  constexpr std::size_t kCallers = 6;
  constexpr std::size_t kBeforeStop = 60;
  SteadyCallers callers(cluster.instance(0, 0).entry, kCallers);
  REQUIRE(testing::WaitUntil(
      [&callers] { return callers.answered().size() >= kBeforeStop; }));
  cluster.instance(0, 0).process->Signal(SIGTERM);
  const auto exit_code = cluster.instance(0, 0).process->WaitExit();
  callers.Stop();
  INFO(cluster.Outputs());
  CHECK(exit_code == 0);
  const std::set<std::string> answered = callers.answered();
  std::size_t passed_on = 0;
  for (const std::size_t region : {0, 1}) {
    testing::HttpRequest log;
    log.target = "/standin/log";
    const auto entries = nlohmann::json::parse(
        Fetch(cluster.plain_service(region, 0).entry, log).body);
    for (const auto& entry : entries) {
      CAPTURE(entry.dump());
      CHECK(answered.contains(entry.at("target").get<std::string>()));
      ++passed_on;
    }
  }
  CHECK(passed_on >= kBeforeStop);
}

}  // namespace
}  // namespace mimosagauge
