// The thread that talks to the platform's key-value service: it learns the
// rules in force, and carries out the operators' edits of them.

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

/// \brief Times and bounds of the platform duty.
struct PlatformDutyOptions {
  StoreClientSettings store;  ///< Without endpoints and seed.
  /// The rules key is read this often also while the watch says nothing,
  /// which may be because it has gone silent.
  Duration reread = std::chrono::seconds(10);
  /// A change that a read has shown and the watch has not told for so long
  /// makes the watch be opened anew.
  Duration watch_lag = std::chrono::seconds(2);
  Duration edit_timeout = std::chrono::seconds(20);
  std::size_t waiting_edits = 32;
};

/// \brief Keeps the decisions told of the rules in the store.
///
/// Rules are posted only when their revision is greater than that of all
/// posted before. All functions but the constructor run on the thread of
/// `io_context`.
class PlatformDuty {
 public:
  /// \param decisions Gets `RulesArrived`; produced from `io_context`.
  /// \param replies Gets the outcomes of edits; produced from `io_context`.
  PlatformDuty(boost::asio::io_context& io_context, const Settings& settings,
               Mailbox<Event>& decisions, Mailbox<RulesChanged>& replies,
               const PlatformDutyOptions& options = {});
  PlatformDuty(const PlatformDuty&) = delete;
  PlatformDuty& operator=(const PlatformDuty&) = delete;

  /// \brief Begins to read and watch; also while the store is down.
  void Start();
  /// \brief Ends everything; edits under way get no outcome.
  void Stop();
  /// \brief Carries out an edit.
  void Handle(ChangeRules&& command);
  /// \brief Reads or writes claims; answered by one `ClaimStoreAnswered`.
  void Handle(StoreEffect&& effect);

 private:
  void Read();
  void HandleHead(Result<StoreRead>&& read);
  void ScheduleRead(bool failed);
  void Watch(StoreRevision from);
  void HandleUpdate(const StoreWatchUpdate& update);
  void ExpectTold(StoreRevision modified);
  void TakeHead(const StoreEntry& entry);
  void ReadText(Revision revision);
  void Adopt(Revision revision, const std::string& text);
  void NoteRemoved();
  void NoteStore(bool reachable, const std::string& detail);
  void Load(const LoadSlot& load);
  void Commit(const CommitClaims& commit);
  void AnswerClaims(StoreEvent answer);
  void BeginEdit();
  void EndEdit(std::uint64_t number, RulesOutcome&& outcome);

  boost::asio::io_context& io_context_;
  std::string prefix_;
  PlatformDutyOptions options_;
  Mailbox<Event>& decisions_;
  Mailbox<RulesChanged>& replies_;
  std::minstd_rand random_;
  boost::asio::steady_timer reread_;
  boost::asio::steady_timer watch_check_;
  std::shared_ptr<StoreClient> store_;  // Null while stopped.
  std::optional<StoreWatch> watch_;
  Revision adopted_;    // Of the rules posted last.
  StoreRevision told_;  // The watch has told the rules key's changes so far.
  bool expecting_ = false;         // The watch is to tell a change soon.
  StoreRevision seen_;             // Of the rules key, as told last.
  bool removed_ = false;           // The rules key does not exist.
  bool reachable_ = true;          // As last logged.
  bool reading_ = false;           // A read of the head is under way.
  std::deque<ChangeRules> edits_;  // The first one is under way.
};

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DUTIES_STORE_DUTY_H_
