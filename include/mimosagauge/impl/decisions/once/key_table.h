// The keys that one process owns: which of them were sent to an upstream, and
// their answers. The table alone ensures that the process runs a key at most
// once; it needs neither the store nor another process for that.

#ifndef MIMOSAGAUGE_IMPL_DECISIONS_ONCE_KEY_TABLE_H_
#define MIMOSAGAUGE_IMPL_DECISIONS_ONCE_KEY_TABLE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "mimosagauge/impl/core/ids.h"
#include "mimosagauge/impl/core/time.h"
#include "mimosagauge/impl/core/units.h"
#include "mimosagauge/impl/decisions/once/claim.h"
#include "mimosagauge/impl/decisions/once/fingerprint.h"
#include "mimosagauge/impl/decisions/once/key_owner.h"
#include "mimosagauge/impl/decisions/once/key_refusal.h"
#include "mimosagauge/impl/decisions/once/ticket.h"
#include "mimosagauge/impl/decisions/request.h"

namespace mimosagauge {

/// \brief Limits and times of a key table.
struct KeyTableSettings {
  std::size_t max_keys = 200'000;  ///< Maximum number of records.
  /// Maximum number of calls that wait for the same key.
  std::size_t max_waiting = 8;
  /// Maximum size of an answer that is kept.
  Bytes max_answer_size = Kibibytes(16);
  /// Maximum size of all kept answers.
  Bytes max_total_answer_size = Kibibytes(128ULL * 1024);
  /// A record is removed this long after its key was decided or, if that is
  /// later, after its ticket expired.
  Duration retention = std::chrono::minutes(10);
  /// How long a new ticket is valid.
  Duration ticket_lifetime = std::chrono::minutes(10);
  /// A bare key may be sent up to this long after it was first claimed. Shorter
  /// than `ClaimSettings::retention`, so that the store still holds the claim
  /// when the key is sent.
  Duration claim_lifetime = std::chrono::minutes(5);
};

/// \brief A complete answer, kept to answer repeated calls.
struct RecordedAnswer {
  AnswerHead head;
  std::string body;
};
using RecordedAnswerPtr = std::shared_ptr<const RecordedAnswer>;

/// \brief State of a key. A key only ever moves to a later state of this list.
enum class KeyState : std::uint8_t {
  kClaiming,   ///< A bare key whose claim is undecided. Not sent.
  kRunning,    ///< May have been sent to an upstream.
  kUnknown,    ///< Was sent; its outcome is unknown.
  kCompleted,  ///< Has run and was answered.
  kClosed,     ///< Was never sent and never will be.
};

/// \brief The record of a key.
struct KeyRecord {
  ContentFingerprint content;
  KeyState state = KeyState::kRunning;
  /// Null unless the key is completed, and also when the answer was not kept.
  RecordedAnswerPtr answer;
  /// When the record is removed; equal to the key's entry in `expiry_order`.
  TimePoint expires_at{};
  /// The ticket's expiry, counted from the owner's start; zero for a bare key.
  Duration ticket_expiry{};
};

/// \brief Additional state of a key while it is being claimed or run.
struct ActiveKey {
  /// Calls that wait for the key's answer, oldest first.
  std::vector<RequestNumber> max_waiting_calls;
  ClaimNumber claim;             ///< Zero for a key under a ticket.
  TimePoint first_claimed_at{};  ///< When the key was first claimed.
};

/// \brief The keys that one process owns.
struct KeyTable {
  KeyOwner self;
  KeyTableSettings settings;
  TimePoint started{};  ///< Ticket expiry times are counted from this time.
  /// When the table stopped accepting new keys for good; empty before that.
  std::optional<TimePoint> sealed_at;
  ClaimNumber last_claim;
  /// At most `max_keys` records. A key has a record from before it is sent
  /// until the retention time after its decision and its ticket's expiry has
  /// passed.
  std::unordered_map<KeyFingerprint, KeyRecord> records;
  /// Holds exactly the keys whose record is `kClaiming` or `kRunning`.
  std::map<KeyFingerprint, ActiveKey> active;
  /// The keys of the records that have an expiry time, in order of that time.
  std::set<std::pair<TimePoint, KeyFingerprint>> expiry_order;
  Bytes answers;  ///< Total size of the kept answers.
};

/// \returns An empty key table whose clock starts at `now`.
[[nodiscard]] KeyTable MakeKeyTable(KeyOwner self, TimePoint now,
                                    const KeyTableSettings& settings = {});

/// \returns A ticket for keys of this table, valid for the ticket lifetime from
/// `now`.
[[nodiscard]] Ticket MakeTicket(const KeyTable& table, TimePoint now) noexcept;

/// \brief How a keyed call reached this process.
enum class KeyRoute : std::uint8_t {
  kTicket,  ///< With a ticket that names this process.
  kEntry,   ///< With a bare key, received from a caller.
  /// With a bare key that is bound to this process; forwarded by another
  /// instance.
  kBound,
};

/// \brief A call with an idempotency key.
struct KeyedCall {
  RequestNumber number;
  KeyFingerprint key;
  ContentFingerprint content;
  KeyRoute route = KeyRoute::kEntry;
  /// Counted from the owner's start; zero without a ticket.
  Duration ticket_expiry{};
};

/// Send the request to an upstream now. Returned at most once per key and
/// table.
struct RunCall {
  RequestNumber number;
  KeyFingerprint key;
};
/// Send a claim request for the key to the committer of its slot.
struct SendClaimRequest {
  ClaimAsk ask;
};
/// Forward the call to exactly this process, or refuse it as
/// `kOwnerUnreachable`.
struct ForwardCall {
  RequestNumber number;
  KeyOwner owner;
};
/// Answer with the recorded answer of the first call.
struct ReplayAnswer {
  RequestNumber number;
  RecordedAnswerPtr answer;  ///< Never null.
};
/// Answer with `ProblemFor(refusal)`.
struct RefuseCall {
  RequestNumber number;
  KeyRefusal refusal;
};
using KeyEffect = std::variant<RunCall, SendClaimRequest, ForwardCall,
                               ReplayAnswer, RefuseCall>;
using KeyEffects = std::vector<KeyEffect>;

/// \brief Admits a keyed call.
/// \returns The effects to apply; empty when the call waits for the answer of
/// the first call with this key.
[[nodiscard]] KeyEffects AdmitCall(KeyTable& table, TimePoint now,
                                   const KeyedCall& call);

/// \brief Applies the binding of a bare key, as received from the committer.
/// \returns Effects that run, forward or refuse the waiting calls.
[[nodiscard]] KeyEffects ApplyClaimBinding(KeyTable& table, TimePoint now,
                                           const ClaimBinding& binding);

/// \brief Handles a claim request that the committer refused: the waiting calls
/// are refused, and the key remains `kClaiming`.
/// \returns The refusals.
[[nodiscard]] KeyEffects ApplyClaimRefusal(KeyTable& table,
                                           const ClaimAsk& ask);

/// \brief Records that the running key was answered in full.
/// \param answer Null when the answer was not kept or is incomplete.
/// \returns Effects that answer or refuse the waiting calls.
[[nodiscard]] KeyEffects RecordCompleted(KeyTable& table, TimePoint now,
                                         KeyFingerprint key,
                                         RecordedAnswerPtr answer);

/// \brief Records that the running key was sent and its outcome is unknown.
/// \returns Refusals of the waiting calls.
[[nodiscard]] KeyEffects RecordUnknown(KeyTable& table, TimePoint now,
                                       KeyFingerprint key);

/// \brief Records that the running key was provably sent to no upstream, and
/// closes it: a duplicate call that is still on its way will not run either.
/// \returns Refusals of the waiting calls.
[[nodiscard]] KeyEffects RecordNotRun(KeyTable& table, TimePoint now,
                                      KeyFingerprint key);

/// \brief Removes a waiting call whose caller has disconnected. The key itself
/// continues.
void AbandonCall(KeyTable& table, KeyFingerprint key, RequestNumber number);

/// \brief Stops accepting new keys for good. Calls whose claim is undecided are
/// refused.
/// \returns The refusals.
[[nodiscard]] KeyEffects SealKeyTable(KeyTable& table, TimePoint now);

/// \brief Removes the records that have expired.
/// \param max_removals Maximum number of records that one call removes.
/// \returns Refusals of calls whose claim was not decided in time.
[[nodiscard]] KeyEffects RemoveExpiredKeys(KeyTable& table, TimePoint now,
                                           std::size_t max_removals = 1024);

/// \returns The size of the answer, counted against `max_total_answer_size`.
[[nodiscard]] Bytes SizeOf(const RecordedAnswer& answer) noexcept;

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_ONCE_KEY_TABLE_H_
