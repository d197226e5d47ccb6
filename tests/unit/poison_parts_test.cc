// Prompt parts that crash every upstream that begins an answer on them: which
// content is found to be poison, and which requests still reach an upstream.

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "mimosagauge/impl/decisions/poison_content.h"
#include "mimosagauge/impl/decisions/problems.h"
#include "mimosagauge/impl/wire/load_codec.h"
#include "tests/support/fleet_gateway.h"

namespace mimosagauge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::Find;
using testing::FleetGateway;
using testing::FleetRequest;

constexpr std::uint64_t kFirstPart = 7;
constexpr std::uint64_t kPoisonPart = 99;
constexpr int kEngines = 12;

// A request for a generation. All share the first part; the last part belongs
// to the request alone.
[[nodiscard]] FleetRequest Generation(std::uint64_t second_part,
                                      std::uint64_t own_part) {
  FleetRequest request;
  request.path = "/quote/1";
  request.prompt = {
      17020, 120, {{kFirstPart, 13300}, {second_part, 3000}, {own_part, 720}}};
  return request;
}

// One instance with engines that crash when they begin a poisonous answer and
// are registered again, as a new process, 3 s later.
class CrashingEngines {
 public:
  CrashingEngines() {
    for (int i = 0; i < kEngines; ++i) {
      world_.Upstream("engine-" + std::to_string(next_engine_++), "engines");
    }
  }

  // Sends a sound request, which is answered whole.
  // \returns Whether it reached an upstream.
  bool Sound(std::uint64_t second_part) {
    const auto [number, effects] =
        world_.Request(Generation(second_part, ++own_part_));
    const auto start = Find<StartUpstreamAttempt>(effects);
    if (start) {
      world_.Answer(start->attempt);
    }
    return start.has_value();
  }

  // Sends a request that crashes its upstream.
  // \returns Whether it reached one.
  bool Poisonous(std::uint64_t part) {
    const auto [number, effects] =
        world_.Request(Generation(part, ++own_part_));
    const auto start = Find<StartUpstreamAttempt>(effects);
    if (!start) {
      return false;
    }
    AnswerHead head;
    head.status = 200;
    head.headers = {{"Content-Type", "text/event-stream"}};
    world_.Give(AttemptHeadReceived{start->attempt, head, {}});
    world_.Pass(milliseconds(100));
    world_.Fail(start->attempt, RunState::kRan);
    world_.Give(UpstreamRemoved{start->upstream});
    world_.Upstream("engine-" + std::to_string(next_engine_++), "engines");
    return true;
  }

  void Pass(Duration duration) { world_.Pass(duration); }
  [[nodiscard]] FleetGateway& world() { return world_; }

 private:
  FleetGateway world_;
  int next_engine_ = 0;
  std::uint64_t own_part_ = 1000;
};

// Guards against: requests with one prompt part kept crashing upstreams, one
// after the other, because each crash counted against its upstream alone.
TEST_CASE("requests with a part that crashes upstreams stop reaching them") {
  CrashingEngines engines;
  int crashes = 0;
  int crashes_after_fifth = 0;
  for (int round = 0; round < 40; ++round) {
    for (std::uint64_t part = 0; part < 10; ++part) {
      CHECK(engines.Sound(100 + part));
    }
    const bool reached = engines.Poisonous(kPoisonPart);
    crashes_after_fifth += crashes >= 5 && reached ? 1 : 0;
    crashes += reached ? 1 : 0;
    engines.Pass(milliseconds(500));
  }
  CHECK(crashes <= 5);
  CHECK(crashes_after_fifth <= 3);
}

TEST_CASE("a refused request has not run, and the log says why") {
  CrashingEngines engines;
  while (engines.Poisonous(kPoisonPart)) {
    for (std::uint64_t part = 0; part < 20; ++part) {
      engines.Sound(100 + part);
    }
    engines.Pass(milliseconds(500));
  }
  const auto [number, effects] =
      engines.world().Request(Generation(kPoisonPart, 1));
  const auto problem = Find<SendProblem>(effects);
  REQUIRE(problem);
  CHECK(problem->problem.status == 503);
  CHECK(problem->problem.run == RunState::kNotRun);
  CHECK(problem->problem.type == "poison-content");
  REQUIRE(problem->problem.retry_after);
  CHECK(*problem->problem.retry_after > seconds(60));
  const auto log = Find<WriteLog>(effects);
  REQUIRE(log);
  const auto& [name, detail] = log->fields.back();
  CHECK(name == "detail");
  CHECK(detail.find("content 63 crashed 2 upstreams") != std::string::npos);
  CHECK(detail.find("found by nairobi-1") != std::string::npos);
}

