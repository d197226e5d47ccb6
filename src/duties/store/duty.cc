// Reads, watches and edits the rules in the store, and reads and writes claims.

#include "mimosagauge/impl/duties/store/duty.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "mimosagauge/impl/duties/common/log.h"
#include "mimosagauge/impl/store/rules_writer.h"
#include "mimosagauge/impl/wire/once_codec.h"

namespace mimosagauge {
namespace {

// The interval before the next read is shorter by this factor after a read that
// failed.
constexpr std::int64_t kFailedReadIntervalDivisor = 5;

[[nodiscard]] StoreClientSettings ClientSettings(
    const Settings& settings, const PlatformDutyOptions& options,
    std::minstd_rand& random) {
  StoreClientSettings client = options.store;
  client.endpoints = settings.store;
  client.seed = random();
  return client;
}

[[nodiscard]] std::string ClaimsKey(const std::string& prefix,
                                    SlotNumber slot) {
  return prefix + "claims/" + std::to_string(slot.value());
}

// Converts the result of a read into the event for the decisions. A slot whose
// bytes cannot be decoded must not be overwritten, so it is reported as a slot
// that could not be read.
[[nodiscard]] StoreEvent ToSlotEvent(const LoadSlot& load,
                                     const Result<StoreReadResult>& read) {
  if (!read) {
    return SlotLoadFailed{load.slot, load.call};
  }
  if (read.value().entries.empty()) {
    return SlotLoaded{load.slot, load.call, {}, {}};
  }
  const StoreEntry& entry = read.value().entries.front();
  Result<SlotValue> value = DecodeSlot(entry.value);
  if (!value) {
    return SlotLoadFailed{load.slot, load.call};
  }
  return SlotLoaded{load.slot, load.call, SlotRevision{entry.modified.value()},
                    std::move(value.value())};
}

}  // namespace

PlatformDuty::PlatformDuty(boost::asio::io_context& io_context,
                           const Settings& settings, Mailbox<Event>& decisions,
                           Mailbox<RulesEditReply>& replies,
                           const PlatformDutyOptions& options)
    : io_context_(io_context),
      prefix_(settings.store_prefix),
      options_(options),
      decisions_(decisions),
      replies_(replies),
      random_(std::random_device{}()),
      reread_timer_(io_context),
      watch_check_timer_(io_context),
      store_(std::make_shared<StoreClient>(
          io_context, ClientSettings(settings, options, random_))) {}

void PlatformDuty::Start() { ReadHead(); }

void PlatformDuty::Stop() {
  reread_timer_.cancel();
  watch_check_timer_.cancel();
  watch_.reset();
  store_.reset();
  edits_.clear();
}

void PlatformDuty::ReadHead() {
  if (head_read_pending_ || store_ == nullptr) {
    return;
  }
  head_read_pending_ = true;
  store_->Get({RulesHeadKey(prefix_)}, [this](Result<StoreReadResult>&& read) {
    head_read_pending_ = false;
    HandleHeadRead(std::move(read));
  });
}

void PlatformDuty::HandleHeadRead(Result<StoreReadResult>&& read) {
  LogReachability(bool{read}, read ? "" : read.error().message);
  ScheduleRead(!read);
  if (!read) {
    return;
  }
  if (!watch_) {
    watched_revision_ = read.value().revision;
    StartWatch(watched_revision_.next());
  }
  if (read.value().entries.empty()) {
    return HandleHeadRemoved();
  }
  const StoreEntry& entry = read.value().entries.front();
  ExpectWatchUpdate(entry.modified);
  ApplyHead(entry);
}

void PlatformDuty::ScheduleRead(bool failed) {
  const Duration max_delay =
      failed ? options_.reread / kFailedReadIntervalDivisor : options_.reread;
  std::uniform_int_distribution<Duration::rep> delay(max_delay.count() / 2,
                                                     max_delay.count());
  reread_timer_.expires_after(Duration(delay(random_)));
  reread_timer_.async_wait([this](const auto& canceled) {
    if (!canceled) {
      ReadHead();
    }
  });
}

void PlatformDuty::StartWatch(StoreRevision from) {
  watch_ = store_->Watch(
      {RulesHeadKey(prefix_)}, from,
      [this](const StoreWatchUpdate& update) { HandleWatchUpdate(update); });
}

void PlatformDuty::HandleWatchUpdate(const StoreWatchUpdate& update) {
  if (update.gap) {
    return ReadHead();
  }
  if (update.changes.empty()) {
    return;
  }
  // Only the newest change is needed, because the rules key holds the whole
  // head.
  const StoreChange& change = update.changes.back();
  watched_revision_ = std::max(watched_revision_, change.modified);
  if (change.entry) {
    return ApplyHead(*change.entry);
  }
  HandleHeadRemoved();
}

// Reconnects the watch unless it reports the change in time. It is given time
// because a read may be answered just before the watch reports the same change.
void PlatformDuty::ExpectWatchUpdate(StoreRevision modified) {
  if (modified <= watched_revision_ || watch_check_pending_) {
    return;
  }
  watch_check_pending_ = true;
  watch_check_timer_.expires_after(options_.max_watch_lag);
  watch_check_timer_.async_wait([this, modified](const auto& canceled) {
    if (canceled || !watch_) {
      return;
    }
    watch_check_pending_ = false;
    if (watched_revision_ < modified) {
      Log(log_events::kWatchSilent);
      watch_->Reconnect();
    }
  });
}

void PlatformDuty::ApplyHead(const StoreEntry& entry) {
  if (entry.modified <= head_modified_) {
    return;
  }
  head_modified_ = entry.modified;
  head_removed_ = false;
  const Result<RulesHead> head = DecodeRulesHead(entry.value);
  if (!head) {
    Log(log_events::kRulesDamaged, {{"detail", head.error().message}});
    return;
  }
  const Revision revision = head.value().revision;
  if (revision < posted_revision_) {
    Log(log_events::kRulesOlder,
        {{"stored", std::to_string(revision.value())},
         {"in_force", std::to_string(posted_revision_.value())}});
  }
  if (revision > posted_revision_) {
    ReadRulesText(revision);
  }
}

void PlatformDuty::ReadRulesText(Revision revision) {
  store_->Get(
      {RulesTextKey(prefix_, revision)},
      [this, revision](Result<StoreReadResult>&& read) {
        if (!read) {
          // Makes the next read of the head read the text again.
          head_modified_ = {};
          return ScheduleRead(true);
        }
        if (read.value().entries.empty()) {
          Log(log_events::kRulesDamaged,
              {{"detail",
                "the store has no text for the revision in the rules key"}});
          return;
        }
        PostRules(revision, read.value().entries.front().value);
      });
}

void PlatformDuty::PostRules(Revision revision, const std::string& text) {
  if (revision <= posted_revision_) {
    return;
  }
  std::vector<RuleFault> faults;
  auto rules = std::make_shared<RuleSet>(ParseRules(text, faults));
  if (!faults.empty()) {
    Log(log_events::kRulesDamaged,
        {{"detail", faults.front().message},
         {"line", std::to_string(faults.front().line)}});
    return;
  }
  rules->revision = revision;
  posted_revision_ = revision;
  Log(log_events::kRulesLearned,
      {{"revision", std::to_string(revision.value())}});
  decisions_.Post(RulesReceived{std::move(rules)});
}

void PlatformDuty::HandleHeadRemoved() {
  if (!head_removed_ && posted_revision_ != Revision{}) {
    Log(log_events::kRulesRemoved);
  }
  head_removed_ = true;
}

void PlatformDuty::LogReachability(bool reachable, const std::string& detail) {
  if (reachable == logged_reachable_) {
    return;
  }
  logged_reachable_ = reachable;
  if (reachable) {
    Log(log_events::kStoreReachable);
    return;
  }
  Log(log_events::kStoreUnreachable, {{"detail", detail}});
}

void PlatformDuty::Handle(RulesEditCommand&& command) {
  if (store_ == nullptr || edits_.size() >= options_.max_pending_edits) {
    replies_.Post(
        {command.number, RulesRefused{Error{ErrorKind::kOverloaded,
                                            "too many rule edits are pending, "
                                            "or this instance is stopping",
                                            "retry later"},
                                      {},
                                      {}}});
    return;
  }
  edits_.push_back(std::move(command));
  if (edits_.size() == 1) {
    StartFirstEdit();
  }
}

void PlatformDuty::StartFirstEdit() {
  const RulesEditCommand& command = edits_.front();
  const std::uint64_t number = command.number;
  if (auto refused = CheckEdit(command.edit)) {
    return FinishFirstEdit(number, std::move(*refused));
  }
  RulesWriterSettings settings;
  settings.prefix = prefix_;
  settings.timeout = options_.edit_timeout;
  ExecuteRulesEdit(io_context_, store_, settings, command.edit,
                   std::max(command.in_force, posted_revision_),
                   [this, number](RulesOutcome&& outcome) {
                     FinishFirstEdit(number, std::move(outcome));
                   });
}

void PlatformDuty::FinishFirstEdit(std::uint64_t number,
                                   RulesOutcome&& outcome) {
  if (const auto* accepted = std::get_if<RulesAccepted>(&outcome)) {
    Log(log_events::kRulesAccepted,
        {{"revision", std::to_string(accepted->revision.value())},
         {"change", edits_.front().edit.change.value()}});
    ReadHead();
  }
  replies_.Post({number, std::move(outcome)});
  edits_.pop_front();
  if (!edits_.empty()) {
    StartFirstEdit();
  }
}

void PlatformDuty::Handle(StoreEffect&& effect) {
  if (const auto* load = std::get_if<LoadSlot>(&effect)) {
    return ReadClaimSlot(*load);
  }
  if (const auto* commit = std::get_if<CommitClaims>(&effect)) {
    WriteClaimSlot(*commit);
  }
}

void PlatformDuty::ReadClaimSlot(const LoadSlot& load) {
  if (store_ == nullptr) {
    return PostClaimResult(SlotLoadFailed{load.slot, load.call});
  }
  store_->Get({ClaimsKey(prefix_, load.slot)},
              [this, load](Result<StoreReadResult>&& read) {
                PostClaimResult(ToSlotEvent(load, read));
              });
}

void PlatformDuty::WriteClaimSlot(const CommitClaims& commit) {
  if (store_ == nullptr) {
    return PostClaimResult(ClaimOutcomeUnknown{commit.slot, commit.call});
  }
  const std::string key = ClaimsKey(prefix_, commit.slot);
  StoreTransaction transaction;
  transaction.conditions = {{key, StoreRevision{commit.expected.value()}}};
  transaction.writes = {StorePut{key, EncodeSlot(*commit.value), {}}};
  const SlotNumber slot = commit.slot;
  const StoreCallNumber call = commit.call;
  store_->Commit(
      transaction, [this, slot, call](Result<StoreCommitResult>&& result) {
        if (!result) {
          return PostClaimResult(ClaimOutcomeUnknown{slot, call});
        }
        if (!result.value().applied) {
          return PostClaimResult(ClaimConflict{slot, call});
        }
        PostClaimResult(ClaimCommitted{
            slot, call, SlotRevision{result.value().revision.value()}});
      });
}

void PlatformDuty::PostClaimResult(StoreEvent answer) {
  decisions_.Post(ClaimStoreAnswered{std::move(answer)});
}

}  // namespace mimosagauge
