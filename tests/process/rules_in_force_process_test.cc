// Rules reach an instance that starts while the store is down, and outlast
// the store and every instance that was there when they were accepted.

#include <catch2/catch.hpp>
#include <string>

#include "tests/support/cluster.h"

namespace mimosagauge {
namespace {

using testing::Cluster;
using testing::ClusterOptions;
using testing::Fetch;
using testing::HttpReply;

TEST_CASE("an instance that starts with the store down learns the rules") {
  ClusterOptions options;
  options.rules = testing::DefaultRules();
  Cluster cluster(options);
  cluster.store().process->Kill();
  cluster.instance(0, 1).process->Kill();
  cluster.Start(cluster.instance(0, 1));
  const bool ready = cluster.WaitFor(cluster.instance(0, 1), "/readyz");
  const HttpReply reply = Fetch(cluster.instance(0, 1).entry,
                                testing::DeskRequest("GET", "/stock/nets"));
  INFO(cluster.Outputs());
  CHECK(ready);
  CHECK(reply.status == 200);
}

}  // namespace
}  // namespace mimosagauge