TEST_CASE("the status of a refusal says whether the request may have run") {
  struct Case {
    RunState run;
    std::uint16_t status;
  };
  const Case one = GENERATE(values<Case>({{RunState::kNotRun, 503},
                                          {RunState::kUnknown, 502},
                                          {RunState::kRan, 502}}));
  const Problem problem = PoisonRefused("", one.run, seconds(9));
  CHECK(problem.status == one.status);
  CHECK(problem.retry_after.has_value() == (one.status == 503));
}

TEST_CASE("requests that wait or have not begun are refused with the rest") {
  CrashingEngines engines;
  FleetGateway& world = engines.world();
  auto [running, effects] = world.Request(Generation(kPoisonPart, 1));
  const auto start = Find<StartUpstreamAttempt>(effects);
  REQUIRE(start);
  PoisonNews news;
  news.poison.push_back(
      {ContentId{kPoisonPart}, seconds(1), seconds(600), seconds(599), 3});
  world.Instance("mombasa-1", "mombasa");
  LoadDigest digest;
  digest.poison = news;
  const auto told = world.Give(LoadReceived{InstanceId{"mombasa-1"}, digest});
  const auto cancel = Find<CancelAttempt>(told);
  REQUIRE(cancel);
  CHECK(cancel->attempt == start->attempt);
  const auto problem = Find<SendProblem>(told);
  REQUIRE(problem);
  CHECK(problem->number == running);
  // It was sent, so that it may have run.
  CHECK(problem->problem.status == 502);
  CHECK(problem->problem.run == RunState::kUnknown);
}

// Guards against: parts of sound requests were refused after upstreams had lost
// the answers of a few of them.
TEST_CASE("connections lost without a status are no evidence") {
  CrashingEngines engines;
  for (int round = 0; round < 6; ++round) {
    for (std::uint64_t part = 0; part < 10; ++part) {
      engines.Sound(100 + part);
    }
    const auto [number, effects] =
        engines.world().Request(Generation(kPoisonPart, 2000 + round));
    const auto start = Find<StartUpstreamAttempt>(effects);
    REQUIRE(start);
    engines.world().Fail(start->attempt, RunState::kUnknown);
    engines.Pass(milliseconds(500));
  }
}

TEST_CASE("a stream that broke off before its first event is not resumed") {
  const bool body = GENERATE(false, true);
  CAPTURE(body);
  CrashingEngines engines;
  FleetRequest request = Generation(kPoisonPart, 1);
  request.path = "/size/1";  // Two attempts, and streams are resumed.
  const auto [number, effects] = engines.world().Request(request);
  const auto start = Find<StartUpstreamAttempt>(effects);
  REQUIRE(start);
  AnswerHead head;
  head.status = 200;
  head.headers = {{"Content-Type", "text/event-stream"}};
  engines.world().Give(AttemptHeadReceived{start->attempt, head, {}});
  if (body) {
    engines.world().Give(
        AttemptBodyReceived{start->attempt, "id: 1\ndata: x\n\n", "1"});
  }
  const auto failed = engines.world().Fail(start->attempt, RunState::kRan);
  CHECK(Find<StartUpstreamAttempt>(failed).has_value() == body);
  CHECK(Find<AbortAnswer>(failed).has_value() != body);
}

// Steps of a table test.
struct Step {
  enum class Kind : std::uint8_t { kCrash, kSound, kOthers, kWait };
  Kind kind = Kind::kCrash;
  bool begun = false;                // The lost request's answer had begun.
  std::string name;                  // Of the crashed upstream.
  std::vector<std::uint64_t> parts;  // Shared parts of one lost request, or of
                                     // the sound one.
};

