// Sending requests under faults, and checking answers and records.

#include "tests/support/soak_callers.h"

#include <fmt/format.h>

#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <utility>

namespace mimosagauge::testing {
namespace {

using nlohmann::json;
using Random = std::mt19937_64;

constexpr std::size_t kCallers = 4;
constexpr std::size_t kTriesOfKey = 4;
constexpr std::size_t kTokens = 4;  // Of each stream, by the cluster's engines.
// A caller gives up after it; frozen instances answer nothing.
constexpr std::chrono::seconds kPatience{4};
constexpr std::size_t kRegions = 2;

[[nodiscard]] std::size_t Draw(Random& random, std::size_t below) {
  return std::uniform_int_distribution<std::size_t>(0, below - 1)(random);
}

[[nodiscard]] bool IsSuccess(const HttpReply& reply) {
  constexpr int kHundred = 100;
  return reply.status / kHundred == 2 && reply.whole;
}

[[nodiscard]] bool SaysNotRun(const HttpReply& reply) {
  return reply.whole &&
         reply.body.find(R"("run":"not_run")") != std::string::npos;
}

struct Caller {
  const std::vector<Endpoint>& entries;
  Random random;
  std::size_t number;
  SoakLog& log;
};

[[nodiscard]] HttpReply Send(Caller& caller, HttpRequest request) {
  request.timeout = kPatience;
  ++caller.log.sent;
  HttpReply reply = Fetch(
      caller.entries[Draw(caller.random, caller.entries.size())], request);
  caller.log.answered += IsSuccess(reply) ? 1 : 0;
  return reply;
}

void Expect(Caller& caller, bool held, const std::string& promise,
            const HttpReply& reply) {
  if (!held) {
    caller.log.broken.push_back(
        fmt::format("{}: {} {}", promise, reply.status, reply.body));
  }
}

void LookUp(Caller& caller) {
  const std::string item =
      fmt::format("item-{}-{}", caller.number, caller.log.sent);
  const HttpReply reply = Send(caller, DeskRequest("GET", "/stock/" + item));
  Expect(caller,
         !IsSuccess(reply) ||
             reply.body.find('"' + item + '"') != std::string::npos,
         "an answer is that of its own request", reply);
}

// Events in order, none twice, none missing; a whole stream has its end.
[[nodiscard]] bool IsStreamInOrder(const HttpReply& reply) {
  std::size_t next = 1;
  std::size_t at = 0;
  while ((at = reply.body.find("id: ", at)) != std::string::npos) {
    const std::string expected = fmt::format("id: {}\n", next);
    const std::string found = reply.body.substr(at, expected.size());
    if (found != expected.substr(0, found.size())) {
      return false;
    }
    ++next;
    at += 1;
  }
  const bool ended = reply.body.find("data: [DONE]") != std::string::npos;
  return !reply.whole || (ended && next == kTokens + 1);
}

void Chat(Caller& caller, bool bound) {
  HttpRequest request = ChatRequest("two nets");
  if (bound) {
    request.headers[0].second = std::string("Bearer ") + kHomeClubToken;
  }
  const HttpReply reply = Send(caller, request);
  constexpr int kOk = 200;
  if (reply.status != kOk) {
    return;
  }
  Expect(caller, IsStreamInOrder(reply), "a stream is whole and in order",
         reply);
  Expect(
      caller,
      !bound || reply.header("mimosagauge-served-by").starts_with("nairobi-a/"),
      "a request that must stay in its region is served there", reply);
}

void Order(Caller& caller, bool keyed) {
  SoakOrder order;
  order.name = fmt::format("order-{}-{}", caller.number, caller.log.sent);
  order.keyed = keyed;
  const std::size_t tries = keyed ? kTriesOfKey : 1;
  for (std::size_t i = 0; i < tries && !order.succeeded; ++i) {
    const HttpReply reply = Send(
        caller,
        DeskRequest("POST", "/orders/" + order.name, keyed ? order.name : ""));
    order.all_not_run = order.all_not_run && SaysNotRun(reply);
    if (IsSuccess(reply)) {
      order.succeeded = true;
      order.bodies.push_back(reply.body);
    }
  }
  // Sent again after its success, it is answered alike or not at all.
  if (keyed && order.succeeded) {
    const HttpReply again =
        Send(caller, DeskRequest("POST", "/orders/" + order.name, order.name));
    if (IsSuccess(again)) {
      order.bodies.push_back(again.body);
    }
  }
  caller.log.orders.push_back(std::move(order));
}

void Call(const std::atomic<bool>& stop, Caller caller) {
  while (!stop) {
    switch (Draw(caller.random, 6)) {
      case 0:
        LookUp(caller);
        break;
      case 1:
        Chat(caller, false);
        break;
      case 2:
        Chat(caller, true);
        break;
      case 3:
        Order(caller, false);
        break;
      default:
        Order(caller, true);
    }
  }
}

// How often each order ran, by the records of the plain services.
[[nodiscard]] std::map<std::string, std::size_t> Runs(Cluster& cluster) {
  std::map<std::string, std::size_t> runs;
  for (std::size_t region = 0; region < kRegions; ++region) {
    HttpRequest request;
    request.target = "/standin/log";
    const HttpReply reply =
        Fetch(cluster.plain_service(region, 0).entry, request);
    for (const json& entry : json::parse(reply.body)) {
      const auto target = entry.at("target").get<std::string>();
      ++runs[target.substr(target.rfind('/') + 1)];
    }
  }
  return runs;
}

}  // namespace

SoakCallers::SoakCallers(std::vector<Endpoint> entries, std::uint64_t seed)
    : entries_(std::move(entries)), logs_(kCallers) {
  for (std::size_t i = 0; i < kCallers; ++i) {
    threads_.emplace_back([this, i, seed] {
      Call(stop_, {entries_, Random(seed * kCallers + i), i, logs_[i]});
    });
  }
}

SoakCallers::~SoakCallers() {
  if (!threads_.empty()) {
    static_cast<void>(Stop());
  }
}

std::vector<SoakLog> SoakCallers::Stop() {
  stop_ = true;
  for (std::thread& thread : threads_) {
    thread.join();
  }
  threads_.clear();
  return logs_;
}

std::vector<std::string> CheckOrders(Cluster& cluster,
                                     const std::vector<SoakLog>& logs) {
  const std::map<std::string, std::size_t> runs = Runs(cluster);
  std::vector<std::string> broken;
  for (const SoakLog& log : logs) {
    for (const SoakOrder& order : log.orders) {
      const auto found = runs.find(order.name);
      const std::size_t ran = found == runs.end() ? 0 : found->second;
      if (ran > 1) {
        broken.push_back(fmt::format("{} ran {} times", order.name, ran));
      }
      if (order.all_not_run && ran > 0) {
        broken.push_back(order.name + " ran, its caller was told not_run");
      }
      if (order.succeeded && ran == 0) {
        broken.push_back(order.name + " succeeded, and nothing ran it");
      }
      if (std::set<std::string>(order.bodies.begin(), order.bodies.end())
              .size() > 1) {
        broken.push_back(order.name + " was answered in two ways");
      }
    }
  }
  return broken;
}

}  // namespace mimosagauge::testing
