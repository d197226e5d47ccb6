// Simulation of a region with coordinated placement.

#include "tests/support/placement_region.h"

#include <memory>

#include "mimosagauge/impl/decisions/prefix_cache.h"
#include "mimosagauge/impl/wire/load_codec.h"
#include "mimosagauge/impl/wire/placement_codec.h"

namespace mimosagauge::testing {
namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t kLongShared = 13300;
constexpr std::uint32_t kLongOwn = 3720;
constexpr std::uint32_t kShortShared = 92;
constexpr std::uint32_t kShortOwn = 291;
constexpr std::uint32_t kLongOutput = 120;
constexpr std::uint32_t kShortOutput = 50;
// Fraction of the time of reading by which it delays generation.
constexpr double kStall = 0.9;
constexpr milliseconds kTick{10};

[[nodiscard]] std::string InstanceName(std::size_t index) {
  return "one-" + std::to_string(index);
}

[[nodiscard]] std::string EngineName(std::size_t index) {
  return "e-" + std::to_string(index);
}

[[nodiscard]] std::size_t IndexOf(const std::string& name) {
  return std::stoul(name.substr(name.find('-') + 1));
}

[[nodiscard]] std::string ZoneName(std::size_t index) {
  return index % 2 == 0 ? "one-a" : "one-b";
}

[[nodiscard]] Route MakeRoute(const std::string& name, Duration objective,
                              Duration timeout, std::uint8_t priority,
                              std::size_t attempts) {
  Route route;
  route.id = RouteId{name};
  route.host = "nets.example";
  route.prefix = "/" + name + "/";
  route.services = {{ServiceId{"engines"}, 1}};
  route.stream = true;
  route.attempts = attempts;
  route.objective = objective;
  route.timeout = timeout;
  route.priority = priority;
  return route;
}

[[nodiscard]] std::shared_ptr<const RouteCatalogue> MakeCatalogue(
    std::size_t slots) {
  RouteCatalogue catalogue;
  catalogue.revision = Revision{1};
  catalogue.routes = {
      MakeRoute("long", milliseconds(800), std::chrono::seconds(6), 2, 1),
      MakeRoute("short", milliseconds(600), std::chrono::seconds(4), 0, 2)};
  ServiceProfile engines;
  engines.id = ServiceId{"engines"};
  engines.engine = EngineProfile{slots, 331755, 327680, {}};
  catalogue.services = {{engines.id, engines}};
  IndexRoutes(catalogue);
  return std::make_shared<const RouteCatalogue>(std::move(catalogue));
}

}  // namespace

PlacementRegion::PlacementRegion(const PlacementRegionSettings& settings)
    : settings_(settings), random_(settings.seed) {
  engines_.resize(settings.engines);
  traffic_.resize(settings.instances);
  for (std::size_t i = 0; i < settings.instances; ++i) {
    instances_.emplace_back().gateway = MakeInstance(i);
  }
  for (std::size_t i = 0; i < settings.instances; ++i) {
    Connect(i);
    const Duration offset = kTick * static_cast<Duration::rep>(i) /
                            static_cast<Duration::rep>(settings.instances);
    After(offset, [this, i] { Tick(i); });
  }
}

Gateway PlacementRegion::MakeInstance(std::size_t index) {
  GatewayConfig config;
  config.instance = InstanceId{InstanceName(index)};
  config.region = RegionId{"one"};
  config.zone = ZoneId{ZoneName(index)};
  config.limits.due_grace = milliseconds(150);
  config.limits.retry_ratio = 0.2;
  config.limits.retry_slack = 50;
  config.limits.placement_spread = milliseconds(10);
  config.speeds.prompt_tokens_per_ms = settings_.prompt_tokens_per_ms;
  config.placement.coordinated = settings_.mode;
  return MakeGateway(config, now_, random_());
}

