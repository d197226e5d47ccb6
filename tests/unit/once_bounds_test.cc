// What is remembered of keys stays within its bounds, and a full table
// refuses new keys and forgets none.

#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <string>

#include "mimosagauge/impl/decisions/once/claim_committer.h"
#include "mimosagauge/impl/decisions/once/handover.h"
#include "mimosagauge/impl/decisions/once/key_table.h"

namespace mimosagauge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

KeyOwner Self() { return {InstanceId("recife-1"), Incarnation{1}, 1}; }

KeyedCall Call(std::uint64_t number, Duration expiry = seconds(60)) {
  return {RequestNumber{number},
          {number, number},
          {1, 1},
          KeyRoute::kTicket,
          expiry};
}

RecordedAnswerPtr Answer(std::size_t size) {
  auto answer = std::make_shared<RecordedAnswer>();
  answer->body = std::string(size, 'a');
  return answer;
}

bool Runs(const KeyEffects& effects) {
  return effects.size() == 1 && std::holds_alternative<RunCall>(effects[0]);
}

bool Refuses(const KeyEffects& effects, KeyRefusal refusal) {
  return effects.size() == 1 &&
         std::holds_alternative<RefuseCall>(effects[0]) &&
         std::get<RefuseCall>(effects[0]).refusal == refusal;
}

TEST_CASE("a full table refuses new keys and keeps the old ones") {
  KeyTableSettings settings;
  settings.max_keys = 2;
  KeyTable table = MakeKeyTable(Self(), TimePoint{}, settings);
  REQUIRE(Runs(AdmitCall(table, TimePoint{}, Call(1))));
  REQUIRE(Runs(AdmitCall(table, TimePoint{}, Call(2))));
  CHECK(
      Refuses(AdmitCall(table, TimePoint{}, Call(3)), KeyRefusal::kTableFull));
  CHECK(RunStateOf(KeyRefusal::kTableFull) == RunState::kUnknown);
  static_cast<void>(
      RecordCompleted(table, TimePoint{}, Call(1).key, Answer(10)));
  CHECK(std::holds_alternative<ReplayAnswer>(
      AdmitCall(table, TimePoint{}, Call(1))[0]));
}

TEST_CASE("kept answers stay within their memory") {
  KeyTableSettings settings;
  settings.max_answer_size = Bytes{1000};
  settings.max_total_answer_size = Bytes{2500};
  KeyTable table = MakeKeyTable(Self(), TimePoint{}, settings);
  std::uint64_t number = 0;
  while (Runs(AdmitCall(table, TimePoint{}, Call(++number)))) {
    static_cast<void>(
        RecordCompleted(table, TimePoint{}, Call(number).key, Answer(500)));
    REQUIRE(table.answers <= settings.max_total_answer_size);
  }
  CHECK(number > 2);
  CHECK(std::holds_alternative<ReplayAnswer>(
      AdmitCall(table, TimePoint{}, Call(1))[0]));
  // Forgetting gives the memory back.
  const TimePoint later{settings.retention + seconds(61)};
  static_cast<void>(RemoveExpiredKeys(table, later));
  CHECK(table.answers == Bytes{});
  CHECK(table.records.empty());
  CHECK(table.expiry_order.empty());
}

TEST_CASE("an answer that is too large is told as ran") {
  KeyTable table = MakeKeyTable(Self(), TimePoint{});
  REQUIRE(Runs(AdmitCall(table, TimePoint{}, Call(1))));
  static_cast<void>(
      RecordCompleted(table, TimePoint{}, Call(1).key, Answer(17'408)));
  CHECK(Refuses(AdmitCall(table, TimePoint{}, Call(1)),
                KeyRefusal::kAnswerNotKept));
  CHECK(ProblemFor(KeyRefusal::kAnswerNotKept).run == RunState::kRan);
}

TEST_CASE("a slot writes once an interval however many keys it claims") {
  const auto asks = GENERATE(10, 100, 1000);
  ClaimCommitter committer;
  committer.slots[SlotNumber{0}].phase = SlotState::Phase::kLoaded;
  int writes = 0;
  TimePoint now{};
  for (int i = 1; i <= asks; ++i) {
    now += Duration(seconds(1)) / asks;
    const auto key = static_cast<std::uint64_t>(i);
    ClaimEffects effects =
        RequestClaim(committer, now,
                     {{key * kClaimSlotCount, key}, Self(), ClaimNumber{key}});
    for (ClaimEffect& effect : effects) {
      if (const auto* commit = std::get_if<CommitClaims>(&effect)) {
        ++writes;
        static_cast<void>(
            HandleStoreEvent(committer, now,
                             ClaimCommitted{commit->slot, commit->call,
                                            commit->expected.next()}));
      }
    }
  }
  CHECK(writes <= 5);
}

TEST_CASE("a full slot refuses") {
  ClaimCommitter committer;
  committer.settings.max_bindings_per_slot = 1;
  SlotState& slot = committer.slots[SlotNumber{0}];
  slot.phase = SlotState::Phase::kLoaded;
  slot.value.buckets.push_back({{}, {}, {{{16, 1}, Self(), ClaimNumber{1}}}});
  const ClaimEffects effects =
      RequestClaim(committer, TimePoint{}, {{32, 2}, Self(), ClaimNumber{2}});
  REQUIRE(effects.size() == 1);
  CHECK(std::holds_alternative<RefuseClaim>(effects[0]));
}

TEST_CASE("handed-over records stay within their bounds") {
  ReceivedHandovers held;
  held.max_records = 3;
  HandoverChunk chunk;
  chunk.owner = Self();
  chunk.count = 2;
  chunk.hold_for = seconds(10);
  chunk.records = {{{1, 1}, {1, 1}, KeyState::kClosed, nullptr},
                   {{2, 2}, {1, 1}, KeyState::kClosed, nullptr}};
  REQUIRE(AcceptChunk(held, TimePoint{}, chunk).has_value());
  REQUIRE(AcceptChunk(held, TimePoint{}, chunk).has_value());
  CHECK(held.records == 2);
  chunk.index = 1;
  CHECK(AcceptChunk(held, TimePoint{}, chunk).has_error());
  // Incomplete, so a record's absence proves nothing.
  CHECK(Refuses({AnswerFromHandover(held, Self(), Call(9))},
                KeyRefusal::kOwnerUnreachable));
  RemoveExpiredHandovers(held, TimePoint(seconds(10)));
  CHECK(held.records == 0);
}

}  // namespace
}  // namespace mimosagauge
