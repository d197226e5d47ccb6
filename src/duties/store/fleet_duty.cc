// Reading, watching and registering in the platform's store.

#include "mimosagauge/impl/duties/store/fleet_duty.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <random>
#include <utility>

#include "mimosagauge/impl/duties/common/log.h"

namespace mimosagauge {
namespace {

// Of the time for one answer, with all tries of a call.
constexpr int kTriesPerCall = 2;
constexpr Duration kLongestBackoff = std::chrono::milliseconds(500);
constexpr int kRenewalsPerSession = 3;

[[nodiscard]] StoreClientSettings ClientSettings(const Settings& settings,
                                                 const StoreDialect& dialect,
                                                 const FleetTimes& times) {
  StoreClientSettings client;
  client.dialect = &dialect;
  client.endpoints = settings.store;
  client.connect_timeout = times.answer;
  client.read_timeout = times.answer;
  client.call_timeout = times.answer * kTriesPerCall;
  client.longest_backoff = kLongestBackoff;
  client.seed = std::random_device{}();
  return client;
}

[[nodiscard]] std::string TextAt(const nlohmann::json& object,
                                 const char* key) {
  const auto found = object.find(key);
  return found != object.end() && found->is_string() ? found->get<std::string>()
                                                     : std::string();
}

[[nodiscard]] std::string_view Behind(std::string_view key,
                                      std::string_view prefix) {
  return key.starts_with(prefix) ? key.substr(prefix.size())
                                 : std::string_view();
}

// The prefix of the keys of a folder that holds `key`.
[[nodiscard]] std::string FolderOf(std::string_view key) {
  return std::string(key.substr(0, key.find('/') + 1));
}

}  // namespace

FleetDuty::FleetDuty(boost::asio::io_context& io_context,
                     const Settings& settings, const StoreDialect& store,
                     const FleetDialect& dialect, Mailbox<Event>& decisions,
                     const FleetTimes& times)
    : settings_(settings),
      dialect_(dialect),
      decisions_(decisions),
      times_(times),
      instances_prefix_(settings.store_prefix.substr(
                            settings.store_prefix.find_first_not_of('/')) +
                        "instances/"),
      prefixes_{FolderOf(dialect.configuration_key),
                std::string(dialect.upstreams_prefix), instances_prefix_},
      store_(std::make_shared<StoreClient>(
          io_context, ClientSettings(settings, store, times))),
      watch_timer_(io_context),
      renewal_timer_(io_context),
      missing_timer_(io_context),
      contact_at_(Clock::now()) {}

void FleetDuty::Start() {
  Register();
  ReadAll();
}

void FleetDuty::Stop() {
  watch_timer_.cancel();
  renewal_timer_.cancel();
  missing_timer_.cancel();
  store_.reset();
}

// Registration.

std::string FleetDuty::OwnKey() const {
  return instances_prefix_ + settings_.instance.value();
}

std::string FleetDuty::OwnEntry() const {
  return nlohmann::json{{"region", settings_.region.value()},
                        {"zone", settings_.zone.value()},
                        {"entry", ToString(settings_.entry)},
                        {"link", ToString(settings_.peer)}}
      .dump();
}

void FleetDuty::Register() {
  if (store_ == nullptr || leaving_) {
    return;
  }
  lease_ = LeaseId{};
  store_->GrantLease(settings_.session, [this](Result<StoreLease>&& granted) {
    NoteContact(bool{granted}, granted ? "" : granted.error().message);
    if (!granted || granted.value().id == LeaseId{}) {
      return ScheduleRenewal(times_.retry, true);
    }
    PutRegistration(granted.value().id);
  });
}

// Without a condition: an entry that an earlier start of this instance left
// says the same or less.
void FleetDuty::PutRegistration(LeaseId lease) {
  if (store_ == nullptr || leaving_) {
    return;
  }
  StoreTransaction transaction;
  transaction.writes = {StorePut{OwnKey(), OwnEntry(), lease}};
  store_->Commit(transaction, [this, lease](Result<StoreCommit>&& done) {
    NoteContact(bool{done}, done ? "" : done.error().message);
    if (!done || !done.value().applied) {
      return ScheduleRenewal(times_.retry, true);
    }
    lease_ = lease;
    Log(log_events::kRegistered, {{"key", OwnKey()}});
    ScheduleRenewal(settings_.session / kRenewalsPerSession, false);
  });
}

void FleetDuty::ScheduleRenewal(Duration pause, bool again) {
  renewal_timer_.expires_after(pause);
  renewal_timer_.async_wait([this, again](const auto& canceled) {
    if (canceled || store_ == nullptr) {
      return;
    }
    again ? Register() : Renew();
  });
}

void FleetDuty::Renew() {
  if (leaving_) {
    return;
  }
  store_->KeepAlive(lease_, [this](Result<StoreLease>&& kept) {
    NoteContact(bool{kept}, kept ? "" : kept.error().message);
    if (!kept) {
      return ScheduleRenewal(times_.retry, false);
    }
    if (kept.value().remaining == Duration::zero()) {
      Log(log_events::kRegistrationLost);
      return Register();
    }
    ScheduleRenewal(settings_.session / kRenewalsPerSession, false);
  });
}

void FleetDuty::Leave() {
  if (leaving_ || store_ == nullptr) {
    return;
  }
  leaving_ = true;
  renewal_timer_.cancel();
  if (lease_ != LeaseId{}) {
    store_->Revoke(lease_, [](Result<LeaseId>&& /*ended*/) {});
  }
}

// Reading and watching.

void FleetDuty::PauseThen(Duration pause, void (FleetDuty::*next)()) {
  watch_timer_.expires_after(pause);
  watch_timer_.async_wait([this, next](const auto& canceled) {
    if (!canceled && store_ != nullptr) {
      (this->*next)();
    }
  });
}

void FleetDuty::ReadAll() {
  reading_.clear();
  reading_from_ = StoreRevision{};
  ReadPrefix(0, "");
}

void FleetDuty::ReadPrefix(std::size_t prefix, std::string after) {
  store_->Get({prefixes_[prefix], true, std::move(after)},
              [this, prefix](Result<StoreRead>&& page) {
                NoteContact(bool{page}, page ? "" : page.error().message);
                if (!page) {
                  return PauseThen(times_.retry, &FleetDuty::ReadAll);
                }
                TakePage(prefix, page.value());
              });
}

void FleetDuty::TakePage(std::size_t prefix, const StoreRead& page) {
  // Pages are no snapshot: the watch tells again what changed between them.
  if (reading_from_ == StoreRevision{}) {
    reading_from_ = page.revision;
  }
  for (const StoreEntry& entry : page.entries) {
    reading_.insert_or_assign(entry.key, entry);
  }
  if (page.more && !page.entries.empty()) {
    return ReadPrefix(prefix, page.entries.back().key);
  }
  if (prefix + 1 < prefixes_.size()) {
    return ReadPrefix(prefix + 1, "");
  }
  FinishReading();
}

void FleetDuty::FinishReading() {
  NoteSeen(reading_from_);
  Log(log_events::kStoreReread, {{"entries", std::to_string(reading_.size())},
                                 {"revision", std::to_string(seen_.value())}});
  std::vector<std::string> gone;
  for (const auto& [key, revision] : known_) {
    if (reading_.count(key) == 0) {
      gone.push_back(key);
    }
  }
  for (const std::string& key : gone) {
    NoteMissing(key);
  }
  // The configuration first: it says what the upstreams are.
  const auto configuration =
      reading_.find(std::string(dialect_.configuration_key));
  if (configuration != reading_.end()) {
    Deliver(configuration->second);
  }
  for (const auto& [key, entry] : reading_) {
    Deliver(entry);
  }
  reading_.clear();
  Poll();
}

void FleetDuty::Reopen() {
  if (store_ == nullptr || seen_ == StoreRevision{}) {
    return;
  }
  watch_timer_.cancel();
  Poll();
}

void FleetDuty::NoteSeen(StoreRevision revision) {
  if (revision > seen_) {
    seen_ = revision;
    decisions_.Post(StoreSeen{revision.value()});
  }
}

void FleetDuty::Poll() {
  const std::uint64_t poll = ++poll_;
  store_->Poll({"", true, ""}, seen_, times_.wait,
               [this, poll](Result<StoreWatchUpdate>&& update) {
                 if (poll != poll_) {
                   return;
                 }
                 NoteContact(bool{update},
                             update ? "" : update.error().message);
                 if (!update) {
                   return PauseThen(times_.retry, &FleetDuty::Poll);
                 }
                 TakeUpdate(update.value());
               });
}

void FleetDuty::TakeUpdate(const StoreWatchUpdate& update) {
  if (update.gap) {
    return ReadAll();
  }
  for (const StoreChange& change : update.changes) {
    if (change.entry) {
      Deliver(*change.entry);
    } else {
      NoteMissing(change.key);
    }
  }
  NoteSeen(update.revision);
  if (update.changes.empty()) {
    return Poll();
  }
  PauseThen(times_.batch, &FleetDuty::Poll);
}

// What the store says.

void FleetDuty::Deliver(const StoreEntry& entry) {
  missing_.erase(entry.key);
  StoreRevision& known = known_[entry.key];
  if (entry.modified <= known) {
    return;
  }
  known = entry.modified;
  if (entry.key == dialect_.configuration_key) {
    return DeliverConfiguration(entry);
  }
  if (const auto id = Behind(entry.key, dialect_.upstreams_prefix);
      !id.empty()) {
    return DeliverUpstream(entry, id);
  }
  if (const auto zone = Behind(entry.key, dialect_.evacuations_prefix);
      !zone.empty()) {
    decisions_.Post(ZoneEvacuated{ZoneId{std::string(zone)}, true});
    return;
  }
  if (const auto id = Behind(entry.key, instances_prefix_); !id.empty()) {
    DeliverInstance(entry, id);
  }
}

void FleetDuty::DeliverConfiguration(const StoreEntry& entry) {
  Result<RouteCatalogue> catalogue = dialect_.decode_configuration(entry.value);
  if (!catalogue) {
    Log(log_events::kStoreEntryIgnored,
        {{"key", entry.key}, {"detail", catalogue.error().message}});
    return;
  }
  decisions_.Post(CatalogueArrived{
      std::make_shared<const RouteCatalogue>(std::move(catalogue.value()))});
}

void FleetDuty::DeliverUpstream(const StoreEntry& entry, std::string_view id) {
  Result<UpstreamRecord> record = dialect_.decode_upstream(id, entry.value);
  if (!record) {
    Log(log_events::kStoreEntryIgnored,
        {{"key", entry.key}, {"detail", record.error().message}});
    // Whatever it was before, it names no upstream to use now.
    decisions_.Post(UpstreamRemoved{UpstreamId{std::string(id)}});
    return;
  }
  if (IsOfRegion(record.value().config.zone)) {
    decisions_.Post(UpstreamLearned{std::move(record.value())});
  }
}

void FleetDuty::DeliverInstance(const StoreEntry& entry, std::string_view id) {
  if (id == settings_.instance.value()) {
    return;
  }
  const auto document = nlohmann::json::parse(entry.value, nullptr, false);
  const bool valid = document.is_object();
  const auto entry_at = ParseEndpoint(valid ? TextAt(document, "entry") : "");
  const auto link_at = ParseEndpoint(valid ? TextAt(document, "link") : "");
  if (!entry_at || !link_at) {
    Log(log_events::kStoreEntryIgnored,
        {{"key", entry.key}, {"detail", "an instance's entry has no address"}});
    return;
  }
  decisions_.Post(InstanceLearned{
      {InstanceId{std::string(id)}, RegionId{TextAt(document, "region")},
       ZoneId{TextAt(document, "zone")}, entry_at.value(), link_at.value()}});
}

// After an outage the entries of the living may be missing for a while.
void FleetDuty::NoteMissing(const std::string& key) {
  const auto until = outage_ended_at_ + times_.return_time;
  if (outage_ended_at_ == Clock::time_point{} || Clock::now() >= until) {
    return Remove(key);
  }
  missing_.emplace(key, until);
  missing_timer_.expires_at(until);
  missing_timer_.async_wait([this](const auto& canceled) {
    if (!canceled && store_ != nullptr) {
      CheckMissing();
    }
  });
}

void FleetDuty::CheckMissing() {
  const auto now = Clock::now();
  std::vector<std::string> gone;
  for (const auto& [key, until] : missing_) {
    if (now >= until) {
      gone.push_back(key);
    }
  }
  for (const std::string& key : gone) {
    missing_.erase(key);
    Remove(key);
  }
}

void FleetDuty::Remove(const std::string& key) {
  known_.erase(key);
  if (key == OwnKey()) {
    // It lapsed, or an earlier start's lease did.
    if (!leaving_ && lease_ != LeaseId{}) {
      Log(log_events::kRegistrationLost);
      PutRegistration(lease_);
    }
    return;
  }
  if (const auto id = Behind(key, dialect_.upstreams_prefix); !id.empty()) {
    decisions_.Post(UpstreamRemoved{UpstreamId{std::string(id)}});
  } else if (const auto zone = Behind(key, dialect_.evacuations_prefix);
             !zone.empty()) {
    decisions_.Post(ZoneEvacuated{ZoneId{std::string(zone)}, false});
  } else if (const auto name = Behind(key, instances_prefix_); !name.empty()) {
    decisions_.Post(InstanceRemoved{InstanceId{std::string(name)}});
  }
}

bool FleetDuty::IsOfRegion(const ZoneId& zone) const {
  return std::any_of(settings_.regions.begin(), settings_.regions.end(),
                     [&](const RegionSettings& region) {
                       return region.id == settings_.region &&
                              std::find(region.zones.begin(),
                                        region.zones.end(),
                                        zone) != region.zones.end();
                     });
}

void FleetDuty::NoteContact(bool reached, const std::string& detail) {
  const auto now = Clock::now();
  if (reached) {
    // Without a failed call, silence may be no more than a call that waits.
    const Duration silence =
        reachable_ ? times_.outage + times_.wait : times_.outage;
    if (now - contact_at_ > silence) {
      outage_ended_at_ = now;
    }
    contact_at_ = now;
  }
  if (reached == reachable_) {
    return;
  }
  reachable_ = reached;
  if (reached) {
    Log(log_events::kStoreReachable);
  } else {
    Log(log_events::kStoreUnreachable, {{"detail", detail}});
  }
}

}  // namespace mimosagauge
