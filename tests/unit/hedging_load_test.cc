// Hedged requests under load: several instances before a few upstreams, some of
// which are slow. Virtual time; no network.

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "tests/support/fleet_gateway.h"

namespace mimosagauge {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::FleetGateway;
using testing::FleetRequest;

constexpr std::size_t kInstances = 4;
constexpr std::size_t kUpstreams = 24;
constexpr std::size_t kSlots = 6;
constexpr std::size_t kQueue = 12;
constexpr Duration kHop = milliseconds(1);

// What slows requests down, and how many come.
struct Load {
  std::string name;
  Duration length;
  double per_second;
  std::size_t grey;    // Upstreams whose requests take longer.
  double grey_factor;  // By this factor.
  double stalled;      // Part of all requests that stall.
  Duration stall;      // For this time.
};

struct Result {
  std::vector<Duration> times;  // From request to answer, sorted.
  std::size_t refused = 0;
  std::size_t arrivals = 0;  // At upstreams.
  std::size_t hedges = 0;
  double extra_seconds = 0;  // Work on attempts that lost.
  double busy_seconds = 0;   // All work.

  [[nodiscard]] Duration Percentile(double part) const {
    return times[static_cast<std::size_t>(
        part * static_cast<double>(times.size() - 1))];
  }
};

class Simulation {
 public:
  Simulation(const Load& load, double limit) : load_(load), random_(42) {
    for (std::size_t i = 0; i < kInstances; ++i) {
      instances_.push_back(
          std::make_unique<FleetGateway>("nairobi-" + std::to_string(i)));
      FleetGateway& instance = *instances_.back();
      instance.gateway().config.limits.hedging = {limit, 0.95,
                                                  milliseconds(50)};
      for (std::size_t j = 0; j < kInstances; ++j) {
        if (i != j) {
          instance.Instance("nairobi-" + std::to_string(j), "nairobi");
        }
      }
      for (std::size_t j = 0; j < kUpstreams; ++j) {
        instance.Upstream("desk-" + std::to_string(j), "desk");
      }
    }
  }

  Result Run() {
    for (std::size_t i = 0; i < kInstances; ++i) {
      At(start_, [this, i] { Tick(i); });
    }
    At(start_, [this] { Arrive(); });
    while (!events_.empty()) {
      now_ = events_.begin()->first;
      const auto act = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      act();
    }
    for (const auto& instance : instances_) {
      for (const auto& [id, metrics] : instance->gateway().metrics.services) {
        result_.hedges += metrics.hedges.started;
        result_.extra_seconds += metrics.hedges.extra_seconds;
      }
    }
    std::sort(result_.times.begin(), result_.times.end());
    return std::move(result_);
  }

 private:
  struct Job {
    std::size_t instance;
    AttemptNumber attempt;
    TimePoint begun{};
    bool over = false;
  };
  using JobPtr = std::shared_ptr<Job>;
  struct Upstream {
    std::size_t running = 0;
    std::deque<JobPtr> queue;
  };

  void At(TimePoint time, std::function<void()> act) {
    events_.emplace(time, std::move(act));
  }

  void Give(std::size_t i, Event event) {
    FleetGateway& instance = *instances_[i];
    Carry(i, instance.Pass(now_ - instance.now()));
    Carry(i, instance.Give(std::move(event)));
  }

  void Tick(std::size_t i) {
    if (now_ > start_ + load_.length + seconds(4)) {
      return;
    }
    Carry(i, instances_[i]->Pass(now_ - instances_[i]->now()));
    At(now_ + milliseconds(10), [this, i] { Tick(i); });
  }

