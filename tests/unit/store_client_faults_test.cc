// The store client against the stand-in and its faults.

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "mimosagauge/impl/store/base64.h"
#include "mimosagauge/impl/store/store_client.h"
#include "tests/support/running_store.h"
#include "tests/support/upstream_rig.h"
#include "tests/support/wait.h"

namespace mimosagauge {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;
using testing::RunningStore;
using testing::UnusedEndpoint;

/// \brief A client whose calls are awaited one by one.
class Client {
 public:
  explicit Client(std::vector<Endpoint> endpoints, Duration call_timeout = 20s,
                  Duration read_timeout = 10s) {
    StoreClientSettings settings;
    settings.endpoints = std::move(endpoints);
    settings.call_timeout = call_timeout;
    settings.read_timeout = read_timeout;
    settings.longest_backoff = 100ms;
    client_ = std::make_unique<StoreClient>(io_context_, settings);
  }

  [[nodiscard]] StoreClient& client() { return *client_; }

  template <typename T, typename Begin>
  [[nodiscard]] Result<T> Await(Begin begin) {
    std::optional<Result<T>> result;
    begin([&result](Result<T>&& got) { result.emplace(std::move(got)); });
    Run([&result] { return result.has_value(); });
    REQUIRE(result);
    return std::move(*result);
  }

  [[nodiscard]] Result<StoreReadResult> Get(const std::string& key) {
    return Await<StoreReadResult>(
        [&](auto handler) { client_->Get({key}, handler); });
  }

  [[nodiscard]] Result<StoreCommitResult> Swap(const std::string& key,
                                               StoreRevision modified,
                                               const std::string& value,
                                               LeaseId lease = {}) {
    StoreTransaction transaction;
    transaction.conditions.push_back({key, modified});
    transaction.writes.emplace_back(StorePut{key, value, lease});
    transaction.reads_on_failure.push_back({key});
    return Await<StoreCommitResult>(
        [&](auto handler) { client_->Commit(transaction, handler); });
  }

  /// \brief Runs handlers until the condition holds.
  void Run(const std::function<bool()>& condition) {
    const bool held = testing::WaitUntil([&] {
      io_context_.restart();
      io_context_.poll();
      return condition();
    });
    REQUIRE(held);
  }

