// Starts the duties of an instance, joins them by rings, and stops them in
// order.

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

// Entries of a ring that carries requests and answers.
constexpr std::size_t kBusyRing = 16384;
// Entries of a ring that carries an occasional event.
constexpr std::size_t kQuietRing = 256;

// After the last answers there is nothing to wait for but their writes.
constexpr std::chrono::milliseconds kLastWrites{200};
// Expectations are no more exact than this.
constexpr Duration kPlacementSpread = std::chrono::milliseconds(10);

[[nodiscard]] std::uint64_t RandomNumber() {
  std::random_device device;
  std::uniform_int_distribution<std::uint64_t> any;
  return any(device);
}

// The settings, and what tells this start of the instance from all others.
[[nodiscard]] GatewayConfig StartConfig(const Settings& settings) {
  GatewayConfig config = ConfigOf(settings);
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

/// \brief An event loop and the thread that runs it, or a share in a loop that
/// runs elsewhere.
class DutyThread {
 public:
  /// \param shared Null: a loop and a thread of its own.
  explicit DutyThread(boost::asio::io_context* shared) {
    if (shared != nullptr) {
      io_ = shared;
      return;
    }
    own_.emplace(1);
    io_ = &*own_;
    work_.emplace(boost::asio::make_work_guard(*own_));
  }

  void Start() {
    if (own_) {
      thread_ = std::thread([this] { io_->run(); });
    }
  }
  /// Lets what is scheduled happen, then ends the thread.
  void Join() {
    work_.reset();
    if (thread_.joinable()) {
      thread_.join();
    }
  }
  [[nodiscard]] boost::asio::io_context& io() noexcept { return *io_; }

 private:
  std::optional<boost::asio::io_context> own_;
  boost::asio::io_context* io_ = nullptr;  // Never null once made.
  std::optional<
      boost::asio::executor_work_guard<boost::asio::io_context::executor_type>>
      work_;  // Of `own_`.
  std::thread thread_;
};

/// \brief All parts of an instance, in the order in which they depend on each
/// other.
class Instance {
 public:
  Instance(const Settings& settings, const Dialects& dialects);

  [[nodiscard]] Result<bool> Run();

 private:
  void Connect();
  [[nodiscard]] Result<void> StartDuties();
  void StopDuties();
  void AwaitSignal();
  [[nodiscard]] boost::asio::io_context* SharedLoop() noexcept {
    return settings_.one_thread ? &process_ : nullptr;
  }

  const Settings& settings_;
  boost::asio::io_context process_{1};
  boost::asio::signal_set signals_;
  DutyThread callers_;
  DutyThread upstreams_;
  DutyThread links_;
  DutyThread platform_;
  DutyThread operators_;
  DutyThread decisions_;

  Mailbox<Event> from_process_;
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
  Mailbox<ChangeRules> edits_;
  Mailbox<RulesChanged> edit_outcomes_;

  CallerDuty caller_duty_;
  UpstreamDuty upstream_duty_;
  LinkDuty link_duty_;
  PlatformDuty platform_duty_;
  OperatorsDuty operators_duty_;
  std::unique_ptr<FleetDuty> fleet_duty_;  // Null without a fleet dialect.
  DecisionsDuty decisions_duty_;
  bool draining_ = false;  // A first signal to stop has come.
  bool in_time_ = false;
};

Instance::Instance(const Settings& settings, const Dialects& dialects)
    : settings_(settings),
      signals_(process_, SIGTERM, SIGINT, SIGHUP),
      callers_(SharedLoop()),
      upstreams_(SharedLoop()),
      links_(SharedLoop()),
      platform_(SharedLoop()),
      operators_(SharedLoop()),
      decisions_(SharedLoop()),
      from_process_(process_, decisions_.io(), kQuietRing),
      from_callers_(callers_.io(), decisions_.io(), kBusyRing),
      from_upstreams_(upstreams_.io(), decisions_.io(), kBusyRing),
      from_links_(links_.io(), decisions_.io(), kBusyRing),
      from_platform_(platform_.io(), decisions_.io(), kQuietRing),
      from_operators_(operators_.io(), decisions_.io(), kQuietRing),
      to_callers_(decisions_.io(), callers_.io(), kBusyRing),
      to_upstreams_(decisions_.io(), upstreams_.io(), kBusyRing),
      to_links_(decisions_.io(), links_.io(), kBusyRing),
      to_platform_(decisions_.io(), platform_.io(), kQuietRing),
      to_operators_(decisions_.io(), operators_.io(), kQuietRing),
      edits_(operators_.io(), platform_.io(), kQuietRing),
      edit_outcomes_(platform_.io(), operators_.io(), kQuietRing),
      caller_duty_(callers_.io(), settings, from_callers_, *dialects.callers),
      upstream_duty_(upstreams_.io(), settings, from_upstreams_,
                     *dialects.upstreams),
      link_duty_(links_.io(), settings, from_links_),
      platform_duty_(platform_.io(), settings, from_platform_, edit_outcomes_),
      operators_duty_(operators_.io(), settings, from_operators_, edits_),
      fleet_duty_(dialects.fleet == nullptr
                      ? nullptr
                      : std::make_unique<FleetDuty>(
                            platform_.io(), settings, *dialects.store,
                            *dialects.fleet, from_platform_)),
      decisions_duty_(
          decisions_.io(),
          MakeGateway(StartConfig(settings), MonotonicNow(),
                      std::random_device{}()),
          DecisionOutputs{
              to_callers_, to_upstreams_, to_links_, to_platform_,
              to_operators_,
              [this] {
                boost::asio::post(links_.io(), [this] { link_duty_.Leave(); });
                if (fleet_duty_ != nullptr) {
                  boost::asio::post(platform_.io(),
                                    [this] { fleet_duty_->Leave(); });
                }
              },
              [this] {
                boost::asio::post(callers_.io(),
                                  [this] { caller_duty_.StopAccepting(); });
              },
              [this](bool in_time) {
                boost::asio::post(process_, [this, in_time] {
                  in_time_ = in_time;
                  process_.stop();
                });
              }}) {
  Connect();
}

void Instance::Connect() {
  for (Mailbox<Event>* mailbox :
       {&from_process_, &from_callers_, &from_upstreams_, &from_links_,
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
  edits_.set_handler([this](ChangeRules&& command) {
    platform_duty_.Handle(std::move(command));
  });
  edit_outcomes_.set_handler([this](RulesChanged&& reply) {
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
  for (DutyThread* thread : {&callers_, &upstreams_, &links_, &platform_,
                             &operators_, &decisions_}) {
    thread->Start();
  }
  return success();
}

void Instance::StopDuties() {
  // Answers on their way to sockets go out first: each duty is told to stop
  // on its own thread, behind everything that was posted to it before.
  boost::asio::post(decisions_.io(), [this] { decisions_duty_.Stop(); });
  decisions_.Join();
  boost::asio::post(callers_.io(), [this] { caller_duty_.Stop(); });
  boost::asio::post(links_.io(), [this] { link_duty_.Stop(); });
  boost::asio::post(upstreams_.io(), [this] { upstream_duty_.Stop(); });
  boost::asio::post(platform_.io(), [this] {
    platform_duty_.Stop();
    if (fleet_duty_ != nullptr) {
      fleet_duty_->Stop();
    }
  });
  boost::asio::post(operators_.io(), [this] { operators_duty_.Stop(); });
  if (settings_.one_thread) {
    process_.restart();
    process_.run_for(kLastWrites);
    return;
  }
  for (DutyThread* thread :
       {&callers_, &links_, &upstreams_, &platform_, &operators_}) {
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
          // What an instance is stays as it started; the rest comes from the
          // store.
          Log(log_events::kSettingsKept);
        } else if (std::exchange(draining_, true)) {
          process_.stop();
          return;
        } else {
          from_process_.Post(DrainRequested{});
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
  process_.run();
  StopDuties();
  Log(log_events::kStopped, {{"in_time", in_time_ ? "yes" : "no"}});
  return in_time_;
}

}  // namespace

GatewayConfig ConfigOf(const Settings& settings) {
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
  if (settings.dialect == PlatformDialect::kFleet) {
    config.limits.placement_spread = kPlacementSpread;
  }
  config.speeds.prompt_tokens_per_ms = settings.engines.prompt_tokens_per_ms;
  config.speeds.first_token = settings.engines.first_token;
  return config;
}

Result<bool> RunInstance(const Settings& settings, const Dialects& dialects) {
  Instance instance(settings, dialects);
  return instance.Run();
}

}  // namespace mimosagauge
