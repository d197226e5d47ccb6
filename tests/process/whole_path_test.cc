// Requests go through separate processes: caller, instance, upstream; and,
// where their region has no upstream left, another region's instance.

#include <signal.h>

#include <catch2/catch.hpp>
#include <string>

#include "tests/support/cluster.h"

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

}  // namespace
}  // namespace mimosagauge
