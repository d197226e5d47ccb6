// Reading, watching and editing of the rules in the store.

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

// Reads that failed are repeated sooner than those that succeeded.
constexpr std::int64_t kFailedReadDivisor = 5;

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

// A slot whose bytes do not hold must not be written over, so it counts as
// one that could not be read.
[[nodiscard]] StoreEvent SlotFrom(const LoadSlot& load,
                                  const Result<StoreRead>& read) {
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
                           Mailbox<RulesChanged>& replies,
                           const PlatformDutyOptions& options)
    : io_context_(io_context),
      prefix_(settings.store_prefix),
      options_(options),
      decisions_(decisions),
      replies_(replies),
      random_(std::random_device{}()),
      reread_(io_context),
      watch_check_(io_context),
      store_(std::make_shared<StoreClient>(
          io_context, ClientSettings(settings, options, random_))) {}

void PlatformDuty::Start() { Read(); }

void PlatformDuty::Stop() {
  reread_.cancel();
  watch_check_.cancel();
  watch_.reset();
  store_.reset();
  edits_.clear();
}

void PlatformDuty::Read() {
  if (reading_ || store_ == nullptr) {
    return;
  }
  reading_ = true;
  store_->Get({RulesKey(prefix_)}, [this](Result<StoreRead>&& read) {
    reading_ = false;
    HandleHead(std::move(read));
  });
}

void PlatformDuty::HandleHead(Result<StoreRead>&& read) {
  NoteStore(bool{read}, read ? "" : read.error().message);
  ScheduleRead(!read);
  if (!read) {
    return;
  }
  if (!watch_) {
    told_ = read.value().revision;
    Watch(told_.next());
  }
  if (read.value().entries.empty()) {
    return NoteRemoved();
  }
  const StoreEntry& entry = read.value().entries.front();
  ExpectTold(entry.modified);
  TakeHead(entry);
}

void PlatformDuty::ScheduleRead(bool failed) {
  const Duration longest =
      failed ? options_.reread / kFailedReadDivisor : options_.reread;
  std::uniform_int_distribution<Duration::rep> wait(longest.count() / 2,
                                                    longest.count());
  reread_.expires_after(Duration(wait(random_)));
  reread_.async_wait([this](const auto& canceled) {
    if (!canceled) {
      Read();
    }
  });
}

void PlatformDuty::Watch(StoreRevision from) {
  watch_ = store_->Watch(
      {RulesKey(prefix_)}, from,
      [this](const StoreWatchUpdate& update) { HandleUpdate(update); });
}

void PlatformDuty::HandleUpdate(const StoreWatchUpdate& update) {
  if (update.gap) {
    return Read();
  }
  if (update.changes.empty()) {
    return;
  }
  // Only the newest state counts.
  const StoreChange& change = update.changes.back();
  told_ = std::max(told_, change.modified);
  if (change.entry) {
    return TakeHead(*change.entry);
  }
  NoteRemoved();
}

// A read may be answered just before the watch tells the same change.
void PlatformDuty::ExpectTold(StoreRevision modified) {
  if (modified <= told_ || expecting_) {
    return;
  }
  expecting_ = true;
  watch_check_.expires_after(options_.watch_lag);
  watch_check_.async_wait([this, modified](const auto& canceled) {
    if (canceled || !watch_) {
      return;
    }
    expecting_ = false;
    if (told_ < modified) {
      Log(log_events::kWatchSilent);
      watch_->Reopen();
    }
  });
}

void PlatformDuty::TakeHead(const StoreEntry& entry) {
  if (entry.modified <= seen_) {
    return;
  }
  seen_ = entry.modified;
  removed_ = false;
  const Result<RulesHead> head = DecodeRulesHead(entry.value);
  if (!head) {
    Log(log_events::kRulesDamaged, {{"detail", head.error().message}});
    return;
  }
  const Revision revision = head.value().revision;
  if (revision < adopted_) {
    Log(log_events::kRulesOlder,
        {{"stored", std::to_string(revision.value())},
         {"in_force", std::to_string(adopted_.value())}});
  }
  if (revision > adopted_) {
    ReadText(revision);
  }
}

void PlatformDuty::ReadText(Revision revision) {
  store_->Get({RulesTextKey(prefix_, revision)},
              [this, revision](Result<StoreRead>&& read) {
                if (!read) {
                  seen_ = {};  // The next read of the head tries again.
                  return ScheduleRead(true);
                }
                if (read.value().entries.empty()) {
                  Log(log_events::kRulesDamaged,
                      {{"detail", "the text of the revision is missing"}});
                  return;
                }
                Adopt(revision, read.value().entries.front().value);
              });
}

