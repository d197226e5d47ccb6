// Evidence about crashes: merging of reports, clearing of content by sound
// answers, and the judgement which content is poison.

#include "mimosagauge/impl/decisions/poison_content.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <optional>
#include <utility>

#include "mimosagauge/impl/decisions/rendezvous.h"

namespace mimosagauge {
namespace {

// Groups of crashes after which content without a sound answer is poison.
constexpr std::size_t kGroupsOfPoison = 3;
// The same, if the answers to its requests had begun at the crashes.
constexpr std::size_t kBegunGroupsOfPoison = 2;
// Groups without other poison that are needed beside those with other poison,
// which are explained by that.
constexpr std::size_t kUnexplainedGroupsOfPoison = 2;
// Crashes that follow each other faster form a group.
constexpr Duration kMinGroupInterval = std::chrono::milliseconds(50);
// A group of as many crashes is probably a power loss, which crashes upstreams
// whatever they run. It is evidence only against content whose answers had
// begun at this part of the crashes.
constexpr std::size_t kLargeGroup = 4;
constexpr std::size_t kLargeGroupDivisor = 3;
// Sound answers to other requests since the first of the crashes. Without them,
// the upstreams crash for another reason than the content of requests.
constexpr std::uint64_t kMinSoundAnswers = 8;
// Reports of an upstream whose incarnation is not known belong to the same
// crash if they are no further apart.
constexpr Duration kSameCrashWindow = std::chrono::seconds(1);
constexpr Duration kCrashLifetime = std::chrono::minutes(10);
// A report of a crash arrives within this time, so the clearances of former
// suspects are kept as long.
constexpr Duration kClearanceLifetime = std::chrono::seconds(30);
constexpr Duration kSearchInterval = std::chrono::milliseconds(100);
// Time after the last evidence in which poison is searched for. The sound
// answers to other requests, which the search requires, come in this time.
constexpr Duration kSearchTime = std::chrono::seconds(30);
constexpr Duration kFirstRefusal = std::chrono::minutes(10);
constexpr Duration kMaxRefusal = std::chrono::hours(24);
// Content with the newest crashes is repeated in each message, up to this
// number.
constexpr std::size_t kRepeatedPoison = 16;

[[nodiscard]] bool LessById(const SuspectContent& a, const SuspectContent& b) {
  return a.id < b.id;
}

// Returns the crash that a report of this upstream belongs to, or the end.
[[nodiscard]] std::deque<Crash>::iterator FindCrash(PoisonTable& table,
                                                    const CrashReport& report,
                                                    TimePoint occurred_at) {
  return std::find_if(
      table.crashes.begin(), table.crashes.end(), [&](const Crash& crash) {
        const Duration distance = crash.occurred_at > occurred_at
                                      ? crash.occurred_at - occurred_at
                                      : occurred_at - crash.occurred_at;
        const bool same_process = report.incarnation != Incarnation{} &&
                                  report.incarnation == crash.incarnation;
        return crash.upstream == report.upstream &&
               (same_process || distance < kSameCrashWindow);
      });
}

// Whether a sound answer has cleared the content at `time` or later.
[[nodiscard]] bool IsClearedSince(const PoisonTable& table, ContentId id,
                                  TimePoint time) {
  const auto cleared = table.cleared_at.find(id);
  return cleared != table.cleared_at.end() && cleared->second >= time;
}

// Adds the suspects that no later sound answer has cleared. The first suspect
// whose answer had begun displaces the parts of requests whose answers had not.
// \returns The suspects that were not known before.
std::vector<SuspectContent> AddSuspects(
    const PoisonTable& table, Crash& crash,
    const std::vector<SuspectContent>& suspects) {
  std::vector<SuspectContent> added;
  for (const SuspectContent& suspect : suspects) {
    const bool displaced = crash.any_begun && !suspect.begun &&
                           suspect.depth != kWholeRequestDepth;
    if (displaced || IsClearedSince(table, suspect.id, crash.occurred_at)) {
      continue;
    }
    if (suspect.begun && !crash.any_begun) {
      crash.any_begun = true;
      std::erase_if(crash.suspects, [](const SuspectContent& other) {
        return other.depth != kWholeRequestDepth;
      });
    }
    const auto position = std::lower_bound(
        crash.suspects.begin(), crash.suspects.end(), suspect, LessById);
    const bool known =
        position != crash.suspects.end() && position->id == suspect.id;
    if (!known && crash.suspects.size() < kMaxSuspectsPerCrash) {
      crash.suspects.insert(position, suspect);
      added.push_back(suspect);
    }
  }
  return added;
}

// Merges a report into the table.
// \returns The suspects that were not known before.
std::vector<SuspectContent> MergeReport(PoisonTable& table,
                                        const CrashReport& report,
                                        TimePoint now) {
  table.changed_at = now;
  const TimePoint occurred_at = now - report.age;
  auto crash = FindCrash(table, report, occurred_at);
  if (crash == table.crashes.end()) {
    if (table.crashes.size() >= PoisonTable::kMaxCrashes) {
      table.crashes.pop_front();
    }
    const auto position =
        std::upper_bound(table.crashes.begin(), table.crashes.end(),
                         occurred_at, [](TimePoint time, const Crash& other) {
                           return time < other.occurred_at;
                         });
    crash = table.crashes.insert(position, Crash{report.upstream,
                                                 report.incarnation,
                                                 occurred_at,
                                                 {},
                                                 false,
                                                 {},
                                                 table.sound_answers,
                                                 0});
  } else if (occurred_at > crash->occurred_at + kSameCrashWindow) {
    // The process is known to be gone. Its address still got a request.
    return {};
  }
  return AddSuspects(table, *crash, report.suspects);
}

// Returns `age`, which holds now, as the age at `unsent.since`.
[[nodiscard]] Duration AgeOfUnsent(UnsentNews& unsent, Duration age,
                                   TimePoint now) {
  if (unsent.news.empty()) {
    unsent.since = now;
  }
  return age - (now - unsent.since);
}

// Appends to unsent news; a message that is full takes no more.
void AppendCrash(UnsentNews& unsent, CrashReport report, TimePoint now) {
  report.age = AgeOfUnsent(unsent, report.age, now);
  PoisonNews& news = unsent.news;
  const auto same = std::find_if(
      news.crashes.begin(), news.crashes.end(), [&](const CrashReport& other) {
        return other.upstream == report.upstream &&
               other.incarnation == report.incarnation;
      });
  if (same != news.crashes.end()) {
    const std::size_t room =
        kMaxSuspectsPerCrash -
        std::min(kMaxSuspectsPerCrash, same->suspects.size());
    const std::size_t count = std::min(room, report.suspects.size());
    same->suspects.insert(
        same->suspects.end(), report.suspects.begin(),
        report.suspects.begin() + static_cast<std::ptrdiff_t>(count));
  } else if (news.crashes.size() < PoisonNews::kMaxEntries) {
    news.crashes.push_back(report);
  }
}

void AppendClearance(UnsentNews& unsent, const Clearance& clearance,
                     TimePoint now) {
  const Duration age = AgeOfUnsent(unsent, clearance.age, now);
  if (unsent.news.clearances.size() < PoisonNews::kMaxEntries) {
    unsent.news.clearances.push_back({clearance.id, age});
  }
}

// Keeps the time for reports of crashes that arrive later.
void NoteClearance(PoisonTable& table, ContentId id, TimePoint time) {
  if (table.cleared_at.size() < PoisonTable::kMaxClearances) {
    TimePoint& cleared_at = table.cleared_at[id];
    cleared_at = std::max(cleared_at, time);
  }
}

// Removes the content from all crashes up to `time`, and its refusal.
// \returns Whether it was a suspect or refused.
bool Clear(PoisonTable& table, ContentId id, TimePoint time) {
  bool found = false;
  for (Crash& crash : table.crashes) {
    if (crash.occurred_at <= time) {
      found = std::erase_if(crash.suspects,
                            [id](const SuspectContent& suspect) {
                              return suspect.id == id;
                            }) > 0 ||
              found;
    }
  }
  const auto poison = table.poison.find(id);
  if (poison != table.poison.end() && poison->second.last_crash_at <= time) {
    table.poison.erase(poison);
    found = true;
  }
  if (found) {
    NoteClearance(table, id, time);
  }
  return found;
}

// How often content was a suspect in one group of crashes.
struct Occurrence {
  std::uint32_t depth = 0;
  std::size_t crashes = 0;
  std::size_t begun = 0;        // Of those, after the begin of the answer.
  std::size_t unexplained = 0;  // Of those, without other poison.
};

// The evidence against one suspect.
struct Evidence {
  std::uint32_t depth = 0;
  std::size_t crashes = 0;
  std::size_t begun = 0;  // Of those, after the begin of the answer.
  std::size_t groups = 0;
  std::size_t begun_groups = 0;
  std::size_t unexplained_groups = 0;
  bool in_large_group = false;
  TimePoint last_crash_at{};
  ServiceId service;                               // Of the first crash.
  std::uint64_t sound_answers_before = 0;          // At the first crash.
  std::uint64_t service_sound_answers_before = 0;  // At the first crash.
};

// Whether other poison, which requests were refused for or will be, was among
// the suspects of the crash.
[[nodiscard]] bool IsExplained(const PoisonTable& table, const Crash& crash,
                               ContentId except) {
  return std::any_of(crash.suspects.begin(), crash.suspects.end(),
                     [&](const SuspectContent& suspect) {
                       return suspect.id != except &&
                              table.poison.contains(suspect.id);
                     });
}

using CrashList = std::vector<const Crash*>;
using CrashIterator = CrashList::const_iterator;

// Returns the end of the group that begins at `first`.
[[nodiscard]] CrashIterator EndOfGroup(const CrashIterator& first,
                                       const CrashIterator& end) {
  auto last = first;
  for (auto next = std::next(first); next != end; ++next) {
    if ((*next)->occurred_at - (*last)->occurred_at >= kMinGroupInterval) {
      return next;
    }
    last = next;
  }
  return end;
}

void AddGroup(const PoisonTable& table, const CrashIterator& first,
              const CrashIterator& end,
              std::map<ContentId, Evidence>& collected) {
  std::map<ContentId, Occurrence> occurrences;
  for (auto crash = first; crash != end; ++crash) {
    for (const SuspectContent& suspect : (*crash)->suspects) {
      Occurrence& occurrence = occurrences[suspect.id];
      occurrence.depth = suspect.depth;
      ++occurrence.crashes;
      occurrence.begun += suspect.begun ? 1 : 0;
      occurrence.unexplained += IsExplained(table, **crash, suspect.id) ? 0 : 1;
    }
  }
  const auto size = static_cast<std::size_t>(end - first);
  const bool large = size >= kLargeGroup;
  for (const auto& [id, occurrence] : occurrences) {
    if (large && occurrence.begun * kLargeGroupDivisor < size) {
      continue;
    }
    Evidence& evidence = collected[id];
    if (evidence.groups == 0) {
      evidence.depth = occurrence.depth;
      evidence.service = (*first)->service;
      evidence.sound_answers_before = (*first)->sound_answers_before;
      evidence.service_sound_answers_before =
          (*first)->service_sound_answers_before;
    }
    ++evidence.groups;
    evidence.crashes += occurrence.crashes;
    evidence.begun += occurrence.begun;
    evidence.begun_groups += occurrence.begun > 0 ? 1 : 0;
    evidence.unexplained_groups += occurrence.unexplained > 0 ? 1 : 0;
    evidence.in_large_group = evidence.in_large_group || large;
    evidence.last_crash_at = (*std::prev(end))->occurred_at;
  }
}

[[nodiscard]] std::map<ContentId, Evidence> CollectFrom(
    const PoisonTable& table, const CrashList& crashes) {
  std::map<ContentId, Evidence> collected;
  auto first = crashes.begin();
  while (first != crashes.end()) {
    const auto end = EndOfGroup(first, crashes.end());
    AddGroup(table, first, end, collected);
    first = end;
  }
  return collected;
}

// Whether only whole requests, lost without a status, are suspects.
[[nodiscard]] bool HasOnlyWholeRequests(const Crash& crash) {
  return !crash.any_begun && !crash.suspects.empty() &&
         std::all_of(crash.suspects.begin(), crash.suspects.end(),
                     [](const SuspectContent& suspect) {
                       return suspect.depth == kWholeRequestDepth;
                     });
}

// Crashes without a status are evidence against whole requests only, and do not
// change the groups of the others.
[[nodiscard]] std::map<ContentId, Evidence> CollectEvidence(
    const PoisonTable& table) {
  CrashList all;
  CrashList with_parts;
  for (const Crash& crash : table.crashes) {
    all.push_back(&crash);
    if (!HasOnlyWholeRequests(crash)) {
      with_parts.push_back(&crash);
    }
  }
  auto collected = CollectFrom(table, with_parts);
  if (all.size() == with_parts.size()) {
    return collected;
  }
  for (const auto& [id, evidence] : CollectFrom(table, all)) {
    if (evidence.depth == kWholeRequestDepth) {
      collected.insert_or_assign(id, evidence);
    }
  }
  return collected;
}

// Returns the sound answers of the service; of all if it is empty.
[[nodiscard]] std::uint64_t SoundAnswersOf(const PoisonTable& table,
                                           const ServiceId& service) {
  if (service == ServiceId{}) {
    return table.sound_answers;
  }
  const auto found = table.sound_answers_by_service.find(service);
  return found == table.sound_answers_by_service.end() ? 0 : found->second;
}

// Returns the sound answers since the first crash that show that upstreams work
// otherwise. Where no answer had begun, only those of the same service do: when
// a service is down, all its requests are lost without a status.
[[nodiscard]] std::uint64_t SoundAnswersSince(const PoisonTable& table,
                                              const Evidence& evidence) {
  if (evidence.begun > 0 || evidence.service == ServiceId{}) {
    return table.sound_answers - evidence.sound_answers_before;
  }
  return SoundAnswersOf(table, evidence.service) -
         evidence.service_sound_answers_before;
}

// Whether the evidence shows that the content is poison. `previous`: its entry
// after an earlier refusal, or null.
[[nodiscard]] bool IsConclusive(const PoisonTable& table,
                                const Evidence& evidence,
                                const PoisonContent* previous) {
  if (previous != nullptr) {
    return evidence.last_crash_at > previous->refused_until;
  }
  const bool frequent = evidence.groups >= kGroupsOfPoison ||
                        evidence.begun_groups >= kBegunGroupsOfPoison ||
                        evidence.in_large_group;
  const bool has_explained = evidence.unexplained_groups < evidence.groups;
  return frequent &&
         (!has_explained ||
          evidence.unexplained_groups >= kUnexplainedGroupsOfPoison) &&
         SoundAnswersSince(table, evidence) >= kMinSoundAnswers;
}

// The later of two parts affects fewer sound requests if it is refused; among
// equals, the one with more crashes is the more likely cause. A whole request
// comes last, because callers that send a request again make it look as guilty
// as its parts.
[[nodiscard]] bool IsBetterSuspect(const Evidence& a, const Evidence& b) {
  return std::pair(a.depth, a.crashes) > std::pair(b.depth, b.crashes);
}

// Returns the best suspects whose evidence is conclusive; several if nothing
// tells them apart.
[[nodiscard]] std::vector<std::pair<ContentId, Evidence>> BestSuspects(
    const PoisonTable& table, TimePoint now) {
  std::vector<std::pair<ContentId, Evidence>> best;
  for (const auto& [id, evidence] : CollectEvidence(table)) {
    const auto known = table.poison.find(id);
    const PoisonContent* previous =
        known == table.poison.end() ? nullptr : &known->second;
    const bool refused = previous != nullptr && previous->refused_until > now;
    if (refused || !IsConclusive(table, evidence, previous)) {
      continue;
    }
    if (!best.empty() && IsBetterSuspect(evidence, best.front().second)) {
      best.clear();
    }
    if (best.empty() || !IsBetterSuspect(best.front().second, evidence)) {
      best.emplace_back(id, evidence);
    }
  }
  return best;
}

void RemoveExpired(PoisonTable& table, TimePoint now) {
  while (!table.crashes.empty() &&
         now - table.crashes.front().occurred_at > kCrashLifetime) {
    table.crashes.pop_front();
  }
  std::erase_if(table.cleared_at, [now](const auto& entry) {
    return now - entry.second > kClearanceLifetime;
  });
  std::erase_if(table.poison, [now](const auto& entry) {
    return now > entry.second.refused_until + entry.second.refusal;
  });
}

// Makes room for another entry by removing the one with the oldest crash.
void LimitPoison(PoisonTable& table) {
  if (table.poison.size() < PoisonTable::kMaxPoison) {
    return;
  }
  const auto oldest =
      std::min_element(table.poison.begin(), table.poison.end(),
                       [](const auto& a, const auto& b) {
                         return a.second.last_crash_at < b.second.last_crash_at;
                       });
  table.poison.erase(oldest);
}

[[nodiscard]] PoisonReport ReportOf(ContentId id, const PoisonContent& poison,
                                    TimePoint now) {
  return {id, now - poison.last_crash_at, poison.refusal,
          poison.refused_until - now,
          static_cast<std::uint32_t>(poison.crashes)};
}

// Adopts poison that another instance has found.
// \returns Whether the content is refused from now on.
bool Adopt(PoisonTable& table, const PoisonReport& report,
           const InstanceId& from, TimePoint now) {
  const TimePoint last_crash_at = now - report.age;
  if (IsClearedSince(table, report.id, last_crash_at) ||
      report.remaining <= Duration::zero()) {
    return false;
  }
  const Duration refusal =
      std::clamp(report.refusal, kFirstRefusal, kMaxRefusal);
  const auto known = table.poison.find(report.id);
  if (known != table.poison.end() && known->second.refusal >= refusal &&
      known->second.refused_until > now) {
    return false;
  }
  LimitPoison(table);
  table.poison.insert_or_assign(
      report.id,
      PoisonContent{last_crash_at, report.crashes, refusal,
                    now + std::min(report.remaining, refusal), from});
  return true;
}

// Merges what this instance has seen of a crash, and reports it to others.
void ReportCrash(PoisonTable& table, CrashReport report, TimePoint now) {
  report.suspects = MergeReport(table, report, now);
  if (!report.suspects.empty()) {
    AppendCrash(table.news_for_region, report, now);
    AppendCrash(table.news_for_other_regions, report, now);
  }
}

}  // namespace

std::vector<SuspectContent> ContentOf(const RequestHead& head, bool begun) {
  std::vector<SuspectContent> content;
  std::uint64_t whole =
      RendezvousWeight(RendezvousWeight(0, head.host), head.digest.value());
  std::uint32_t depth = 0;
  for (const PromptPart& part : head.prompt.parts) {
    whole = RendezvousWeight(whole ^ part.id, head.account.value());
    if (++depth < head.prompt.parts.size()) {
      content.push_back({ContentId{part.id}, depth, begun});
    }
  }
  if (!head.digest.empty()) {
    content.push_back({ContentId{whole}, kWholeRequestDepth, begun});
  }
  return content;
}

void RecordLostRequest(PoisonTable& table, const UpstreamHash& upstream,
                       Incarnation incarnation, const RequestHead& head,
                       bool begun, TimePoint now) {
  ReportCrash(table, {upstream, incarnation, {}, ContentOf(head, begun)}, now);
}

void AddLostRequest(UnconfirmedLoss& loss, const RequestHead& head,
                    TimePoint now) {
  loss.lost_at = now;
  for (const SuspectContent& content : ContentOf(head)) {
    if (content.depth == kWholeRequestDepth &&
        loss.requests.size() < kMaxSuspectsPerCrash) {
      loss.requests.push_back(content);
    }
  }
}

void RecordConfirmedLoss(PoisonTable& table, const UpstreamHash& upstream,
                         const UnconfirmedLoss& loss, TimePoint now) {
  ReportCrash(table,
              {upstream, loss.incarnation, now - loss.lost_at, loss.requests},
              now);
  for (Crash& crash : table.crashes) {
    if (crash.upstream == upstream && crash.service == ServiceId{}) {
      crash.service = loss.service;
      crash.service_sound_answers_before = SoundAnswersOf(table, loss.service);
    }
  }
}

void RecordSoundAnswer(PoisonTable& table, const RequestHead& head,
                       TimePoint now, const ServiceId& service) {
  ++table.sound_answers;
  if (service != ServiceId{}) {
    ++table.sound_answers_by_service[service];
  }
  if (table.crashes.empty() && table.poison.empty()) {
    return;
  }
  for (const SuspectContent& content : ContentOf(head)) {
    if (Clear(table, content.id, now)) {
      AppendClearance(table.news_for_region, {content.id, {}}, now);
      AppendClearance(table.news_for_other_regions, {content.id, {}}, now);
    }
  }
}

std::vector<ContentId> AddNews(PoisonTable& table, const PoisonNews& news,
                               const InstanceId& from, bool from_own_region,
                               TimePoint now) {
  for (CrashReport report : news.crashes) {
    report.suspects = MergeReport(table, report, now);
    if (!report.suspects.empty() && !from_own_region) {
      AppendCrash(table.news_for_region, report, now);
    }
  }
  // A message can have a crash together with the clearance of its suspects, and
  // another instance's report of the crash can follow later.
  for (const Clearance& clearance : news.clearances) {
    const TimePoint time = now - clearance.age;
    if (Clear(table, clearance.id, time) && !from_own_region) {
      AppendClearance(table.news_for_region, clearance, now);
    }
    NoteClearance(table, clearance.id, time);
  }
  std::vector<ContentId> adopted;
  for (const PoisonReport& report : news.poison) {
    if (Adopt(table, report, from, now)) {
      adopted.push_back(report.id);
    }
  }
  return adopted;
}

std::vector<ContentId> FindNewPoison(PoisonTable& table, TimePoint now) {
  std::vector<ContentId> found;
  if (now < table.next_search_at || now - table.changed_at > kSearchTime) {
    return found;
  }
  table.next_search_at = now + kSearchInterval;
  RemoveExpired(table, now);
  for (auto best = BestSuspects(table, now);
       !best.empty() && found.size() < PoisonTable::kMaxPoison;
       best = BestSuspects(table, now)) {
    for (const auto& [id, evidence] : best) {
      const auto known = table.poison.find(id);
      const Duration refusal =
          known == table.poison.end()
              ? kFirstRefusal
              : std::min(known->second.refusal * 2, kMaxRefusal);
      LimitPoison(table);
      table.poison.insert_or_assign(
          id, PoisonContent{evidence.last_crash_at, evidence.crashes, refusal,
                            now + refusal, table.self});
      found.push_back(id);
    }
  }
  return found;
}

const std::pair<const ContentId, PoisonContent>* FindPoison(
    const PoisonTable& table, const RequestHead& head, TimePoint now) {
  if (table.poison.empty()) {
    return nullptr;
  }
  for (const SuspectContent& content : ContentOf(head)) {
    const auto found = table.poison.find(content.id);
    if (found != table.poison.end() &&
        EndOfRefusal(table, found->first, found->second) > now) {
      return &*found;
    }
  }
  return nullptr;
}

TimePoint EndOfRefusal(const PoisonTable& table, ContentId id,
                       const PoisonContent& poison) {
  // A part of the refusal, which differs between instances.
  constexpr std::uint64_t kSteps = 1000;
  const std::uint64_t step =
      RendezvousWeight(id.value(), table.self.value()) % kSteps;
  return poison.refused_until +
         poison.refusal / (2 * kSteps) * static_cast<Duration::rep>(step);
}

PoisonNews TakeNews(const PoisonTable& table, UnsentNews& unsent,
                    TimePoint now) {
  PoisonNews news = std::exchange(unsent.news, {});
  const Duration waited = now - unsent.since;
  for (CrashReport& report : news.crashes) {
    report.age += waited;
  }
  for (Clearance& clearance : news.clearances) {
    clearance.age += waited;
  }
  for (const auto& [id, poison] : table.poison) {
    if (poison.refused_until > now) {
      news.poison.push_back(ReportOf(id, poison, now));
    }
  }
  std::sort(news.poison.begin(), news.poison.end(),
            [](const PoisonReport& a, const PoisonReport& b) {
              return a.age < b.age;
            });
  news.poison.resize(std::min(news.poison.size(), kRepeatedPoison));
  return news;
}

std::string ToString(ContentId id) { return fmt::format("{:x}", id.value()); }

}  // namespace mimosagauge