[[nodiscard]] RequestHead HeadWith(const std::vector<std::uint64_t>& parts) {
  RequestHead head;
  for (const std::uint64_t part : parts) {
    head.prompt.parts.push_back({part, 1000});
  }
  head.prompt.parts.push_back({1, 100});  // The request's own part.
  return head;
}

Step Crash(const std::string& upstream, std::vector<std::uint64_t> parts) {
  return {Step::Kind::kCrash, false, upstream, std::move(parts)};
}
Step Begun(const std::string& upstream, std::vector<std::uint64_t> parts) {
  return {Step::Kind::kCrash, true, upstream, std::move(parts)};
}
Step Sound(std::vector<std::uint64_t> parts) {
  return {Step::Kind::kSound, false, "", std::move(parts)};
}
// Twenty sound answers without a part of interest.
Step Others() { return {Step::Kind::kOthers, false, "", {}}; }
Step Wait() { return {Step::Kind::kWait, false, "", {}}; }

// Runs the steps and returns the content found, in the order of its ids.
[[nodiscard]] std::vector<std::uint64_t> FindIn(
    const std::vector<Step>& steps) {
  PoisonTable table;
  table.self = InstanceId{"nairobi-1"};
  TimePoint now{seconds(1000)};
  for (const Step& step : steps) {
    switch (step.kind) {
      case Step::Kind::kCrash:
        RecordLostRequest(table, HashUpstreamId(UpstreamId{step.name}),
                          Incarnation{1}, HeadWith(step.parts), step.begun,
                          now);
        break;
      case Step::Kind::kSound:
        RecordSoundAnswer(table, HeadWith(step.parts), now);
        break;
      case Step::Kind::kOthers:
        for (int i = 0; i < 20; ++i) {
          RecordSoundAnswer(table, HeadWith({}), now);
        }
        break;
      case Step::Kind::kWait:
        now += milliseconds(500);
        break;
    }
    now += milliseconds(1);
    (void)FindNewPoison(table, now);
  }
  (void)FindNewPoison(table, now + seconds(1));
  std::vector<std::uint64_t> found;
  for (const auto& [id, poison] : table.poison) {
    found.push_back(id.value());
  }
  return found;
}

TEST_CASE("poison is named from evidence that also clears") {
  struct Case {
    std::string what;
    std::vector<Step> steps;
    std::vector<std::uint64_t> found;
  };
  const Case one = GENERATE(values<Case>({
      {"the part that three crashes have in common",
       {Crash("a", {7, 99}), Others(), Wait(), Crash("b", {7, 99}), Wait(),
        Sound({7}), Crash("c", {7, 99})},
       {99}},
      {"the last of two parts that are always together, as it is rarer",
       {Crash("a", {7, 99}), Others(), Wait(), Crash("b", {7, 99}), Wait(),
        Crash("c", {7, 99})},
       {99}},
      {"not a bystander that was answered in between",
       {Crash("a", {7, 99}), Crash("a", {8, 50}), Others(), Wait(),
        Crash("b", {7, 99}), Crash("b", {8, 50}), Wait(), Sound({8, 50}),
        Crash("c", {7, 99}), Crash("c", {8, 50})},
       {99}},
      {"not a part that was present at two crashes",
       {Crash("a", {7}), Others(), Wait(), Crash("b", {7}), Wait()},
       {}},
      {"not by a power loss that crashes many upstreams at once",
       {Crash("a", {7}), Crash("b", {7}), Crash("c", {7}), Crash("d", {7}),
        Others(), Wait()},
       {}},
      {"not by upstreams that crash whatever they run: nothing is answered",
       {Crash("a", {7}), Wait(), Crash("b", {7}), Wait(), Crash("c", {7}),
        Wait(), Crash("d", {7}), Wait()},
       {}},
      {"not by one process that loses connection after connection",
       {Crash("a", {7}), Others(), Wait(), Wait(), Wait(), Crash("a", {7}),
        Wait(), Wait(), Wait(), Crash("a", {7}), Wait(), Wait(), Wait(),
        Crash("a", {7})},
       {}},
      {"two crashes are enough if the answer had begun",
       {Begun("a", {7, 99}), Others(), Wait(), Begun("b", {7, 99}), Wait()},
       {99}},
      {"only requests whose answers had begun, if there are such",
       {Crash("a", {50}), Begun("a", {99}), Others(), Wait(), Begun("b", {99}),
        Crash("b", {50}), Wait(), Begun("c", {98}), Crash("c", {50}), Wait()},
       {99}},
      {"two parts, each by its own crashes",
       {Crash("a", {7, 99}), Crash("b", {8, 50}), Others(), Wait(),
        Crash("c", {7, 99}), Wait(), Crash("d", {8, 50}), Wait(),
        Crash("e", {7, 99}), Wait(), Crash("f", {8, 50})},
       {50, 99}},
      {"both, if nothing tells them apart",
       {Crash("a", {99}), Crash("a", {50}), Others(), Wait(), Crash("b", {99}),
        Crash("b", {50}), Wait(), Crash("c", {99}), Crash("c", {50})},
       {50, 99}},
      {"not the other suspects of crashes that are explained",
       {Crash("a", {7, 99}), Others(), Wait(), Crash("b", {7, 99}), Wait(),
        Crash("c", {7, 99}), Wait(), Crash("d", {7}), Wait()},
       {99}},
      {"the shorter chain too, if it crashes upstreams by itself",
       {Crash("a", {7, 99}), Others(), Wait(), Crash("b", {7, 99}), Wait(),
        Crash("c", {7, 99}), Wait(), Crash("d", {7}), Wait(),
        Crash("e", {7, 98})},
       {7, 99}},
  }));
  CAPTURE(one.what);
  CHECK(FindIn(one.steps) == one.found);
}

