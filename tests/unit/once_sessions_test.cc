// Whole sessions of keyed calls under the named failures, as golden files.

#include <catch2/catch.hpp>
#include <chrono>
#include <string>

#include "tests/support/golden.h"
#include "tests/support/once_world.h"

namespace mimosagauge::testing {
namespace {

using std::chrono::seconds;
using Outcome = OnceWorld::Outcome;

constexpr std::size_t kInstances = 4;

void Pass(OnceWorld& world, seconds time) {
  world.Advance(time);
  world.Tick();
  world.DeliverAll();
}

void SendTo(OnceWorld& world, std::size_t key, std::size_t entry,
            std::uint64_t content = 1) {
  world.Send(key, entry, content);
  world.DeliverAll();
}

void TicketToTwoInstances(OnceWorld& world) {
  const std::size_t key = world.NewKey(0);
  SendTo(world, key, 1);
  SendTo(world, key, 2);
  world.Finish(0, 0, Outcome::kAnswered);
  SendTo(world, key, 3);
}

void BareKeyToTwoInstances(OnceWorld& world) {
  const std::size_t key = world.NewBareKey();
  world.Send(key, 1, 1);
  world.Send(key, 2, 1);
  world.DeliverAll();
  world.Finish(1, 0, Outcome::kAnswered);
  world.Finish(2, 0, Outcome::kAnswered);
  SendTo(world, key, 3);
}

void OwnerKilledTicket(OnceWorld& world) {
  const std::size_t key = world.NewKey(0);
  SendTo(world, key, 0);
  world.Kill(0);
  SendTo(world, key, 1);
  world.Restart(0);
  SendTo(world, key, 0);
}

void OwnerKilledBareKey(OnceWorld& world) {
  const std::size_t key = world.NewBareKey();
  SendTo(world, key, 0);
  world.Kill(0);
  SendTo(world, key, 1);
  world.Restart(0);
  SendTo(world, key, 0);
}

void OwnerFrozenAndThawed(OnceWorld& world) {
  const std::size_t ticket_key = world.NewKey(0);
  const std::size_t bare_key = world.NewBareKey();
  world.Send(ticket_key, 0, 1);
  SendTo(world, bare_key, 0);
  world.SetPaused(0, true);
  Pass(world, seconds(15));
  SendTo(world, ticket_key, 1);
  SendTo(world, bare_key, 1);
  world.SetPaused(0, false);
  world.DeliverAll();
  world.Finish(0, 0, Outcome::kAnswered);
  world.Finish(0, 0, Outcome::kAnswered);
  SendTo(world, ticket_key, 1);
  SendTo(world, bare_key, 1);
}

void OwnerCutOff(OnceWorld& world) {
  const std::size_t key = world.NewKey(0);
  const std::size_t bare_key = world.NewBareKey();
  world.SetCut(0, true);
  SendTo(world, key, 0);
  world.Finish(0, 0, Outcome::kAnswered);
  SendTo(world, key, 1);
  SendTo(world, bare_key, 0);
  SendTo(world, bare_key, 1);
  Pass(world, seconds(6));
  world.SetCut(0, false);
  Pass(world, seconds(1));
}

void OwnerFrozenBeforeItSends(OnceWorld& world) {
  const std::size_t key = world.NewBareKey();
  world.SetStoreDown(true);
  SendTo(world, key, 0);
  world.SetPaused(0, true);
  world.SetStoreDown(false);
  Pass(world, seconds(1));
  SendTo(world, key, 1);
  Pass(world, seconds(14));
  world.SetPaused(0, false);
  Pass(world, seconds(0));
  SendTo(world, key, 0);
  Pass(world, seconds(1));
}

void RegionsPartitioned(OnceWorld& world) {
  const std::size_t near_key = world.NewKey(2);
  const std::size_t far_key = world.NewKey(0);
  const std::size_t bare_key = world.NewBareKey();
  world.SetPartitioned(true);
  for (const std::size_t key : {near_key, far_key, bare_key}) {
    SendTo(world, key, 0);
    SendTo(world, key, 2);
  }
  world.Finish(0, 0, Outcome::kAnswered);
  world.Finish(2, 0, Outcome::kAnswered);
  world.Finish(2, 0, Outcome::kAnswered);
  Pass(world, seconds(6));
  world.SetPartitioned(false);
  Pass(world, seconds(1));
  SendTo(world, far_key, 3);
  SendTo(world, bare_key, 1);
  Pass(world, seconds(1));
}

void StoreDown(OnceWorld& world) {
  const std::size_t key = world.NewBareKey();
  world.SetStoreDown(true);
  SendTo(world, key, 0);
  for (int i = 0; i < 6; ++i) {
    world.FailStoreCalls();
    Pass(world, seconds(1));
  }
}

void StoreSlow(OnceWorld& world) {
  const std::size_t ticket_key = world.NewKey(0);
  const std::size_t bare_key = world.NewBareKey();
  world.SetStoreDown(true);
  SendTo(world, ticket_key, 1);
  SendTo(world, bare_key, 0);
  Pass(world, seconds(3));
  Pass(world, seconds(3));
  world.SetStoreDown(false);
  Pass(world, seconds(1));
  SendTo(world, bare_key, 0);
  Pass(world, seconds(1));
}

void StoreLosesAnswers(OnceWorld& world) {
  const std::size_t key = world.NewBareKey();
  world.SetStoreLossy(true);
  SendTo(world, key, 0);
  SendTo(world, key, 1);
  Pass(world, seconds(1));
  Pass(world, seconds(1));
  world.SetStoreLossy(false);
  Pass(world, seconds(1));
  world.Finish(0, 0, Outcome::kAnswered);
}

void OtherContent(OnceWorld& world) {
  const std::size_t key = world.NewKey(0);
  SendTo(world, key, 0, 1);
  SendTo(world, key, 1, 2);
  world.Finish(0, 0, Outcome::kAnswered);
  SendTo(world, key, 2, 2);
  SendTo(world, key, 2, 1);
}

void NotSentClosesTheKey(OnceWorld& world) {
  const std::size_t key = world.NewKey(0);
  world.Send(key, 1, 1);  // Stays under way.
  world.SetNextNotSent();
  world.Send(key, 0, 1);
  world.Deliver(1, false);
  world.Finish(0, 0, Outcome::kAnswered);
  world.DeliverAll();
}

void PlannedStops(OnceWorld& world) {
  const std::size_t key = world.NewKey(0);
  const std::size_t unsent_key = world.NewKey(0);
  SendTo(world, key, 0);
  world.Finish(0, 0, Outcome::kAnswered);
  world.StopPlanned(0, 1);
  world.DeliverAll();
  world.Kill(0);
  SendTo(world, key, 2);
  SendTo(world, unsent_key, 2);
  world.StopPlanned(1, 2);
  world.DeliverAll();
  world.Kill(1);
  SendTo(world, key, 3);
  Pass(world, seconds(60));
  SendTo(world, key, 3);
}

void TicketExpires(OnceWorld& world) {
  const std::size_t key = world.NewKey(0);
  const std::size_t unsent_key = world.NewKey(0);
  SendTo(world, key, 0);
  world.Finish(0, 0, Outcome::kAnswered);
  Pass(world, seconds(16));
  SendTo(world, key, 1);
  SendTo(world, unsent_key, 1);
  Pass(world, seconds(10));
  SendTo(world, key, 1);
  SendTo(world, unsent_key, 1);
}

struct Session {
  std::string name;
  void (*play)(OnceWorld&);
};

TEST_CASE("sessions of keyed calls go as recorded") {
  const auto session = GENERATE(values<Session>({
      {"once_ticket_to_two_instances", TicketToTwoInstances},
      {"once_bare_key_to_two_instances", BareKeyToTwoInstances},
      {"once_owner_killed_ticket", OwnerKilledTicket},
      {"once_owner_killed_bare_key", OwnerKilledBareKey},
      {"once_owner_frozen_and_thawed", OwnerFrozenAndThawed},
      {"once_owner_frozen_before_it_sends", OwnerFrozenBeforeItSends},
      {"once_regions_partitioned", RegionsPartitioned},
      {"once_store_slow", StoreSlow},
      {"once_owner_cut_off", OwnerCutOff},
      {"once_store_down", StoreDown},
      {"once_store_loses_answers", StoreLosesAnswers},
      {"once_other_content", OtherContent},
      {"once_not_sent_closes_the_key", NotSentClosesTheKey},
      {"once_planned_stops", PlannedStops},
      {"once_ticket_expires", TicketExpires},
  }));
  OnceWorld world(kInstances, Without::kNothing);
  session.play(world);
  CHECK_THAT(CheckGolden(session.name, world.TakeLog()), Catch::Equals(""));
  CHECK_THAT(world.BrokenPromise(), Catch::Equals(""));
}

}  // namespace
}  // namespace mimosagauge::testing
