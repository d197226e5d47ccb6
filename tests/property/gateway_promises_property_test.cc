// Random interleavings of requests, answers, failures, cancels, forwards and
// rule changes against an oracle for four promises: an answer is whole and
// sent once, "not run" was not run, nothing non-idempotent may run twice, and
// no request returns to a place or leaves its region.

#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "tests/support/session.h"

namespace mimosagauge {
namespace {

using testing::RequestText;
using testing::Session;

constexpr std::string_view kRules =
    "route quote-assistant model=quote-*  # Wanjiru Kamau\n"
    "retry yes service=quote-assistant account=again-*  # Wanjiru Kamau\n"
    "stay nairobi-a account=*-home  # the county office\n";
// Under these nobody may leave the region.
constexpr std::string_view kStrictRules =
    "route quote-assistant model=quote-*  # Wanjiru Kamau\n"
    "retry yes service=quote-assistant account=again-*  # Wanjiru Kamau\n"
    "stay nairobi-a service=quote-assistant  # the county office\n";
constexpr std::size_t kEventsInAnswer = 4;
constexpr std::uint32_t kMoves = 18;
// One in so many drain moves drains, since nothing new is taken on after it.
constexpr std::uint32_t kDrainOdds = 8;

struct Traits {
  bool idempotent = false;
  bool home_bound = false;
};

// What the other side of one attempt has done.
struct UpstreamSide {
  RequestNumber request;
  bool answered = false;
  std::size_t next = 1;  // Event that it sends next.
  bool over = false;     // It has ended or failed.
  bool cancelled = false;
};

// What the caller has seen.
struct CallerSide {
  Traits traits;
  bool head = false;
  bool closed = false;
  bool abandoned = false;
  std::string body;
  std::size_t possible_runs = 0;
  std::set<std::string> places;
};

class World {
 public:
  World() : session_(testing::TwoRegions(), kRules) {
    Absorb(session_.Feed(LinkChanged{InstanceId{"mombasa-1"}, true}));
  }

  // One random step; `choice` picks it and its subject.
  void Move(std::uint32_t choice) {
    const std::uint32_t subject = choice >> 8U;
    switch (choice % kMoves) {
      case 0:
      case 1:
      case 2:
        return Request(subject);
      case 3:
      case 4:
        return Head(subject);
      case 5:
      case 6:
      case 7:
      case 8:
        return Body(subject);
      case 9:
      case 10:
        return End(subject);
      case 11:
        return Fail(subject, RunState::kNotRun);
      case 12:
        return Fail(subject, RunState::kUnknown);
      case 13:
        return Abandon(subject);
      case 14:
        return Pass(subject);
      case 15:
        return RulesEditCommand(subject);
      case 16:
        return Drain(subject);
      default:
        return Link(subject);
    }
  }

  // Nothing stays open once every deadline has passed and all upstreams said
  // their last.
  void Settle() {
    for (auto& [number, side] : upstreams_) {
      if (!side.over && !side.cancelled) {
        Fail(Index(number), RunState::kUnknown);
      }
    }
    for (int i = 0; i < 8; ++i) {
      Tick(std::chrono::seconds(60));
      for (auto& [number, side] : upstreams_) {
        if (!side.over && !side.cancelled) {
          Fail(Index(number), RunState::kUnknown);
        }
      }
    }
    for (const auto& [number, caller] : callers_) {
      RC_ASSERT(caller.closed || caller.abandoned);
    }
    RC_ASSERT(session_.gateway().requests.empty());
    RC_ASSERT(session_.gateway().attempts.empty());
    RC_ASSERT(session_.gateway().waiting.entries.empty());
    for (const UpstreamState& upstream :
         session_.gateway().upstreams.upstreams) {
      RC_ASSERT(upstream.in_flight == 0U);
    }
  }

 private:
  using Attempts = std::map<std::uint64_t, UpstreamSide>;