TEST_CASE("a request that comes again whole is found without prompt parts") {
  RequestHead head;
  head.digest = ContentDigest{std::string(64, 'a')};
  PoisonTable table;
  TimePoint now{seconds(1000)};
  for (const char* upstream : {"a", "b", "c"}) {
    CHECK(FindPoison(table, head, now) == nullptr);
    RecordLostRequest(table, HashUpstreamId(UpstreamId{upstream}),
                      Incarnation{1}, head, false, now);
    for (int i = 0; i < 20; ++i) {
      RecordSoundAnswer(table, HeadWith({}), now);
    }
    now += milliseconds(500);
    (void)FindNewPoison(table, now);
  }
  CHECK(FindPoison(table, head, now) != nullptr);
  head.digest = ContentDigest{std::string(64, 'b')};
  CHECK(FindPoison(table, head, now) == nullptr);
}

// The plain service's instances crash before they send a status; each is back
// as a new process. Returns the requests of the content that reached one.
struct DeskCrashes {
  bool confirmed = true;     // The upstream's process is known to have ended.
  bool refused = false;      // Known by a refused connection, not by its entry.
  bool others_sound = true;  // Other requests of the service are answered.
  bool answered = false;     // So is the content, once in each round.
};

int CountDeadlyArrivals(const DeskCrashes& crashes) {
  constexpr int kRounds = 20;
  FleetGateway world;
  world.Upstream("engine", "engines");
  int desks = 0;
  for (int i = 0; i < 3; ++i) {
    world.Upstream("desk-" + std::to_string(++desks), "desk");
  }
  FleetRequest deadly;
  deadly.path = "/status/4711";
  deadly.digest = std::string(64, 'd');
  int arrivals = 0;
  for (int round = 0; round < kRounds; ++round) {
    if (crashes.answered) {
      const auto [number, effects] = world.Request(deadly);
      if (const auto start = Find<StartUpstreamAttempt>(effects)) {
        world.Answer(start->attempt);
      }
    }
    auto [number, effects] = world.Request(deadly);
    for (auto start = Find<StartUpstreamAttempt>(effects); start;
         start = Find<StartUpstreamAttempt>(effects)) {
      ++arrivals;
      world.Pass(milliseconds(20));
      effects = world.Fail(start->attempt, RunState::kUnknown);
      if (crashes.confirmed) {
        if (crashes.refused) {
          // Another request finds that nothing listens at the address.
          FleetRequest other;
          other.path = "/status/other";
          const auto probe =
              Find<StartUpstreamAttempt>(world.Request(other).second);
          if (probe && probe->upstream == start->upstream) {
            AttemptFailed failure{probe->attempt,
                                  RunState::kNotRun,
                                  {ErrorKind::kUnavailable, "refused", ""},
                                  {}};
            failure.connection_refused = true;
            world.Give(failure);
          }
        }
        world.Give(UpstreamRemoved{start->upstream});
        world.Upstream("desk-" + std::to_string(++desks), "desk");
      }
    }
    for (int i = 0; i < 20; ++i) {
      FleetRequest sound;
      sound.path = crashes.others_sound ? "/status/sound" : "/size/sound";
      sound.digest = std::string(64, 's');
      const auto start =
          Find<StartUpstreamAttempt>(world.Request(sound).second);
      if (start) {
        world.Answer(start->attempt);
      }
    }
    world.Pass(milliseconds(700));
  }
  return arrivals;
}

