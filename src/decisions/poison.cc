// Suspicion, judgement and clearing.

#include "mimosagauge/impl/decisions/poison.h"

#include <algorithm>
#include <string>
#include <utility>

#include "mimosagauge/impl/decisions/rendezvous.h"

namespace mimosagauge {
namespace {

constexpr std::uint16_t kUnprocessable = 422;
constexpr std::uint16_t kUnavailable = 503;
constexpr Duration kTrialRetry = std::chrono::seconds(1);

/// One crash, put together from the records of those who saw it.
struct CrashGroup {
  UpstreamId upstream;
  TimePoint first{};
  TimePoint last{};
  std::set<SuspectFingerprint> suspects;  // Not cleared of it.
  std::set<SuspectFingerprint> present;   // Cleared ones too.
  bool truncated = false;
};

void AddTo(CrashGroup& group, const KnownCrash& crash) {
  group.first = std::min(group.first, crash.at);
  group.last = std::max(group.last, crash.at);
  group.truncated = group.truncated || crash.record.truncated;
  group.present.insert(crash.record.suspects.begin(),
                       crash.record.suspects.end());
  std::set_difference(crash.record.suspects.begin(),
                      crash.record.suspects.end(), crash.record.cleared.begin(),
                      crash.record.cleared.end(),
                      std::inserter(group.suspects, group.suspects.end()));
}

bool SameCrash(const PoisonTable& table, const CrashGroup& group,
               const KnownCrash& crash) {
  return group.upstream == crash.record.upstream &&
         crash.at + table.settings.same_crash >= group.first &&
         crash.at <= group.last + table.settings.same_crash;
}

bool IsLive(const PoisonTable& table, const KnownCrash& crash, TimePoint now) {
  return now < crash.at + table.settings.forget_after;
}

// The crashes at which the suspect was present and of which it is not cleared.
std::vector<CrashGroup> GroupsOf(const PoisonTable& table, TimePoint now,
                                 SuspectFingerprint suspect) {
  std::vector<CrashGroup> groups;
  const auto present = table.by_suspect.find(suspect);
  if (present == table.by_suspect.end()) {
    return groups;
  }
  for (const CrashId& id : present->second) {
    const KnownCrash& crash = table.crashes.at(id);
    if (!IsLive(table, crash, now) || crash.record.cleared.contains(suspect)) {
      continue;
    }
    const auto same = std::find_if(groups.begin(), groups.end(),
                                   [&table, &crash](const CrashGroup& group) {
                                     return SameCrash(table, group, crash);
                                   });
    if (same != groups.end()) {
      AddTo(*same, crash);
      continue;
    }
    groups.push_back(
        {crash.record.upstream, crash.at, crash.at, {}, {}, false});
    AddTo(groups.back(), crash);
  }
  // What other instances ran there at the time is as suspect.
  for (CrashGroup& group : groups) {
    for (const auto& [id, crash] : table.crashes) {
      if (IsLive(table, crash, now) && SameCrash(table, group, crash)) {
        AddTo(group, crash);
      }
    }
  }
  return groups;
}

// A record that could not name all proves nobody absent.
bool IsOnlyCommon(const std::vector<CrashGroup>& groups,
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

void Index(PoisonTable& table, const CrashRecord& record) {
  for (const SuspectFingerprint suspect : record.suspects) {
    table.by_suspect[suspect].insert(record.id);
  }
}

void Erase(PoisonTable& table, std::map<CrashId, KnownCrash>::iterator crash) {
  for (const SuspectFingerprint suspect : crash->second.record.suspects) {
    const auto found = table.by_suspect.find(suspect);
    found->second.erase(crash->first);
    if (found->second.empty()) {
      table.by_suspect.erase(found);
    }
  }
  table.crashes.erase(crash);
}

void MakeRoom(PoisonTable& table) {
  while (table.crashes.size() >= table.settings.max_crashes) {
    Erase(table, std::min_element(table.crashes.begin(), table.crashes.end(),
                                  [](const auto& a, const auto& b) {
                                    return a.second.at < b.second.at;
                                  }));
  }
}

// Unites two records of one id. Returns whether anything changed.
bool Merge(KnownCrash& known, const CrashRecord& record, TimePoint at) {
  const std::size_t size =
      known.record.suspects.size() + known.record.cleared.size();
  const bool truncated = known.record.truncated;
  known.at = std::min(known.at, at);
  known.record.suspects.insert(record.suspects.begin(), record.suspects.end());
  known.record.cleared.insert(record.cleared.begin(), record.cleared.end());
  known.record.truncated = truncated || record.truncated;
  return size != known.record.suspects.size() + known.record.cleared.size() ||
         truncated != known.record.truncated;
}

CrashRecord Aged(const KnownCrash& crash, TimePoint now) {
  CrashRecord record = crash.record;
  record.age = now - crash.at;
  return record;
}

RefuseSuspect Refuse(std::uint16_t status, std::string type, std::string detail,
                     std::string remedy, std::optional<Duration> retry_after) {
  Problem problem;
  problem.status = status;
  problem.type = std::move(type);
  problem.title = "The request is not run";
  problem.detail = std::move(detail);
  problem.remedy = std::move(remedy);
  problem.run = RunState::kNotRun;
  problem.retry_after = retry_after;
  return {std::move(problem)};
}

RefuseSuspect RefusePoison(const PoisonTable& table) {
  return Refuse(kUnprocessable, "poison-request",
                "Two upstreams were lost while they ran this content, and no "
                "other request was present at both.",
                "change the request, or ask the operators why it fails",
                table.settings.forget_after);
}

RefuseSuspect RefuseUndecided(const PoisonTable& table) {
  return Refuse(kUnavailable, "suspect-request",
                "Upstreams were lost while they ran this content and others; "
                "which one is the cause is not known.",
                "send the request again later", table.settings.spread);
}

RefuseSuspect RefuseDuringTrial() {
  return Refuse(kUnavailable, "suspect-request",
                "An upstream was lost while it ran this content, which now "
                "runs alone, one at a time.",
                "send the request again later", kTrialRetry);
}

std::vector<CrashRecord> CrashesOf(const PoisonTable& table, TimePoint now,
                                   SuspectFingerprint suspect) {
  std::vector<CrashRecord> records;
  for (const CrashId& id : table.by_suspect.at(suspect)) {
    records.push_back(Aged(table.crashes.at(id), now));
  }
  return records;
}

TimePoint LastCrash(const std::vector<CrashGroup>& groups) {
  TimePoint last = groups.front().last;
  for (const CrashGroup& group : groups) {
    last = std::max(last, group.last);
  }
  return last;
}

SuspectRoute RouteToJudge(PoisonTable& table, TimePoint now,
                          SuspectFingerprint suspect,
                          std::span<const InstanceId> candidates) {
  const std::vector<CrashGroup> groups = GroupsOf(table, now, suspect);
  const InstanceId judge = Rendezvous(suspect.low, candidates);
  if (!judge.empty() && judge != table.self.instance) {
    return PassToJudge{judge, CrashesOf(table, now, suspect)};
  }
  const TimePoint settled = LastCrash(groups) + table.settings.spread;
  if (now < settled) {
    return AskLater{settled};
  }
  if (judge.empty() || !table.trials.insert(suspect).second) {
    return RefuseDuringTrial();
  }
  return RunAlone{};
}

}  // namespace

SuspectFingerprint SuspectOf(const HashFunction& hash, const AccountId& account,
                             const ContentDigest& content) {
  const KeyFingerprint print =
      FingerprintOf(hash, account, IdempotencyKey(content.value()));
  return {print.high, print.low};
}

Judgement Judge(const PoisonTable& table, TimePoint now,
                SuspectFingerprint suspect) {
  const std::vector<CrashGroup> groups = GroupsOf(table, now, suspect);
  if (groups.empty()) {
    return Judgement::kClean;
  }
  if (groups.size() == 1) {
    return Judgement::kSuspect;
  }
  const bool is_early = std::any_of(
      groups.begin(), groups.end(), [&table, now](const CrashGroup& group) {
        return now < group.last + table.settings.spread;
      });
  if (is_early || !IsOnlyCommon(groups, suspect)) {
    return Judgement::kUndecided;
  }
  return Judgement::kPoison;
}

std::optional<CrashRecord> ReportCrash(
    PoisonTable& table, TimePoint now, const UpstreamId& upstream,
    std::span<const SuspectFingerprint> running) {
  if (running.empty()) {
    return std::nullopt;
  }
  CrashRecord record;
  record.id = {table.self, ++table.last_number};
  record.upstream = upstream;
  for (const SuspectFingerprint suspect : running) {
    if (record.suspects.size() < kMaxSuspects ||
        record.suspects.contains(suspect)) {
      record.suspects.insert(suspect);
    } else {
      record.truncated = true;
    }
  }
  MakeRoom(table);
  Index(table, record);
  table.crashes.emplace(record.id, KnownCrash{record, now});
  return record;
}

bool LearnCrash(PoisonTable& table, TimePoint now, const CrashRecord& record) {
  if (record.suspects.size() > kMaxSuspects || record.age < Duration::zero() ||
      record.age >= table.settings.forget_after) {
    return false;
  }
  const TimePoint at = now - record.age;
  const auto known = table.crashes.find(record.id);
  if (known != table.crashes.end()) {
    const bool changed = Merge(known->second, record, at);
    Index(table, record);
    return changed;
  }
  MakeRoom(table);
  Index(table, record);
  table.crashes.emplace(record.id, KnownCrash{record, at});
  return true;
}

std::vector<CrashRecord> KnownCrashes(const PoisonTable& table, TimePoint now) {
  std::vector<CrashRecord> records;
  for (const auto& [id, crash] : table.crashes) {
    if (IsLive(table, crash, now)) {
      records.push_back(Aged(crash, now));
    }
  }
  return records;
}

void ForgetCrashes(PoisonTable& table, TimePoint now) {
  for (auto crash = table.crashes.begin(); crash != table.crashes.end();) {
    const auto next = std::next(crash);
    if (!IsLive(table, crash->second, now)) {
      Erase(table, crash);
    }
    crash = next;
  }
}

SuspectRoute RouteSuspect(PoisonTable& table, TimePoint now,
                          SuspectFingerprint suspect,
                          std::span<const InstanceId> candidates) {
  switch (Judge(table, now, suspect)) {
    case Judgement::kClean:
      return RunNormally{};
    case Judgement::kPoison:
      return RefusePoison(table);
    case Judgement::kUndecided:
      return RefuseUndecided(table);
    case Judgement::kSuspect:
      break;
  }
  return RouteToJudge(table, now, suspect, candidates);
}

std::vector<CrashRecord> EndTrial(PoisonTable& table, TimePoint now,
                                  SuspectFingerprint suspect, bool completed) {
  std::vector<CrashRecord> changed;
  table.trials.erase(suspect);
  const auto present = table.by_suspect.find(suspect);
  if (!completed || present == table.by_suspect.end()) {
    return changed;
  }
  for (const CrashGroup& group : GroupsOf(table, now, suspect)) {
    // A crash with nobody else present stays on its account.
    if (group.present.size() == 1 && !group.truncated) {
      continue;
    }
    for (const CrashId& id : present->second) {
      KnownCrash& crash = table.crashes.at(id);
      if (SameCrash(table, group, crash) &&
          crash.record.cleared.insert(suspect).second) {
        changed.push_back(Aged(crash, now));
      }
    }
  }
  return changed;
}

}  // namespace mimosagauge
