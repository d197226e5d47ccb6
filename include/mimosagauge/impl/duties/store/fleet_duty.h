// The duty that learns the world from the platform's store: the operators'
// configuration, upstreams, evacuations and other instances; and that keeps
// this instance's own registration there.

#ifndef MIMOSAGAUGE_IMPL_DUTIES_STORE_FLEET_DUTY_H_
#define MIMOSAGAUGE_IMPL_DUTIES_STORE_FLEET_DUTY_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "mimosagauge/impl/decisions/events.h"
#include "mimosagauge/impl/duties/common/mailbox.h"
#include "mimosagauge/impl/duties/store/fleet_dialect.h"
#include "mimosagauge/impl/settings/settings.h"
#include "mimosagauge/impl/store/store_client.h"

namespace mimosagauge {

/// \brief Times of the duty.
struct FleetTimes {
  /// A waiting call is held that long by the store. All watches may go silent
  /// at once, so with `answer` it is also how long that goes unnoticed.
  Duration wait = std::chrono::seconds(4);
  /// For the answer to a call beside that.
  Duration answer = std::chrono::seconds(1);
  /// Between an answer and the next call, so that changes come in batches.
  Duration batch = std::chrono::milliseconds(500);
  /// Between tries while the store does not answer.
  Duration retry = std::chrono::milliseconds(300);
  /// An outage this long may have let registrations of the living lapse.
  Duration outage = std::chrono::milliseconds(1500);
  /// After such an outage the living are back in the store within this.
  Duration return_time = std::chrono::milliseconds(2200);
};

/// \brief Keeps the decisions told of what the store holds.
///
/// All functions but the constructor run on the thread of `io_context`.
class FleetDuty {
 public:
  /// \param settings Outlives the duty.
  /// \param store How the store is spoken to.
  /// \param decisions Produced from `io_context`.
  FleetDuty(boost::asio::io_context& io_context, const Settings& settings,
            const StoreDialect& store, const FleetDialect& dialect,
            Mailbox<Event>& decisions, const FleetTimes& times = {});
  FleetDuty(const FleetDuty&) = delete;
  FleetDuty& operator=(const FleetDuty&) = delete;

  /// \brief Registers, reads and watches; also while the store is down.
  void Start();
  /// \brief Takes the registration back; watching goes on.
  void Leave();
  /// \brief Drops a waiting call that may be silent, and asks again.
  void Reopen();
  void Stop();

 private:
  using Clock = std::chrono::steady_clock;

  // Registration.
  void Register();
  void PutRegistration(LeaseId lease);
  void ScheduleRenewal(Duration pause, bool again);
  void Renew();
  [[nodiscard]] std::string OwnKey() const;
  [[nodiscard]] std::string OwnEntry() const;

  // Reading and watching.
  void ReadAll();
  void ReadPrefix(std::size_t prefix, std::string after);
  void TakePage(std::size_t prefix, const StoreRead& page);
  void FinishReading();
  void Poll();
  void TakeUpdate(const StoreWatchUpdate& update);
  void NoteSeen(StoreRevision revision);
  void PauseThen(Duration pause, void (FleetDuty::*next)());

  // What the store says.
  void Deliver(const StoreEntry& entry);
  void DeliverUpstream(const StoreEntry& entry, std::string_view id);
  void DeliverInstance(const StoreEntry& entry, std::string_view id);
  void DeliverConfiguration(const StoreEntry& entry);
  void NoteMissing(const std::string& key);
  void Remove(const std::string& key);
  void CheckMissing();
  [[nodiscard]] bool IsOfRegion(const ZoneId& zone) const;
  void NoteContact(bool reached, const std::string& detail);

  const Settings& settings_;
  const FleetDialect& dialect_;
  Mailbox<Event>& decisions_;
  FleetTimes times_;
  std::string instances_prefix_;
  std::vector<std::string> prefixes_;   // All that is read.
  std::shared_ptr<StoreClient> store_;  // Null while stopped.
  boost::asio::steady_timer watch_timer_;
  boost::asio::steady_timer renewal_timer_;
  boost::asio::steady_timer missing_timer_;
  LeaseId lease_;  // Of the registration; zero: none.
  bool leaving_ = false;
  std::uint64_t poll_ = 0;  // Tells an answer to a dropped call apart.
  StoreRevision seen_;      // The watch has told everything up to this.
  /// Entries told to the decisions, by key, with their revision.
  std::unordered_map<std::string, StoreRevision> known_;
  /// Found by the reading that is under way.
  std::unordered_map<std::string, StoreEntry> reading_;
  StoreRevision reading_from_;
  /// Entries that were missing after an outage, and until when they may
  /// come back.
  std::unordered_map<std::string, Clock::time_point> missing_;
  bool reachable_ = true;         // As last logged.
  Clock::time_point contact_at_;  // Last answer of any kind.
  Clock::time_point outage_ended_at_;
};

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DUTIES_STORE_FLEET_DUTY_H_
