// Whole sessions of the gateway state machine against their golden files.

#include <catch2/catch.hpp>
#include <chrono>
#include <string>

#include "tests/support/golden.h"
#include "tests/support/session.h"

namespace mimosagauge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::RequestText;
using testing::Session;

constexpr std::string_view kRules =
    "route quote-assistant model=quote-*  # Wanjiru Kamau\n"
    "priority 1 service=quote-assistant account=county-*  # Wanjiru Kamau\n"
    "retry yes service=quote-assistant  # Wanjiru Kamau\n"
    "retry yes service=order-desk method=GET  # the clerk\n"
    "stay nairobi-a account=home-*  # the county office\n"
    "due 20s service=quote-assistant  # Wanjiru Kamau\n";

RequestText Quote(std::string account = "school") {
  RequestText text;
  text.model = "quote-large";
  text.account = std::move(account);
  return text;
}

RequestText Desk(std::string method, std::string account = "school") {
  RequestText text;
  text.method = std::move(method);
  text.path = "/order-desk/deposits";
  text.service = "order-desk";
  text.account = std::move(account);
  return text;
}

void AnswerPassesThrough(Session& s) {
  s.FromCaller(Quote());
  s.Answered(1);
  s.Body(1, "whole");
  s.Ended(1);
}

void IdempotentIsTriedElsewhere(Session& s) {
  s.FromCaller(Quote());
  s.Failed(1, RunState::kUnknown);
  s.Answered(2);
  s.Body(2, "whole");
  s.Ended(2);
}

void NonIdempotentIsNotRepeated(Session& s) {
  s.FromCaller(Desk("POST"));
  s.Failed(1, RunState::kUnknown);
}

void NotRunIsTriedAgain(Session& s) {
  s.FromCaller(Quote("school"));
  s.Failed(1, RunState::kNotRun);
  s.Failed(2, RunState::kNotRun);
}

void StreamIsResumed(Session& s) {
  s.FromCaller(Quote());
  s.Answered(1, 200, true);
  s.Body(1, "id: 1\n\n", "1");
  s.Failed(1, RunState::kRan);
  s.Answered(2, 200, true);
  s.Body(2, "id: 2\n\n", "2");
  s.Ended(2);
}

void ResumedElsewhereMustBeAStream(Session& s) {
  s.FromCaller(Quote());
  s.Answered(1, 200, true);
  s.Body(1, "id: 1\n\n", "1");
  s.Failed(1, RunState::kRan);
  s.Answered(2, 200, false);
}

void WholeAnswerIsBrokenOff(Session& s) {
  s.FromCaller(Quote());
  s.Answered(1);
  s.Body(1, "half");
  s.Failed(1, RunState::kRan);
}

void LateAnswerIsDiscarded(Session& s) {
  s.FromCaller(Quote());
  s.Failed(1, RunState::kUnknown);
  s.Answered(1);
  s.Body(1, "late");
  s.Ended(1);
  s.Answered(2);
  s.Body(2, "whole");
  s.Ended(2);
}

void DueTimeWhileRunning(Session& s) {
  s.FromCaller(Quote());
  s.Advance(seconds(20));
  s.Answered(1);
}

void DueTimeWhileWaiting(Session& s) {
  RequestText hurried = Quote();
  hurried.remaining = milliseconds(500);
  s.FromCaller(Quote());
  s.FromCaller(Quote());
  s.FromCaller(hurried);
  s.Advance(milliseconds(500));
}

void FullQueueRefusesTheLast(Session& s) {
  for (int i = 0; i < 5; ++i) {
    s.FromCaller(Quote("school"));
  }
  s.FromCaller(Quote("county-club"));
  s.Answered(1);
  s.Ended(1);
}

void BusyServiceHoldsUpNoOther(Session& s) {
  s.gateway().waiting.capacity = 20;
  for (int i = 0; i < 2 + 9; ++i) {
    s.FromCaller(Quote("county-club"));
  }
  s.FromCaller(Desk("GET"));
  s.FromCaller(Desk("GET"));
  s.FromCaller(Desk("GET"));
  s.Answered(3);
  s.Ended(3);
}

void HomeBoundIsNotSentAway(Session& s) {
  s.Feed(LinkChanged{InstanceId{"mombasa-1"}, true});
  s.FromCaller(Quote("home-club"));
  s.Failed(1, RunState::kNotRun);
  s.Failed(2, RunState::kNotRun);
}