  void Arrive() {
    if (now_ > start_ + load_.length) {
      return;
    }
    const std::size_t i = random_() % kInstances;
    FleetGateway& instance = *instances_[i];
    Carry(i, instance.Pass(now_ - instance.now()));
    FleetRequest request;
    request.path = "/status/1";
    auto [number, effects] = instance.Request(request);
    requests_[{i, number.value()}] = now_;
    Carry(i, std::move(effects));
    At(now_ +
           std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
               std::exponential_distribution<double>(load_.per_second)(
                   random_))),
       [this] { Arrive(); });
  }

  void Carry(std::size_t i, std::vector<Effect> effects) {
    for (Effect& effect : effects) {
      if (auto* upstreams = std::get_if<ForUpstreams>(&effect)) {
        if (auto* start =
                std::get_if<StartUpstreamAttempt>(&upstreams->effect)) {
          Send(i, *start);
        } else if (auto* cancel =
                       std::get_if<CancelAttempt>(&upstreams->effect)) {
          const auto key = std::pair(i, cancel->attempt.value());
          At(now_ + kHop, [this, key] { Cancel(key); });
        }
      } else if (auto* links = std::get_if<ForLinks>(&effect)) {
        if (auto* load = std::get_if<SendLoad>(&links->effect)) {
          Tell(i, *load);
        }
      } else if (auto* callers = std::get_if<ForCallers>(&effect)) {
        Answer(i, callers->effect);
      }
    }
  }

  void Tell(std::size_t from, const SendLoad& load) {
    for (std::size_t to = 0; to < kInstances; ++to) {
      if (load.to.value() == "nairobi-" + std::to_string(to)) {
        At(now_ + kHop, [this, from, to, digest = load.digest] {
          Give(to, LoadReceived{InstanceId{"nairobi-" + std::to_string(from)},
                                *digest});
        });
      }
    }
  }

  void Answer(std::size_t i, const CallerEffect& effect) {
    if (const auto* head = std::get_if<SendAnswerHead>(&effect)) {
      result_.times.push_back(now_ - requests_.at({i, head->number.value()}));
    } else if (std::get_if<SendProblem>(&effect) != nullptr) {
      ++result_.refused;
    }
  }

  void Send(std::size_t i, const StartUpstreamAttempt& start) {
    const auto number = static_cast<std::size_t>(
        std::stoul(start.upstream.value().substr(sizeof("desk-") - 1)));
    auto job = std::make_shared<Job>(Job{i, start.attempt});
    jobs_[{i, start.attempt.value()}] = {number, job};
    At(now_ + kHop, [this, number, job] { Reach(number, job); });
  }

  void Reach(std::size_t number, const JobPtr& job) {
    ++result_.arrivals;
    Upstream& upstream = upstreams_[number];
    if (upstream.running < kSlots) {
      return Begin(number, job);
    }
    if (upstream.queue.size() < kQueue) {
      upstream.queue.push_back(job);
      return;
    }
    job->over = true;
    At(now_ + kHop, [this, job] {
      Give(job->instance, AttemptFailed{job->attempt,
                                        RunState::kNotRun,
                                        {ErrorKind::kOverloaded, "full", ""},
                                        {}});
    });
  }

  void Begin(std::size_t number, const JobPtr& job) {
    ++upstreams_[number].running;
    job->begun = now_;
    double ms = 25 + std::exponential_distribution<double>(1.0 / 15)(random_);
    ms *= number < load_.grey ? load_.grey_factor : 1;
    Duration work = microseconds(static_cast<std::int64_t>(ms * 1000));
    if (std::uniform_real_distribution<double>()(random_) < load_.stalled) {
      work += load_.stall;
    }
    At(now_ + work, [this, number, job] { Finish(number, job); });
  }

  void Finish(std::size_t number, const JobPtr& job) {
    if (job->over) {
      return;
    }
    Free(number, job);
    const LoadReport report{upstreams_[number].running,
                            upstreams_[number].queue.size(), kSlots};
    At(now_ + kHop, [this, job, report] {
      AnswerHead head;
      head.status = 200;
      Give(job->instance, AttemptHeadReceived{job->attempt, head, report});
      Give(job->instance, AttemptEnded{job->attempt});
    });
  }

  void Free(std::size_t number, const JobPtr& job) {
    job->over = true;
    Upstream& upstream = upstreams_[number];
    result_.busy_seconds +=
        std::chrono::duration<double>(now_ - job->begun).count();
    --upstream.running;
    while (!upstream.queue.empty() && upstream.running < kSlots) {
      const JobPtr next = upstream.queue.front();
      upstream.queue.pop_front();
      if (!next->over) {
        Begin(number, next);
      }
    }
  }

  void Cancel(const std::pair<std::size_t, std::uint64_t>& key) {
    const auto& [number, job] = jobs_.at(key);
    if (job->over) {
      return;
    }
    if (job->begun == TimePoint{}) {
      job->over = true;  // It waits still.
      return;
    }
    Free(number, job);
  }

  const TimePoint start_{seconds(1000)};
  Load load_;
  std::mt19937 random_;
  TimePoint now_{};
  std::vector<std::unique_ptr<FleetGateway>> instances_;
  std::vector<Upstream> upstreams_{kUpstreams};
  std::multimap<TimePoint, std::function<void()>> events_;
  std::map<std::pair<std::size_t, std::uint64_t>, TimePoint> requests_;
  std::map<std::pair<std::size_t, std::uint64_t>,
           std::pair<std::size_t, JobPtr>>
      jobs_;
  Result result_;
};

// Guards against: hedging that does not shorten the tail, that takes more work
// than the operators allow, or that makes an overload worse.
TEST_CASE("hedging under load shortens the tail within its limit") {
  struct Case {
    Load load;
    // Largest 99th and 99.9th percentiles with hedging, as parts of those
    // without.
    double p99;
    double p999;
  };
  const Case one = GENERATE(values<Case>({
      {{"one of 24 upstreams is grey", seconds(20), 1000, 1, 12, 0, {}},
       1.05,
       0.4},
      {{"one request in 50 stalls", seconds(20), 1000, 0, 1, 0.02, seconds(1)},
       0.3,
       0.7},
      {{"one grey, one request in 100 stalls", seconds(20), 1000, 1, 12, 0.01,
        seconds(1)},
       0.3,
       0.5},
      {{"overload", seconds(5), 4200, 0, 1, 0.01, seconds(1)}, 1.1, 1.1},
  }));
  const Result off = Simulation(one.load, 0).Run();
  const Result on = Simulation(one.load, 0.05).Run();
  const auto ms = [](Duration duration) {
    return std::chrono::duration<double, std::milli>(duration).count();
  };
  CAPTURE(one.load.name, ms(off.Percentile(0.5)), ms(on.Percentile(0.5)),
          ms(off.Percentile(0.95)), ms(on.Percentile(0.95)),
          ms(off.Percentile(0.99)), ms(on.Percentile(0.99)),
          ms(off.Percentile(0.999)), ms(on.Percentile(0.999)));
  CAPTURE(off.times.size(), on.times.size(), off.refused, on.refused,
          off.arrivals, on.arrivals, on.hedges, on.extra_seconds,
          on.busy_seconds, off.busy_seconds);
  CHECK(off.hedges == 0);
  CHECK(ms(on.Percentile(0.99)) <= one.p99 * ms(off.Percentile(0.99)));
  CHECK(ms(on.Percentile(0.999)) <= one.p999 * ms(off.Percentile(0.999)));
  const auto requests = static_cast<double>(on.times.size() + on.refused);
  CHECK(static_cast<double>(on.hedges) <= 0.05 * requests);
  CHECK(static_cast<double>(on.times.size()) >=
        0.99 * static_cast<double>(off.times.size()));
}

}  // namespace
}  // namespace mimosagauge
