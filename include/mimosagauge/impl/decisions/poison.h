// Requests that crash the upstreams that run them. Crashes are shared between
// instances as small records; whoever was present is a suspect, and a suspect
// runs alone, through one instance, until it is cleared or stopped.

#ifndef MIMOSAGAUGE_IMPL_DECISIONS_POISON_H_
#define MIMOSAGAUGE_IMPL_DECISIONS_POISON_H_

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <variant>
#include <vector>

#include "mimosagauge/impl/core/ids.h"
#include "mimosagauge/impl/core/time.h"
#include "mimosagauge/impl/decisions/once/fingerprint.h"
#include "mimosagauge/impl/decisions/once/key_owner.h"
#include "mimosagauge/impl/decisions/request.h"

namespace mimosagauge {

/// Of an account and the content of its request.
using SuspectFingerprint = Fingerprint<struct SuspectFingerprintTag>;

/// \brief The same on every instance.
[[nodiscard]] SuspectFingerprint SuspectOf(const HashFunction& hash,
                                           const AccountId& account,
                                           const ContentDigest& content);

/// \brief One instance's sight of one crash.
struct CrashId {
  KeyOwner reporter;
  std::uint64_t number = 0;  ///< From 1; never reused by the reporter.

  [[nodiscard]] friend bool operator==(const CrashId&,
                                       const CrashId&) = default;
  // NOLINTBEGIN(modernize-use-nullptr): false alarm on defaulted operators.
  [[nodiscard]] friend auto operator<=>(const CrashId&,
                                        const CrashId&) = default;
  // NOLINTEND(modernize-use-nullptr)
};

/// Most suspects in one record.
inline constexpr std::size_t kMaxSuspects = 256;

/// \brief What one instance saw of a crash; spread between instances.
///
/// Records of one id are merged by uniting their sets and taking the earliest
/// time, in any order and any number of times.
struct CrashRecord {
  CrashId id;
  UpstreamId upstream;
  std::set<SuspectFingerprint> suspects;  ///< At most `kMaxSuspects`.
  std::set<SuspectFingerprint> cleared;   ///< Of the suspects.
  bool truncated = false;  ///< More were present than could be named.
  Duration age{};          ///< Since the crash, when this was sent.
};

/// \brief Bounds and times of suspicion.
struct PoisonSettings {
  std::size_t max_crashes = 1024;
  Duration forget_after = std::chrono::minutes(10);
  /// Records of one upstream that are no further apart are one crash.
  Duration same_crash = std::chrono::seconds(1);
  /// Until a record has reached every instance that can be reached. Nobody is
  /// called guilty earlier, suspects run again no earlier, and their callers
  /// are told of the failure no earlier. More than twice `same_crash`, so that
  /// a second crash is not taken for the first.
  Duration spread = std::chrono::seconds(3);
};

/// \brief A crash as this instance knows it.
struct KnownCrash {
  CrashRecord record;
  TimePoint at{};  ///< On this instance's clock; the earliest estimate.
};

/// \brief The crashes that an instance knows.
struct PoisonTable {
  KeyOwner self;
  PoisonSettings settings;
  std::uint64_t last_number = 0;
  std::map<CrashId, KnownCrash> crashes;  ///< At most `max_crashes`.
  std::map<SuspectFingerprint, std::set<CrashId>> by_suspect;
  std::set<SuspectFingerprint> trials;  ///< Suspects that run here, alone.
};

/// \brief What is held against a request.
enum class Judgement : std::uint8_t {
  kClean,      ///< Nothing.
  kSuspect,    ///< It was present at one crash.
  kUndecided,  ///< Present at two or more, as others were; or too early to say.
  kPoison,     ///< The only one present at all of two or more.
};

/// \returns What is held against a request now.
[[nodiscard]] Judgement Judge(const PoisonTable& table, TimePoint now,
                              SuspectFingerprint suspect);

/// \brief An upstream was lost while it ran requests of this instance.
/// \param running All of them, those that run alone too.
/// \returns The record, to be spread at once; nothing when none ran. Failures
/// of these requests are told to their callers only `settings.spread` later.
[[nodiscard]] std::optional<CrashRecord> ReportCrash(
    PoisonTable& table, TimePoint now, const UpstreamId& upstream,
    std::span<const SuspectFingerprint> running);

/// \brief Another instance's record came in.
/// \returns Whether it was news, to be passed on.
bool LearnCrash(PoisonTable& table, TimePoint now, const CrashRecord& record);

/// \returns The records, with their ages now, for an instance that asks.
[[nodiscard]] std::vector<CrashRecord> KnownCrashes(const PoisonTable& table,
                                                    TimePoint now);

/// \brief Forgets what is past its time.
void ForgetCrashes(PoisonTable& table, TimePoint now);

/// Nothing is held against it.
struct RunNormally {};
/// Run it on an upstream that runs nothing else, then call `EndTrial`.
struct RunAlone {};
/// Pass it to this instance, which alone may run it, and tell it before of
/// these crashes: it may not have heard of them.
struct PassToJudge {
  InstanceId instance;
  std::vector<CrashRecord> crashes;
};
/// Ask again at this time, or refuse it as overload if it is due before.
struct AskLater {
  TimePoint when;
};
/// Do not run it.
struct RefuseSuspect {
  Problem problem;  ///< Its run state is that of this call.
};
using SuspectRoute =
    std::variant<RunNormally, RunAlone, PassToJudge, AskLater, RefuseSuspect>;

/// \brief Decides about a request immediately before each of its attempts.
/// \param candidates The live instances that may serve it by its rules.
[[nodiscard]] SuspectRoute RouteSuspect(PoisonTable& table, TimePoint now,
                                        SuspectFingerprint suspect,
                                        std::span<const InstanceId> candidates);

/// \brief A suspect that ran alone is done.
/// \param completed Whether it was answered in full. A crash is told by
/// `ReportCrash` before.
/// \returns The records that changed, to be spread.
[[nodiscard]] std::vector<CrashRecord> EndTrial(PoisonTable& table,
                                                TimePoint now,
                                                SuspectFingerprint suspect,
                                                bool completed);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_POISON_H_