// Guards against: a request that crashed a plain service's upstreams before
// they sent a status was never found, and reached them for as long as it came.
TEST_CASE("a request that crashes upstreams before their status is found") {
  struct Case {
    std::string what;
    DeskCrashes crashes;
    bool found;
  };
  const Case one = GENERATE(values<Case>({
      {"the upstreams' entries are removed", {}, true},
      {"their addresses refuse connections", {true, true}, true},
      {"answers are lost, and the upstreams run on", {false}, false},
      {"nothing else of the service is answered", {true, false, false}, false},
      {"it is answered in between", {true, false, true, true}, false},
  }));
  CAPTURE(one.what);
  const int arrivals = CountDeadlyArrivals(one.crashes);
  // Two attempts of each of three requests.
  CHECK((arrivals <= 6) == one.found);
}

// Guards against: crashes without a status make a group large, for which one
// group is evidence enough against a part.
TEST_CASE("crashes without a status do not count in the groups of parts") {
  PoisonTable table;
  const TimePoint now{seconds(1000)};
  for (const char* upstream : {"a", "b"}) {
    RecordLostRequest(table, HashUpstreamId(UpstreamId{upstream}),
                      Incarnation{1}, HeadWith({kFirstPart}), true, now);
  }
  RequestHead whole;
  for (const char* upstream : {"c", "d"}) {
    whole.digest = ContentDigest{std::string(64, upstream[0])};
    UnconfirmedLoss loss;
    AddLostRequest(loss, whole, now);
    RecordConfirmedLoss(table, HashUpstreamId(UpstreamId{upstream}), loss, now);
  }
  for (int i = 0; i < 20; ++i) {
    RecordSoundAnswer(table, HeadWith({}), now);
  }
  CHECK(FindNewPoison(table, now + seconds(1)).empty());
}

// Guards against: upstreams that lose power together, or come back together and
// reset their connections, make popular parts look like poison.
TEST_CASE("a power loss seen over half a second makes no part poison") {
  const bool begun = GENERATE(false, true);
  CAPTURE(begun);
  constexpr std::uint64_t kParts = 60;
  PoisonTable table;
  TimePoint now{seconds(1000)};
  for (int loss = 0; loss < 2; ++loss) {
    for (std::uint64_t upstream = 0; upstream < 100; ++upstream) {
      for (std::uint64_t i = 0; i < 3; ++i) {
        RecordLostRequest(table,
                          HashUpstreamId(UpstreamId{std::to_string(loss) + "-" +
                                                    std::to_string(upstream)}),
                          Incarnation{1},
                          HeadWith({(upstream * 7 + i * 13) % kParts}), begun,
                          now);
      }
      now += milliseconds(5);
      RecordSoundAnswer(table, HeadWith({}), now);
      (void)FindNewPoison(table, now);
    }
    now += seconds(2);
  }
  (void)FindNewPoison(table, now);
  CHECK(table.poison.empty());
}

TEST_CASE("a part that crashes many upstreams at once is found among others") {
  PoisonTable table;
  TimePoint now{seconds(1000)};
  for (std::uint64_t upstream = 0; upstream < 20; ++upstream) {
    const UpstreamHash hash =
        HashUpstreamId(UpstreamId{std::to_string(upstream)});
    RecordLostRequest(table, hash, Incarnation{1}, HeadWith({7, kPoisonPart}),
                      true, now);
    RecordLostRequest(table, hash, Incarnation{1}, HeadWith({100 + upstream}),
                      true, now);
    now += milliseconds(10);
    RecordSoundAnswer(table, HeadWith({}), now);
    (void)FindNewPoison(table, now);
  }
  CHECK(FindPoison(table, HeadWith({7, kPoisonPart}), now) != nullptr);
  CHECK(table.poison.size() == 1);
}