void HomeBoundIsRefusedOnArrival(Session& s) {
  s.Rules(
      "route quote-assistant model=quote-*  # Wanjiru Kamau\n"
      "stay mombasa-a account=coast-*  # the coast office\n",
      2);
  s.FromLink(Quote("coast-club"));
}

void UnservedHereGoesElsewhere(Session& s) {
  s.Feed(LinkChanged{InstanceId{"mombasa-1"}, true});
  s.FromCaller(Quote());
  s.Failed(1, RunState::kNotRun);
  s.Failed(2, RunState::kNotRun);
  s.Answered(3);
  s.Body(3, "whole");
  s.Ended(3);
}

void NoWayBack(Session& s) {
  s.Feed(LinkChanged{InstanceId{"mombasa-1"}, true});
  RequestText returned = Quote();
  returned.passed = {{RegionId{"nairobi-a"}, "nairobi-1"},
                     {RegionId{"mombasa-a"}, "mombasa-1"}};
  s.FromLink(returned);
  RequestText visitor = Quote();
  visitor.passed = {{RegionId{"nairobi-a"}, "engine-1"},
                    {RegionId{"nairobi-a"}, "engine-2"},
                    {RegionId{"mombasa-a"}, "mombasa-1"}};
  s.FromLink(visitor);
}

void RulesChangeWhileWaiting(Session& s) {
  s.FromCaller(Quote());
  s.FromCaller(Quote());
  s.FromCaller(Quote("club"));
  s.Rules(
      "route quote-assistant model=quote-*  # Wanjiru Kamau\n"
      "stay mombasa-a account=club  # the coast office\n",
      2);
  s.Rules("route quote-assistant model=quote-*  # an older revision\n", 1);
}

void CallerGoesAway(Session& s) {
  const RequestNumber number = s.FromCaller(Quote());
  s.FromCaller(Quote());
  s.FromCaller(Quote());
  s.Feed(RequestAbandoned{number});
}

void SlowCallerHoldsItsOwnStream(Session& s) {
  const RequestNumber number = s.FromCaller(Quote());
  s.Answered(1, 200, true);
  s.Body(1, "id: 1\n\n", "1");
  s.Feed(AnswerConsumed{number, Bytes{7}});
  s.Body(1, "id: 2\n\n", "2");
  s.Failed(1, RunState::kRan);
}

void DrainFinishesWork(Session& s) {
  s.FromCaller(Quote());
  s.Answered(1, 200, true);
  s.Feed(DrainRequested{});
  s.FromCaller(Desk("GET"));
  s.Answered(2);
  s.Ended(2);
  s.Advance(seconds(3));
  s.FromCaller(Quote());
  s.Body(1, "data: [DONE]\n\n");
  s.Ended(1);
}

void DrainRunsOutOfTime(Session& s) {
  s.FromCaller(Desk("POST"));
  s.Feed(DrainRequested{});
  s.Advance(seconds(4));
  s.Advance(seconds(30));
}

// A deposit under a ticket of this instance.
RequestText KeyedDeposit(Session& s) {
  RequestText text = Desk("POST");
  const auto ticket = View(s.gateway(), s.now()).ticket;
  text.key = IssueTicket(s.gateway().config.ticket_secrets, ticket.value(),
                         AccountId{text.account})
                 .value() +
             ":deposit";
  return text;
}

void KeySentAgainGetsTheFirstAnswer(Session& s) {
  const RequestText deposit = KeyedDeposit(s);
  s.FromCaller(deposit);
  s.FromCaller(deposit);
  s.Answered(1);
  s.Body(1, "recorded");
  s.Ended(1);
  s.FromCaller(deposit);
}

void KeyedRunGoesOnWithoutItsCaller(Session& s) {
  const RequestText deposit = KeyedDeposit(s);
  const RequestNumber number = s.FromCaller(deposit);
  s.Feed(RequestAbandoned{number});
  s.Answered(1);
  s.Body(1, "recorded");
  s.Ended(1);
  s.FromCaller(deposit);
}

