// Where requests go among upstreams, by the pattern of load.

#include <catch2/catch.hpp>
#include <set>
#include <string>
#include <vector>

#include "mimosagauge/impl/decisions/prefix_cache.h"
#include "mimosagauge/impl/decisions/upstream_table.h"

namespace mimosagauge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(100)};
const ZoneId kZone{"nairobi-a"};
const RegionId kRegion{"nairobi"};
const ServiceId kEngines{"engines"};

[[nodiscard]] UpstreamRecord Engine(const std::string& id) {
  UpstreamRecord record;
  record.config.id = UpstreamId{id};
  record.config.service = kEngines;
  record.config.zone = kZone;
  record.config.concurrency = 64;
  record.config.honours_resume = true;
  return record;
}

[[nodiscard]] UpstreamTable Engines(int count) {
  UpstreamTable table;
  for (int i = 0; i < count; ++i) {
    UpdateUpstream(table, Engine("engine-" + std::to_string(i)),
                   {UpstreamKind::kEngine, 128, 245000, 4.5}, kStart);
  }
  return table;
}

// `engine-0` at port 80 and `engine-1` at port 81, which copy from each other.
[[nodiscard]] UpstreamTable CopyingEngines(double copy_ms_per_token) {
  UpstreamTable table;
  for (const char* id : {"engine-0", "engine-1"}) {
    UpstreamRecord record = Engine(id);
    record.config.endpoint = {
        "10.1.64.1", id[7] == '0' ? std::uint16_t{80} : std::uint16_t{81}};
    UpdateUpstream(table, record,
                   {UpstreamKind::kEngine, 128, 245000, 4.5, copy_ms_per_token},
                   kStart);
  }
  return table;
}

[[nodiscard]] Prompt Review(std::uint64_t script) {
  return {17020, 120, {{script, 13300}, {script + 1000, 3720}}};
}

[[nodiscard]] std::string Choose(const UpstreamTable& table,
                                 const Prompt& prompt, TimePoint now = kStart,
                                 std::uint64_t draw = 0) {
  UpstreamNeed need;
  need.service = kEngines;
  need.prompt = &prompt;
  need.draw = draw;
  need.spread = milliseconds(10);
  const auto choice = ChooseUpstream(table, need, kZone, kRegion, now);
  return choice ? choice->id.value() : "";
}

TEST_CASE("prompts with a shared part stay where it has been read") {
  UpstreamTable table = Engines(8);
  const std::string home = Choose(table, Review(7));
  Touch(FindUpstream(table, UpstreamId{home})->cache, Review(7));
  for (std::uint64_t draw = 0; draw < 20; ++draw) {
    CHECK(Choose(table, Review(7), kStart, draw) == home);
  }
}

TEST_CASE("instances that know nothing yet choose one upstream for a part") {
  // Two tables: two instances with the same upstreams in another order.
  UpstreamTable table = Engines(8);
  UpstreamTable other;
  for (int i = 7; i >= 0; --i) {
    UpdateUpstream(other, Engine("engine-" + std::to_string(i)),
                   {UpstreamKind::kEngine, 128, 245000, 4.5}, kStart);
  }
  std::set<std::string> used;
  for (std::uint64_t script = 1; script <= 40; ++script) {
    const std::string choice = Choose(table, Review(script));
    CHECK(choice == Choose(other, Review(script), kStart, 99));
    used.insert(choice);
  }
  CHECK(used.size() >= 6);
}

TEST_CASE(
    "a part is read a second time only where its upstream is far behind") {
  const auto [queued, stays] = GENERATE(table<double, bool>(
      {{0, true}, {13300, true}, {30000, true}, {120000, false}}));
  CAPTURE(queued);
  UpstreamTable table = Engines(4);
  const std::string home = Choose(table, Review(7));
  UpstreamState* upstream = FindUpstream(table, UpstreamId{home});
  Touch(upstream->cache, Review(7));
  RecordPromptSent(upstream->load, queued, kStart);
  CHECK((Choose(table, Review(7)) == home) == stays);
}