// Instances `count` of one region and one of another, which exchange their
// news.
class Instances {
 public:
  explicit Instances(std::size_t count) : tables_(count + 1) {
    for (std::size_t i = 0; i < tables_.size(); ++i) {
      tables_[i].self = InstanceId{"instance-" + std::to_string(i)};
    }
  }

  // Loses one request at an instance; others get sound answers meanwhile.
  void Lose(std::size_t instance, const std::string& upstream,
            std::uint64_t part) {
    RecordLostRequest(tables_[instance], HashUpstreamId(UpstreamId{upstream}),
                      Incarnation{1}, HeadWith({kFirstPart, part}), false,
                      now_);
    for (PoisonTable& table : tables_) {
      for (int i = 0; i < 20; ++i) {
        RecordSoundAnswer(table, HeadWith({}), now_);
      }
    }
  }

  // Each instance that is not in `cut` sends its news to the others, as bytes.
  // \returns The bytes of the largest message.
  std::size_t Exchange(const std::vector<std::size_t>& cut = {}) {
    const auto is_cut = [&cut](std::size_t i) {
      return std::find(cut.begin(), cut.end(), i) != cut.end();
    };
    std::size_t largest = 0;
    for (std::size_t from = 0; from < tables_.size(); ++from) {
      LoadDigest near;
      near.poison =
          TakeNews(tables_[from], tables_[from].news_for_region, now_);
      LoadDigest far;
      far.poison =
          TakeNews(tables_[from], tables_[from].news_for_other_regions, now_);
      for (std::size_t to = 0; to < tables_.size(); ++to) {
        if (to == from || is_cut(from) || is_cut(to)) {
          continue;
        }
        const bool same_region = IsRemote(from) == IsRemote(to);
        const std::string bytes = EncodeLoadDigest(same_region ? near : far);
        largest = std::max(largest, bytes.size());
        (void)AddNews(tables_[to], DecodeLoadDigest(bytes).value().poison,
                      tables_[from].self, same_region, now_);
      }
    }
    now_ += milliseconds(500);
    for (PoisonTable& table : tables_) {
      (void)FindNewPoison(table, now_);
    }
    return largest;
  }

  [[nodiscard]] bool IsRefused(std::size_t instance, std::uint64_t part) const {
    return FindPoison(tables_[instance], HeadWith({kFirstPart, part}), now_) !=
           nullptr;
  }
  [[nodiscard]] std::size_t Refusing(std::uint64_t part) const {
    std::size_t count = 0;
    for (std::size_t i = 0; i < tables_.size(); ++i) {
      count += IsRefused(i, part) ? 1 : 0;
    }
    return count;
  }
  [[nodiscard]] std::size_t size() const { return tables_.size(); }
  [[nodiscard]] PoisonTable& table(std::size_t instance) {
    return tables_[instance];
  }
  [[nodiscard]] TimePoint now() const { return now_; }
  void Pass(Duration duration) { now_ += duration; }

 private:
  [[nodiscard]] bool IsRemote(std::size_t instance) const {
    return instance + 1 == tables_.size();
  }

  std::vector<PoisonTable> tables_;
  TimePoint now_{seconds(1000)};
};

TEST_CASE("crashes that different instances saw are evidence for all") {
  const std::size_t count = GENERATE(2U, 5U, 100U);
  CAPTURE(count);
  Instances instances(count);
  instances.Lose(0, "a", kPoisonPart);
  instances.Exchange();
  instances.Lose(1, "b", kPoisonPart);
  instances.Exchange();
  CHECK(instances.Refusing(kPoisonPart) == 0);
  // The third crash is seen in the other region.
  instances.Lose(count, "c", kPoisonPart);
  const std::size_t bytes = instances.Exchange();
  CHECK(instances.Refusing(kPoisonPart) == instances.size());
  CHECK(instances.Refusing(kFirstPart + 1) == 0);
  CHECK(bytes < 1024);
}

