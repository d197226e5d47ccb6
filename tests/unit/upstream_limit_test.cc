// Rate limits that upstreams name in their answers, kept by the instances of a
// region together.

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "mimosagauge/impl/wire/load_codec.h"
#include "tests/support/fleet_gateway.h"

namespace mimosagauge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::Find;
using testing::FleetGateway;
using testing::FleetRequest;

constexpr Duration kStep = milliseconds(10);
const UpstreamId kLimited{"engine-0"};

// Instances of one region, which exchange their digests over links, before four
// engines. One engine names a limit. Answers come 50 ms after the request.
class Region {
 public:
  explicit Region(std::size_t instances) : members_(instances) {
    for (std::size_t i = 0; i < instances; ++i) {
      Start(i);
    }
  }

  // Starts an instance, or starts it again; it knows nothing of before.
  void Start(std::size_t index) {
    Member& member = members_[index];
    member.gateway = std::make_unique<FleetGateway>(Name(index));
    member.pending.clear();
    member.told_at.reset();
    for (int engine = 0; engine < 4; ++engine) {
      member.gateway->Upstream("engine-" + std::to_string(engine), "engines");
    }
    Align(member);
    for (std::size_t other = 0; other < members_.size(); ++other) {
      if (other != index && members_[other].gateway) {
        member.gateway->Instance(Name(other), "nairobi");
        members_[other].gateway->Instance(Name(index), "nairobi");
      }
    }
  }

  // The other instances notice that it is gone.
  void Kill(std::size_t index) {
    members_[index].gateway.reset();
    for (Member& member : members_) {
      if (member.gateway) {
        member.gateway->Give(LinkChanged{InstanceId{Name(index)}, false});
        member.gateway->Give(InstanceRemoved{InstanceId{Name(index)}});
      }
    }
  }

  void Freeze(std::size_t index, bool frozen) {
    members_[index].frozen = frozen;
    for (std::size_t other = 0; other < members_.size(); ++other) {
      if (other != index && members_[other].gateway) {
        members_[other].gateway->Give(
            LinkChanged{InstanceId{Name(index)}, !frozen});
      }
    }
  }

  // \param limit Requests per second that the engine names; none: no limit.
  void NameLimit(std::optional<double> limit) { limit_ = limit; }

  // Lets time pass, with requests that are spread evenly over the instances.
  void Pass(Duration duration, double requests_per_second) {
    for (const TimePoint end = now_ + duration; now_ < end; now_ += kStep) {
      due_ +=
          requests_per_second * std::chrono::duration<double>(kStep).count();
      for (; due_ >= 1; due_ -= 1) {
        const std::size_t index = next_instance_++ % members_.size();
        if (IsRunning(index)) {
          Absorb(index, members_[index].gateway->Request(Quote()).second);
        }
      }
      for (std::size_t i = 0; i < members_.size(); ++i) {
        if (IsRunning(i)) {
          AnswerDue(i);
          Align(members_[i]);
        }
      }
    }
  }

  // \returns The most requests that the limited engine got in 4 s after `from`
  // from instances that had passed on an answer with a limit half a second
  // before or earlier.
  [[nodiscard]] std::size_t MostIn4s(TimePoint from) const {
    std::size_t most = 0;
    const auto& arrivals = arrivals_from_told_;
    for (auto first = arrivals.begin(); first != arrivals.end(); ++first) {
      const auto end =
          std::upper_bound(first, arrivals.end(), *first + seconds(4));
      if (*first >= from) {
        most = std::max(most, static_cast<std::size_t>(end - first));
      }
    }
    return most;
  }
  // \returns The number of requests that it got after `from`.
  [[nodiscard]] std::size_t ArrivalsSince(TimePoint from) const {
    return static_cast<std::size_t>(
        arrivals_.end() -
        std::lower_bound(arrivals_.begin(), arrivals_.end(), from));
  }
  [[nodiscard]] std::size_t served() const { return served_; }
  [[nodiscard]] std::size_t sent() const { return sent_; }
  [[nodiscard]] TimePoint now() const { return now_; }

 private:
  struct Pending {
    AttemptNumber attempt;
    bool limited = false;
    TimePoint due;
  };
  struct Member {
    std::unique_ptr<FleetGateway> gateway;
    bool frozen = false;
    std::optional<TimePoint> told_at;  // First answer with a limit.
    std::deque<Pending> pending;
  };

  [[nodiscard]] static std::string Name(std::size_t index) {
    return "nairobi-" + std::to_string(index + 1);
  }
  [[nodiscard]] static FleetRequest Quote() {
    FleetRequest request;
    request.path = "/quote/1";
    return request;
  }
  [[nodiscard]] bool IsRunning(std::size_t index) const {
    return members_[index].gateway && !members_[index].frozen;
  }

