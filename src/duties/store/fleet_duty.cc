// Reads and polls the platform's store, and maintains the registration in it.

#include "mimosagauge/impl/duties/store/fleet_duty.h"

#include <algorithm>
#include <functional>
#include <nlohmann/json.hpp>
#include <random>
#include <utility>

#include "mimosagauge/impl/decisions/accounts/confirmation.h"
#include "mimosagauge/impl/decisions/accounts/question_age.h"
#include "mimosagauge/impl/duties/common/log.h"
#include "mimosagauge/impl/duties/common/monotonic_clock.h"

namespace mimosagauge {
namespace {

// The time limit of a call with all its attempts, as a multiple of the time
// limit of one answer.
constexpr int kAttemptsPerCall = 2;
constexpr Duration kMaxBackoff = std::chrono::milliseconds(500);
// Left for the round trip of each poll under strict revocation.
constexpr Duration kPollRoundTrip = std::chrono::milliseconds(150);
constexpr Duration kMinPollWait = std::chrono::milliseconds(100);
// An overdue poll is repeated until this many wait for an answer. The second
// repetition is the one that is received if the connection of the first goes
// silent too.
constexpr std::size_t kMaxParallelPolls = 3;
// After the watch was reopened, polls follow each other without a pause until
// one reports no changes, but at most this many.
constexpr int kMaxPromptPolls = 5;
// How long the store holds a poll that is to be answered at once.
constexpr Duration kNoWait = std::chrono::milliseconds(1);
// A lease is renewed this many times within its lifetime.
constexpr int kRenewalsPerSession = 3;

[[nodiscard]] StoreClientSettings ClientSettings(
    const Settings& settings, const StoreDialect& dialect,
    const FleetDutyTimings& times, std::function<void(StoreEra)> on_restored) {
  StoreClientSettings client;
  client.dialect = &dialect;
  client.endpoints = settings.store;
  client.connect_timeout = times.answer;
  client.read_timeout = times.answer;
  client.call_timeout = times.answer * kAttemptsPerCall;
  client.longest_backoff = kMaxBackoff;
  client.seed = std::random_device{}();
  client.on_restored = std::move(on_restored);
  return client;
}

[[nodiscard]] FleetDutyTimings TimingsFor(const Settings& settings,
                                          FleetDutyTimings times) {
  // The default times fit the default bound; what a longer bound leaves is used
  // to hold polls longer.
  times.wait += std::max<Duration>(
      Duration::zero(), settings.change_within - Settings{}.change_within);
  if (settings.revocation.strict) {
    times.wait = PollWaitFor(*settings.revocation.strict, times);
  }
  return times;
}

// The part of `key` up to and including its first slash.
[[nodiscard]] std::string FolderPrefix(std::string_view key) {
  return std::string(key.substr(0, key.find('/') + 1));
}

}  // namespace

Duration PollWaitFor(Duration strict, const FleetDutyTimings& times) noexcept {
  const Duration longest = LongestConfirmationAge(strict) - times.batch;
  // Two polls in a row, without a loss, end before other instances are asked.
  const auto without_loss = std::chrono::duration_cast<Duration>(
      LongestConfirmationAge(strict) * kQuestionFraction - times.batch -
      2 * kPollRoundTrip);
  // Two polls, the second one lost, and two repetitions, the first one lost.
  const Duration with_losses = longest - 2 * times.overdue - 4 * kPollRoundTrip;
  return std::clamp<Duration>(std::min(without_loss, with_losses) / 2,
                              std::min(kMinPollWait, times.wait), times.wait);
}

FleetDuty::FleetDuty(boost::asio::io_context& io_context,
                     const Settings& settings, const StoreDialect& store,
                     const FleetDialect& dialect, Mailbox<Event>& decisions,
                     const FleetDutyTimings& times)
    : settings_(settings),
      dialect_(dialect),
      decisions_(decisions),
      times_(TimingsFor(settings, times)),
      instances_prefix_(settings.store_prefix.substr(
                            settings.store_prefix.find_first_not_of('/')) +
                        "instances/"),
      prefixes_{FolderPrefix(dialect.configuration_key),
                std::string(dialect.upstreams_prefix), instances_prefix_},
      store_(std::make_shared<StoreClient>(
          io_context,
          ClientSettings(settings, store, times,
                         [this](StoreEra era) { HandleRestoration(era); }))),
      watch_timer_(io_context),
      overdue_timer_(io_context),
      renewal_timer_(io_context),
      missing_timer_(io_context),
      replacement_timer_(io_context),
      last_answer_at_(Clock::now()) {}

void FleetDuty::Start() {
  Register();
  ReadAll();
}

void FleetDuty::Stop() {
  watch_timer_.cancel();
  overdue_timer_.cancel();
  renewal_timer_.cancel();
  missing_timer_.cancel();
  replacement_timer_.cancel();
  store_.reset();
}

// Registration.

std::string FleetDuty::RegistrationKey() const {
  return instances_prefix_ + settings_.instance.value();
}

std::string FleetDuty::RegistrationValue() const {
  return nlohmann::json{{"region", settings_.region.value()},
                        {"zone", settings_.zone.value()},
                        {"entry", ToString(settings_.entry)},
                        {"link", ToString(settings_.peer)},
                        {"memory", settings_.limits.memory.count()}}
      .dump();
}

void FleetDuty::Register() {
  if (store_ == nullptr || leaving_) {
    return;
  }
  lease_ = LeaseId{};
  const TimePoint sent = MonotonicNow();
  RecordLease(lease_, sent, Duration::zero());
  const std::uint64_t number = ++registration_number_;
  store_->GrantLease(
      settings_.session, [this, sent, number](Result<StoreLease>&& granted) {
        RecordCallResult(bool{granted}, granted ? "" : granted.error().message);
        if (number != registration_number_) {
          return;
        }
        if (!granted || granted.value().id == LeaseId{}) {
          return ScheduleRenewal(times_.retry, true);
        }
        const StoreLease& lease = granted.value();
        RecordLease(lease.id, sent, lease.remaining);
        WriteRegistration(lease.id);
      });
}

// Posts until when the lease is certainly valid. It is counted from when the
// call began, so it ends no later than in the store, however often the call was
// repeated.
void FleetDuty::RecordLease(LeaseId lease, TimePoint sent, Duration lifetime) {
  if (settings_.allowances) {
    decisions_.Post(LeaseRenewed{lease.value(),
                                 sent + std::min(lifetime, settings_.session)});
  }
}

// The write has no condition: an entry that remains from an earlier start of
// this instance contains the same or less, so it may be overwritten.
void FleetDuty::WriteRegistration(LeaseId lease) {
  if (store_ == nullptr || leaving_) {
    return;
  }
  StoreTransaction transaction;
  transaction.writes = {
      StorePut{RegistrationKey(), RegistrationValue(), lease}};
  store_->Commit(
      transaction, [this, lease](Result<StoreCommitResult>&& result) {
        RecordCallResult(bool{result}, result ? "" : result.error().message);
        if (!result || !result.value().applied) {
          return ScheduleRenewal(times_.retry, true);
        }
        lease_ = lease;
        if (leaving_) {
          return RevokeRegistration();
        }
        Log(log_events::kRegistered, {{"key", RegistrationKey()}});
        ScheduleRenewal(settings_.session / kRenewalsPerSession, false);
      });
}

void FleetDuty::ScheduleRenewal(Duration delay, bool register_again) {
  renewal_timer_.expires_after(delay);
  renewal_timer_.async_wait([this, register_again](const auto& canceled) {
    if (canceled || store_ == nullptr) {
      return;
    }
    register_again ? Register() : RenewLease();
  });
}

void FleetDuty::RenewLease() {
  if (leaving_ || lease_ == LeaseId{}) {
    return;
  }
  const TimePoint sent = MonotonicNow();
  store_->KeepAlive(
      lease_, [this, sent, lease = lease_](Result<StoreLease>&& renewed) {
        RecordCallResult(bool{renewed}, renewed ? "" : renewed.error().message);
        if (lease != lease_) {
          return;  // It was replaced meanwhile.
        }
        if (!renewed) {
          return ScheduleRenewal(times_.retry, false);
        }
        if (renewed.value().remaining == Duration::zero()) {
          Log(log_events::kRegistrationLost);
          return Register();
        }
        RecordLease(lease_, sent, renewed.value().remaining);
        ScheduleRenewal(settings_.session / kRenewalsPerSession, false);
      });
}

void FleetDuty::Leave() {
  if (leaving_ || store_ == nullptr) {
    return;
  }
  leaving_ = true;
  renewal_timer_.cancel();
  replacement_timer_.cancel();
  if (lease_ != LeaseId{}) {
    RevokeRegistration();
  }
}

void FleetDuty::RevokeRegistration() {
  store_->Revoke(lease_, [](Result<LeaseId>&& /*ended*/) {});
}

// An entry of an earlier process of this instance that was written over keeps
// its creation revision. This instance may not lend under it, and it keeps
// younger instances from lending. It is therefore removed and written anew, but
// only after one session: by then the lease of the earlier process has ended.
void FleetDuty::AddReplacementTimer() {
  replacement_timer_.expires_after(settings_.session);
  replacement_timer_.async_wait([this](const auto& canceled) {
    const auto own = registrations_.find(RegistrationKey());
    const bool replaceable = own != registrations_.end() &&
                             own->second.created != own->second.modified &&
                             own_entry_lease_ == lease_;
    if (!canceled && store_ != nullptr && !leaving_ && replaceable) {
      ReplaceRegistration();
    }
  });
}

// The watch reports the removal, whereupon the entry is written again.
void FleetDuty::ReplaceRegistration() {
  StoreTransaction removal;
  removal.writes = {StoreDelete{RegistrationKey()}};
  store_->Commit(removal, [this](Result<StoreCommitResult>&& result) {
    RecordCallResult(bool{result}, result ? "" : result.error().message);
    if (!result) {
      AddReplacementTimer();
    }
  });
}

// Reads and polls of the store.

void FleetDuty::RunAfter(Duration delay, void (FleetDuty::*next_step)()) {
  watch_timer_.expires_after(delay);
  watch_timer_.async_wait([this, next_step](const auto& canceled) {
    if (!canceled && store_ != nullptr) {
      (this->*next_step)();
    }
  });
}

void FleetDuty::ReadAll() {
  // Answers to polls that started before this read are ignored.
  IgnorePolls();
  watch_timer_.cancel();
  read_ = std::make_shared<FullRead>();
  read_->started_at = MonotonicNow();
  ReadPrefix(read_, 0, "");
}

void FleetDuty::ReadPrefix(const std::shared_ptr<FullRead>& read,
                           std::size_t prefix_index, std::string after_key) {
  store_->Get({prefixes_[prefix_index], true, std::move(after_key)},
              [this, read, prefix_index](Result<StoreReadResult>&& page) {
                if (read != read_) {
                  return;
                }
                RecordCallResult(bool{page}, page ? "" : page.error().message);
                if (!page) {
                  return RunAfter(times_.retry, &FleetDuty::ReadAll);
                }
                HandlePage(read, prefix_index, page.value());
              });
}

void FleetDuty::HandlePage(const std::shared_ptr<FullRead>& read,
                           std::size_t prefix_index,
                           const StoreReadResult& page) {
  // The pages do not form a snapshot. Polling starts at the first page's
  // revision, so it reports again what changed between the pages.
  if (read->start_revision == StoreRevision{}) {
    read->start_revision = page.revision;
  }
  for (const StoreEntry& entry : page.entries) {
    read->entries.insert_or_assign(entry.key, entry);
  }
  if (page.more && !page.entries.empty()) {
    return ReadPrefix(read, prefix_index, page.entries.back().key);
  }
  if (prefix_index + 1 < prefixes_.size()) {
    return ReadPrefix(read, prefix_index + 1, "");
  }
  ApplyFullRead(*read);
}

void FleetDuty::ApplyFullRead(const FullRead& read) {
  const bool after_restoration =
      std::exchange(unread_since_restoration_, false);
  if (!first_read_at_ && store_->era() != StoreEra{}) {
    first_read_at_ = read.started_at;
  }
  AdvanceSeenRevision(read.start_revision);
  Log(log_events::kStoreReread,
      {{"entries", std::to_string(read.entries.size())},
       {"revision", std::to_string(seen_revision_.value())}});
  std::vector<std::string> removed_keys;
  for (const auto& [key, revision] : posted_revisions_) {
    if (read.entries.count(key) == 0) {
      removed_keys.push_back(key);
    }
  }
  for (const std::string& key : removed_keys) {
    RemoveOrDefer(key);
  }
  // The configuration is posted first because it describes the upstreams'
  // services.
  const auto configuration =
      read.entries.find(std::string(dialect_.configuration_key));
  if (configuration != read.entries.end()) {
    PostEntry(configuration->second);
  }
  for (const auto& [key, entry] : read.entries) {
    // An upstream that was removed after the copy was made would be back. One
    // that runs writes its entry again, which the next polls report.
    const bool may_have_ended = after_restoration &&
                                key.starts_with(dialect_.upstreams_prefix) &&
                                posted_revisions_.count(key) == 0;
    if (!may_have_ended) {
      PostEntry(entry);
    }
  }
  decisions_.Post(StoreReread{});
  PostConfirmation(read.started_at, read.started_at);
  PostRegistrations();
  const auto own = read.entries.find(RegistrationKey());
  if (after_restoration && lease_ != LeaseId{}) {
    // An entry under another lease is that of an earlier registration, and the
    // number of this one's lease may have been given out again.
    if (own != read.entries.end() && own->second.lease == lease_) {
      ScheduleRenewal(Duration::zero(), false);
    } else {
      Register();
    }
  }
  read_.reset();
  Poll();
}

void FleetDuty::Reopen() {
  // A read in progress has a time limit for each of its calls, and reports all
  // that a new poll would.
  if (store_ == nullptr || read_ != nullptr) {
    return;
  }
  watch_timer_.cancel();
  store_->DropIdleConnections();
  prompt_polls_left_ = kMaxPromptPolls;
  StartPolls(kNoWait);
}

void FleetDuty::AdvanceSeenRevision(StoreRevision revision) {
  if (revision > seen_revision_) {
    seen_revision_ = revision;
    decisions_.Post(
        StoreRevisionSeen{{store_->era().value(), revision.value()}});
  }
}

// Revisions of before and after the restoration cannot be compared, so all
// entries are read and posted again. What was known stays valid meanwhile: the
// operators, the upstreams and the instances write again what was lost.
void FleetDuty::HandleRestoration(StoreEra era) {
  Log(log_events::kStoreRestored,
      {{"era", std::to_string(era.value())},
       {"seen", std::to_string(seen_revision_.value())}});
  restored_at_ = MonotonicNow();
  outage_ended_at_ = Clock::now();
  unread_since_restoration_ |= seen_revision_ != StoreRevision{};
  seen_revision_ = {};
  for (auto& [key, revision] : posted_revisions_) {
    revision = {};
  }
  registrations_.clear();
  registrations_changed_ = true;
  if (own_entry_lease_ != LeaseId{}) {
    entry_lease_before_restoration_ = std::exchange(own_entry_lease_, {});
  }
  ReadAll();
}

bool FleetDuty::WasRestoredWithin(Duration time) const {
  return restored_at_ && MonotonicNow() - *restored_at_ < time;
}

bool FleetDuty::MayLackEntries(TimePoint read_at) const {
  const auto within_grace = [&](const std::optional<TimePoint>& since) {
    return since && read_at - *since < times_.return_grace;
  };
  return within_grace(restored_at_) || within_grace(first_read_at_);
}

void FleetDuty::Poll() {
  // The timer may have expired before a read cancelled it.
  if (read_ == nullptr) {
    StartPolls(times_.wait);
  }
}

void FleetDuty::StartPolls(Duration wait) {
  IgnorePolls();
  SendPoll(wait);
}

void FleetDuty::IgnorePolls() {
  overdue_timer_.cancel();
  oldest_poll_ = poll_number_ + 1;
  polls_in_progress_ = 0;
}

void FleetDuty::SendPoll(Duration wait) {
  const std::uint64_t poll_number = ++poll_number_;
  ++polls_in_progress_;
  if (polls_in_progress_ < kMaxParallelPolls) {
    overdue_timer_.expires_after(wait + times_.overdue);
    overdue_timer_.async_wait([this, poll_number](const auto& canceled) {
      if (!canceled && store_ != nullptr && poll_number >= oldest_poll_) {
        RepeatOverduePoll();
      }
    });
  }
  const TimePoint sent_at = MonotonicNow();
  store_->Poll({"", true, ""}, seen_revision_, wait,
               [this, poll_number, sent_at](Result<StoreWatchUpdate>&& update) {
                 if (poll_number >= oldest_poll_) {
                   HandlePollAnswer(std::move(update), sent_at);
                 }
               });
}

// The connection of the poll may have gone silent, and idle connections with
// it, so the poll is repeated on a new one. The repetition is not held, so that
// its own delay shows a second silent connection.
void FleetDuty::RepeatOverduePoll() {
  store_->DropIdleConnections();
  SendPoll(kNoWait);
}

void FleetDuty::HandlePollAnswer(Result<StoreWatchUpdate>&& update,
                                 TimePoint sent_at) {
  --polls_in_progress_;
  RecordCallResult(bool{update}, update ? "" : update.error().message);
  const bool usable = update && (update.value().gap ||
                                 update.value().revision >= seen_revision_);
  if (!usable && polls_in_progress_ > 0) {
    return;  // Another poll is still to be answered.
  }
  IgnorePolls();
  if (!usable) {
    return RunAfter(times_.retry, &FleetDuty::Poll);
  }
  HandlePollUpdate(update.value(), sent_at);
}

void FleetDuty::HandlePollUpdate(const StoreWatchUpdate& update,
                                 TimePoint sent_at) {
  if (update.gap) {
    return ReadAll();
  }
  for (const StoreChange& change : update.changes) {
    if (change.entry) {
      PostEntry(*change.entry);
    } else {
      RemoveOrDefer(change.key);
    }
  }
  AdvanceSeenRevision(update.revision);
  PostConfirmation(sent_at, MonotonicNow());
  PostRegistrations();
  if (update.changes.empty()) {
    prompt_polls_left_ = 0;
    // An answer with changes need not contain all of them.
    decisions_.Post(StoreCaughtUp{sent_at});
    return Poll();
  }
  if (prompt_polls_left_ > 0) {
    --prompt_polls_left_;
    return StartPolls(kNoWait);
  }
  RunAfter(times_.batch, &FleetDuty::Poll);
}

void FleetDuty::PostConfirmation(TimePoint as_of, TimePoint read_at) {
  if (settings_.revocation.strict && configuration_version_ != Revision{} &&
      !MayLackEntries(read_at)) {
    decisions_.Post(ConfigurationConfirmed{configuration_version_, as_of});
  }
}

void FleetDuty::RecordCallResult(bool answered, const std::string& detail) {
  const auto now = Clock::now();
  if (answered) {
    // Without a failed call, the time since the last answer may be due to a
    // poll that the store held.
    const Duration silence_limit =
        logged_reachable_ ? times_.outage + times_.wait : times_.outage;
    if (now - last_answer_at_ > silence_limit) {
      outage_ended_at_ = now;
    }
    last_answer_at_ = now;
  }
  if (answered == logged_reachable_) {
    return;
  }
  logged_reachable_ = answered;
  decisions_.Post(StoreContactChanged{answered});
  if (answered) {
    Log(log_events::kStoreReachable);
  } else {
    Log(log_events::kStoreUnreachable, {{"detail", detail}});
  }
}

}  // namespace mimosagauge
