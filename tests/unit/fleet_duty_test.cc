// What the duty that learns the world from the store holds itself to.

#include "mimosagauge/impl/duties/store/fleet_duty.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "mimosagauge/impl/duties/common/monotonic_clock.h"
#include "mimosagauge/impl/settings/settings.h"
#include "platform/adapter.h"
#include "tests/support/platform_store.h"
#include "tests/support/wait.h"

namespace mimosagauge {
namespace {

using std::chrono::milliseconds;
using testing::PlatformStore;
using testing::WaitUntil;

constexpr const char* kEvacuationKey = "op/evacuate/nairobi-a";
constexpr const char* kUpstreamKey = "servers/i-1";

// The duty on a thread of its own, and what it has posted.
class RunningFleetDuty {
 public:
  explicit RunningFleetDuty(PlatformStore& store,
                            std::optional<Duration> strict = {})
      : settings_(MakeSettings(store, strict)),
        work_(boost::asio::make_work_guard(io_context_)),
        mailbox_(io_context_, io_context_, kMailboxCapacity),
        duty_(io_context_, settings_, platform::Store(), platform::Fleet(),
              mailbox_) {
    mailbox_.set_handler([this](Event&& event) { Record(event); });
    OnThread([this] { duty_.Start(); });
    thread_ = std::thread([this] { io_context_.run(); });
  }
  ~RunningFleetDuty() {
    OnThread([this] {
      duty_.Stop();
      work_.reset();
    });
    thread_.join();
  }
  RunningFleetDuty(const RunningFleetDuty&) = delete;
  RunningFleetDuty& operator=(const RunningFleetDuty&) = delete;

  void Reopen() {
    OnThread([this] { duty_.Reopen(); });
  }
  void Leave() {
    OnThread([this] { duty_.Leave(); });
  }
  /// \returns The upstreams and evacuations that are known now, by key.
  [[nodiscard]] std::set<std::string> Known() {
    const std::lock_guard lock(mutex_);
    return known_;
  }
  /// \returns The number of entries that were ever reported as removed.
  [[nodiscard]] std::size_t removals() {
    const std::lock_guard lock(mutex_);
    return removals_;
  }
  /// \returns The versions of the configurations received, in order.
  [[nodiscard]] std::vector<std::uint64_t> Versions() {
    const std::lock_guard lock(mutex_);
    return versions_;
  }
  /// \returns Until when all changes are reported to have been received.
  [[nodiscard]] TimePoint caught_up_to() {
    const std::lock_guard lock(mutex_);
    return caught_up_to_;
  }
  /// \returns The number of reads of the whole store.
  [[nodiscard]] std::size_t rereads() {
    const std::lock_guard lock(mutex_);
    return rereads_;
  }
  /// \returns The number of times that the configuration was confirmed.
  [[nodiscard]] std::size_t confirmations() {
    const std::lock_guard lock(mutex_);
    return confirmations_;
  }

 private:
  static constexpr std::size_t kMailboxCapacity = 64;

  [[nodiscard]] static Settings MakeSettings(const PlatformStore& store,
                                             std::optional<Duration> strict) {
    Settings settings;
    settings.revocation.strict = strict;
    settings.instance = InstanceId{"front-1"};
    settings.region = RegionId{"nairobi"};
    settings.zone = ZoneId{"nairobi-a"};
    settings.regions = {{RegionId{"nairobi"}, {ZoneId{"nairobi-a"}}}};
    settings.store = {store.endpoint()};
    settings.store_prefix = "/mimosagauge/";
    settings.session = std::chrono::seconds(4);
    return settings;
  }

  template <typename Function>
  void OnThread(Function function) {
    boost::asio::post(io_context_, std::move(function));
  }

  void Record(const Event& event) {
    const std::lock_guard lock(mutex_);
    if (const auto* updated = std::get_if<UpstreamUpdated>(&event)) {
      known_.insert("servers/" + updated->record.config.id.value());
    } else if (const auto* removed = std::get_if<UpstreamRemoved>(&event)) {
      Forget("servers/" + removed->id.value());
    } else if (std::holds_alternative<ConfigurationConfirmed>(event)) {
      ++confirmations_;
    } else if (const auto* caught_up = std::get_if<StoreCaughtUp>(&event)) {
      caught_up_to_ = caught_up->as_of;
    } else if (std::holds_alternative<StoreReread>(event)) {
      ++rereads_;
    } else if (const auto* received = std::get_if<CatalogueReceived>(&event)) {
      versions_.push_back(received->catalogue->revision.value());
    } else if (const auto* evacuated = std::get_if<ZoneEvacuated>(&event)) {
      const std::string key = "op/evacuate/" + evacuated->zone.value();
      if (evacuated->on) {
        known_.insert(key);
      } else {
        Forget(key);
      }
    }
  }