  // Brings the instance's clock up to now.
  void Align(Member& member) {
    const std::size_t index =
        static_cast<std::size_t>(&member - members_.data());
    Absorb(index, member.gateway->Pass(now_ - member.gateway->now()));
  }

  void AnswerDue(std::size_t index) {
    Member& member = members_[index];
    while (!member.pending.empty() && member.pending.front().due <= now_) {
      const Pending pending = member.pending.front();
      member.pending.pop_front();
      AnswerHead head;
      head.status = 200;
      AttemptHeadReceived event{pending.attempt, head, {}};
      event.rate_limit = pending.limited ? limit_ : std::nullopt;
      if (event.rate_limit && !member.told_at) {
        member.told_at = now_;
      }
      Absorb(index, member.gateway->Give(std::move(event)));
      Absorb(index, member.gateway->Give(AttemptEnded{pending.attempt}));
      ++served_;
    }
  }

  void Absorb(std::size_t index, const std::vector<Effect>& effects) {
    for (const Effect& effect : effects) {
      if (const auto* upstreams = std::get_if<ForUpstreams>(&effect)) {
        if (const auto* start =
                std::get_if<StartUpstreamAttempt>(&upstreams->effect)) {
          const bool limited = start->upstream == kLimited;
          members_[index].pending.push_back(
              {start->attempt, limited, now_ + milliseconds(50)});
          ++sent_;
          const auto& told_at = members_[index].told_at;
          if (limited) {
            arrivals_.push_back(now_);
          }
          if (limited && told_at && now_ - *told_at >= milliseconds(500)) {
            arrivals_from_told_.push_back(now_);
          }
        }
      } else if (const auto* links = std::get_if<ForLinks>(&effect)) {
        if (const auto* load = std::get_if<SendLoad>(&links->effect)) {
          Deliver(index, *load);
        }
      }
    }
  }

  void Deliver(std::size_t from, const SendLoad& load) {
    for (std::size_t to = 0; to < members_.size(); ++to) {
      if (InstanceId{Name(to)} == load.to && IsRunning(to) && to != from) {
        const std::string bytes = EncodeLoadDigest(*load.digest);
        inbox_.emplace_back(to, LoadReceived{InstanceId{Name(from)},
                                             DecodeLoadDigest(bytes).value()});
      }
    }
    if (delivering_) {
      return;
    }
    delivering_ = true;
    while (!inbox_.empty()) {
      auto [to, event] = std::move(inbox_.front());
      inbox_.pop_front();
      if (IsRunning(to)) {
        Absorb(to, members_[to].gateway->Give(std::move(event)));
      }
    }
    delivering_ = false;
  }

  std::vector<Member> members_;
  std::optional<double> limit_;
  std::vector<TimePoint> arrivals_;  // At the limited engine, in order.
  std::vector<TimePoint> arrivals_from_told_;
  std::deque<std::pair<std::size_t, LoadReceived>> inbox_;
  bool delivering_ = false;
  std::size_t next_instance_ = 0;
  std::size_t served_ = 0;
  std::size_t sent_ = 0;
  double due_ = 0;
  TimePoint now_{seconds(1000)};
};

// The bound of the users' rule: one and a half times the limit in 4 s, and five
// requests, from 5 s after the limit was first named.
[[nodiscard]] std::size_t Allowed(double limit) {
  return static_cast<std::size_t>(1.5 * 4 * limit + 5);
}

// Guards against: an upstream that had named a limit got all the requests that
// it would have got without.
TEST_CASE("instances together keep the limit that an upstream names") {
  const double limit = GENERATE(0.0, 0.3, 1.1, 1.9, 10.2);
  const std::size_t instances = GENERATE(1U, 3U, 20U);
  CAPTURE(limit, instances);
  Region region(instances);
  region.Pass(seconds(2), 60);
  region.NameLimit(limit);
  const TimePoint named_at = region.now();
  region.Pass(seconds(20), 60);
  CHECK(region.MostIn4s(named_at + seconds(5)) <= Allowed(limit));
  // The other engines serve the rest.
  CHECK(region.served() + 20 >= region.sent());
  CHECK(region.sent() >= std::size_t{60} * 21);
}

