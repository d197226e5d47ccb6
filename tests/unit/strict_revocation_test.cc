// Strict revocation under failures: when keys are accepted, and when refused.

#include <catch2/catch.hpp>
#include <string>

#include "mimosagauge/impl/decisions/accounts/confirmation.h"
#include "mimosagauge/impl/decisions/accounts/question_age.h"
#include "mimosagauge/impl/duties/store/fleet_duty.h"
#include "mimosagauge/impl/wire/confirmation_codec.h"
#include "tests/support/revocation_world.h"

namespace mimosagauge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::RevocationWorld;

constexpr std::size_t kInstances = 6;
constexpr Duration kRecovery = milliseconds(1700);  // Two polls.

struct Failure {
  std::string name;
  std::size_t cut_from_store;  // The first so many instances.
  bool in = false;             // Messages to instance 0 are late.
  bool out = false;            // Messages from instance 0 are late.
  Duration store_delay = milliseconds(800);
  bool frozen = false;
  bool restarts = false;
  // Status of instance 0 for a key that is in all configurations, after the
  // failure has lasted for twice the bound.
  std::uint16_t steady = 0;
  std::uint16_t steady_revoked = 0;  // If another key was revoked meanwhile.
};

const std::vector<Failure>& Failures() {
  constexpr Duration kUsual = milliseconds(800);
  static const std::vector<Failure> kFailures{
      {"none", 0},
      {"store away for all", kInstances, false, false, kUsual, false, false,
       503, 503},
      {"store away for one", 1, false, false, kUsual, false, false, 0, 503},
      {"isolated", 1, true, true, kUsual, false, false, 503, 503},
      {"late answers", 1, true, false, kUsual, false, false, 503, 503},
      {"late questions", 1, false, true, kUsual, false, false, 503, 503},
      {"frozen", 0, false, false, kUsual, true, false, 503, 503},
      {"store slow", 0, false, false, milliseconds(2200)},
      {"store too slow", 0, false, false, seconds(6), false, false, 503, 503},
      {"restarted", 1, true, true, kUsual, false, true, 503, 503},
  };
  return kFailures;
}

void Apply(const Failure& failure, bool begins, RevocationWorld& world) {
  for (std::size_t i = 0; i < kInstances; ++i) {
    world.CutStore(i, begins && i < failure.cut_from_store);
    world.CutLink(i, 0, begins && failure.in);
    world.CutLink(0, i, begins && failure.out);
  }
  world.Freeze(0, begins && failure.frozen);
  world.SetStoreDelay(begins ? failure.store_delay
                             : Duration(milliseconds(800)));
  if (begins && failure.restarts) {
    world.Restart(0);
  }
}

// Guards against: a revoked key that runs after the bound at an instance that
// does not learn of its removal, and keys refused for longer than the failure.
TEST_CASE("a revoked key is refused after the bound whatever fails") {
  const Failure& failure =
      Failures()[GENERATE(range<std::size_t>(0, Failures().size()))];
  const bool revoked = GENERATE(true, false);
  CAPTURE(failure.name, revoked);
  RevocationWorld world(kInstances);
  world.Run(seconds(3));
  REQUIRE(world.Ask(0) == 0);
  Apply(failure, true, world);
  world.Run(seconds(3));
  if (revoked) {
    world.Write(false);
  }
  for (int i = 0; i < 100; ++i) {
    world.Run(milliseconds(100));
    CHECK((world.Ask(0) != 0 || world.MayRun(Duration::zero())));
    // A key of all configurations is never denied.
    CHECK(world.Ask(0, "k-steady") != 401);
    // The public route is served, except before the first configuration.
    CHECK(world.Ask(0, "") == (failure.restarts ? 503 : 0));
  }
  CHECK(world.Ask(0, "k-steady") ==
        (revoked ? failure.steady_revoked : failure.steady));
  // Answers to early questions arrive late.
  for (std::size_t i = 1; i < kInstances; ++i) {
    world.CutLink(i, 0, false);
  }
  world.Run(milliseconds(100));
  CHECK((world.Ask(0) != 0 || world.MayRun(Duration::zero())));
  Apply(failure, false, world);
  world.Run(kRecovery);
  CHECK(world.Ask(0, "k-steady") == 0);
  CHECK(world.Ask(0) == (revoked ? 401 : 0));
}

// Guards against: an instance with an old configuration that is confirmed by
// one with a newer configuration.
TEST_CASE("an older configuration is not confirmed by a newer one") {
  RevocationWorld world(2);
  world.Run(seconds(3));
  world.CutStore(0, true);
  world.Run(seconds(20));
  REQUIRE(world.Ask(0) == 0);
  world.Write(false);
  world.Run(seconds(6));
  CHECK(world.Ask(0) == 503);
  CHECK(world.Ask(0, "k-steady") == 503);
  CHECK(world.Ask(1) == 401);
  CHECK(world.Ask(1, "k-steady") == 0);
}