  void Forget(const std::string& key) {
    ++removals_;
    known_.erase(key);
  }

  Settings settings_;
  boost::asio::io_context io_context_{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_;
  Mailbox<Event> mailbox_;
  FleetDuty duty_;
  std::mutex mutex_;
  std::set<std::string> known_;
  std::size_t removals_ = 0;
  std::size_t confirmations_ = 0;
  std::size_t rereads_ = 0;
  TimePoint caught_up_to_{};
  std::vector<std::uint64_t> versions_;
  std::thread thread_;
};

void PutWorld(PlatformStore& store) {
  store.Put(kEvacuationKey, "{}");
  store.Put(kUpstreamKey,
            R"({"service":"s","addr":"127.0.0.1:9","zone":"nairobi-a",
                "slots":4,"state":"ready","coldLeftMs":0,"seq":1})");
}

// Guards against: an instance that stops while it registers stays registered
// until its lease expires.
TEST_CASE("an instance that stops while it registers is not registered") {
  // The registration is a call for the lease and one that writes the entry.
  const std::string call = GENERATE("kv-lease", "kv-txn");
  CAPTURE(call);
  PlatformStore store;
  PutWorld(store);
  store.SetDelay(milliseconds(150));
  RunningFleetDuty duty(store);
  REQUIRE(WaitUntil([&] { return store.CallCount(call) == 1; }));
  duty.Leave();
  store.SetDelay(milliseconds(0));
  REQUIRE(WaitUntil([&] {
    return call == "kv-lease" || store.CallCount("kv-lease-end") == 1;
  }));
  REQUIRE(WaitUntil([&] { return duty.Known().size() == 2; }));
  CHECK_FALSE(store.Contains("mimosagauge/instances/front-1"));
}

// Guards against an evacuation, or all upstreams, being forgotten when the
// store is to be read anew and the watch is reopened during that read.
TEST_CASE("reopening the watch during a read of the store forgets nothing") {
  PlatformStore store;
  PutWorld(store);
  RunningFleetDuty duty(store);
  REQUIRE(WaitUntil([&] { return duty.Known().size() == 2; }));
  // The poll in progress stalls; what it missed is no longer in the history.
  const std::uint64_t polls = store.CallCount("kv-watch");
  REQUIRE(WaitUntil([&] { return store.CallCount("kv-watch") >= 1; }));
  store.SilenceOpenConnections();
  store.Put("op/config", "{}");
  store.Compact();
  store.SetDelay(milliseconds(150));
  const std::uint64_t reads = store.CallCount("kv-range");
  duty.Reopen();
  // Reopen at each step of the read: it has three prefixes.
  const std::uint64_t step = GENERATE(1u, 2u, 3u);
  REQUIRE(
      WaitUntil([&] { return store.CallCount("kv-range") >= reads + step; }));
  duty.Reopen();
  REQUIRE(WaitUntil([&] { return store.CallCount("kv-watch") >= polls + 3; }));
  CHECK(duty.removals() == 0);
  CHECK(duty.Known() == std::set<std::string>{kEvacuationKey, kUpstreamKey});
  // The watch goes on after the read.
  store.SetDelay(milliseconds(0));
  store.Remove(kEvacuationKey);
  CHECK(WaitUntil([&] { return duty.Known().size() == 1; }));
}

// Guards against: a decision that relies on the store's present content but is
// made before a change that the store has acknowledged is received (review/7),
// and a gap in the history that is not reported.
TEST_CASE("a reopened watch reports that all changes were received") {
  const bool compacted = GENERATE(false, true);
  CAPTURE(compacted);
  PlatformStore store;
  PutWorld(store);
  RunningFleetDuty duty(store);
  REQUIRE(WaitUntil([&] { return store.CallCount("kv-watch") >= 1; }));
  CHECK(duty.rereads() == 1);
  // The poll in progress stalls.
  store.SilenceOpenConnections();
  store.Put("servers/i-2",
            R"({"service":"s","addr":"127.0.0.1:9","zone":"nairobi-a",
                "slots":4,"state":"ready","coldLeftMs":0,"seq":1})");
  if (compacted) {
    store.Compact();
  }
  const TimePoint reopened = MonotonicNow();
  CHECK(duty.caught_up_to() < reopened);
  duty.Reopen();
  REQUIRE(WaitUntil([&] { return duty.caught_up_to() >= reopened; }));
  CHECK(duty.Known().count("servers/i-2") == 1);
  CHECK(duty.rereads() == (compacted ? 2 : 1));
}

// Guards against: polls that are held so long that keys are refused, and
// confirmations, or more calls of the store, where revocation is not strict.
TEST_CASE("answered calls confirm the configuration where that is strict") {
  const bool strict = GENERATE(true, false);
  PlatformStore store;
  store.Put("op/config", R"({"version":1})");
  RunningFleetDuty duty(
      store,
      strict ? std::optional<Duration>(std::chrono::seconds(5)) : std::nullopt);
  REQUIRE(WaitUntil([&] { return store.CallCount("kv-watch") >= 2; }));
  // Nothing is confirmed for a while after the start.
  REQUIRE((!strict || WaitUntil([&] { return duty.confirmations() > 0; })));
  const std::size_t confirmed_before = duty.confirmations();
  const std::uint64_t polls = store.CallCount("kv-watch");
  std::this_thread::sleep_for(milliseconds(4000));
  const std::uint64_t later = store.CallCount("kv-watch");
  CHECK(later >= polls + 2);
  CHECK(later <= polls + 4);
  CHECK((duty.confirmations() >= confirmed_before + 2) == strict);
  CHECK((duty.confirmations() == 0) == !strict);
  // None without an answer.
  store.SetDown(true);
  REQUIRE(WaitUntil([&] { return store.CallCount("kv-watch") > later + 1; }));
  const std::size_t confirmed = duty.confirmations();
  std::this_thread::sleep_for(milliseconds(1000));
  CHECK(duty.confirmations() == confirmed);
}

// Guards against: a configuration that is served for longer than its bound
// because the sum of the times until a silent watch is noticed exceeds it. The
// terms are those of docs/design/016-sources-of-facts.md.
TEST_CASE("detection, reconnect and read sum to less than the bound") {
  constexpr Duration kBound = std::chrono::seconds(3);
  // A new connection to the store in another region, and an answer on it.
  constexpr Duration kConnectAndRead = 2 * milliseconds(110);
  constexpr Duration kMargin = milliseconds(500);
  const FleetDutyTimings times;
  const Duration detection = times.wait + times.overdue;
  const Duration second_attempt = times.overdue + kConnectAndRead;
  CHECK(detection + second_attempt + kMargin < kBound);
}

// Guards against: a change that is received too late because the connections to
// the store go silent, together or one after the other.
TEST_CASE("a change is received in time although connections go silent") {
  constexpr Duration kBound = std::chrono::seconds(3);
  const int silences = GENERATE(1, 2);
  CAPTURE(silences);
  PlatformStore store;
  PutWorld(store);
  RunningFleetDuty duty(store);
  REQUIRE(WaitUntil([&] { return duty.Known().size() == 2; }));
  // The poll that has just begun is held for the longest time.
  const std::uint64_t polls = store.CallCount("kv-watch");
  REQUIRE(WaitUntil([&] { return store.CallCount("kv-watch") > polls; }));
  store.SetDelay(milliseconds(110));
  const auto silent_at = std::chrono::steady_clock::now();
  store.SilenceOpenConnections();
  store.Remove(kEvacuationKey);
  if (silences == 2) {
    // The repeated poll is silenced too.
    const std::uint64_t first = store.CallCount("kv-watch");
    REQUIRE(WaitUntil([&] { return store.CallCount("kv-watch") > first; }));
    store.SilenceOpenConnections();
  }
  REQUIRE(WaitUntil([&] { return duty.Known().size() == 1; }));
  CHECK(std::chrono::steady_clock::now() - silent_at < kBound);
}

// Guards against: answers of a store that is slower than the time after which a
// poll is repeated are never used.
TEST_CASE("changes of a slow store are received") {
  PlatformStore store;
  PutWorld(store);
  store.SetDelay(milliseconds(600));
  RunningFleetDuty duty(store);
  REQUIRE(WaitUntil([&] { return duty.Known().size() == 2; }));
  store.Remove(kEvacuationKey);
  CHECK(WaitUntil([&] { return duty.Known().size() == 1; }));
}

// What a case writes to the store between the copy and its restoration; the
// number of writes decides how far revisions go back.
void WriteVersions(PlatformStore& store, std::uint64_t from, std::uint64_t to) {
  for (std::uint64_t version = from; version <= to; ++version) {
    store.Put("op/config", "{\"version\":" + std::to_string(version) + "}");
  }
}

// Guards against: a configuration, an evacuation or an upstream that is written
// after a restoration and never received, because its revision had been given
// out before; and a read of the whole store that is repeated without a pause.
TEST_CASE("entries written after the store was restored are received") {
  // Versions written before the copy, lost with the restoration, and written
  // anew; with more of the last the revisions pass those seen before.
  const auto [lost, anew] =
      GENERATE(table<std::uint64_t, std::uint64_t>({{1, 1}, {6, 2}, {2, 9}}));
  CAPTURE(lost, anew);
  PlatformStore store;
  PutWorld(store);
  WriteVersions(store, 1, 1);
  store.TakeCopy();
  RunningFleetDuty duty(store);
  REQUIRE(WaitUntil([&] { return duty.Known().size() == 2; }));
  WriteVersions(store, 2, 1 + lost);
  const auto newest = [&duty] {
    const auto versions = duty.Versions();
    return versions.empty() ? std::uint64_t{0} : versions.back();
  };
  const auto lost_version = 1 + lost;
  REQUIRE(WaitUntil([&] { return newest() == lost_version; }));
  const std::uint64_t reads = store.CallCount("kv-range");
  store.RestoreCopy();
  WriteVersions(store, 2, 1 + lost + anew);
  store.Remove(kEvacuationKey);
  const auto last_version = 1 + lost + anew;
  CHECK(WaitUntil([&] { return newest() == last_version; }));
  store.Put("servers/i-2",
            R"({"service":"s","addr":"127.0.0.1:9","zone":"nairobi-a",
                "slots":4,"state":"ready","coldLeftMs":0,"seq":1})");
  CHECK(WaitUntil([&] {
    return duty.Known() == std::set<std::string>{kUpstreamKey, "servers/i-2"};
  }));
  // One read of the whole store has three calls.
  std::this_thread::sleep_for(milliseconds(1500));
  CHECK(store.CallCount("kv-range") <= reads + 6);
}