  [[nodiscard]] std::uint32_t Index(std::uint64_t number) const {
    return static_cast<std::uint32_t>(
        std::distance(upstreams_.begin(), upstreams_.find(number)));
  }

  [[nodiscard]] Attempts::iterator Pick(std::uint32_t subject) {
    auto it = upstreams_.begin();
    if (!upstreams_.empty()) {
      std::advance(it, subject % upstreams_.size());
    }
    return it;
  }

  void Request(std::uint32_t subject) {
    CallerSide caller;
    caller.traits = {(subject & 1U) != 0, (subject & 2U) != 0};
    RequestText text;
    text.model = "quote-large";
    text.account = std::string(caller.traits.idempotent ? "again" : "once") +
                   (caller.traits.home_bound ? "-home" : "-roams");
    const RequestNumber number{next_request_};
    next_request_ += 2;
    callers_[number] = caller;
    auto head = std::make_shared<RequestHead>(
        testing::HeadOf(text, RegionId{"nairobi-a"}));
    Absorb(session_.Feed(
        RequestArrived{number, Origin::kCaller, std::move(head),
                       std::make_shared<const std::string>("{}")}));
  }

  void Head(std::uint32_t subject) {
    const auto it = Pick(subject);
    if (it == upstreams_.end() || it->second.over || it->second.answered) {
      return;
    }
    it->second.answered = true;
    AnswerHead head;
    head.status = 200;
    head.headers.push_back({"content-type", "text/event-stream"});
    Absorb(session_.Feed(AttemptHeadReceived{AttemptNumber{it->first}, head}));
  }

  void Body(std::uint32_t subject) {
    const auto it = Pick(subject);
    if (it == upstreams_.end() || it->second.over || !it->second.answered ||
        it->second.next > kEventsInAnswer) {
      return;
    }
    const std::string event = std::to_string(it->second.next++);
    Absorb(session_.Feed(
        AttemptBodyReceived{AttemptNumber{it->first}, event, event}));
  }

  void End(std::uint32_t subject) {
    const auto it = Pick(subject);
    if (it == upstreams_.end() || it->second.over ||
        it->second.next <= kEventsInAnswer) {
      return;
    }
    it->second.over = true;
    Absorb(session_.Feed(AttemptEnded{AttemptNumber{it->first}}));
  }

  void Fail(std::uint32_t subject, RunState run) {
    const auto it = Pick(subject);
    if (it == upstreams_.end() || it->second.over) {
      return;
    }
    if (run == RunState::kNotRun && it->second.answered) {
      return;
    }
    it->second.over = true;
    if (run == RunState::kNotRun && !it->second.cancelled) {
      --callers_.at(it->second.request).possible_runs;
    }
    Absorb(session_.Feed(AttemptFailed{
        AttemptNumber{it->first}, run,
        Error{ErrorKind::kUnavailable, "it failed", ""}, std::nullopt}));
  }

  void Abandon(std::uint32_t subject) {
    if (callers_.empty()) {
      return;
    }
    auto it = callers_.begin();
    std::advance(it, subject % callers_.size());
    it->second.abandoned = true;
    Absorb(session_.Feed(RequestAbandoned{it->first}));
  }

  void Pass(std::uint32_t subject) {
    Tick(std::chrono::milliseconds(subject % 40000));
  }

  void Tick(Duration duration) { Absorb(session_.Advance(duration)); }

  void Link(std::uint32_t subject) {
    Absorb(session_.Feed(
        LinkChanged{InstanceId{"mombasa-1"}, (subject & 1U) != 0}));
  }

  void RulesEditCommand(std::uint32_t subject) {
    strict_ = (subject & 1U) != 0;
    Absorb(session_.Rules(strict_ ? kStrictRules : kRules, ++revision_));
    // What came earlier and arrives late changes nothing.
    Absorb(session_.Rules(strict_ ? kRules : kStrictRules, revision_ - 1));
  }