// A hot part is wanted at a second engine: copied, not read again.
TEST_CASE("a part that another engine keeps is copied where that is faster") {
  struct Case {
    double copy_ms_per_token;
    bool keeper_leaves;
    bool copies;
  };
  const Case one = GENERATE(values<Case>({
      {0.0048, false, true},  // 64 ms against 266 ms of reading.
      {0.0048, true, false},
      {0.1, false, false},  // Slower than reading.
      {0, false, false},    // These engines do not copy.
  }));
  CAPTURE(one.copy_ms_per_token, one.keeper_leaves);
  UpstreamTable table = CopyingEngines(one.copy_ms_per_token);
  UpstreamState* keeper = FindUpstream(table, UpstreamId{"engine-0"});
  Touch(keeper->cache, Review(7));
  keeper->leaving = one.keeper_leaves;
  keeper->in_flight = keeper->limit;
  const Prompt prompt = Review(7);
  UpstreamNeed need;
  need.service = kEngines;
  need.prompt = &prompt;
  const auto choice = ChooseUpstream(table, need, kZone, kRegion, kStart);
  REQUIRE(choice);
  CHECK(choice->id == UpstreamId{"engine-1"});
  CHECK(choice->cache_source.has_value() == one.copies);
  if (one.copies) {
    CHECK(choice->cache_source->port == 80);
    CHECK(choice->prompt_tokens < 8510);
  }
}

// Load pattern: prompts begin with one of a few common heads, and share a
// second part with a few requests a minute.
[[nodiscard]] Prompt Digest(std::uint64_t season, std::uint64_t subject) {
  return {9190, 50, {{season, 2520}, {subject + 100, 3780}, {9999, 2890}}};
}

TEST_CASE("prompts with a common head spread by the part that follows it") {
  UpstreamTable table = Engines(8);
  for (UpstreamState& engine : table.upstreams) {
    for (std::uint64_t season = 1; season <= 4; ++season) {
      Touch(engine.cache, PromptPart{season, 2520});
    }
  }
  const bool heads_cached = GENERATE(true, false);
  CAPTURE(heads_cached);
  if (!heads_cached) {
    table = Engines(8);
  }
  std::set<std::string> used;
  for (std::uint64_t subject = 1; subject <= 40; ++subject) {
    const Prompt prompt = Digest(1 + subject % 4, subject);
    const std::string choice = Choose(table, prompt);
    // Instances that choose at the same time agree.
    CHECK(choice == Choose(table, prompt, kStart, 99));
    used.insert(choice);
  }
  CHECK(used.size() >= 6);
}

TEST_CASE("a prompt stays where all of its shared parts have been read") {
  UpstreamTable table = Engines(8);
  for (UpstreamState& engine : table.upstreams) {
    Touch(engine.cache, PromptPart{1, 2520});
  }
  Touch(FindUpstream(table, UpstreamId{"engine-5"})->cache, Digest(1, 7));
  for (std::uint64_t draw = 0; draw < 20; ++draw) {
    CHECK(Choose(table, Digest(1, 7), kStart, draw) == "engine-5");
  }
}

TEST_CASE("the second part is copied to an engine that has only the head") {
  UpstreamTable table = CopyingEngines(0.0048);
  const Prompt prompt = Digest(1, 7);
  UpstreamState* keeper = FindUpstream(table, UpstreamId{"engine-0"});
  Touch(keeper->cache, prompt);
  keeper->in_flight = keeper->limit;
  Touch(FindUpstream(table, UpstreamId{"engine-1"})->cache,
        PromptPart{1, 2520});
  UpstreamNeed need;
  need.service = kEngines;
  need.prompt = &prompt;
  const auto choice = ChooseUpstream(table, need, kZone, kRegion, kStart);
  REQUIRE(choice);
  CHECK(choice->id == UpstreamId{"engine-1"});
  REQUIRE(choice->cache_source);
  CHECK(choice->cache_source->port == 80);
  // The own part is read; copying the second one takes a quarter of the time
  // of reading it.
  CHECK(choice->prompt_tokens < 2890 + 1890);
  CHECK(choice->part_cached);
}

TEST_CASE("requests without a prompt spread over equal upstreams") {
  const UpstreamTable table = Engines(6);
  std::set<std::string> used;
  for (std::uint64_t draw = 0; draw < 60; ++draw) {
    used.insert(Choose(table, {}, kStart, draw));
  }
  CHECK(used.size() == 6);
}

