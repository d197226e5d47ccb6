// Starts the duties of an instance, connects them by mailboxes, and stops them
// in order.

#include "mimosagauge/impl/duties/instance.h"

#include <array>
#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/outcome/try.hpp>
#include <chrono>
#include <csignal>
#include <cstddef>
#include <memory>
#include <optional>
#include <random>
#include <thread>
#include <utility>

#include "mimosagauge/impl/duties/callers/duty.h"
#include "mimosagauge/impl/duties/common/hash.h"
#include "mimosagauge/impl/duties/common/log.h"
#include "mimosagauge/impl/duties/common/mailbox.h"
#include "mimosagauge/impl/duties/common/monotonic_clock.h"
#include "mimosagauge/impl/duties/decisions/duty.h"
#include "mimosagauge/impl/duties/links/duty.h"
#include "mimosagauge/impl/duties/operators/duty.h"
#include "mimosagauge/impl/duties/store/duty.h"
#include "mimosagauge/impl/duties/store/fleet_duty.h"
#include "mimosagauge/impl/duties/upstreams/duty.h"

namespace mimosagauge {
namespace {

// Capacity, in entries, of a ring for requests and answers.
constexpr std::size_t kRequestRingEntries = 16384;
// Capacity, in entries, of a ring for occasional events.
constexpr std::size_t kEventRingEntries = 256;

// Time for writing the last answers when all duties share one thread; nothing
// else is in progress then.
constexpr std::chrono::milliseconds kFinalWriteTime{200};
// Expected times are not more precise than this, so upstreams that differ by
// less are chosen at random.
constexpr Duration kPlacementSpread = std::chrono::milliseconds(10);

[[nodiscard]] std::uint64_t RandomNumber() {
  std::random_device device;
  std::uniform_int_distribution<std::uint64_t> distribution;
  return distribution(device);
}

// Returns the settings and the values that distinguish this start of the
// instance from all others: a start time and a random number.
[[nodiscard]] GatewayConfig MakeStartupConfig(const Settings& settings) {
  GatewayConfig config = MakeGatewayConfig(settings);
  const auto wall_time = std::chrono::system_clock::now().time_since_epoch();
  const auto milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(wall_time);
  config.self = {settings.instance,
                 Incarnation{static_cast<std::uint64_t>(milliseconds.count())},
                 RandomNumber()};
  config.hash = MakeHashFunction();
  if (!settings.ticket_secret.empty()) {
    config.ticket_secrets = {MakeAuthenticator(settings.ticket_secret)};
  }
  return config;
}

/// \brief An event loop and the thread that runs it, or a reference to a shared
/// loop that another thread runs.
class DutyThread {
 public:
  /// \param shared_loop The loop to use; null to create a loop and a thread.
  explicit DutyThread(boost::asio::io_context* shared_loop) {
    if (shared_loop != nullptr) {
      io_ = shared_loop;
      return;
    }
    own_loop_.emplace(1);
    io_ = &*own_loop_;
    work_guard_.emplace(boost::asio::make_work_guard(*own_loop_));
  }

  void Start() {
    if (own_loop_) {
      thread_ = std::thread([this] { io_->run(); });
    }
  }
  /// Waits until the loop has run out of work, then ends the thread.
  void Join() {
    work_guard_.reset();
    if (thread_.joinable()) {
      thread_.join();
    }
  }
  [[nodiscard]] boost::asio::io_context& io() noexcept { return *io_; }

 private:
  std::optional<boost::asio::io_context> own_loop_;
  boost::asio::io_context* io_ = nullptr;  // Not null after construction.
  std::optional<
      boost::asio::executor_work_guard<boost::asio::io_context::executor_type>>
      work_guard_;  // Keeps `own_loop_` running.
  std::thread thread_;
};

/// \brief All parts of an instance, declared in the order of their
/// dependencies.
class Instance {
 public:
  Instance(const Settings& settings, const Dialects& dialects);

  [[nodiscard]] Result<bool> Run();