void PlatformDuty::Adopt(Revision revision, const std::string& text) {
  if (revision <= adopted_) {
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
  adopted_ = revision;
  Log(log_events::kRulesLearned,
      {{"revision", std::to_string(revision.value())}});
  decisions_.Post(RulesArrived{std::move(rules)});
}

void PlatformDuty::NoteRemoved() {
  if (!removed_ && adopted_ != Revision{}) {
    Log(log_events::kRulesRemoved);
  }
  removed_ = true;
}

void PlatformDuty::NoteStore(bool reachable, const std::string& detail) {
  if (reachable == reachable_) {
    return;
  }
  reachable_ = reachable;
  if (reachable) {
    Log(log_events::kStoreReachable);
    return;
  }
  Log(log_events::kStoreUnreachable, {{"detail", detail}});
}

void PlatformDuty::Handle(ChangeRules&& command) {
  if (store_ == nullptr || edits_.size() >= options_.waiting_edits) {
    replies_.Post(
        {command.number,
         RulesRefused{Error{ErrorKind::kOverloaded,
                            "too many edits of the rules wait", "try again"},
                      {},
                      {}}});
    return;
  }
  edits_.push_back(std::move(command));
  if (edits_.size() == 1) {
    BeginEdit();
  }
}

void PlatformDuty::BeginEdit() {
  const ChangeRules& command = edits_.front();
  const std::uint64_t number = command.number;
  if (auto refused = CheckEdit(command.edit)) {
    return EndEdit(number, std::move(*refused));
  }
  RulesWriterSettings settings;
  settings.prefix = prefix_;
  settings.timeout = options_.edit_timeout;
  WriteRulesEdit(io_context_, store_, settings, command.edit,
                 std::max(command.in_force, adopted_),
                 [this, number](RulesOutcome&& outcome) {
                   EndEdit(number, std::move(outcome));
                 });
}

void PlatformDuty::EndEdit(std::uint64_t number, RulesOutcome&& outcome) {
  if (const auto* accepted = std::get_if<RulesAccepted>(&outcome)) {
    Log(log_events::kRulesAccepted,
        {{"revision", std::to_string(accepted->revision.value())},
         {"change", edits_.front().edit.change.value()}});
    Read();
  }
  replies_.Post({number, std::move(outcome)});
  edits_.pop_front();
  if (!edits_.empty()) {
    BeginEdit();
  }
}

void PlatformDuty::Handle(StoreEffect&& effect) {
  if (const auto* load = std::get_if<LoadSlot>(&effect)) {
    return Load(*load);
  }
  if (const auto* commit = std::get_if<CommitClaims>(&effect)) {
    Commit(*commit);
  }
}

void PlatformDuty::Load(const LoadSlot& load) {
  if (store_ == nullptr) {
    return AnswerClaims(SlotLoadFailed{load.slot, load.call});
  }
  store_->Get({ClaimsKey(prefix_, load.slot)},
              [this, load](Result<StoreRead>&& read) {
                AnswerClaims(SlotFrom(load, read));
              });
}

void PlatformDuty::Commit(const CommitClaims& commit) {
  if (store_ == nullptr) {
    return AnswerClaims(ClaimOutcomeUnknown{commit.slot, commit.call});
  }
  const std::string key = ClaimsKey(prefix_, commit.slot);
  StoreTransaction transaction;
  transaction.conditions = {{key, StoreRevision{commit.expected.value()}}};
  transaction.writes = {StorePut{key, EncodeSlot(*commit.value), {}}};
  const SlotNumber slot = commit.slot;
  const StoreCallNumber call = commit.call;
  store_->Commit(transaction, [this, slot, call](Result<StoreCommit>&& done) {
    if (!done) {
      return AnswerClaims(ClaimOutcomeUnknown{slot, call});
    }
    if (!done.value().applied) {
      return AnswerClaims(ClaimConflict{slot, call});
    }
    AnswerClaims(ClaimCommitted{slot, call,
                                SlotRevision{done.value().revision.value()}});
  });
}

void PlatformDuty::AnswerClaims(StoreEvent answer) {
  decisions_.Post(ClaimStoreAnswered{std::move(answer)});
}

}  // namespace mimosagauge
