// The duty on the store thread that accesses the platform's key-value service:
// it reads the rules in force, and executes the operators' edits of them.

#ifndef MIMOSAGAUGE_IMPL_DUTIES_STORE_DUTY_H_
#define MIMOSAGAUGE_IMPL_DUTIES_STORE_DUTY_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <deque>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "mimosagauge/impl/decisions/effects.h"
#include "mimosagauge/impl/decisions/events.h"
#include "mimosagauge/impl/duties/common/mailbox.h"
#include "mimosagauge/impl/duties/store/messages.h"
#include "mimosagauge/impl/settings/settings.h"
#include "mimosagauge/impl/store/rules_record.h"
#include "mimosagauge/impl/store/store_client.h"

namespace mimosagauge {

/// \brief Time limits and size limits of the platform duty.
struct PlatformDutyOptions {
  /// Settings of the store client. The duty itself sets the endpoints and the
  /// seed.
  StoreClientSettings store;
  /// Longest interval between two reads of the rules key. The key is also read
  /// while the watch reports no change, because the watch may have stalled.
  Duration reread = std::chrono::seconds(10);
  /// The watch is reconnected when a read has returned a change that the watch
  /// has not reported within this time.
  Duration max_watch_lag = std::chrono::seconds(2);
  /// Time limit of one edit, including its retries.
  Duration edit_timeout = std::chrono::seconds(20);
  /// Most edits that are queued or in progress; further ones are refused.
  std::size_t max_pending_edits = 32;
};

/// \brief Posts the rules in the store to the decisions whenever they change.
///
/// Rules are posted only when their revision is greater than that of all rules
/// posted before. All functions except the constructor run on the thread of
/// `io_context`.
class PlatformDuty {
 public:
  /// \param decisions Mailbox for `RulesReceived` and `ClaimStoreAnswered`. The
  /// thread of `io_context` posts to it.
  /// \param replies Mailbox for the outcomes of edits. The thread of
  /// `io_context` posts to it.
  PlatformDuty(boost::asio::io_context& io_context, const Settings& settings,
               Mailbox<Event>& decisions, Mailbox<RulesEditReply>& replies,
               const PlatformDutyOptions& options = {});
  PlatformDuty(const PlatformDuty&) = delete;
  PlatformDuty& operator=(const PlatformDuty&) = delete;

  /// \brief Starts to read and watch the rules. Reads are retried while the
  /// store is unavailable.
  void Start();
  /// \brief Ends all calls and watches. No outcome is posted for edits that are
  /// queued or in progress.
  void Stop();
  /// \brief Queues an edit, which is executed after those queued before it.
  /// The outcome is `kOverloaded` when the queue is full or the duty stopped.
  void Handle(RulesEditCommand&& command);
  /// \brief Reads or writes claims, and posts one `ClaimStoreAnswered` with the
  /// result.
  void Handle(StoreEffect&& effect);

 private:
  void ReadHead();
  void HandleHeadRead(Result<StoreReadResult>&& read);
  void ScheduleRead(bool failed);
  void StartWatch(StoreRevision from);
  void HandleWatchUpdate(const StoreWatchUpdate& update);
  void ExpectWatchUpdate(StoreRevision modified);
  void ApplyHead(const StoreEntry& entry);
  void ReadRulesText(Revision revision);
  void PostRules(Revision revision, const std::string& text);
  void HandleHeadRemoved();
  void LogReachability(bool reachable, const std::string& detail);
  void ReadClaimSlot(const LoadSlot& load);
  void WriteClaimSlot(const CommitClaims& commit);
  void PostClaimResult(StoreEvent answer);
  void StartFirstEdit();
  void FinishFirstEdit(std::uint64_t number, RulesOutcome&& outcome);

  boost::asio::io_context& io_context_;
  std::string prefix_;
  PlatformDutyOptions options_;
  Mailbox<Event>& decisions_;
  Mailbox<RulesEditReply>& replies_;
  std::minstd_rand random_;
  boost::asio::steady_timer reread_timer_;
  boost::asio::steady_timer watch_check_timer_;
  std::shared_ptr<StoreClient> store_;  // Null while stopped.
  std::optional<StoreWatch> watch_;
  // Revision of the rules posted last; zero: none were posted.
  Revision posted_revision_;
  // The watch has reported all changes of the rules key up to this revision.
  StoreRevision watched_revision_;
  // `watch_check_timer_` runs because a read returned a change that the watch
  // has not reported yet.
  bool watch_check_pending_ = false;
  // Store revision of the rules key's value that was processed last.
  StoreRevision head_modified_;
  // The rules key does not exist.
  bool head_removed_ = false;
  // Whether the store was reachable according to the last log line.
  bool logged_reachable_ = true;
  // A read of the rules key is in progress.
  bool head_read_pending_ = false;
  // The first edit is in progress; the others are queued.
  std::deque<RulesEditCommand> edits_;
};

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DUTIES_STORE_DUTY_H_
