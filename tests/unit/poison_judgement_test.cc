// What is held against a request after which crashes, and how records merge.

#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <vector>

#include "mimosagauge/impl/decisions/poison.h"

namespace mimosagauge {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

constexpr SuspectFingerprint kSubject{1, 1};
constexpr TimePoint kStart{std::chrono::hours(1)};

/// A crash as some instance reports it; who was present, by number.
struct Sight {
  std::string upstream;
  seconds at;
  std::vector<std::uint64_t> present;
  bool truncated = false;
};

struct Case {
  std::string name;
  std::vector<Sight> sights;
  seconds now;
  SuspicionLevel expected;
};

CrashRecord RecordOf(const Sight& sight, std::uint64_t number, seconds now) {
  CrashRecord record;
  record.id = {{InstanceId("other"), Incarnation{1}, 1}, number};
  record.upstream = UpstreamId(sight.upstream);
  for (const std::uint64_t suspect : sight.present) {
    record.suspects.insert({suspect, suspect});
  }
  record.truncated = sight.truncated;
  record.age = now - sight.at;
  return record;
}

PoisonTable TableWith(const Case& sample) {
  PoisonTable table;
  table.self = {InstanceId("self"), Incarnation{1}, 1};
  std::uint64_t number = 0;
  for (const Sight& sight : sample.sights) {
    MergeCrashRecord(table, kStart + sample.now,
                     RecordOf(sight, ++number, sample.now));
  }
  return table;
}

TEST_CASE("a request is judged by the crashes it was present at") {
  const auto sample = GENERATE(values<Case>({
      {"never",
       {{"a", seconds(0), {2}}},
       seconds(9),
       SuspicionLevel::kNotSuspect},
      {"once, alone",
       {{"a", seconds(0), {1}}},
       seconds(9),
       SuspicionLevel::kSuspect},
      {"twice, alone",
       {{"a", seconds(0), {1}}, {"b", seconds(5), {1}}},
       seconds(9),
       SuspicionLevel::kPoison},
      {"twice, too early to say",
       {{"a", seconds(0), {1}}, {"b", seconds(5), {1}}},
       seconds(7),
       SuspicionLevel::kUndecided},
      {"twice, with another at both",
       {{"a", seconds(0), {1, 2}}, {"b", seconds(5), {1, 2}}},
       seconds(9),
       SuspicionLevel::kUndecided},
      {"twice, with others at each",
       {{"a", seconds(0), {1, 2}}, {"b", seconds(5), {1, 3}}},
       seconds(9),
       SuspicionLevel::kPoison},
      {"two instances saw one crash",
       {{"a", seconds(0), {1}}, {"a", seconds(0), {1}}},
       seconds(9),
       SuspicionLevel::kSuspect},
      {"another instance's request was there both times",
       {{"a", seconds(0), {1}},
        {"a", seconds(0), {2}},
        {"b", seconds(5), {1}},
        {"b", seconds(5), {2}}},
       seconds(9),
       SuspicionLevel::kUndecided},
      {"two crashes of one upstream",
       {{"a", seconds(0), {1}}, {"a", seconds(3), {1}}},
       seconds(9),
       SuspicionLevel::kPoison},
      {"not all present are known",
       {{"a", seconds(0), {1}, true}, {"b", seconds(5), {1}, true}},
       seconds(9),
       SuspicionLevel::kUndecided},
      {"the first is forgotten",
       {{"a", seconds(0), {1}}, {"b", seconds(300), {1}}},
       seconds(601),
       SuspicionLevel::kSuspect},
  }));
  INFO(sample.name);
  PoisonTable table = TableWith(sample);
  CHECK(SuspicionOf(table, kStart + sample.now, kSubject) == sample.expected);
  // Learning everything again, backwards, changes nothing.
  std::uint64_t number = sample.sights.size();
  for (auto sight = sample.sights.rbegin(); sight != sample.sights.rend();
       ++sight) {
    MergeCrashRecord(table, kStart + sample.now,
                     RecordOf(*sight, number--, sample.now));
  }
  CHECK(SuspicionOf(table, kStart + sample.now, kSubject) == sample.expected);
}

TEST_CASE("a completed trial clears who was merely present") {
  const auto [present, expected] =
      GENERATE(table<std::vector<std::uint64_t>, SuspicionLevel>({
          {{1, 2}, SuspicionLevel::kNotSuspect},
          {{1}, SuspicionLevel::kSuspect},
      }));
  PoisonTable table = TableWith(
      {"", {{"a", seconds(0), present}}, seconds(9), SuspicionLevel::kSuspect});
  const TimePoint now = kStart + seconds(9);
  const std::vector<InstanceId> candidates{table.self.instance};
  REQUIRE(std::holds_alternative<RunIsolated>(
      RouteSuspect(table, now, kSubject, candidates)));
  // One at a time.
  CHECK(std::holds_alternative<RefuseSuspect>(
      RouteSuspect(table, now, kSubject, candidates)));
  const auto changed = EndIsolatedRun(table, now, kSubject, true);
  CHECK(SuspicionOf(table, now, kSubject) == expected);
  PoisonTable other;
  for (const CrashRecord& record : changed) {
    CHECK(MergeCrashRecord(other, now, record));
    CHECK_FALSE(MergeCrashRecord(other, now, record));
  }
  CHECK(SuspicionOf(other, now, kSubject) == SuspicionLevel::kNotSuspect);
}

TEST_CASE("suspicion is bounded and forgotten") {
  PoisonTable table;
  table.settings.max_crashes = 10;
  for (std::uint64_t i = 1; i <= 100; ++i) {
    MergeCrashRecord(table, kStart,
                     RecordOf({"a", seconds(0), {i}}, i, seconds(0)));
    REQUIRE(table.crashes.size() <= 10);
    REQUIRE(table.crashes_by_suspect.size() <= 10);
  }
  RemoveExpiredCrashes(table, kStart + minutes(10));
  CHECK(table.crashes.empty());
  CHECK(table.crashes_by_suspect.empty());
}

}  // namespace
}  // namespace mimosagauge