  void Drain(std::uint32_t subject) {
    if (subject % kDrainOdds == 0) {
      Absorb(session_.Feed(DrainRequested{}));
    }
  }

  void Absorb(const std::vector<Effect>& effects) {
    for (const Effect& effect : effects) {
      if (const auto* upstream = std::get_if<ForUpstreams>(&effect)) {
        std::visit([this](const auto& typed) { See(typed); }, upstream->effect);
      } else if (const auto* link = std::get_if<ForLinks>(&effect)) {
        std::visit([this](const auto& typed) { See(typed); }, link->effect);
      } else if (const auto* caller = std::get_if<ForCallers>(&effect)) {
        std::visit([this](const auto& typed) { See(typed); }, caller->effect);
      }
    }
  }

  void Started(AttemptNumber attempt, const std::string& place,
               const std::optional<std::string>& after) {
    const RequestNumber number = session_.gateway().attempts.at(attempt);
    CallerSide& caller = callers_.at(number);
    RC_ASSERT(caller.places.insert(place).second);
    ++caller.possible_runs;
    RC_ASSERT(caller.traits.idempotent || caller.possible_runs <= 1U);
    UpstreamSide side;
    side.request = number;
    side.next = after ? std::stoul(*after) + 1 : 1;
    upstreams_[attempt.value()] = side;
  }

  void See(const StartUpstreamAttempt& start) {
    Started(start.attempt, start.upstream.value(), start.last_event_id);
  }
  void See(const StartLinkAttempt& start) {
    Started(start.attempt, start.instance.value(), std::nullopt);
    const RequestNumber number = upstreams_.at(start.attempt.value()).request;
    RC_ASSERT(!callers_.at(number).traits.home_bound);
    RC_ASSERT(!strict_);
  }
  void See(const CancelAttempt& cancel) {
    upstreams_.at(cancel.attempt.value()).cancelled = true;
  }
  void See(const SendAnswerHead& answer) {
    CallerSide& caller = Open(answer.number);
    RC_ASSERT(!caller.head);
    caller.head = true;
  }
  void See(const SendAnswerBody& answer) {
    CallerSide& caller = Open(answer.number);
    RC_ASSERT(caller.head);
    caller.body += answer.data;
    RC_ASSERT(std::string("1234").substr(0, caller.body.size()) == caller.body);
  }
  void See(const SendAnswerEnd& answer) {
    CallerSide& caller = Open(answer.number);
    RC_ASSERT(caller.body == "1234");
    caller.closed = true;
  }
  void See(const AbortAnswer& answer) {
    CallerSide& caller = Open(answer.number);
    RC_ASSERT(caller.head);
    RC_ASSERT(answer.problem.run != RunState::kNotRun);
    caller.closed = true;
  }
  void See(const SendProblem& answer) {
    CallerSide& caller = Open(answer.number);
    RC_ASSERT(!caller.head);
    if (answer.problem.run == RunState::kNotRun) {
      RC_ASSERT(caller.possible_runs == 0U);
    }
    caller.closed = true;
  }
  template <typename Other>
  void See(const Other&) {}

  [[nodiscard]] CallerSide& Open(RequestNumber number) {
    CallerSide& caller = callers_.at(number);
    RC_ASSERT(!caller.closed);
    RC_ASSERT(!caller.abandoned);
    return caller;
  }

  Session session_;
  bool strict_ = false;
  std::uint64_t revision_ = 1;
  std::uint64_t next_request_ = 2;
  std::map<RequestNumber, CallerSide> callers_;
  Attempts upstreams_;
};

}  // namespace

TEST_CASE("the gateway keeps its promises in any order of events") {
  rc::prop("for random choices", [](const std::vector<std::uint32_t>& choices) {
    World world;
    for (const std::uint32_t choice : choices) {
      world.Move(choice);
    }
    world.Settle();
  });
}

}  // namespace mimosagauge