TEST_CASE("a limit holds while instances come, go and stand still") {
  struct Case {
    std::string what;
    std::function<void(Region&, std::size_t)> change;
  };
  const Case one = GENERATE(values<Case>({
      {"each instance in turn is killed and starts again",
       [](Region& region, std::size_t turn) {
         region.Kill(turn % 5);
         region.Pass(seconds(1), 60);
         region.Start(turn % 5);
       }},
      {"each instance in turn is frozen for a while",
       [](Region& region, std::size_t turn) {
         region.Freeze(turn % 5, true);
         region.Pass(seconds(2), 60);
         region.Freeze(turn % 5, false);
       }},
      {"four of five are killed and start again",
       [](Region& region, std::size_t turn) {
         for (std::size_t i = 1; i < 5; ++i) {
           region.Kill((turn + i) % 5);
         }
         region.Pass(seconds(2), 60);
         for (std::size_t i = 1; i < 5; ++i) {
           region.Start((turn + i) % 5);
         }
       }},
  }));
  const double limit = GENERATE(0.3, 1.9, 10.2);
  CAPTURE(one.what, limit);
  Region region(5);
  region.NameLimit(limit);
  region.Pass(seconds(6), 60);
  const TimePoint from = region.now();
  for (std::size_t turn = 0; turn < 10; ++turn) {
    one.change(region, turn);
    region.Pass(seconds(1), 60);
  }
  CHECK(region.MostIn4s(from) <= Allowed(limit));
}

TEST_CASE("a limit ends when the upstream names it no more, and is used up") {
  const std::size_t instances = GENERATE(1U, 5U, 20U);
  CAPTURE(instances);
  Region region(instances);
  region.NameLimit(4);
  region.Pass(seconds(10), 60);
  const TimePoint settled = region.now();
  region.Pass(seconds(20), 60);
  // The owner alone sends to it, a quarter of its own requests at least.
  const double offered = 60.0 / 4 / static_cast<double>(instances);
  CHECK(static_cast<double>(region.ArrivalsSince(settled)) >=
        0.6 * 20 * std::min(4.0, offered));

  region.NameLimit(std::nullopt);
  region.Pass(seconds(3), 60);
  const TimePoint ended = region.now();
  region.Pass(seconds(4), 60);
  CHECK(region.ArrivalsSince(ended) >= 30);
}

TEST_CASE("a limit that nobody confirms does not bar an upstream for good") {
  Region region(5);
  region.NameLimit(1);
  region.Pass(seconds(10), 60);
  region.NameLimit(std::nullopt);
  region.Pass(seconds(60), 0);  // Nobody sends anything, so nobody learns.
  const TimePoint from = region.now();
  region.Pass(seconds(5), 60);
  CHECK(region.ArrivalsSince(from) >= 30);
}

TEST_CASE(
    "beyond the limit a request waits for its turn or is refused at once") {
  struct Case {
    std::string what;
    bool owned;
    double limit;
    bool refused;
  };
  const Case one = GENERATE(values<Case>({
      {"the next turn comes soon", true, 10, false},
      {"the next turn comes too late", true, 0.5, true},
      {"another instance has the turns", false, 10, true},
  }));
  CAPTURE(one.what);
  FleetGateway world;
  world.Upstream("engine-0", "engines");
  FleetRequest request;
  request.path = "/quote/1";
  const auto [first, effects] = world.Request(request);
  const auto start = Find<StartUpstreamAttempt>(effects);
  REQUIRE(start);
  AnswerHead head;
  head.status = 200;
  world.Give(AttemptHeadReceived{start->attempt, head, {}, one.limit});
  SharedRate& rate = FindUpstream(world.gateway().upstreams, kLimited)->rate;
  rate.owned = one.owned;
  rate.tokens = 0;
  rate.last_refill_at = world.now();
  const auto [number, after] = world.Request(request);
  CHECK_FALSE(Find<StartUpstreamAttempt>(after));
  const auto problem = Find<SendProblem>(after);
  CHECK(problem.has_value() == one.refused);
  if (problem) {
    CHECK(problem->problem.status == 503);
    CHECK(problem->problem.run == RunState::kNotRun);
    CHECK(problem->problem.retry_after.has_value());
  } else {
    CHECK(Find<StartUpstreamAttempt>(world.Pass(milliseconds(200))));
  }
}

TEST_CASE(
    "a limit named in a refusal counts, and a refusal without ends none") {
  FleetGateway world;
  world.Upstream("engine-0", "engines");
  FleetRequest request;
  request.path = "/quote/1";
  const auto refuse = [&world](const std::vector<Effect>& effects,
                               std::optional<double> limit) {
    const auto start = Find<StartUpstreamAttempt>(effects);
    REQUIRE(start);
    world.Give(AttemptFailed{start->attempt,
                             RunState::kNotRun,
                             {ErrorKind::kOverloaded, "full", ""},
                             std::nullopt,
                             false,
                             limit});
  };
  refuse(world.Request(request).second, 2.5);
  const SharedRate& rate =
      FindUpstream(world.gateway().upstreams, kLimited)->rate;
  CHECK(rate.named.requests_per_second == std::optional(2.5));
  world.Pass(seconds(1));
  refuse(world.Request(request).second, std::nullopt);
  CHECK(rate.named.requests_per_second == std::optional(2.5));
}

}  // namespace
}  // namespace mimosagauge