TEST_CASE("what other instances have at an upstream counts as one's own") {
  UpstreamTable table = Engines(2);
  RecordPeerLoad(FindUpstream(table, UpstreamId{"engine-0"})->load,
                 InstanceId{"other"}, {40, 60000, kStart}, 60000, kStart);
  for (std::uint64_t draw = 0; draw < 10; ++draw) {
    CHECK(Choose(table, {}, kStart, draw) == "engine-1");
  }
  SECTION("until that instance has been silent for long") {
    std::set<std::string> used;
    for (std::uint64_t draw = 0; draw < 30; ++draw) {
      used.insert(Choose(table, {}, kStart + seconds(30), draw));
    }
    CHECK(used.size() == 2);
  }
}

TEST_CASE("upstreams that must not get work get none") {
  struct Case {
    const char* what;
    void (*change)(UpstreamTable&);
    bool usable;
  };
  const Case one = GENERATE(values<Case>({
      {"nothing happened", [](UpstreamTable&) {}, true},
      {"it leaves",
       [](UpstreamTable& table) {
         UpstreamRecord record = Engine("engine-0");
         record.leaving = true;
         UpdateUpstream(table, record, {UpstreamKind::kEngine, 128, 0, 4.5},
                        kStart);
       },
       false},
      {"it leaves and its own word comes late",
       [](UpstreamTable& table) {
         UpstreamRecord record = Engine("engine-0");
         record.leaving = true;
         UpdateUpstream(table, record, {UpstreamKind::kEngine, 128, 0, 4.5},
                        kStart);
         record.leaving = false;
         UpdateUpstream(table, record, {UpstreamKind::kEngine, 128, 0, 4.5},
                        kStart);
       },
       false},
      {"it left and started anew",
       [](UpstreamTable& table) {
         UpstreamRecord record = Engine("engine-0");
         record.leaving = true;
         UpdateUpstream(table, record, {UpstreamKind::kEngine, 128, 0, 4.5},
                        kStart);
         record.leaving = false;
         record.config.incarnation = Incarnation{2};
         UpdateUpstream(table, record, {UpstreamKind::kEngine, 128, 0, 4.5},
                        kStart);
       },
       true},
      {"its zone is evacuated",
       [](UpstreamTable& table) { Evacuate(table, kZone, true); }, false},
      {"another zone is evacuated",
       [](UpstreamTable& table) { Evacuate(table, ZoneId{"x"}, true); }, true},
      {"it is gone",
       [](UpstreamTable& table) {
         CHECK(EraseUpstream(table, UpstreamId{"engine-0"}));
       },
       false},
      {"it is cold and another instance's",
       [](UpstreamTable& table) {
         UpstreamRecord record = Engine("engine-0");
         record.cold_remaining = seconds(3);
         UpdateUpstream(table, record, {UpstreamKind::kEngine, 128, 0, 4.5},
                        kStart);
       },
       false},
  }));
  CAPTURE(one.what);
  UpstreamTable table = Engines(1);
  one.change(table);
  CHECK((Choose(table, {}) == "engine-0") == one.usable);
}

TEST_CASE("a restarted engine has lost what it kept") {
  UpstreamTable table = Engines(1);
  UpstreamState* engine = FindUpstream(table, UpstreamId{"engine-0"});
  Touch(engine->cache, Review(7));
  CHECK(UncachedTokens(engine->cache, Review(7)) == 3720);
  UpstreamRecord record = Engine("engine-0");
  record.config.incarnation = Incarnation{2};
  UpdateUpstream(table, record, {UpstreamKind::kEngine, 128, 245000, 4.5},
                 kStart);
  CHECK(UncachedTokens(engine->cache, Review(7)) == 17020);
}

TEST_CASE("the parts used longest ago yield") {
  PrefixCache cache;
  cache.capacity = 30000;
  Touch(cache, Review(1));
  Touch(cache, Review(2));
  Touch(cache, Review(1));
  Touch(cache, Review(3));
  CHECK(UncachedTokens(cache, Review(1)) == 3720);
  CHECK(UncachedTokens(cache, Review(2)) == 17020);
  CHECK(UncachedTokens(cache, Review(3)) == 3720);
  CHECK(cache.held <= cache.capacity);
}

TEST_CASE("a part behind one that is not kept is of no use") {
  PrefixCache cache;
  cache.capacity = 100000;
  const Prompt chain{5000, 10, {{1, 2000}, {2, 2000}, {3, 1000}}};
  Touch(cache, PromptPart{2, 2000});
  CHECK(UncachedTokens(cache, chain) == 5000);
  Touch(cache, PromptPart{1, 2000});
  CHECK(UncachedTokens(cache, chain) == 1000);
}

}  // namespace
}  // namespace mimosagauge