TEST_CASE("a crash that several instances saw is one crash") {
  Instances instances(3);
  for (std::size_t i = 0; i < 3; ++i) {
    instances.Lose(i, "a", kPoisonPart);
  }
  instances.Exchange();
  instances.Exchange();
  CHECK(instances.table(0).crashes.size() == 1);
  CHECK(instances.Refusing(kPoisonPart) == 0);
}

// Guards against: a part that one region had lost and answered again was
// refused in another region, which had taken the clearance before the crash of
// the same message, or before the report of another instance.
TEST_CASE("a clearance holds for crashes that are reported with it or later") {
  const bool later = GENERATE(false, true);
  CAPTURE(later);
  Instances instances(3);
  for (const char* upstream : {"a", "b", "c", "d"}) {
    instances.Lose(0, upstream, kPoisonPart);
    instances.Pass(milliseconds(5));
    RecordSoundAnswer(instances.table(0), HeadWith({kFirstPart, kPoisonPart}),
                      instances.now());
    if (later) {
      instances.Exchange();
      RecordLostRequest(instances.table(1),
                        HashUpstreamId(UpstreamId{upstream}), Incarnation{1},
                        HeadWith({kFirstPart, kPoisonPart}), false,
                        instances.now() - milliseconds(505));
    }
    instances.Exchange();
    CHECK(instances.Refusing(kPoisonPart) == 0);
  }
}

TEST_CASE("an instance that was cut off learns of the poison afterwards") {
  Instances instances(3);
  for (const char* upstream : {"a", "b", "c"}) {
    instances.Lose(0, upstream, kPoisonPart);
    instances.Exchange({2});
  }
  CHECK(instances.Refusing(kPoisonPart) == 3);
  // The instance that saw the crashes is gone when the other one is back.
  instances.Exchange({0});
  CHECK(instances.IsRefused(2, kPoisonPart));
}

TEST_CASE("a sound answer ends the refusal everywhere") {
  Instances instances(3);
  for (const char* upstream : {"a", "b", "c"}) {
    instances.Lose(0, upstream, kPoisonPart);
    instances.Exchange();
  }
  REQUIRE(instances.Refusing(kPoisonPart) == instances.size());
  RecordSoundAnswer(instances.table(1), HeadWith({kFirstPart, kPoisonPart}),
                    instances.now());
  instances.Exchange();
  instances.Exchange();
  CHECK(instances.Refusing(kPoisonPart) == 0);
}

TEST_CASE("a refusal ends after a time, and one crash is enough for the next") {
  Instances instances(3);
  for (const char* upstream : {"a", "b", "c"}) {
    instances.Lose(0, upstream, kPoisonPart);
    instances.Exchange();
  }
  std::size_t refusing = instances.Refusing(kPoisonPart);
  REQUIRE(refusing == instances.size());
  instances.Pass(std::chrono::minutes(9));
  CHECK(instances.Refusing(kPoisonPart) == instances.size());
  instances.Pass(std::chrono::minutes(6));
  CHECK(instances.Refusing(kPoisonPart) == 0);
  instances.Lose(1, "d", kPoisonPart);
  instances.Exchange();
  instances.Exchange();
  CHECK(instances.Refusing(kPoisonPart) == instances.size());
  instances.Pass(std::chrono::minutes(19));
  CHECK(instances.Refusing(kPoisonPart) == instances.size());
}

TEST_CASE("what is kept and sent is bounded") {
  Instances instances(2);
  for (std::uint64_t i = 0; i < 1000; ++i) {
    instances.Lose(0, "upstream-" + std::to_string(i), 1000 + i);
    instances.Pass(milliseconds(10));
  }
  CHECK(instances.table(0).crashes.size() == PoisonTable::kMaxCrashes);
  CHECK(instances.Exchange() < 8UL * 1024);
  for (std::uint64_t i = 0; i < 1000; ++i) {
    RecordLostRequest(instances.table(0), HashUpstreamId(UpstreamId{"one"}),
                      Incarnation{1}, HeadWith({5000 + i}), false,
                      instances.now());
  }
  CHECK(instances.table(0).crashes.back().suspects.size() ==
        kMaxSuspectsPerCrash);
}

}  // namespace
}  // namespace mimosagauge
