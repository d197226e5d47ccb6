// The duty that reads and watches the platform's store for the operators'
// configuration, upstreams, evacuations and other instances, and that maintains
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

/// \brief Time limits and intervals of the fleet duty.
struct FleetDutyTimings {
  /// How long the store holds a poll without changes. A connection that goes
  /// silent goes undetected for this time plus `overdue`. The times are chosen
  /// so that a change is received within 3 s although two connections go silent
  /// one after the other; docs/design/016-sources-of-facts.md has the sum.
  Duration wait = std::chrono::milliseconds(1500);
  /// A poll whose answer takes this much longer than it was held is repeated on
  /// a new connection. The first of the answers is used, so that a slow store
  /// is waited for.
  Duration overdue = std::chrono::milliseconds(300);
  /// Time limit for the answer to a call, in addition to `wait` for a poll.
  Duration answer = std::chrono::seconds(1);
  /// Delay between a poll's answer with changes and the next poll, so that
  /// changes arrive in batches.
  Duration batch = std::chrono::milliseconds(500);
  /// Delay before the next attempt after a call that failed.
  Duration retry = std::chrono::milliseconds(300);
  /// During an outage longer than this, registrations of running instances and
  /// upstreams may have expired.
  Duration outage = std::chrono::milliseconds(1500);
  /// Running instances and upstreams have registered again within this time
  /// after such an outage.
  Duration return_grace = std::chrono::milliseconds(2200);
};

/// \returns How long the store may hold a poll under strict revocation, so that
/// the polls alone keep the age of the confirmation below its limit when one of
/// them is lost. The sum is in docs/design/011-accounts.md.
/// \param strict The time within which a revoked key must be refused.
[[nodiscard]] Duration PollWaitFor(Duration strict,
                                   const FleetDutyTimings& times) noexcept;

/// \brief Posts the store's entries and their changes to the decisions.
///
/// All functions except the constructor run on the thread of `io_context`.
class FleetDuty {
 public:
  /// \param settings Must outlive the duty.
  /// \param store Protocol of the store's HTTP calls.
  /// \param dialect Keys and value formats of the store's entries. Must outlive
  /// the duty.
  /// \param decisions Mailbox for the changes. The thread of `io_context` posts
  /// to it.
  FleetDuty(boost::asio::io_context& io_context, const Settings& settings,
            const StoreDialect& store, const FleetDialect& dialect,
            Mailbox<Event>& decisions, const FleetDutyTimings& times = {});
  FleetDuty(const FleetDuty&) = delete;
  FleetDuty& operator=(const FleetDuty&) = delete;

  /// \brief Starts to register, read and watch. Failed calls are retried while
  /// the store is unavailable.
  void Start();
  /// \brief Revokes this instance's registration. The store is still watched.
  void Leave();
  /// \brief Ignores the poll in progress, which may have stalled, and polls on
  /// a new connection, without a pause until no change is left. Has no effect
  /// while the whole store is being read.
  void Reopen();
  /// \brief Ends all calls and timers.
  void Stop();

 private:
  using Clock = std::chrono::steady_clock;

  // What a read of the whole store has found so far.
  struct FullRead {
    std::unordered_map<std::string, StoreEntry> entries;  // By key.
    // Store revision of the first page; zero: no page arrived yet.
    StoreRevision start_revision;
    TimePoint started_at{};
  };

  // Registration.
  void Register();
  void WriteRegistration(LeaseId lease);
  void ScheduleRenewal(Duration delay, bool register_again);
  void RenewLease();
  void RevokeRegistration();
  void AddReplacementTimer();
  void ReplaceRegistration();
  void RecordLease(LeaseId lease, TimePoint sent, Duration lifetime);
  [[nodiscard]] std::string RegistrationKey() const;
  [[nodiscard]] std::string RegistrationValue() const;

