// What the duty that keeps the registration tells about it for the selection of
// lenders.

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>
#include <mutex>
#include <thread>

#include "mimosagauge/impl/decisions/allowance/seniority.h"
#include "mimosagauge/impl/duties/common/monotonic_clock.h"
#include "mimosagauge/impl/duties/store/fleet_duty.h"
#include "platform/adapter.h"
#include "tests/support/platform_store.h"
#include "tests/support/wait.h"

namespace mimosagauge {
namespace {

using std::chrono::milliseconds;
using testing::PlatformStore;
using testing::WaitUntil;

constexpr Duration kSession = milliseconds(1200);
constexpr const char* kOwnKey = "mimosagauge/instances/front-1";
constexpr const char* kOtherKey = "mimosagauge/instances/front-0";
constexpr const char* kEntry =
    R"({"region":"nairobi","zone":"nairobi-a","entry":"127.0.0.1:1",
        "link":"127.0.0.1:2"})";

// The duty on a thread of its own, and the facts that it has posted.
class Registered {
 public:
  explicit Registered(const PlatformStore& store)
      : settings_(MakeSettings(store)),
        work_(boost::asio::make_work_guard(io_context_)),
        mailbox_(io_context_, io_context_, 64),
        duty_(io_context_, settings_, platform::Store(), platform::Fleet(),
              mailbox_) {
    mailbox_.set_handler([this](Event&& event) { Record(event); });
    boost::asio::post(io_context_, [this] { duty_.Start(); });
    thread_ = std::thread([this] { io_context_.run(); });
  }
  ~Registered() {
    boost::asio::post(io_context_, [this] {
      duty_.Stop();
      work_.reset();
    });
    thread_.join();
  }
  Registered(const Registered&) = delete;
  Registered& operator=(const Registered&) = delete;

  [[nodiscard]] bool Lends() {
    const std::lock_guard lock(mutex_);
    const auto until = LendsUntil(facts_, InstanceId{"front-1"}, kSession);
    return until && MonotonicNow() < *until;
  }
  [[nodiscard]] SeniorityFacts Facts() {
    const std::lock_guard lock(mutex_);
    return facts_;
  }

 private:
  [[nodiscard]] static Settings MakeSettings(const PlatformStore& store) {
    Settings settings;
    settings.instance = InstanceId{"front-1"};
    settings.region = RegionId{"nairobi"};
    settings.zone = ZoneId{"nairobi-a"};
    settings.regions = {{RegionId{"nairobi"}, {ZoneId{"nairobi-a"}}}};
    settings.store = {store.endpoint()};
    settings.session = kSession;
    settings.allowances.emplace();
    return settings;
  }
  void Record(const Event& event) {
    const std::lock_guard lock(mutex_);
    if (const auto* received = std::get_if<RegistrationsReceived>(&event)) {
      facts_.registrations = received->table;
    } else if (const auto* renewed = std::get_if<LeaseRenewed>(&event)) {
      facts_.lease = renewed->lease;
      facts_.lease_end = renewed->end;
    }
  }

  Settings settings_;
  boost::asio::io_context io_context_{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_;
  Mailbox<Event> mailbox_;
  FleetDuty duty_;
  std::mutex mutex_;
  SeniorityFacts facts_;
  std::thread thread_;
};

// Guards against a lender that does not see an older instance, or does not
// notice that it has gone.
TEST_CASE("an instance lends when the older ones of its region are gone") {
  PlatformStore store;
  store.Put(kOtherKey, kEntry);
  Registered instance(store);
  REQUIRE(WaitUntil([&] {
    return instance.Facts().registrations.list.size() == 2 &&
           instance.Facts().lease != 0;
  }));
  CHECK_FALSE(instance.Lends());
  store.Remove(kOtherKey);
  CHECK(WaitUntil([&] { return instance.Lends(); }));
}

// Guards against a process that takes the seniority of an earlier one whose
// lease may still run, and against an entry that keeps all others from lending.
TEST_CASE("an entry of an earlier process gives way to a new one") {
  PlatformStore store;
  store.Put(kOwnKey, kEntry);
  Registered instance(store);
  const TimePoint start = MonotonicNow();
  REQUIRE(WaitUntil([&] {
    const SeniorityFacts facts = instance.Facts();
    return facts.lease != 0 &&
           facts.lease == facts.registrations.own_entry_lease;
  }));
  CHECK_FALSE(instance.Lends());
  CHECK(WaitUntil([&] { return instance.Lends(); }));
  CHECK(MonotonicNow() - start >= kSession);
}

// Guards against an instance that goes on lending without the store.
TEST_CASE("an instance ceases to lend when its lease is not renewed") {
  PlatformStore store;
  Registered instance(store);
  REQUIRE(WaitUntil([&] { return instance.Lends(); }));
  store.SetDown(true);
  const TimePoint down = MonotonicNow();
  CHECK(WaitUntil([&] { return !instance.Lends(); }));
  CHECK(MonotonicNow() - down <= kSession);
  store.SetDown(false);
  CHECK(WaitUntil([&] { return instance.Lends(); }));
}

}  // namespace
}  // namespace mimosagauge
