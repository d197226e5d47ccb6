// A link duty on threads of its own.

#include "tests/support/link_peer.h"

#include <boost/asio/post.hpp>
#include <future>
#include <utility>

namespace mimosagauge::testing {
namespace {

constexpr std::size_t kMailboxItems = 256;

}  // namespace

LinkTimings ShortLinkTimings() {
  LinkTimings timings;
  timings.greeting = std::chrono::milliseconds(600);
  timings.heartbeat = std::chrono::milliseconds(100);
  timings.silence = std::chrono::milliseconds(600);
  timings.first_backoff = std::chrono::milliseconds(10);
  timings.longest_backoff = std::chrono::milliseconds(100);
  return timings;
}

Settings LinkSettings(const std::string& instance, const std::string& region) {
  Settings settings;
  settings.instance = InstanceId{instance};
  settings.region = RegionId{region};
  settings.zone = ZoneId{region + "-1"};
  settings.peer = Endpoint{"127.0.0.1", 0};
  return settings;
}

PeerSettings PeerAt(const std::string& peer, std::uint16_t port) {
  PeerSettings settings;
  settings.id = InstanceId{peer};
  settings.peer = Endpoint{"127.0.0.1", port};
  return settings;
}

StartLinkAttempt LinkAttempt(std::uint64_t attempt, const std::string& instance,
                             std::string body, Bytes credit) {
  RequestHead head;
  head.id = RequestId{"00000000000000000000000000000001"};
  head.account = AccountId{"county-clubs"};
  head.method = "POST";
  head.target = "/orders?club=7";
  head.headers = {{"Content-Type", "text/plain"}};
  head.path = {{RegionId{"nairobi-a"}, "nairobi-a-1"}};
  head.revision = Revision{3};
  return {AttemptNumber{attempt},
          InstanceId{instance},
          std::make_shared<const RequestHead>(std::move(head)),
          std::make_shared<const std::string>(std::move(body)),
          std::chrono::seconds(30),
          credit};
}

LinkPeer::LinkPeer(Settings settings, const LinkTimings& timings)
    : settings_(std::move(settings)),
      work_(boost::asio::make_work_guard(io_)),
      decisions_work_(boost::asio::make_work_guard(decisions_io_)),
      mailbox_(io_, decisions_io_, kMailboxItems),
      duty_(std::make_unique<LinkDuty>(io_, settings_, mailbox_, timings)) {
  mailbox_.set_handler([this](Event&& event) {
    const std::lock_guard<std::mutex> lock(mutex_);
    events_.push_back(std::move(event));
  });
  thread_ = std::thread([this] { io_.run(); });
  decisions_thread_ = std::thread([this] { decisions_io_.run(); });
}

LinkPeer::~LinkPeer() {
  Call([](LinkDuty& duty) { duty.Stop(); });
  work_.reset();
  thread_.join();
  decisions_work_.reset();
  decisions_thread_.join();
}

Result<void> LinkPeer::Start() {
  Result<void> started = success();
  Call([&](LinkDuty& duty) { started = duty.Start(); });
  return started;
}

std::uint16_t LinkPeer::port() {
  std::uint16_t port = 0;
  Call([&](LinkDuty& duty) { port = duty.port(); });
  return port;
}

void LinkPeer::Do(LinkEffect effect) {
  boost::asio::post(io_, [this, effect = std::move(effect)]() mutable {
    duty_->Handle(std::move(effect));
  });
}

void LinkPeer::Call(const std::function<void(LinkDuty&)>& act) {
  std::promise<void> done;
  boost::asio::post(io_, [&] {
    act(*duty_);
    done.set_value();
  });
  done.get_future().wait();
}

void LinkPeer::Freeze() {
  freeze_.lock();
  boost::asio::post(
      io_, [this] { const std::lock_guard<std::mutex> held(freeze_); });
}

void LinkPeer::Thaw() { freeze_.unlock(); }

std::string LinkPeer::Body(std::uint64_t attempt) const {
  std::string body;
  for (const AttemptBodyReceived& part : All<AttemptBodyReceived>()) {
    if (part.attempt.value() == attempt) {
      body += part.data;
    }
  }
  return body;
}

bool LinkPeer::WaitUp(const std::string& instance) const {
  return Wait<LinkChanged>([&](const LinkChanged& change) {
           return change.instance.value() == instance && change.up;
         })
      .has_value();
}

}  // namespace mimosagauge::testing