 private:
  void SetMailboxHandlers();
  [[nodiscard]] Result<void> StartDuties();
  void StopDuties();
  void AwaitSignal();
  [[nodiscard]] boost::asio::io_context* SharedLoop() noexcept {
    return settings_.one_thread ? &main_loop_ : nullptr;
  }

  const Settings& settings_;
  boost::asio::io_context main_loop_{1};
  boost::asio::signal_set signals_;
  DutyThread callers_thread_;
  DutyThread upstreams_thread_;
  DutyThread links_thread_;
  DutyThread platform_thread_;
  DutyThread operators_thread_;
  DutyThread decisions_thread_;

  Mailbox<Event> from_main_loop_;
  Mailbox<Event> from_callers_;
  Mailbox<Event> from_upstreams_;
  Mailbox<Event> from_links_;
  Mailbox<Event> from_platform_;
  Mailbox<Event> from_operators_;
  Mailbox<CallerEffect> to_callers_;
  Mailbox<UpstreamEffect> to_upstreams_;
  Mailbox<LinkEffect> to_links_;
  Mailbox<StoreEffect> to_platform_;
  Mailbox<PublishView> to_operators_;
  Mailbox<RulesEditCommand> rule_edits_;
  Mailbox<RulesEditReply> rule_edit_outcomes_;

