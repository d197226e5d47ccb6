// Entries of the platform's store and their changes, posted to the decisions.

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "mimosagauge/impl/duties/common/log.h"
#include "mimosagauge/impl/duties/store/fleet_duty.h"
#include "mimosagauge/impl/store/json_document.h"

namespace mimosagauge {
namespace {

// The string in a field, or an empty one when the field is missing or has
// another type.
[[nodiscard]] std::string StringField(const nlohmann::json& object,
                                      const char* key) {
  const auto found = object.find(key);
  return found != object.end() && found->is_string() ? found->get<std::string>()
                                                     : std::string();
}

// The memory that an instance has published; zero when it has not.
[[nodiscard]] Bytes MemoryField(const nlohmann::json& object) {
  const auto found = object.find("memory");
  return found != object.end() && found->is_number_unsigned()
             ? Bytes{found->get<std::uint64_t>()}
             : Bytes{};
}

// The part of `key` after `prefix`, or an empty one when it has another prefix.
[[nodiscard]] std::string_view SuffixAfter(std::string_view key,
                                           std::string_view prefix) {
  return key.starts_with(prefix) ? key.substr(prefix.size())
                                 : std::string_view();
}

}  // namespace

void FleetDuty::PostEntry(const StoreEntry& entry) {
  missing_until_.erase(entry.key);
  UpdateRegistration(entry.key, &entry);
  StoreRevision& posted_revision = posted_revisions_[entry.key];
  if (entry.modified <= posted_revision) {
    return;
  }
  posted_revision = entry.modified;
  if (entry.key == dialect_.configuration_key) {
    return PostConfiguration(entry);
  }
  if (const auto id = SuffixAfter(entry.key, dialect_.upstreams_prefix);
      !id.empty()) {
    return PostUpstream(entry, id);
  }
  if (const auto zone = SuffixAfter(entry.key, dialect_.evacuations_prefix);
      !zone.empty()) {
    decisions_.Post(ZoneEvacuated{ZoneId{std::string(zone)}, true});
    return;
  }
  if (const auto id = SuffixAfter(entry.key, instances_prefix_); !id.empty()) {
    PostInstance(entry, id);
  }
}

void FleetDuty::PostConfiguration(const StoreEntry& entry) {
  Result<RouteCatalogue> catalogue = dialect_.decode_configuration(entry.value);
  if (!catalogue) {
    Log(log_events::kStoreEntryIgnored,
        {{"key", entry.key}, {"detail", catalogue.error().message}});
    return;
  }
  configuration_version_ = catalogue.value().revision;
  decisions_.Post(CatalogueReceived{
      std::make_shared<const RouteCatalogue>(std::move(catalogue.value()))});
}

void FleetDuty::PostUpstream(const StoreEntry& entry, std::string_view id) {
  Result<UpstreamRecord> record = dialect_.decode_upstream(id, entry.value);
  if (!record) {
    Log(log_events::kStoreEntryIgnored,
        {{"key", entry.key}, {"detail", record.error().message}});
    // An upstream with an invalid entry must not be used, whatever an earlier
    // entry contained.
    decisions_.Post(UpstreamRemoved{UpstreamId{std::string(id)}});
    return;
  }
  if (IsInOwnRegion(record.value().config.zone)) {
    decisions_.Post(UpstreamUpdated{std::move(record.value())});
  } else {
    UpstreamConfig& config = record.value().config;
    decisions_.Post(SoftwareSeen{std::move(config.id),
                                 std::move(config.service),
                                 std::move(config.software)});
  }
}

void FleetDuty::PostInstance(const StoreEntry& entry, std::string_view id) {
  if (id == settings_.instance.value()) {
    return;
  }
  const auto document = ParseJsonDocument(entry.value);
  const bool valid = document.is_object();
  const auto entry_at =
      ParseEndpoint(valid ? StringField(document, "entry") : "");
  const auto link_at =
      ParseEndpoint(valid ? StringField(document, "link") : "");
  if (!entry_at || !link_at) {
    Log(log_events::kStoreEntryIgnored,
        {{"key", entry.key},
         {"detail",
          "the instance's entry has no valid 'entry' or 'link' address"}});
    return;
  }
  decisions_.Post(InstanceUpdated{
      {InstanceId{std::string(id)}, RegionId{StringField(document, "region")},
       ZoneId{StringField(document, "zone")}, entry_at.value(), link_at.value(),
       MemoryField(document)}});
}

// Records a registration as the store has it; null: it was removed.
void FleetDuty::UpdateRegistration(const std::string& key,
                                   const StoreEntry* entry) {
  const auto id = SuffixAfter(key, instances_prefix_);
  if (!settings_.allowances || id.empty()) {
    return;
  }
  const auto known = registrations_.find(key);
  if (entry == nullptr) {
    registrations_changed_ |= known != registrations_.end();
    registrations_.erase(key);
    own_entry_lease_ = key == RegistrationKey() ? LeaseId{} : own_entry_lease_;
    return;
  }
  if (known != registrations_.end() &&
      entry->modified.value() <= known->second.modified) {
    return;
  }
  const auto document = ParseJsonDocument(entry->value);
  registrations_changed_ = true;
  registrations_[key] = {
      InstanceId{std::string(id)},
      RegionId{document.is_object() ? StringField(document, "region") : ""},
      entry->created.value(), entry->modified.value()};
  if (key == RegistrationKey()) {
    own_entry_lease_ = entry->lease;
    if (entry->created != entry->modified) {
      AddReplacementTimer();
    }
  }
}

// Posts the registrations if they changed. They are complete only after a whole
// read or update of the watch has been applied.
void FleetDuty::PostRegistrations() {
  // An instance whose lease is not in the copy may lend until that lease would
  // have ended. During that time no other instance may begin to lend, and this
  // one may continue only if the copy contains its entry.
  const bool may_not_begin = WasRestoredWithin(settings_.session);
  const bool keeps_entry = own_entry_lease_ != LeaseId{} &&
                           own_entry_lease_ == entry_lease_before_restoration_;
  if (!registrations_changed_ || (may_not_begin && keeps_entry)) {
    return;
  }
  registrations_changed_ = may_not_begin;
  RegistrationTable table;
  table.revision = seen_revision_.value();
  table.own_entry_lease = may_not_begin ? 0 : own_entry_lease_.value();
  for (const auto& [key, registration] : registrations_) {
    table.list.push_back(registration);
    // Older entries may be missing until the changes up to the newest entry
    // have been received.
    registrations_changed_ |= registration.modified > table.revision;
  }
  decisions_.Post(RegistrationsReceived{std::move(table)});
}

// Removes the entry, or defers that for a while after an outage, when entries
// of running instances and upstreams may be missing until they register again.
void FleetDuty::RemoveOrDefer(const std::string& key) {
  UpdateRegistration(key, nullptr);
  const auto until = outage_ended_at_ + times_.return_grace;
  if (outage_ended_at_ == Clock::time_point{} || Clock::now() >= until) {
    return RemoveEntry(key);
  }
  missing_until_.emplace(key, until);
  missing_timer_.expires_at(until);
  missing_timer_.async_wait([this](const auto& canceled) {
    if (!canceled && store_ != nullptr) {
      RemoveExpiredMissing();
    }
  });
}

void FleetDuty::RemoveExpiredMissing() {
  const auto now = Clock::now();
  std::vector<std::string> removed_keys;
  for (const auto& [key, until] : missing_until_) {
    if (now >= until) {
      removed_keys.push_back(key);
    }
  }
  for (const std::string& key : removed_keys) {
    missing_until_.erase(key);
    RemoveEntry(key);
  }
}

void FleetDuty::RemoveEntry(const std::string& key) {
  posted_revisions_.erase(key);
  if (key == RegistrationKey()) {
    // This registration's lease expired, or the lease of an earlier start of
    // this instance did.
    if (!leaving_ && lease_ != LeaseId{}) {
      Log(log_events::kRegistrationLost);
      WriteRegistration(lease_);
    }
    return;
  }
  if (const auto id = SuffixAfter(key, dialect_.upstreams_prefix);
      !id.empty()) {
    decisions_.Post(UpstreamRemoved{UpstreamId{std::string(id)}});
  } else if (const auto zone = SuffixAfter(key, dialect_.evacuations_prefix);
             !zone.empty()) {
    decisions_.Post(ZoneEvacuated{ZoneId{std::string(zone)}, false});
  } else if (const auto name = SuffixAfter(key, instances_prefix_);
             !name.empty()) {
    decisions_.Post(InstanceRemoved{InstanceId{std::string(name)}});
  }
}

bool FleetDuty::IsInOwnRegion(const ZoneId& zone) const {
  return std::any_of(settings_.regions.begin(), settings_.regions.end(),
                     [&](const RegionSettings& region) {
                       return region.id == settings_.region &&
                              std::find(region.zones.begin(),
                                        region.zones.end(),
                                        zone) != region.zones.end();
                     });
}

}  // namespace mimosagauge