void PlacementRegion::Connect(std::size_t index) {
  Give(index, CatalogueReceived{MakeCatalogue(settings_.slots)});
  for (std::size_t e = 0; e < settings_.engines; ++e) {
    UpstreamRecord record;
    record.config.id = UpstreamId{EngineName(e)};
    record.config.service = ServiceId{"engines"};
    record.config.zone = ZoneId{ZoneName(e)};
    record.config.concurrency = settings_.slots;
    record.config.honours_resume = true;
    Give(index, UpstreamUpdated{record});
  }
  for (std::size_t other = 0; other < instances_.size(); ++other) {
    if (other == index) {
      continue;
    }
    PeerConfig peer;
    peer.id = InstanceId{InstanceName(other)};
    peer.region = RegionId{"one"};
    peer.zone = ZoneId{ZoneName(other)};
    Give(index, InstanceUpdated{peer});
    Give(index, LinkChanged{peer.id, !instances_[other].dead});
  }
}

std::size_t PlacementRegion::Send(std::size_t instance, bool is_long,
                                  std::uint64_t shared_part) {
  Instance& to = instances_.at(instance);
  auto head = std::make_shared<RequestHead>();
  head->host = "nets.example";
  head->method = "POST";
  head->target = is_long ? "/long/1" : "/short/1";
  head->caller_path = head->target;
  head->entry_region = RegionId{"one"};
  const std::uint32_t shared = is_long ? kLongShared : kShortShared;
  const std::uint32_t own = is_long ? kLongOwn : kShortOwn;
  head->prompt = {shared + own,
                  is_long ? kLongOutput : kShortOutput,
                  {{shared_part, shared}, {random_(), own}}};
  PlacementCourse course;
  course.instance = instance;
  course.priority = is_long ? 2 : 0;
  course.sent = now_;
  courses_.push_back(course);
  if (to.dead) {
    return courses_.size() - 1;
  }
  const RequestNumber number{to.next_number};
  to.next_number += 2;
  to.courses.emplace(number, courses_.size() - 1);
  head->id = RequestId{std::to_string(courses_.size() - 1)};
  Give(instance, RequestArrived{number, Origin::kCaller, head,
                                std::make_shared<const std::string>()});
  return courses_.size() - 1;
}

void PlacementRegion::After(Duration delay, std::function<void()> action) {
  agenda_.emplace(now_ + delay, std::move(action));
}

void PlacementRegion::Run(Duration duration) {
  const TimePoint end = now_ + duration;
  while (!agenda_.empty() && agenda_.begin()->first <= end) {
    now_ = std::max(now_, agenda_.begin()->first);
    const auto action = std::move(agenda_.begin()->second);
    agenda_.erase(agenda_.begin());
    action();
  }
  now_ = end;
}

void PlacementRegion::Tick(std::size_t index) {
  Instance& instance = instances_[index];
  if (!instance.dead && !instance.frozen) {
    Give(index, mimosagauge::Tick{});
  }
  After(kTick, [this, index] { Tick(index); });
}

void PlacementRegion::Give(std::size_t index, Event event) {
  Instance& instance = instances_[index];
  if (instance.dead) {
    return;
  }
  if (instance.frozen) {
    instance.held.push_back(std::move(event));
    return;
  }
  for (Effect& effect : Step(instance.gateway, now_, std::move(event))) {
    Execute(index, std::move(effect));
  }
}

void PlacementRegion::Execute(std::size_t index, Effect&& effect) {
  if (auto* upstreams = std::get_if<ForUpstreams>(&effect)) {
    Execute(index, std::move(upstreams->effect));
  } else if (auto* callers = std::get_if<ForCallers>(&effect)) {
    Execute(index, std::move(callers->effect));
  } else if (auto* links = std::get_if<ForLinks>(&effect)) {
    Execute(index, std::move(links->effect));
  }
}

void PlacementRegion::Execute(std::size_t index, UpstreamEffect&& effect) {
  Instance& instance = instances_[index];
  if (auto* start = std::get_if<StartUpstreamAttempt>(&effect)) {
    const std::size_t course = std::stoul(start->head->id.value());
    ++courses_[course].starts;
    if (!courses_[course].first_start) {
      courses_[course].first_start = now_;
    }
    const std::size_t engine = IndexOf(start->upstream.value());
    instance.attempts.emplace(start->attempt, engine);
    Job job{index, instance.process, start->attempt, course, start->head};
    After(Delay(),
          [this, engine, job]() mutable { Arrive(engine, std::move(job)); });
  } else if (const auto* cancel = std::get_if<CancelAttempt>(&effect)) {
    const auto engine = instance.attempts.find(cancel->attempt);
    if (engine != instance.attempts.end()) {
      const JobKey key{index, instance.process, cancel->attempt};
      After(Delay(), [this, at = engine->second, key] { Cancel(at, key); });
    }
  }
}