  CallerDuty caller_duty_;
  UpstreamDuty upstream_duty_;
  LinkDuty link_duty_;
  PlatformDuty platform_duty_;
  OperatorsDuty operators_duty_;
  std::unique_ptr<FleetDuty>
      fleet_duty_;  // Null when there is no fleet dialect.
  DecisionsDuty decisions_duty_;
  bool draining_ = false;  // Whether a first signal to stop was received.
  bool finished_in_time_ = false;
};

Instance::Instance(const Settings& settings, const Dialects& dialects)
    : settings_(settings),
      signals_(main_loop_, SIGTERM, SIGINT, SIGHUP),
      callers_thread_(SharedLoop()),
      upstreams_thread_(SharedLoop()),
      links_thread_(SharedLoop()),
      platform_thread_(SharedLoop()),
      operators_thread_(SharedLoop()),
      decisions_thread_(SharedLoop()),
      from_main_loop_(main_loop_, decisions_thread_.io(), kEventRingEntries),
      from_callers_(callers_thread_.io(), decisions_thread_.io(),
                    kRequestRingEntries),
      from_upstreams_(upstreams_thread_.io(), decisions_thread_.io(),
                      kRequestRingEntries),
      from_links_(links_thread_.io(), decisions_thread_.io(),
                  kRequestRingEntries),
      from_platform_(platform_thread_.io(), decisions_thread_.io(),
                     kEventRingEntries),
      from_operators_(operators_thread_.io(), decisions_thread_.io(),
                      kEventRingEntries),
      to_callers_(decisions_thread_.io(), callers_thread_.io(),
                  kRequestRingEntries),
      to_upstreams_(decisions_thread_.io(), upstreams_thread_.io(),
                    kRequestRingEntries),
      to_links_(decisions_thread_.io(), links_thread_.io(),
                kRequestRingEntries),
      to_platform_(decisions_thread_.io(), platform_thread_.io(),
                   kEventRingEntries),
      to_operators_(decisions_thread_.io(), operators_thread_.io(),
                    kEventRingEntries),
      rule_edits_(operators_thread_.io(), platform_thread_.io(),
                  kEventRingEntries),
      rule_edit_outcomes_(platform_thread_.io(), operators_thread_.io(),
                          kEventRingEntries),
      caller_duty_(callers_thread_.io(), settings, from_callers_,
                   *dialects.callers),
      upstream_duty_(upstreams_thread_.io(), settings, from_upstreams_,
                     *dialects.upstreams),
      link_duty_(links_thread_.io(), settings, from_links_),
      platform_duty_(platform_thread_.io(), settings, from_platform_,
                     rule_edit_outcomes_),
      operators_duty_(operators_thread_.io(), settings, from_operators_,
                      rule_edits_),
      fleet_duty_(dialects.fleet == nullptr
                      ? nullptr
                      : std::make_unique<FleetDuty>(
                            platform_thread_.io(), settings, *dialects.store,
                            *dialects.fleet, from_platform_)),
      decisions_duty_(
          decisions_thread_.io(),
          MakeGateway(MakeStartupConfig(settings), MonotonicNow(),
                      std::random_device{}()),
          DecisionOutputs{to_callers_, to_upstreams_, to_links_, to_platform_,
                          to_operators_,
                          [this] {
                            boost::asio::post(links_thread_.io(),
                                              [this] { link_duty_.Leave(); });
                            if (fleet_duty_ != nullptr) {
                              boost::asio::post(platform_thread_.io(), [this] {
                                fleet_duty_->Leave();
                              });
                            }
                          },
                          [this] {
                            boost::asio::post(callers_thread_.io(), [this] {
                              caller_duty_.StopAccepting();
                            });
                          },
                          [this](bool in_time) {
                            boost::asio::post(main_loop_, [this, in_time] {
                              finished_in_time_ = in_time;
                              main_loop_.stop();
                            });
                          }}) {
  SetMailboxHandlers();
}

void Instance::SetMailboxHandlers() {
  for (Mailbox<Event>* mailbox :
       {&from_main_loop_, &from_callers_, &from_upstreams_, &from_links_,
        &from_platform_, &from_operators_}) {
    mailbox->set_handler(
        [this](Event&& event) { decisions_duty_.Deliver(std::move(event)); });
  }
  to_callers_.set_handler([this](CallerEffect&& effect) {
    caller_duty_.Handle(std::move(effect));
  });
  to_upstreams_.set_handler([this](UpstreamEffect&& effect) {
    upstream_duty_.Handle(std::move(effect));
  });
  to_links_.set_handler(
      [this](LinkEffect&& effect) { link_duty_.Handle(std::move(effect)); });
  to_platform_.set_handler([this](StoreEffect&& effect) {
    if (std::holds_alternative<ReopenWatch>(effect)) {
      if (fleet_duty_ != nullptr) {
        fleet_duty_->Reopen();
      }
      return;
    }
    platform_duty_.Handle(std::move(effect));
  });
  to_operators_.set_handler([this](PublishView&& effect) {
    operators_duty_.Handle(std::move(effect));
  });
  rule_edits_.set_handler([this](RulesEditCommand&& command) {
    platform_duty_.Handle(std::move(command));
  });
  rule_edit_outcomes_.set_handler([this](RulesEditReply&& reply) {
    operators_duty_.Handle(std::move(reply));
  });
}

Result<void> Instance::StartDuties() {
  BOOST_OUTCOME_TRYV(caller_duty_.Start());
  BOOST_OUTCOME_TRYV(link_duty_.Start());
  if (!settings_.operators.address.empty()) {
    BOOST_OUTCOME_TRYV(operators_duty_.Start());
  }
  upstream_duty_.Start();
  if (fleet_duty_ != nullptr) {
    fleet_duty_->Start();
  } else {
    platform_duty_.Start();
  }
  decisions_duty_.Start();
  for (DutyThread* thread :
       {&callers_thread_, &upstreams_thread_, &links_thread_, &platform_thread_,
        &operators_thread_, &decisions_thread_}) {
    thread->Start();
  }
  return success();
}

void Instance::StopDuties() {
  // Queued answers are written to their sockets first: the `Stop` of each duty
  // is posted to its own thread, behind everything that was posted there
  // before.
  boost::asio::post(decisions_thread_.io(), [this] { decisions_duty_.Stop(); });
  decisions_thread_.Join();
  boost::asio::post(callers_thread_.io(), [this] { caller_duty_.Stop(); });
  boost::asio::post(links_thread_.io(), [this] { link_duty_.Stop(); });
  boost::asio::post(upstreams_thread_.io(), [this] { upstream_duty_.Stop(); });
  boost::asio::post(platform_thread_.io(), [this] {
    platform_duty_.Stop();
    if (fleet_duty_ != nullptr) {
      fleet_duty_->Stop();
    }
  });
  boost::asio::post(operators_thread_.io(), [this] { operators_duty_.Stop(); });
  if (settings_.one_thread) {
    main_loop_.restart();
    main_loop_.run_for(kFinalWriteTime);
    return;
  }
  for (DutyThread* thread :
       {&callers_thread_, &links_thread_, &upstreams_thread_, &platform_thread_,
        &operators_thread_}) {
    thread->Join();
  }
}

void Instance::AwaitSignal() {
  signals_.async_wait(
      [this](const boost::system::error_code& error, int signal) {
        if (error) {
          return;
        }
        if (signal == SIGHUP) {
          // An instance reads its own settings only at its start; everything
          // else is read from the store.
          Log(log_events::kSettingsKept);
        } else if (draining_ && signal == SIGTERM) {
          // The sender may repeat its request to stop, which is carried out
          // already; only a person at a terminal asks to cut it short.
          Log(log_events::kStopRepeated);
        } else if (std::exchange(draining_, true)) {
          main_loop_.stop();
          return;
        } else {
          from_main_loop_.Post(DrainRequested{});
        }
        AwaitSignal();
      });
}

Result<bool> Instance::Run() {
  BOOST_OUTCOME_TRYV(StartDuties());
  Log(log_events::kStarted,
      {{"instance", settings_.instance.value()},
       {"region", settings_.region.value()},
       {"zone", settings_.zone.value()},
       {"entry",
        ToString(Endpoint{settings_.entry.address, caller_duty_.port()})}});
  AwaitSignal();
  main_loop_.run();
  StopDuties();
  Log(log_events::kStopped, {{"in_time", finished_in_time_ ? "yes" : "no"}});
  return finished_in_time_;
}

}  // namespace

GatewayConfig MakeGatewayConfig(const Settings& settings) {
  GatewayConfig config;
  config.instance = settings.instance;
  config.region = settings.region;
  config.zone = settings.zone;
  config.entry = settings.entry;
  for (const UpstreamSettings& upstream : settings.upstreams) {
    config.upstreams.push_back({upstream.id, upstream.service, upstream.zone,
                                upstream.models, upstream.concurrency,
                                upstream.honours_resume});
  }
  for (const PeerSettings& peer : settings.peers) {
    config.peers.push_back({peer.id, peer.region, peer.zone, peer.entry});
  }
  config.limits.requests = settings.limits.requests;
  config.limits.queued = settings.limits.queued;
  config.limits.stream_window = settings.limits.stream_window;
  config.limits.default_due = settings.limits.default_due;
  config.limits.drain = settings.limits.drain;
  config.limits.leave_notice = settings.limits.leave_notice;
  config.limits.due_grace = settings.limits.due_grace;
  config.limits.retry_ratio = settings.retries.ratio;
  config.limits.retry_slack = settings.retries.slack;
  config.limits.hedging = {settings.hedging.limit.value(),
                           settings.hedging.percentile.value(),
                           settings.hedging.min_delay};
  if (settings.dialect == PlatformDialect::kFleet) {
    config.limits.placement_spread = kPlacementSpread;
  }
  config.strict_revocation = settings.revocation.strict;
  if (settings.allowances) {
    config.allowances.enforced = true;
    config.allowances.window = settings.allowances->window;
    config.allowances.excess = 1 + settings.allowances->excess;
    config.allowances.slack = settings.allowances->slack;
    config.allowances.reserve = settings.allowances->reserve;
    config.allowances.regions = settings.regions.size();
    config.allowances.session = settings.session;
  }
  config.speeds.prompt_tokens_per_ms = settings.engines.prompt_tokens_per_ms;
  config.speeds.first_token = settings.engines.first_token;
  config.memory = settings.limits.memory;
  config.placement = settings.placement;
  return config;
}

Result<bool> RunInstance(const Settings& settings, const Dialects& dialects) {
  Instance instance(settings, dialects);
  return instance.Run();
}

}  // namespace mimosagauge
