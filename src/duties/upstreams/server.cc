// The table of attempts by number and of connection pools by upstream id.

#include "mimosagauge/impl/duties/upstreams/server.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <utility>
#include <variant>
#include <vector>

#include "mimosagauge/impl/duties/upstreams/attempt.h"
#include "mimosagauge/impl/duties/upstreams/health_request.h"

namespace mimosagauge::detail {
namespace {

using Clock = std::chrono::steady_clock;

constexpr std::chrono::nanoseconds kMaxSweepInterval = std::chrono::seconds(1);
constexpr std::chrono::nanoseconds kMinSweepInterval =
    std::chrono::milliseconds(5);
constexpr int kSweepsPerTimeout = 8;
constexpr std::size_t kMaxEventBytes = 1024UL * 1024;
constexpr std::size_t kMinEventLimit = 16UL * 1024;
// Incomplete events may use this part of the process's memory limit.
constexpr std::size_t kEventMemoryDivisor = 8;

}  // namespace

UpstreamServer::UpstreamServer(boost::asio::io_context& io,
                               const Settings& settings,
                               Mailbox<Event>& decisions,
                               const UpstreamDialect& dialect)
    : io_(io),
      settings_(settings),
      decisions_(decisions),
      sweep_timer_(io),
      dialect_(dialect) {
  for (const UpstreamSettings& upstream : settings.upstreams) {
    pools_.emplace(upstream.id, std::make_shared<UpstreamPool>(upstream));
  }
}

std::size_t UpstreamServer::max_partial_event() const noexcept {
  const std::size_t memory = settings_.limits.memory.count();
  if (memory == 0) {
    return kMaxEventBytes;
  }
  const std::size_t attempts = std::max<std::size_t>(1, attempts_.size());
  return std::clamp(memory / kEventMemoryDivisor / attempts, kMinEventLimit,
                    kMaxEventBytes);
}

void UpstreamServer::Start() { Sweep(); }

void UpstreamServer::Handle(UpstreamEffect&& effect) {
  if (auto* start = std::get_if<StartUpstreamAttempt>(&effect)) {
    StartAttempt(std::move(*start));
    return;
  }
  if (const auto* use = std::get_if<AddUpstream>(&effect)) {
    return UpdatePool(*use);
  }
  if (const auto* drop = std::get_if<RemoveUpstream>(&effect)) {
    pools_.erase(drop->id);
    return;
  }
  if (auto* health = std::get_if<RequestHealth>(&effect)) {
    return SendHealthRequest(std::move(*health));
  }
  const auto* credited = std::get_if<AddAttemptCredit>(&effect);
  const AttemptNumber number = credited != nullptr
                                   ? credited->attempt
                                   : std::get<CancelAttempt>(effect).attempt;
  const auto found = attempts_.find(number);
  if (found == attempts_.end()) {
    return;  // The attempt has already ended.
  }
  const std::shared_ptr<UpstreamAttempt> attempt = found->second;
  if (credited != nullptr) {
    attempt->AddCredit(credited->bytes);
  } else {
    attempt->Cancel();
  }
}

void UpstreamServer::StartAttempt(StartUpstreamAttempt&& start) {
  const auto pool = pools_.find(start.upstream);
  if (pool == pools_.end()) {
    Post(AttemptFailed{start.attempt,
                       RunState::kNotRun,
                       {ErrorKind::kNotFound,
                        "no upstream has the id " + start.upstream.value(),
                        "add the upstream to the settings"},
                       std::nullopt});
    return;
  }
  const AttemptNumber number = start.attempt;
  auto attempt =
      std::make_shared<UpstreamAttempt>(std::move(start), *this, pool->second);
  attempts_.emplace(number, attempt);
  attempt->Start();
}

void UpstreamServer::SendHealthRequest(RequestHealth&& request) {
  const auto pool = pools_.find(request.upstream);
  if (pool == pools_.end() || dialect_.format_health == nullptr) {
    return;
  }
  HealthRequest::Start(std::move(request), pool->second->settings(), io_,
                       dialect_, decisions_);
}

// The idle connections are kept if the upstream has neither moved nor restarted
// (same endpoint and incarnation); otherwise its pool is replaced.
void UpstreamServer::UpdatePool(const AddUpstream& use) {
  const UpstreamConfig& config = use.config;
  auto& pool = pools_[config.id];
  const bool unchanged = pool != nullptr &&
                         pool->settings().endpoint == config.endpoint &&
                         pool->incarnation() == config.incarnation;
  if (unchanged) {
    return;
  }
  UpstreamSettings settings;
  settings.id = config.id;
  settings.service = config.service;
  settings.zone = config.zone;
  settings.endpoint = config.endpoint;
  settings.kind = use.kind;
  settings.models = config.models;
  settings.concurrency = config.concurrency;
  settings.honours_resume = config.honours_resume;
  pool =
      std::make_shared<UpstreamPool>(std::move(settings), config.incarnation);
}

void UpstreamServer::Sweep() {
  const auto now = Clock::now();
  // A copy, since an attempt that fails removes itself from the map.
  std::vector<std::shared_ptr<UpstreamAttempt>> running;
  running.reserve(attempts_.size());
  for (const auto& [number, attempt] : attempts_) {
    running.push_back(attempt);
  }
  for (const auto& attempt : running) {
    attempt->CheckDeadline(now);
  }
  for (auto& [id, pool] : pools_) {
    pool->Sweep(now);
  }
  sweep_timer_.expires_after(
      std::clamp<Clock::duration>(settings_.limits.silence / kSweepsPerTimeout,
                                  kMinSweepInterval, kMaxSweepInterval));
  sweep_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error && !stopped_) {
      Sweep();
    }
  });
}

void UpstreamServer::Stop() {
  stopped_ = true;
  sweep_timer_.cancel();
  const auto running = std::exchange(attempts_, {});
  for (const auto& [number, attempt] : running) {
    attempt->Cancel();
  }
  pools_.clear();
}

}  // namespace mimosagauge::detail