void KeyOfAFailedRunIsUnknown(Session& s) {
  const RequestText deposit = KeyedDeposit(s);
  s.FromCaller(deposit);
  s.FromCaller(deposit);
  s.Failed(1, RunState::kUnknown);
  s.FromCaller(deposit);
}

void DrainRunsOutOfTimeWithAKeyAwaited(Session& s) {
  const RequestText deposit = KeyedDeposit(s);
  s.FromCaller(deposit);
  s.FromCaller(deposit);
  s.Feed(DrainRequested{});
  s.Advance(seconds(4));
  s.Advance(seconds(30));
}

void NoRulesNotReady(Session& s) {
  Session fresh(testing::TwoRegions(), "");
  fresh.FromCaller(Quote());
  CHECK_FALSE(View(fresh.gateway(), fresh.now()).ready);
  s = std::move(fresh);
}

void FailingUpstreamIsEjected(Session& s) {
  for (std::uint64_t attempt = 1; attempt < 10; attempt += 3) {
    s.FromCaller(Desk("GET"));
    s.FromCaller(Quote());
    s.Failed(attempt, RunState::kUnknown);
    s.Failed(attempt + 1, RunState::kNotRun);
    s.Answered(attempt + 2);
    s.Ended(attempt + 2);
  }
}

void UnavailableUpstreamIsReplaced(Session& s) {
  s.FromCaller(Quote());
  s.Answered(1, 503);
  s.Answered(2);
  s.Ended(2);
}

void UnknownModelHasNoService(Session& s) {
  RequestText text;
  text.model = "unknown";
  s.FromCaller(text);
}

struct Case {
  const char* name;
  void (*play)(Session&);
};

}  // namespace

TEST_CASE("gateway sessions are as recorded") {
  const Case test = GENERATE(values<Case>({
      {"answer_passes_through", AnswerPassesThrough},
      {"idempotent_is_tried_elsewhere", IdempotentIsTriedElsewhere},
      {"non_idempotent_is_not_repeated", NonIdempotentIsNotRepeated},
      {"not_run_is_tried_again", NotRunIsTriedAgain},
      {"stream_is_resumed", StreamIsResumed},
      {"resumed_elsewhere_must_be_a_stream", ResumedElsewhereMustBeAStream},
      {"whole_answer_is_broken_off", WholeAnswerIsBrokenOff},
      {"late_answer_is_discarded", LateAnswerIsDiscarded},
      {"due_time_while_running", DueTimeWhileRunning},
      {"due_time_while_waiting", DueTimeWhileWaiting},
      {"full_queue_refuses_the_last", FullQueueRefusesTheLast},
      {"busy_service_holds_up_no_other", BusyServiceHoldsUpNoOther},
      {"home_bound_is_not_sent_away", HomeBoundIsNotSentAway},
      {"home_bound_is_refused_on_arrival", HomeBoundIsRefusedOnArrival},
      {"unserved_here_goes_elsewhere", UnservedHereGoesElsewhere},
      {"no_way_back", NoWayBack},
      {"rules_change_while_waiting", RulesChangeWhileWaiting},
      {"caller_goes_away", CallerGoesAway},
      {"slow_caller_holds_its_own_stream", SlowCallerHoldsItsOwnStream},
      {"drain_finishes_work", DrainFinishesWork},
      {"drain_runs_out_of_time", DrainRunsOutOfTime},
      {"key_sent_again_gets_the_first_answer", KeySentAgainGetsTheFirstAnswer},
      {"keyed_run_goes_on_without_its_caller", KeyedRunGoesOnWithoutItsCaller},
      {"key_of_a_failed_run_is_unknown", KeyOfAFailedRunIsUnknown},
      {"drain_runs_out_of_time_with_a_key_awaited",
       DrainRunsOutOfTimeWithAKeyAwaited},
      {"no_rules_not_ready", NoRulesNotReady},
      {"failing_upstream_is_ejected", FailingUpstreamIsEjected},
      {"unavailable_upstream_is_replaced", UnavailableUpstreamIsReplaced},
      {"unknown_model_has_no_service", UnknownModelHasNoService},
  }));
  CAPTURE(test.name);
  Session session(testing::TwoRegions(), kRules);
  test.play(session);
  const std::string difference =
      testing::CheckGolden(std::string("gateway_") + test.name, session.text());
  CAPTURE(difference);
  CHECK(difference.empty());
}

}  // namespace mimosagauge