// Guards against: traffic between instances while the store answers, and
// traffic that grows with the length of an outage.
TEST_CASE("instances ask each other only while the store is away") {
  RevocationWorld world(kInstances);
  world.Run(seconds(3));
  const std::size_t at_start = world.sent();
  world.Run(seconds(60));
  CHECK(world.sent() == at_start);
  for (std::size_t i = 0; i < kInstances; ++i) {
    world.CutStore(i, true);
  }
  world.Run(seconds(60));
  // Three questions a second from each instance, once keys are refused; none is
  // answered then.
  CHECK(world.sent() - at_start <= kInstances * (3 * 60 + 60));
}

// Guards against: an answer to a question of an earlier process on the same
// machine, whose clock may have had another origin.
TEST_CASE("only the answer to an own question confirms") {
  struct Case {
    std::string what;
    std::uint64_t process;
    milliseconds asked_at;
    std::optional<ConfirmedVersion> confirmed;
    bool confirms;
  };
  const ConfirmedVersion same{Revision{4}, milliseconds(700)};
  const Case one = GENERATE_COPY(values<Case>({
      {"own", 9, milliseconds(9000), same, true},
      {"of an earlier process", 8, milliseconds(9000), same, false},
      {"from the future", 9, milliseconds(10001), same, false},
      {"before the clock began", 9, milliseconds(-5), same, false},
      {"older than known", 9, milliseconds(8500), same, false},
      {"a question", 9, milliseconds(9000), std::nullopt, false},
      {"older version", 9, milliseconds(9000),
       ConfirmedVersion{Revision{3}, milliseconds(700)}, true},
      {"newer version", 9, milliseconds(9000),
       ConfirmedVersion{Revision{5}, milliseconds(700)}, false},
  }));
  CAPTURE(one.what);
  const TimePoint now{seconds(10)};
  Confirmation confirmation = MakeConfirmation(seconds(5), 9);
  REQUIRE(ConfirmByStore(confirmation, Revision{4}, Revision{4},
                         now - milliseconds(2000), now));
  const ConfirmationMessage answer{{one.process, TimePoint{one.asked_at}},
                                   one.confirmed};
  CHECK(ConfirmByPeer(confirmation, Revision{4}, answer, now) == one.confirms);
  CHECK(*ConfirmationAge(confirmation, now) ==
        (one.confirms ? milliseconds(1700) : milliseconds(2000)));
}

TEST_CASE("messages about the configuration are encoded without loss") {
  const std::optional<ConfirmedVersion> confirmed =
      GENERATE(std::optional<ConfirmedVersion>(),
               ConfirmedVersion{Revision{7}, milliseconds(1234)});
  // An age that is rounded down would confirm too much.
  const ConfirmationMessage exact{{1, TimePoint{}},
                                  ConfirmedVersion{Revision{1}, Duration(1)}};
  CHECK(DecodeConfirmation(EncodeConfirmation(exact)).value().confirmed->age ==
        std::chrono::microseconds(1));
  const ConfirmationMessage message{{17, TimePoint{Duration(123456789012345)}},
                                    confirmed};
  const std::string bytes = EncodeConfirmation(message);
  const auto decoded = DecodeConfirmation(bytes);
  REQUIRE(decoded);
  CHECK(decoded.value() == message);
  CHECK(bytes.size() <= 80);
  for (std::size_t size = 0; size < bytes.size() / 2; ++size) {
    CHECK_FALSE(DecodeConfirmation(bytes.substr(0, size)));
  }
}

// The sum of docs/design/011-accounts.md.
TEST_CASE("polls of the store keep the age below the limit with one lost") {
  const Duration strict = GENERATE(as<Duration>(), milliseconds(2500),
                                   seconds(3), seconds(5), seconds(30));
  const FleetDutyTimings times;
  const Duration wait = PollWaitFor(strict, times);
  const Duration round_trip = milliseconds(120);
  CAPTURE(strict.count(), wait.count());
  CHECK(wait <= times.wait);
  CHECK(wait >= milliseconds(100));
  // An answered poll with changes, one that is lost, and its repetition on a
  // new connection, which is not held.
  const Duration age = (wait + round_trip + times.batch) +
                       (wait + times.overdue) + 2 * round_trip;
  CHECK(age <= LongestConfirmationAge(strict));
  // The same with the repetition lost too.
  CHECK(age + times.overdue + 2 * round_trip <= LongestConfirmationAge(strict));
  // Without losses no questions are asked.
  CHECK(2 * (wait + round_trip) + times.batch <=
        LongestConfirmationAge(strict) * kQuestionFraction);
}

}  // namespace
}  // namespace mimosagauge
