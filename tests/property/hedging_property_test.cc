// Hedged requests in any order of events: an answer has one source, run-once
// requests never run twice, and second attempts stay within their limits.

#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "tests/support/hedged_gateway.h"

namespace mimosagauge {
namespace {

using std::chrono::milliseconds;
using testing::FleetRequest;
using testing::HedgedGateway;

// The last two may run only once, although their routes allow two attempts
// here.
constexpr std::array kPaths{"/status/1", "/size/1", "/deposit/1", "/quote/1"};

struct Side {
  RequestNumber request;
  bool head = false;
  bool over = false;
};

struct Caller {
  std::size_t attempts = 0;
  std::size_t possible_runs = 0;
  std::size_t heads = 0;
  bool closed = false;
  bool abandoned = false;
  std::set<std::string> sources;  // Attempts whose body parts it received.
};

class World {
 public:
  World() {
    RouteCatalogue catalogue = HedgedGateway::Catalogue(2);
    for (Route& route : catalogue.routes) {
      route.attempts = 2;
    }
    world_.Give(CatalogueReceived{
        std::make_shared<const RouteCatalogue>(std::move(catalogue))});
  }

  void Move(std::uint32_t choice) {
    const std::uint32_t subject = choice >> 8U;
    switch (choice % 16) {
      case 0:
      case 1:
      case 2:
      case 3:
        return Request(kPaths.at(subject % kPaths.size()));
      case 4:
      case 5:
        return Head(subject, 200);
      case 6:
        return Head(subject, 503);
      case 7:
      case 8:
        return Body(subject);
      case 9:
        return End(subject);
      case 10:
        return Fail(subject, RunState::kNotRun, ErrorKind::kOverloaded);
      case 11:
        return Fail(subject, RunState::kUnknown, ErrorKind::kUnavailable);
      case 12:
        return Abandon(subject);
      case 13:
        return Toggle(subject);
      default:
        return Absorb(world_.Pass(milliseconds(10 + subject % 150)));
    }
  }

  void Settle() {
    Absorb(world_.Pass(std::chrono::seconds(20)));
    Absorb(world_.Pass(std::chrono::seconds(20)));
    for (const auto& [number, caller] : callers_) {
      RC_ASSERT(caller.closed || caller.abandoned);
    }
    const Gateway& gateway = world_.gateway();
    RC_ASSERT(gateway.requests.empty());
    RC_ASSERT(gateway.attempts.empty());
    RC_ASSERT(gateway.hedging.checks.empty());
    for (const UpstreamState& upstream : gateway.upstreams.upstreams) {
      RC_ASSERT(upstream.in_flight == 0U);
      RC_ASSERT(upstream.load.unread_tokens == 0);
    }
    CheckLimits();
  }

 private:
  // Attempts of one service up to some moment.
  struct Counts {
    double first = 0;
    double hedges = 0;
    double beyond_first = 0;  // Hedges and retries.
  };

  [[nodiscard]] AttemptNumber Pick(std::uint32_t subject) const {
    std::vector<std::uint64_t> open;
    for (const auto& [number, side] : sides_) {
      if (!side.over) {
        open.push_back(number);
      }
    }
    return AttemptNumber{open.empty() ? 0 : open[subject % open.size()]};
  }

  [[nodiscard]] Side* Find(AttemptNumber attempt) {
    const auto found = sides_.find(attempt.value());
    return found == sides_.end() ? nullptr : &found->second;
  }

  void Request(const char* path) {
    FleetRequest request;
    request.path = path;
    auto [number, effects] = world_.Request(request);
    callers_.try_emplace(number.value());
    Absorb(std::move(effects));
  }

  void Head(std::uint32_t subject, std::uint16_t status) {
    const AttemptNumber attempt = Pick(subject);
    Side* side = Find(attempt);
    if (side == nullptr || side->head) {
      return;
    }
    side->head = true;
    AnswerHead head;
    head.status = status;
    head.headers = {{"Content-Type", "text/event-stream"}};
    Absorb(world_.Give(AttemptHeadReceived{attempt, head, {}}));
  }

  void Body(std::uint32_t subject) {
    const AttemptNumber attempt = Pick(subject);
    if (Side* side = Find(attempt); side != nullptr && side->head) {
      Absorb(world_.Give(AttemptBodyReceived{
          attempt, std::to_string(attempt.value()), std::nullopt}));
    }
  }

  void End(std::uint32_t subject) {
    const AttemptNumber attempt = Pick(subject);
    if (Side* side = Find(attempt); side != nullptr && side->head) {
      side->over = true;
      Absorb(world_.Give(AttemptEnded{attempt}));
    }
  }

  void Fail(std::uint32_t subject, RunState run, ErrorKind kind) {
    const AttemptNumber attempt = Pick(subject);
    Side* side = Find(attempt);
    if (side == nullptr) {
      return;
    }
    // After a head the attempt is known to have run.
    const bool refuses = run == RunState::kNotRun && !side->head;
    side->over = true;
    if (refuses) {
      --callers_.at(side->request.value()).possible_runs;
    }
    Absorb(world_.Fail(attempt, refuses ? run : RunState::kUnknown,
                       refuses ? kind : ErrorKind::kUnavailable));
  }