// Guards against: a registration that is lost with the restoration, so that no
// other instance that starts learns of this one.
TEST_CASE("an instance registers again after the store was restored") {
  PlatformStore store;
  PutWorld(store);
  store.TakeCopy();
  RunningFleetDuty duty(store);
  const auto registered = [&store] {
    return store.Contains("mimosagauge/instances/front-1");
  };
  REQUIRE(WaitUntil(registered));
  store.RestoreCopy();
  REQUIRE_FALSE(registered());
  CHECK(WaitUntil(registered));
}

// Guards against: an instance that starts just after the store was restored
// confirms the older configuration of the copy, so that a key which the lost
// version had revoked is accepted.
TEST_CASE("an instance that starts confirms no copy of the store") {
  PlatformStore store;
  PutWorld(store);
  WriteVersions(store, 1, 1);
  store.TakeCopy();
  WriteVersions(store, 2, 2);
  store.RestoreCopy();
  RunningFleetDuty duty(store, std::chrono::seconds(5));
  REQUIRE(WaitUntil([&] { return !duty.Versions().empty(); }));
  // The operators write again within 2 s of the store's return.
  std::this_thread::sleep_for(milliseconds(2000));
  CHECK(duty.confirmations() == 0);
  WriteVersions(store, 2, 2);
  CHECK(WaitUntil([&] { return duty.confirmations() > 0; }));
  CHECK(duty.Versions().back() == 2);
}

// Guards against: what was known before a restoration is reverted by the copy,
// although it is written again shortly afterwards.
TEST_CASE("a restored copy does not revert what was known") {
  PlatformStore store;
  PutWorld(store);
  store.TakeCopy();
  store.Put("op/evacuate/nairobi-b", "{}");
  RunningFleetDuty duty(store);
  REQUIRE(WaitUntil([&] { return duty.Known().size() == 3; }));
  store.RestoreCopy();
  std::this_thread::sleep_for(milliseconds(1500));
  store.Put("op/evacuate/nairobi-b", "{}");
  std::this_thread::sleep_for(milliseconds(3000));
  CHECK(duty.removals() == 0);
  CHECK(duty.Known().size() == 3);
  store.Remove("op/evacuate/nairobi-b");
  CHECK(WaitUntil([&] { return duty.Known().size() == 2; }));
}

}  // namespace
}  // namespace mimosagauge
