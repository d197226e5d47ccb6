// A keyed booking runs at most once, whichever instance it is sent to, again
// or at once, with instances killed and frozen and the store down. The record
// of the upstreams says what ran.

#include <signal.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "tests/support/cluster.h"

namespace mimosagauge {
namespace {

using nlohmann::json;
using testing::Cluster;
using testing::ClusterMember;
using testing::ClusterOptions;
using testing::Fetch;
using testing::HttpReply;
using testing::HttpRequest;

[[nodiscard]] ClusterOptions WithRules() {
  ClusterOptions options;
  options.rules = testing::DefaultRules();
  return options;
}

[[nodiscard]] HttpReply Book(const ClusterMember& instance,
                             const std::string& key,
                             const std::string& body = "") {
  HttpRequest request = testing::DeskRequest("POST", "/bookings", key);
  if (!body.empty()) {
    request.body = body;
  }
  return Fetch(instance.entry, request);
}

// A key under a ticket of the instance.
[[nodiscard]] std::string KeyFrom(const ClusterMember& instance,
                                  const std::string& name) {
  HttpRequest request = testing::DeskRequest("GET", "");
  request.target = "/v1/entry";
  const HttpReply reply = Fetch(instance.entry, request);
  return json::parse(reply.body).at("ticket").get<std::string>() + ":" + name;
}

// How often the plain services of both regions ran a booking with this key.
[[nodiscard]] std::size_t Runs(Cluster& cluster, const std::string& key) {
  std::size_t runs = 0;
  for (std::size_t region = 0; region < 2; ++region) {
    HttpRequest request;
    request.target = "/standin/log";
    const HttpReply reply =
        Fetch(cluster.plain_service(region, 0).entry, request);
    std::size_t at = reply.body.find(key);
    while (at != std::string::npos) {
      ++runs;
      at = reply.body.find(key, at + 1);
    }
  }
  return runs;
}

TEST_CASE("a key sent again, to any instance, gets the first answer") {
  const bool ticket = GENERATE(true, false);
  CAPTURE(ticket);
  Cluster cluster(WithRules());
  const std::string key =
      ticket ? KeyFrom(cluster.instance(0, 0), "deposit-1") : "deposit-1";
  const HttpReply first = Book(cluster.instance(0, 0), key);
  std::vector<HttpReply> again;
  for (std::size_t region = 0; region < 2; ++region) {
    for (std::size_t i = 0; i < 2; ++i) {
      again.push_back(Book(cluster.instance(region, i), key));
    }
  }
  const std::size_t runs = Runs(cluster, key);
  INFO(cluster.Outputs());
  CHECK(first.status / 100 == 2);
  for (const HttpReply& reply : again) {
    CHECK(reply.status == first.status);
    CHECK(reply.body == first.body);
  }
  CHECK(runs == 1);
}

TEST_CASE("a key sent to all instances at once runs once") {
  const bool ticket = GENERATE(true, false);
  CAPTURE(ticket);
  Cluster cluster(WithRules());
  const std::string key =
      ticket ? KeyFrom(cluster.instance(1, 1), "deposit-2") : "deposit-2";
  std::vector<HttpReply> replies(4);
  std::vector<std::thread> callers;
  for (std::size_t i = 0; i < replies.size(); ++i) {
    callers.emplace_back(
        [&, i] { replies[i] = Book(cluster.instance(i / 2, i % 2), key); });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  const std::size_t runs = Runs(cluster, key);
  INFO(cluster.Outputs());
  CHECK(runs == 1);
  for (const HttpReply& reply : replies) {
    CAPTURE(reply.body);
    CHECK(reply.status / 100 == 2);
  }
}

TEST_CASE("the same key with another body is refused") {
  Cluster cluster(WithRules());
  const std::string key = KeyFrom(cluster.instance(0, 0), "deposit-3");
  const HttpReply first = Book(cluster.instance(0, 0), key);
  const HttpReply other =
      Book(cluster.instance(0, 0), key, R"({"deposit":21})");
  INFO(cluster.Outputs());
  CHECK(first.status / 100 == 2);
  CHECK(other.status == 422);
  CHECK(Runs(cluster, key) == 1);
}

TEST_CASE("after its owner was killed or frozen a key does not run again") {
  const int signal = GENERATE(SIGKILL, SIGSTOP);
  const bool ticket = GENERATE(true, false);
  CAPTURE(signal, ticket);
  Cluster cluster(WithRules());
  const std::string key =
      ticket ? KeyFrom(cluster.instance(0, 0), "deposit-4") : "deposit-4";
  const HttpReply first = Book(cluster.instance(0, 0), key);
  cluster.instance(0, 0).process->Signal(signal);
  const HttpReply elsewhere = Book(cluster.instance(0, 1), key);
  const HttpReply far = Book(cluster.instance(1, 0), key);
  cluster.instance(0, 0).process->Signal(SIGCONT);
  const std::size_t runs = Runs(cluster, key);
  INFO(cluster.Outputs());
  CHECK(first.status / 100 == 2);
  CHECK(runs == 1);
  for (const HttpReply& reply : {elsewhere, far}) {
    CAPTURE(reply.body);
    CHECK(reply.status / 100 == 5);
    CHECK(reply.body.find(R"("run":"unknown")") != std::string::npos);
  }
}

TEST_CASE("with the store down ticketed keys run and bare ones do not") {
  Cluster cluster(WithRules());
  cluster.store().process->Kill();
  const std::string key = KeyFrom(cluster.instance(0, 0), "deposit-5");
  const HttpReply under_ticket = Book(cluster.instance(0, 1), key);
  const HttpReply bare = Book(cluster.instance(0, 0), "deposit-6");
  const std::size_t ticket_runs = Runs(cluster, key);
  const std::size_t bare_runs = Runs(cluster, "deposit-6");
  INFO(cluster.Outputs());
  CHECK(under_ticket.status / 100 == 2);
  CHECK(ticket_runs == 1);
  CHECK(bare.status / 100 == 5);
  CHECK(bare_runs == 0);
}

}  // namespace
}  // namespace mimosagauge
