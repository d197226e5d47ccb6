// Detection of poison requests, which crash the upstreams that run them.
// Instances exchange small crash records. Every request that an upstream was
// running when it crashed is a suspect. A suspect is run in isolation, by a
// single instance, until it is cleared or identified as poison and refused.

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

/// Fingerprint of an account together with the content of a request.
using SuspectFingerprint = Fingerprint<struct SuspectFingerprintTag>;

/// \returns The fingerprint of the account and the content; the same on every
/// instance.
[[nodiscard]] SuspectFingerprint SuspectFingerprintOf(
    const HashFunction& hash, const AccountId& account,
    const ContentDigest& content);

/// \brief Identifies one instance's report of one crash.
struct CrashId {
  KeyOwner reporter;
  std::uint64_t number = 0;  ///< Starts at 1; never reused by the reporter.

  [[nodiscard]] friend bool operator==(const CrashId&,
                                       const CrashId&) = default;
  // NOLINTBEGIN(modernize-use-nullptr): false alarm on defaulted operators.
  [[nodiscard]] friend auto operator<=>(const CrashId&,
                                        const CrashId&) = default;
  // NOLINTEND(modernize-use-nullptr)
};

/// Maximum number of suspects in one record.
inline constexpr std::size_t kMaxSuspectsPerCrash = 256;

/// \brief One instance's report of a crash, exchanged between instances.
///
/// Records with the same id are merged by forming the union of their sets and
/// keeping the earliest time. The order and number of merges do not matter.
struct CrashRecord {
  CrashId id;
  UpstreamId upstream;
  /// The requests that the upstream was running; at most
  /// `kMaxSuspectsPerCrash`.
  std::set<SuspectFingerprint> suspects;
  /// Suspects found not to be the cause.
  std::set<SuspectFingerprint> cleared;
  /// More requests were running than the record holds.
  bool truncated = false;
  Duration age{};  ///< Time from the crash to the sending of the record.
};

/// \brief Limits and times of poison detection.
struct PoisonSettings {
  std::size_t max_crashes = 1024;
  /// A crash is removed this long after it happened.
  Duration crash_retention = std::chrono::minutes(10);
  /// Records of the same upstream that are at most this far apart in time count
  /// as one crash.
  Duration same_crash_window = std::chrono::seconds(1);
  /// Time in which a crash record reaches every instance that can be reached.
  /// Until it has passed since the last crash, no request is classified as
  /// poison, no suspect is run again, and the callers of the failed requests
  /// are not sent the failure. Longer than twice `same_crash_window`, so that a
  /// second crash is not counted as part of the first.
  Duration spread = std::chrono::seconds(3);
};

/// \brief A crash in the table of this instance.
struct CrashEntry {
  CrashRecord record;
  /// Time of the crash on this instance's clock; the earliest estimate.
  TimePoint occurred_at{};
};

/// \brief The crashes that an instance has observed or received.
struct PoisonTable {
  KeyOwner self;
  PoisonSettings settings;
  std::uint64_t last_crash_number = 0;
  std::map<CrashId, CrashEntry> crashes;  ///< At most `max_crashes` entries.
  /// The ids of the crashes of each suspect, cleared ones included.
  std::map<SuspectFingerprint, std::set<CrashId>> crashes_by_suspect;
  /// Suspects that this instance is running in isolation.
  std::set<SuspectFingerprint> isolated_runs;
};

/// \brief How strongly a request is suspected of causing crashes.
enum class SuspicionLevel : std::uint8_t {
  kNotSuspect,  ///< It is a suspect of no crash.
  kSuspect,     ///< It is a suspect of one crash.
  /// It is a suspect of two or more crashes, but the records do not show that
  /// it is the only common one, or more records may still arrive.
  kUndecided,
  kPoison,  ///< It is the only common suspect of two or more crashes.
};

/// \returns How strongly the request is suspected now.
[[nodiscard]] SuspicionLevel SuspicionOf(const PoisonTable& table,
                                         TimePoint now,
                                         SuspectFingerprint suspect);

/// \brief Records that an upstream was lost while it ran requests of this
/// instance.
/// \param running All of these requests, those run in isolation included.
/// \returns The record, to be sent to the other instances at once; nothing when
/// `running` is empty. The callers of these requests are to be sent the failure
/// only after the propagation time of the settings.
[[nodiscard]] std::optional<CrashRecord> ReportCrash(
    PoisonTable& table, TimePoint now, const UpstreamId& upstream,
    std::span<const SuspectFingerprint> running);

/// \brief Merges a crash record received from another instance. Invalid and
/// expired records are ignored.
/// \returns Whether the table changed; if so, the record is to be forwarded to
/// other instances.
bool MergeCrashRecord(PoisonTable& table, TimePoint now,
                      const CrashRecord& record);

/// \returns All records that have not expired, with their ages at `now`, to be
/// sent to an instance that requests them.
[[nodiscard]] std::vector<CrashRecord> ExportCrashes(const PoisonTable& table,
                                                     TimePoint now);

/// \brief Removes the crashes that have expired.
void RemoveExpiredCrashes(PoisonTable& table, TimePoint now);

/// Run the request as any other; it is not a suspect.
struct RunNormally {};
/// Run the request on an upstream that runs nothing else, then call
/// `EndIsolatedRun`.
struct RunIsolated {};
/// Forward the request to this instance, the only one that may run it. Send the
/// crash records first, because that instance may not have received them yet.
struct ForwardToAssignedInstance {
  InstanceId instance;
  std::vector<CrashRecord> crashes;
};
/// Call `RouteSuspect` again at this time, or refuse the request as overload if
/// its deadline is earlier.
struct RetryRoutingLater {
  TimePoint when;
};
/// Refuse the request without running it.
struct RefuseSuspect {
  Problem problem;  ///< Its run state covers this call only.
};
using SuspectRoute =
    std::variant<RunNormally, RunIsolated, ForwardToAssignedInstance,
                 RetryRoutingLater, RefuseSuspect>;

/// \brief Decides how to run a request; to be called immediately before each of
/// its attempts.
/// \param candidates The live instances that may serve the request according to
/// the rules.
/// \returns The route. On `RunIsolated` the suspect is registered as running in
/// isolation until `EndIsolatedRun`.
[[nodiscard]] SuspectRoute RouteSuspect(PoisonTable& table, TimePoint now,
                                        SuspectFingerprint suspect,
                                        std::span<const InstanceId> candidates);

/// \brief Ends the isolated run of a suspect and, if it completed, clears the
/// suspect of the crashes at which other requests were present too.
/// \param completed Whether the request was answered in full. A crash must be
/// reported with `ReportCrash` first.
/// \returns The records that changed, to be sent to the other instances.
[[nodiscard]] std::vector<CrashRecord> EndIsolatedRun(
    PoisonTable& table, TimePoint now, SuspectFingerprint suspect,
    bool completed);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_POISON_H_
