// Classification, routing and clearing of suspects.

#include "mimosagauge/impl/decisions/poison.h"

#include <algorithm>
#include <string>
#include <utility>

#include "mimosagauge/impl/decisions/rendezvous.h"

namespace mimosagauge {
namespace {

constexpr std::uint16_t kUnprocessable = 422;
constexpr std::uint16_t kUnavailable = 503;
constexpr Duration kIsolatedRunRetryAfter = std::chrono::seconds(1);

/// One crash, combined from the records of all instances that observed it.
struct CrashGroup {
  UpstreamId upstream;
  TimePoint first_at{};
  TimePoint last_at{};
  std::set<SuspectFingerprint> suspects;  // Requests that are not cleared.
  std::set<SuspectFingerprint> present;  // All requests, cleared ones included.
  bool truncated = false;
};

void AddToGroup(CrashGroup& group, const CrashEntry& crash) {
  group.first_at = std::min(group.first_at, crash.occurred_at);
  group.last_at = std::max(group.last_at, crash.occurred_at);
  group.truncated = group.truncated || crash.record.truncated;
  group.present.insert(crash.record.suspects.begin(),
                       crash.record.suspects.end());
  std::set_difference(crash.record.suspects.begin(),
                      crash.record.suspects.end(), crash.record.cleared.begin(),
                      crash.record.cleared.end(),
                      std::inserter(group.suspects, group.suspects.end()));
}

bool IsSameCrash(const PoisonTable& table, const CrashGroup& group,
                 const CrashEntry& crash) {
  return group.upstream == crash.record.upstream &&
         crash.occurred_at + table.settings.same_crash_window >=
             group.first_at &&
         crash.occurred_at <= group.last_at + table.settings.same_crash_window;
}

bool IsUnexpired(const PoisonTable& table, const CrashEntry& crash,
                 TimePoint now) {
  return now < crash.occurred_at + table.settings.crash_retention;
}

// Returns the crashes at which the suspect was running and of which it has not
// been cleared.
std::vector<CrashGroup> UnclearedCrashesOf(const PoisonTable& table,
                                           TimePoint now,
                                           SuspectFingerprint suspect) {
  std::vector<CrashGroup> groups;
  const auto present = table.crashes_by_suspect.find(suspect);
  if (present == table.crashes_by_suspect.end()) {
    return groups;
  }
  for (const CrashId& id : present->second) {
    const CrashEntry& crash = table.crashes.at(id);
    if (!IsUnexpired(table, crash, now) ||
        crash.record.cleared.contains(suspect)) {
      continue;
    }
    const auto existing =
        std::find_if(groups.begin(), groups.end(),
                     [&table, &crash](const CrashGroup& group) {
                       return IsSameCrash(table, group, crash);
                     });
    if (existing != groups.end()) {
      AddToGroup(*existing, crash);
      continue;
    }
    groups.push_back({crash.record.upstream,
                      crash.occurred_at,
                      crash.occurred_at,
                      {},
                      {},
                      false});
    AddToGroup(groups.back(), crash);
  }
  // Requests of other instances that ran on the upstream at the same time are
  // suspects too.
  for (CrashGroup& group : groups) {
    for (const auto& [id, crash] : table.crashes) {
      if (IsUnexpired(table, crash, now) && IsSameCrash(table, group, crash)) {
        AddToGroup(group, crash);
      }
    }
  }
  return groups;
}

// Returns whether the suspect is the only one that is common to all crashes.
// Truncated records are skipped: they do not prove that a request was absent.
bool IsOnlyCommonSuspect(const std::vector<CrashGroup>& groups,
                         SuspectFingerprint suspect) {
  std::optional<std::set<SuspectFingerprint>> common;
  for (const CrashGroup& group : groups) {
    if (group.truncated) {
      continue;
    }
    if (!common) {
      common = group.suspects;
      continue;
    }
    std::erase_if(*common, [&group](SuspectFingerprint other) {
      return !group.suspects.contains(other);
    });
  }
  return common && common->size() == 1 && common->contains(suspect);
}

void IndexSuspects(PoisonTable& table, const CrashRecord& record) {
  for (const SuspectFingerprint suspect : record.suspects) {
    table.crashes_by_suspect[suspect].insert(record.id);
  }
}

void EraseCrash(PoisonTable& table,
                std::map<CrashId, CrashEntry>::iterator crash) {
  for (const SuspectFingerprint suspect : crash->second.record.suspects) {
    const auto found = table.crashes_by_suspect.find(suspect);
    found->second.erase(crash->first);
    if (found->second.empty()) {
      table.crashes_by_suspect.erase(found);
    }
  }
  table.crashes.erase(crash);
}

void EvictOldestCrashes(PoisonTable& table) {
  while (table.crashes.size() >= table.settings.max_crashes) {
    EraseCrash(table, std::min_element(
                          table.crashes.begin(), table.crashes.end(),
                          [](const auto& a, const auto& b) {
                            return a.second.occurred_at < b.second.occurred_at;
                          }));
  }
}

// Merges a record into the entry with the same id. Returns whether the entry's
// sets or its truncated flag changed.
bool MergeRecord(CrashEntry& known, const CrashRecord& record, TimePoint at) {
  const std::size_t size =
      known.record.suspects.size() + known.record.cleared.size();
  const bool truncated = known.record.truncated;
  known.occurred_at = std::min(known.occurred_at, at);
  known.record.suspects.insert(record.suspects.begin(), record.suspects.end());
  known.record.cleared.insert(record.cleared.begin(), record.cleared.end());
  known.record.truncated = truncated || record.truncated;
  return size != known.record.suspects.size() + known.record.cleared.size() ||
         truncated != known.record.truncated;
}

CrashRecord WithCurrentAge(const CrashEntry& crash, TimePoint now) {
  CrashRecord record = crash.record;
  record.age = now - crash.occurred_at;
  return record;
}

RefuseSuspect MakeRefusal(std::uint16_t status, std::string type,
                          std::string detail, std::string remedy,
                          std::optional<Duration> retry_after) {
  Problem problem;
  problem.status = status;
  problem.type = std::move(type);
  problem.title = "The request was not run";
  problem.detail = std::move(detail);
  problem.remedy = std::move(remedy);
  problem.run = RunState::kNotRun;
  problem.retry_after = retry_after;
  return {std::move(problem)};
}

RefuseSuspect RefusePoison(const PoisonTable& table) {
  return MakeRefusal(
      kUnprocessable, "poison-request",
      "Two upstreams were lost while they ran this content, and no "
      "other request was present at both.",
      "change the request, or ask the operators why it crashes the upstreams",
      table.settings.crash_retention);
}

RefuseSuspect RefuseAmbiguous(const PoisonTable& table) {
  return MakeRefusal(
      kUnavailable, "suspect-request",
      "Upstreams were lost while they ran this content and others; "
      "it is not known which one is the cause.",
      "send the request again later", table.settings.spread);
}

RefuseSuspect RefuseDuringIsolatedRun() {
  return MakeRefusal(
      kUnavailable, "suspect-request",
      "An upstream was lost while it ran this content, which now "
      "runs in isolation, one request at a time.",
      "send the request again later", kIsolatedRunRetryAfter);
}

std::vector<CrashRecord> CrashRecordsOf(const PoisonTable& table, TimePoint now,
                                        SuspectFingerprint suspect) {
  std::vector<CrashRecord> records;
  for (const CrashId& id : table.crashes_by_suspect.at(suspect)) {
    records.push_back(WithCurrentAge(table.crashes.at(id), now));
  }
  return records;
}

TimePoint LastCrashTime(const std::vector<CrashGroup>& groups) {
  TimePoint last = groups.front().last_at;
  for (const CrashGroup& group : groups) {
    last = std::max(last, group.last_at);
  }
  return last;
}

SuspectRoute RouteToAssignedInstance(PoisonTable& table, TimePoint now,
                                     SuspectFingerprint suspect,
                                     std::span<const InstanceId> candidates) {
  const std::vector<CrashGroup> groups =
      UnclearedCrashesOf(table, now, suspect);
  const InstanceId assigned = ChooseByRendezvous(suspect.low, candidates);
  if (!assigned.empty() && assigned != table.self.instance) {
    return ForwardToAssignedInstance{assigned,
                                     CrashRecordsOf(table, now, suspect)};
  }
  const TimePoint propagated_at = LastCrashTime(groups) + table.settings.spread;
  if (now < propagated_at) {
    return RetryRoutingLater{propagated_at};
  }
  if (assigned.empty() || !table.isolated_runs.insert(suspect).second) {
    return RefuseDuringIsolatedRun();
  }
  return RunIsolated{};
}

}  // namespace

SuspectFingerprint SuspectFingerprintOf(const HashFunction& hash,
                                        const AccountId& account,
                                        const ContentDigest& content) {
  const KeyFingerprint fingerprint =
      FingerprintOf(hash, account, IdempotencyKey(content.value()));
  return {fingerprint.high, fingerprint.low};
}

SuspicionLevel SuspicionOf(const PoisonTable& table, TimePoint now,
                           SuspectFingerprint suspect) {
  const std::vector<CrashGroup> groups =
      UnclearedCrashesOf(table, now, suspect);
  if (groups.empty()) {
    return SuspicionLevel::kNotSuspect;
  }
  if (groups.size() == 1) {
    return SuspicionLevel::kSuspect;
  }
  const bool may_be_incomplete = std::any_of(
      groups.begin(), groups.end(), [&table, now](const CrashGroup& group) {
        return now < group.last_at + table.settings.spread;
      });
  if (may_be_incomplete || !IsOnlyCommonSuspect(groups, suspect)) {
    return SuspicionLevel::kUndecided;
  }
  return SuspicionLevel::kPoison;
}

std::optional<CrashRecord> ReportCrash(
    PoisonTable& table, TimePoint now, const UpstreamId& upstream,
    std::span<const SuspectFingerprint> running) {
  if (running.empty()) {
    return std::nullopt;
  }
  CrashRecord record;
  record.id = {table.self, ++table.last_crash_number};
  record.upstream = upstream;
  for (const SuspectFingerprint suspect : running) {
    if (record.suspects.size() < kMaxSuspectsPerCrash ||
        record.suspects.contains(suspect)) {
      record.suspects.insert(suspect);
    } else {
      record.truncated = true;
    }
  }
  EvictOldestCrashes(table);
  IndexSuspects(table, record);
  table.crashes.emplace(record.id, CrashEntry{record, now});
  return record;
}

bool MergeCrashRecord(PoisonTable& table, TimePoint now,
                      const CrashRecord& record) {
  if (record.suspects.size() > kMaxSuspectsPerCrash ||
      record.age < Duration::zero() ||
      record.age >= table.settings.crash_retention) {
    return false;
  }
  const TimePoint at = now - record.age;
  const auto known = table.crashes.find(record.id);
  if (known != table.crashes.end()) {
    const bool changed = MergeRecord(known->second, record, at);
    IndexSuspects(table, record);
    return changed;
  }
  EvictOldestCrashes(table);
  IndexSuspects(table, record);
  table.crashes.emplace(record.id, CrashEntry{record, at});
  return true;
}

std::vector<CrashRecord> ExportCrashes(const PoisonTable& table,
                                       TimePoint now) {
  std::vector<CrashRecord> records;
  for (const auto& [id, crash] : table.crashes) {
    if (IsUnexpired(table, crash, now)) {
      records.push_back(WithCurrentAge(crash, now));
    }
  }
  return records;
}

void RemoveExpiredCrashes(PoisonTable& table, TimePoint now) {
  for (auto crash = table.crashes.begin(); crash != table.crashes.end();) {
    const auto next = std::next(crash);
    if (!IsUnexpired(table, crash->second, now)) {
      EraseCrash(table, crash);
    }
    crash = next;
  }
}

SuspectRoute RouteSuspect(PoisonTable& table, TimePoint now,
                          SuspectFingerprint suspect,
                          std::span<const InstanceId> candidates) {
  switch (SuspicionOf(table, now, suspect)) {
    case SuspicionLevel::kNotSuspect:
      return RunNormally{};
    case SuspicionLevel::kPoison:
      return RefusePoison(table);
    case SuspicionLevel::kUndecided:
      return RefuseAmbiguous(table);
    case SuspicionLevel::kSuspect:
      break;
  }
  return RouteToAssignedInstance(table, now, suspect, candidates);
}

std::vector<CrashRecord> EndIsolatedRun(PoisonTable& table, TimePoint now,
                                        SuspectFingerprint suspect,
                                        bool completed) {
  std::vector<CrashRecord> changed;
  table.isolated_runs.erase(suspect);
  const auto present = table.crashes_by_suspect.find(suspect);
  if (!completed || present == table.crashes_by_suspect.end()) {
    return changed;
  }
  for (const CrashGroup& group : UnclearedCrashesOf(table, now, suspect)) {
    // The suspect is not cleared of a crash at which no other request was
    // present.
    if (group.present.size() == 1 && !group.truncated) {
      continue;
    }
    for (const CrashId& id : present->second) {
      CrashEntry& crash = table.crashes.at(id);
      if (IsSameCrash(table, group, crash) &&
          crash.record.cleared.insert(suspect).second) {
        changed.push_back(WithCurrentAge(crash, now));
      }
    }
  }
  return changed;
}

}  // namespace mimosagauge