 private:
  boost::asio::io_context io_context_;
  std::unique_ptr<StoreClient> client_;
};

[[nodiscard]] std::string ValueOf(const Result<StoreReadResult>& read) {
  REQUIRE(read);
  REQUIRE(read.value().entries.size() == 1);
  return read.value().entries.front().value;
}

TEST_CASE("compare-and-swap lets one of two writers through") {
  RunningStore store;
  Client client({store.endpoint()});
  const auto first = client.Swap("k", StoreRevision{}, "one");
  REQUIRE(first);
  CHECK(first.value().applied);
  const auto second = client.Swap("k", StoreRevision{}, "two");
  REQUIRE(second);
  CHECK_FALSE(second.value().applied);
  REQUIRE(second.value().entries.size() == 1);
  CHECK(second.value().entries.front().value == "one");
  const auto third =
      client.Swap("k", second.value().entries.front().modified, "three");
  REQUIRE(third);
  CHECK(third.value().applied);
  CHECK(ValueOf(client.Get("k")) == "three");
}

TEST_CASE("a lost answer is an unknown outcome and the write is not repeated") {
  RunningStore store;
  Client client({store.endpoint()});
  store.SetFaults({{"lose_answers", 1}});
  const auto lost = client.Swap("k", StoreRevision{}, "v");
  REQUIRE_FALSE(lost);
  CHECK(lost.error().kind == ErrorKind::kUnknownOutcome);
  CHECK(ValueOf(client.Get("k")) == "v");
  CHECK(store.Count("/v3/kv/txn") == 1);
}

TEST_CASE("reads are tried again until a store that was down answers") {
  RunningStore store;
  Client client({store.endpoint()});
  store.SetFaults({{"down", true}});
  std::optional<Result<StoreReadResult>> read;
  client.client().Get({"k"}, [&read](auto&& got) { read.emplace(got); });
  client.Run([&] { return store.Count("/v3/kv/range") >= 3; });
  CHECK_FALSE(read);
  store.SetFaults({{"down", false}});
  client.Run([&] { return read.has_value(); });
  CHECK(bool{*read});
}

TEST_CASE("a write to a store that cannot be reached was not made") {
  Client client({UnusedEndpoint()}, 300ms);
  const auto refused = client.Swap("k", StoreRevision{}, "v");
  REQUIRE_FALSE(refused);
  CHECK(refused.error().kind == ErrorKind::kUnavailable);
}

TEST_CASE("calls go to the next address when one cannot be reached") {
  RunningStore store;
  Client client({UnusedEndpoint(), store.endpoint()});
  const auto applied = client.Swap("k", StoreRevision{}, "v");
  REQUIRE(applied);
  CHECK(applied.value().applied);
}

TEST_CASE("a call ends at its deadline when the store is slow") {
  RunningStore store;
  store.SetFaults({{"slow_ms", 60000}});
  Client client({store.endpoint()}, 200ms);
  const auto read = client.Get("k");
  REQUIRE_FALSE(read);
  CHECK(read.error().kind == ErrorKind::kTimeout);
  const auto write = client.Swap("k", StoreRevision{}, "v");
  REQUIRE_FALSE(write);
  CHECK(write.error().kind == ErrorKind::kUnknownOutcome);
}

TEST_CASE("a read leaves a connection that has gone silent") {
  RunningStore store;
  Client client({store.endpoint()}, 20s, 100ms);
  REQUIRE(client.Get("k"));
  store.SetFaults({{"silence_open", true}});
  CHECK(bool{client.Get("k")});
  CHECK(store.Count("/v3/kv/range") == 3);
}

TEST_CASE("too many waiting calls are refused") {
  RunningStore store;
  store.SetFaults({{"silent", true}});
  Client client({store.endpoint()});
  std::vector<ErrorKind> kinds;
  const StoreClientSettings defaults;
  const std::size_t bound = defaults.connections + defaults.max_waiting_calls;
  for (std::size_t i = 0; i < bound + 1; ++i) {
    client.client().Get(
        {"k"}, [&kinds](auto&& read) { kinds.push_back(read.error().kind); });
  }
  client.Run([&kinds] { return !kinds.empty(); });
  CHECK(kinds == std::vector<ErrorKind>{ErrorKind::kOverloaded});
}

TEST_CASE("a lapsed lease takes its keys and says so") {
  RunningStore store;
  Client client({store.endpoint()});
  const auto granted = client.Await<StoreLease>(
      [&](auto handler) { client.client().GrantLease(60s, handler); });
  REQUIRE(granted);
  const LeaseId lease = granted.value().id;
  REQUIRE(client.Swap("k", StoreRevision{}, "v", lease));
  const auto keep = [&] {
    return client.Await<StoreLease>(
        [&](auto handler) { client.client().KeepAlive(lease, handler); });
  };
  CHECK(keep().value().remaining == 60s);
  store.SetFaults({{"lapse_lease", std::to_string(lease.value())}});
  CHECK(keep().value().remaining == 0s);
  CHECK(client.Get("k").value().entries.empty());
  const auto late = client.Swap("k", StoreRevision{}, "v", lease);
  REQUIRE_FALSE(late);
  CHECK(late.error().kind == ErrorKind::kNotFound);
  CHECK(bool{client.Await<LeaseId>(
      [&](auto handler) { client.client().Revoke(lease, handler); })});
}

TEST_CASE("a watch tells every change in order across an outage") {
  RunningStore store;
  Client client({store.endpoint()});
  std::vector<std::string> told;
  const StoreWatch watch = client.client().Watch(
      {"k", true}, StoreRevision{}, [&told](const StoreWatchUpdate& update) {
        for (const StoreChange& change : update.changes) {
          told.push_back(change.entry ? change.entry->value : "-");
        }
      });
  client.Run([&] { return store.Count("watching") == 1; });
  StoreRevision modified = client.Swap("k", {}, "1").value().revision;
  client.Run([&told] { return told.size() == 1; });
  store.SetFaults({{"down", true}});
  modified = {};
  for (const char* value : {"2", "3"}) {
    store.Call("/v3/kv/put",
               {{"key", EncodeBase64("k")}, {"value", EncodeBase64(value)}});
  }
  store.SetFaults({{"down", false}});
  client.Run([&told] { return told.size() >= 3; });
  CHECK(told == std::vector<std::string>{"1", "2", "3"});
}

TEST_CASE("a watch says when changes are missing") {
  RunningStore store;
  Client client({store.endpoint()});
  bool gap = false;
  REQUIRE(client.Swap("k", {}, "1"));
  store.SetFaults({{"compact", true}});
  const StoreWatch watch = client.client().Watch(
      {"k"}, StoreRevision{1},
      [&gap](const StoreWatchUpdate& update) { gap = gap || update.gap; });
  client.Run([&gap] { return gap; });
}

constexpr const char* kChunked =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string kEmptyRange =
    "HTTP/1.1 200 OK\r\nContent-Length: 27\r\n\r\n"
    R"({"header":{"revision":"1"}})";

// Takes a call, sends `begin` and then `filler` without end.
[[nodiscard]] testing::Script Endless(std::string begin,
                                      const std::string& filler,
                                      std::atomic<std::size_t>& taken) {
  std::string repeated;
  while (repeated.size() < 16UL * 1024) {
    repeated += filler;
  }
  return [begin = std::move(begin), repeated,
          &taken](testing::RawSocket& connection) {
    (void)connection.ReadUntil("\r\n\r\n");
    connection.Send(begin);
    taken = connection.SendRepeatedly(repeated, 64UL * 1024 * 1024);
  };
}

[[nodiscard]] testing::Script AnsweringCall(std::string answer) {
  return [answer = std::move(answer)](testing::RawSocket& connection) {
    (void)connection.ReadUntil("\r\n\r\n");
    connection.Send(answer);
    (void)connection.ReadAll();
  };
}

struct EndlessAnswer {
  const char* what;
  std::string begin;
  std::string filler;
};

[[nodiscard]] EndlessAnswer GenerateEndlessAnswer() {
  return GENERATE(values<EndlessAnswer>({
      {"one header line", "HTTP/1.1 200 OK\r\nX-Long: ", "a"},
      {"header lines", "HTTP/1.1 200 OK\r\n", "X-More: a\r\n"},
      {"no HTTP", "", "garbage\r\n"},
      {"a chunk extension", std::string(kChunked) + "2;x=", "a"},
      {"one trailer line",
       std::string(kChunked) + "2\r\n{}\r\n0\r\nX-T: ", "a"},
  }));
}

// The sockets of both sides hold some of what the client no longer reads.
constexpr std::size_t kMostTaken = 24UL * 1024 * 1024;

TEST_CASE("a read leaves an answer of the store that never ends") {
  const EndlessAnswer one = GenerateEndlessAnswer();
  CAPTURE(one.what);
  std::atomic<std::size_t> taken{0};
  testing::ScriptedUpstream store(
      {Endless(one.begin, one.filler, taken), AnsweringCall(kEmptyRange)});
  {
    Client client({{"127.0.0.1", store.port()}});
    const auto read = client.Get("k");
    REQUIRE(read);
    CHECK(read.value().entries.empty());
  }
  CHECK(taken < kMostTaken);
}

TEST_CASE("a write whose answer never ends has an unknown outcome") {
  const EndlessAnswer one = GenerateEndlessAnswer();
  CAPTURE(one.what);
  std::atomic<std::size_t> taken{0};
  testing::ScriptedUpstream store({Endless(one.begin, one.filler, taken)});
  {
    Client client({{"127.0.0.1", store.port()}});
    const auto written = client.Swap("k", StoreRevision{}, "v");
    REQUIRE_FALSE(written);
    CHECK(written.error().kind == ErrorKind::kUnknownOutcome);
  }
  CHECK(taken < kMostTaken);
}

TEST_CASE("a body of the store that never ends exceeds its limit") {
  std::atomic<std::size_t> taken{0};
  testing::ScriptedUpstream store(
      {Endless("HTTP/1.1 200 OK\r\n\r\n", "a", taken)});
  {
    Client client({{"127.0.0.1", store.port()}});
    const auto read = client.Get("k");
    REQUIRE_FALSE(read);
    CHECK(read.error().kind == ErrorKind::kInvalidInput);
  }
  CHECK(taken < kMostTaken);
}

TEST_CASE("a watch leaves an answer of the store that never ends") {
  const EndlessAnswer one = GenerateEndlessAnswer();
  CAPTURE(one.what);
  const std::string update =
      R"({"result":{"header":{"revision":"1"},"created":true}})"
      "\n";
  std::atomic<std::size_t> taken{0};
  testing::ScriptedUpstream store(
      {Endless(one.begin, one.filler, taken),
       AnsweringCall("HTTP/1.1 200 OK\r\n\r\n" + update)});
  {
    Client client({{"127.0.0.1", store.port()}});
    bool opened = false;
    const StoreWatch watch = client.client().Watch(
        {"k"}, StoreRevision{}, [&opened](const StoreWatchUpdate& told) {
          opened = opened || told.created;
        });
    client.Run([&opened] { return opened; });
  }
  CHECK(taken < kMostTaken);
}

// The store has no ids by which a second copy could be told from an answer, so
// a connection on which anything follows an answer is closed.
TEST_CASE("a second copy of an answer of the store reaches no other call") {
  const std::string first =
      R"({"header":{"revision":"1"},"kvs":[{"key":"aw==","value":"b2xk",)"
      R"("create_revision":"1","mod_revision":"1"}]})";
  const std::string answer =
      "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(first.size()) +
      "\r\n\r\n" + first;
  const bool at_once = GENERATE(true, false);
  CAPTURE(at_once);
  std::atomic<bool> answered{false};
  std::atomic<bool> copied{at_once};
  testing::ScriptedUpstream store({
      [&](testing::RawSocket& connection) {
        (void)connection.ReadUntil("\r\n\r\n");
        connection.Send(at_once ? answer + answer : answer);
        if (!at_once) {
          (void)testing::WaitUntil([&answered] { return answered.load(); });
          connection.Send(answer);
          copied = true;
        }
        (void)connection.ReadAll();
      },
      AnsweringCall(kEmptyRange),
  });
  Client client({{"127.0.0.1", store.port()}});
  CHECK(ValueOf(client.Get("k")) == "old");
  answered = true;
  REQUIRE(testing::WaitUntil([&copied] { return copied.load(); }));
  const auto second = client.Get("k");
  REQUIRE(second);
  CHECK(second.value().entries.empty());
}

}  // namespace
}  // namespace mimosagauge