void PlacementRegion::Execute(std::size_t index, CallerEffect&& effect) {
  Instance& instance = instances_[index];
  const auto course = [&](RequestNumber number) -> PlacementCourse& {
    return courses_[instance.courses.at(number)];
  };
  if (const auto* head = std::get_if<SendAnswerHead>(&effect)) {
    course(head->number).begun = now_;
  } else if (const auto* end = std::get_if<SendAnswerEnd>(&effect)) {
    course(end->number).done = now_;
  } else if (const auto* problem = std::get_if<SendProblem>(&effect)) {
    course(problem->number).refused = now_;
    course(problem->number).retry_after = problem->problem.retry_after;
  } else if (const auto* abort = std::get_if<AbortAnswer>(&effect)) {
    course(abort->number).refused = now_;
  }
}

void PlacementRegion::Execute(std::size_t index, LinkEffect&& effect) {
  std::size_t to = 0;
  std::string bytes;
  const auto* load = std::get_if<SendLoad>(&effect);
  const auto* placement = std::get_if<SendPlacement>(&effect);
  if (load != nullptr) {
    to = IndexOf(load->to.value());
    bytes = EncodeLoadDigest(*load->digest);
  } else if (placement != nullptr) {
    to = IndexOf(placement->to.value());
    bytes = EncodePlacementMessage(placement->message);
    for (const std::size_t side : {index, to}) {
      ++traffic_[side].first;
      traffic_[side].second += bytes.size();
    }
    if (std::uniform_real_distribution<double>()(random_) < loss_) {
      return;
    }
  } else {
    return;
  }
  if (blocked_.contains({index, to})) {
    return;
  }
  const InstanceId from{InstanceName(index)};
  const std::uint64_t process = instances_[to].process;
  After(Ordered(index, to), [this, to, from, bytes, process] {
    if (instances_[to].process != process) {
      return;
    }
    if (bytes.front() == kLoadDigestTag) {
      Give(to, LoadReceived{from, DecodeLoadDigest(bytes).value()});
    } else {
      Give(to, PlacementReceived{from, DecodePlacementMessage(bytes).value()});
    }
  });
}

PlacementRegion::JobKey PlacementRegion::KeyOf(const Job& job) {
  return {job.instance, job.process, job.attempt};
}

void PlacementRegion::Arrive(std::size_t index, Job&& job) {
  Engine& engine = engines_[index];
  ++arrivals_;
  if (instances_[job.instance].process != job.process ||
      engine.cancelled.contains(KeyOf(job))) {
    return;
  }
  if (engine.running.size() < settings_.slots) {
    return Begin(index, std::move(job));
  }
  if (engine.queue.size() < settings_.engine_queue) {
    engine.queue.push_back(std::move(job));
    return;
  }
  ++refusals_;
  Post(job, AttemptFailed{job.attempt,
                          RunState::kNotRun,
                          {ErrorKind::kOverloaded, "full", ""},
                          {}});
}

void PlacementRegion::Begin(std::size_t index, Job&& job) {
  Engine& engine = engines_[index];
  ++courses_[job.course].runs;
  engine.running.insert(KeyOf(job));
  const Prompt& prompt = job.head->prompt;
  std::uint32_t tokens = prompt.tokens_in;
  for (const PromptPart& part : TrackedSharedParts(prompt)) {
    parts_.insert(part.id);
    if (engine.cached.insert(part.id).second) {
      shared_read_ += part.tokens;
    } else {
      tokens -= part.tokens;
    }
  }
  const Duration reading = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(
          tokens / settings_.prompt_tokens_per_ms));
  engine.reading_until = std::max(engine.reading_until, now_) + reading;
  // Between chunks of prompts all generations go on by one token only.
  engine.stalled += std::chrono::duration_cast<Duration>(reading * kStall);
  const Duration until_head = engine.reading_until - now_ + settings_.step;
  After(until_head, [this, index, job] {
    AnswerHead head;
    head.status = 200;
    const Engine& now = engines_[index];
    const LoadReport load{
        now.running.size(), now.queue.size(), settings_.slots, {}};
    Post(job, AttemptHeadReceived{job.attempt, head, load});
  });
  After(until_head + settings_.step * prompt.tokens_out,
        [this, index, job, stalled = engine.stalled] {
          End(index, job, stalled);
        });
}