  // Reads and polls of the store.
  void ReadAll();
  void ReadPrefix(const std::shared_ptr<FullRead>& read,
                  std::size_t prefix_index, std::string after_key);
  void HandlePage(const std::shared_ptr<FullRead>& read,
                  std::size_t prefix_index, const StoreReadResult& page);
  void ApplyFullRead(const FullRead& read);
  void Poll();
  void StartPolls(Duration wait);
  void SendPoll(Duration wait);
  void RepeatOverduePoll();
  void IgnorePolls();
  void HandlePollAnswer(Result<StoreWatchUpdate>&& update, TimePoint sent_at);
  void HandlePollUpdate(const StoreWatchUpdate& update, TimePoint sent_at);
  // Reports that the configuration posted last was the newest one at `as_of`.
  // What the store contained at `read_at` has been received.
  void PostConfirmation(TimePoint as_of, TimePoint read_at);
  void AdvanceSeenRevision(StoreRevision revision);
  // Handles that the store was restored from an earlier copy.
  void HandleRestoration(StoreEra era);
  [[nodiscard]] bool WasRestoredWithin(Duration time) const;
  // Whether what was read at `read_at` may lack entries that a restoration lost
  // and that their writers have not written again yet.
  [[nodiscard]] bool MayLackEntries(TimePoint read_at) const;
  void RunAfter(Duration delay, void (FleetDuty::*next_step)());

  // Entries and their changes.
  void PostEntry(const StoreEntry& entry);
  void PostUpstream(const StoreEntry& entry, std::string_view id);
  void PostInstance(const StoreEntry& entry, std::string_view id);
  void PostConfiguration(const StoreEntry& entry);
  void RemoveOrDefer(const std::string& key);
  void RemoveEntry(const std::string& key);
  void RemoveExpiredMissing();
  void UpdateRegistration(const std::string& key, const StoreEntry* entry);
  void PostRegistrations();
  [[nodiscard]] bool IsInOwnRegion(const ZoneId& zone) const;
  void RecordCallResult(bool answered, const std::string& detail);

  const Settings& settings_;
  const FleetDialect& dialect_;
  Mailbox<Event>& decisions_;
  FleetDutyTimings times_;
  std::string instances_prefix_;
  // Prefixes of all keys that are read.
  std::vector<std::string> prefixes_;
  std::shared_ptr<StoreClient> store_;  // Null while stopped.
  boost::asio::steady_timer watch_timer_;
  boost::asio::steady_timer overdue_timer_;
  boost::asio::steady_timer renewal_timer_;
  boost::asio::steady_timer missing_timer_;
  boost::asio::steady_timer replacement_timer_;
  // Lease of the registration; zero: not registered.
  LeaseId lease_;
  // Number of the newest call for a lease. Leases of earlier calls are not used
  // and expire.
  std::uint64_t registration_number_ = 0;
  // The registrations of all instances by key, as the store has them; only
  // maintained where allowances are enforced.
  std::unordered_map<std::string, Registration> registrations_;
  // Lease of this instance's entry in the store; zero: there is none.
  LeaseId own_entry_lease_;
  bool registrations_changed_ = false;  // Since they were last posted.
  // `Leave` was called, so this instance does not register again.
  bool leaving_ = false;
  // Number of the newest poll.
  std::uint64_t poll_number_ = 0;
  // Polls that still follow without a pause after the watch was reopened.
  int prompt_polls_left_ = 0;
  // Answers to polls with a lower number are ignored.
  std::uint64_t oldest_poll_ = 1;
  // Polls from `oldest_poll_` on that are not answered; at most
  // `kMaxParallelPolls`.
  std::size_t polls_in_progress_ = 0;
  // When the last restoration was noticed; empty: there was none.
  std::optional<TimePoint> restored_at_;
  // When this process began its first complete read, of a store that states an
  // era; empty: there was none. The store may have been restored just before.
  std::optional<TimePoint> first_read_at_;
  // The store was restored after it had been read, and has not been read as a
  // whole since.
  bool unread_since_restoration_ = false;
  // `own_entry_lease_` as it was before the last restoration.
  LeaseId entry_lease_before_restoration_;
  // All changes up to this store revision have been processed.
  StoreRevision seen_revision_;
  /// Revisions of the entries processed, by key; zero: processed before the
  /// last restoration of the store.
  std::unordered_map<std::string, StoreRevision> posted_revisions_;
  // Version of the configuration that was posted last; zero: none.
  Revision configuration_version_;
  // The read of the whole store in progress, or to be started again after a
  // failed call; null: none. Answers to calls of an earlier read are ignored.
  std::shared_ptr<FullRead> read_;
  /// Keys of entries that were missing after an outage, and the time at which
  /// they are removed unless they are registered again before.
  std::unordered_map<std::string, Clock::time_point> missing_until_;
  // Whether the store was reachable according to the last log line.
  bool logged_reachable_ = true;
  // Time of the last successful call.
  Clock::time_point last_answer_at_;
  // End of the last outage longer than the threshold; zero: none so far.
  Clock::time_point outage_ended_at_;
};

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DUTIES_STORE_FLEET_DUTY_H_