  void Abandon(std::uint32_t subject) {
    if (callers_.empty()) {
      return;
    }
    auto& [number, caller] =
        *std::next(callers_.begin(),
                   static_cast<std::ptrdiff_t>(subject % callers_.size()));
    if (caller.closed || caller.abandoned) {
      return;
    }
    caller.abandoned = true;
    Absorb(world_.Give(RequestAbandoned{RequestNumber{number}}));
  }

  void Toggle(std::uint32_t subject) {
    const ZoneId zone{"nairobi-a"};
    const bool on = subject % 4 == 0;
    Absorb(world_.Give(ZoneEvacuated{zone, on}));
  }

  void Absorb(std::vector<Effect> effects) {
    for (Effect& effect : effects) {
      if (const auto* upstreams = std::get_if<ForUpstreams>(&effect)) {
        std::visit([this](const auto& typed) { See(typed); },
                   upstreams->effect);
      } else if (const auto* callers = std::get_if<ForCallers>(&effect)) {
        std::visit([this](const auto& typed) { See(typed); }, callers->effect);
      }
    }
  }

  template <typename Other>
  void See(const Other& /*effect*/) {}

  void See(const StartUpstreamAttempt& start) {
    const Gateway& gateway = world_.gateway();
    const RequestNumber number = gateway.attempts.at(start.attempt);
    Caller& caller = callers_[number.value()];
    sides_[start.attempt.value()] = {number};
    ++caller.attempts;
    ++caller.possible_runs;
    const RequestRecord& record = gateway.requests.at(number);
    const bool repeatable = record.verdict.idempotent;
    RC_ASSERT(caller.possible_runs <= (repeatable ? 2U : 1U));
    std::size_t running = 0;
    for (const auto& [attempt, side] : sides_) {
      running += side.request == number && !side.over ? 1 : 0;
    }
    RC_ASSERT(running <= (repeatable ? 2U : 1U));
    Counts& counts = now_[record.verdict.service];
    counts.first += caller.attempts == 1 ? 1 : 0;
    counts.beyond_first += caller.attempts == 1 ? 0 : 1;
    counts.hedges += running == 2 ? 1 : 0;
    history_[record.verdict.service].push_back(counts);
    RC_ASSERT(!gateway.evacuated_zones.contains(ZoneId{"nairobi-a"}));
  }

  void See(const CancelAttempt& cancel) {
    sides_.at(cancel.attempt.value()).over = true;
  }

  void See(const SendAnswerHead& head) {
    RC_ASSERT(++callers_.at(head.number.value()).heads == 1U);
  }

  void See(const SendAnswerBody& body) {
    Caller& caller = callers_.at(body.number.value());
    caller.sources.insert(body.data);
    RC_ASSERT(caller.heads == 1U);
    RC_ASSERT(caller.sources.size() == 1U);
  }

  void See(const SendAnswerEnd& end) { Close(end.number); }
  void See(const AbortAnswer& abort) { Close(abort.number); }
  void See(const SendProblem& problem) {
    Caller& caller = callers_[problem.number.value()];
    RC_ASSERT(caller.heads == 0U);
    if (problem.problem.run == RunState::kNotRun) {
      RC_ASSERT(caller.possible_runs == 0U);
    }
    Close(problem.number);
  }

  void Close(RequestNumber number) {
    Caller& caller = callers_[number.value()];
    RC_ASSERT(!caller.closed);
    caller.closed = true;
    for (const auto& [attempt, side] : sides_) {
      RC_ASSERT(side.request != number || side.over);
    }
  }

  // In any window, whichever it is.
  void CheckLimits() const {
    for (const auto& [service, history] : history_) {
      for (std::size_t from = 0; from < history.size(); ++from) {
        for (std::size_t to = from; to < history.size(); ++to) {
          const double first = history[to].first - history[from].first;
          const double hedges = history[to].hedges - history[from].hedges;
          const double beyond =
              history[to].beyond_first - history[from].beyond_first;
          RC_ASSERT(hedges <= 0.05 * first + HedgeBudget::kBurst);
          RC_ASSERT(beyond <= 0.2 * first + 50);
        }
      }
      // Since the start, with the 60 requests that the world begins with.
      const Counts& last = history.back();
      RC_ASSERT(last.hedges <= 0.05 * (last.first + 60));
    }
  }

  HedgedGateway world_;
  std::map<std::uint64_t, Side> sides_;
  std::map<std::uint64_t, Caller> callers_;
  std::map<ServiceId, Counts> now_;
  std::map<ServiceId, std::vector<Counts>> history_;
};

TEST_CASE("hedged requests keep their promises in any order of events") {
  rc::prop("one source, no second run, within the limits",
           [](const std::vector<std::uint32_t>& choices) {
             World world;
             for (const std::uint32_t choice : choices) {
               world.Move(choice);
             }
             world.Settle();
           });
}

}  // namespace
}  // namespace mimosagauge