void PlacementRegion::End(std::size_t index, const Job& job, Duration stalled) {
  const Duration now_stalled = engines_[index].stalled;
  if (now_stalled > stalled) {
    return After(now_stalled - stalled, [this, index, job, now_stalled] {
      End(index, job, now_stalled);
    });
  }
  if (engines_[index].running.erase(KeyOf(job)) > 0) {
    Post(job, AttemptEnded{job.attempt});
    StartQueued(index);
  }
}

void PlacementRegion::Cancel(std::size_t index, const JobKey& key) {
  engines_[index].cancelled.insert(key);
  if (engines_[index].running.erase(key) > 0) {
    StartQueued(index);
  }
}

void PlacementRegion::StartQueued(std::size_t index) {
  Engine& engine = engines_[index];
  while (engine.running.size() < settings_.slots && !engine.queue.empty()) {
    Job next = std::move(engine.queue.front());
    engine.queue.pop_front();
    if (instances_[next.instance].process == next.process &&
        !engine.cancelled.contains(KeyOf(next))) {
      Begin(index, std::move(next));
    }
  }
}

void PlacementRegion::Post(const Job& job, Event event) {
  After(Delay(), [this, job, event = std::move(event)] {
    if (instances_[job.instance].process == job.process) {
      Give(job.instance, event);
    }
  });
}

Duration PlacementRegion::Delay() {
  return Duration(std::uniform_int_distribution<Duration::rep>(
      settings_.min_delay.count(), settings_.max_delay.count())(random_));
}

// Messages of one link arrive in order.
Duration PlacementRegion::Ordered(std::size_t from, std::size_t to) {
  TimePoint& last = last_delivery_[{from, to}];
  last = std::max(last, now_ + Delay());
  return last - now_;
}

void PlacementRegion::Kill(std::size_t instance,
                           std::optional<Duration> notice) {
  const std::uint64_t process = instances_[instance].process++;
  instances_[instance].dead = true;
  for (const auto& [attempt, engine] : instances_[instance].attempts) {
    const JobKey key{instance, process, attempt};
    After(Delay(), [this, at = engine, key] { Cancel(at, key); });
  }
  if (!notice) {
    return;
  }
  After(*notice, [this, instance] {
    for (std::size_t i = 0; i < instances_.size(); ++i) {
      if (i != instance && instances_[instance].dead) {
        Give(i, LinkChanged{InstanceId{InstanceName(instance)}, false});
      }
    }
  });
}

void PlacementRegion::Restart(std::size_t instance) {
  Instance& again = instances_[instance];
  again = Instance{MakeInstance(instance), false, false, again.process + 1, {},
                   again.next_number,      {},    {}};
  Connect(instance);
  for (std::size_t i = 0; i < instances_.size(); ++i) {
    if (i != instance) {
      Give(i, LinkChanged{InstanceId{InstanceName(instance)}, true});
    }
  }
}

void PlacementRegion::Freeze(std::size_t instance) {
  instances_[instance].frozen = true;
}

void PlacementRegion::Resume(std::size_t instance) {
  Instance& resumed = instances_[instance];
  resumed.frozen = false;
  for (Event& event : std::exchange(resumed.held, {})) {
    Give(instance, std::move(event));
  }
}

void PlacementRegion::Block(std::size_t from, std::size_t to, bool blocked) {
  blocked ? static_cast<void>(blocked_.insert({from, to}))
          : static_cast<void>(blocked_.erase({from, to}));
}

std::optional<std::size_t> PlacementRegion::CoordinatorOf(std::size_t asker) {
  const auto& coordinators = gateway(asker).placement.coordinators;
  const auto found = coordinators.find(ServiceId{"engines"});
  return found == coordinators.end()
             ? std::nullopt
             : std::optional(IndexOf(found->second.value()));
}

}  // namespace mimosagauge::testing
