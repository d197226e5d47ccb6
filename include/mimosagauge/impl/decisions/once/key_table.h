// The keys that one process owns: which of them were sent, and what they
// answered. Runs a key at most once, with no store and no other process.

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

/// \brief Bounds of a key table.
struct KeyTableSettings {
  std::size_t max_keys = 200'000;
  std::size_t max_waiting = 8;  ///< Calls that wait for one running key.
  Bytes max_answer = Kibibytes(16);
  Bytes max_answers = Kibibytes(128ULL * 1024);  ///< Of all kept answers.
  /// From completion, and from a ticket's expiry, to forgetting.
  Duration retention = std::chrono::minutes(10);
  Duration ticket_life = std::chrono::minutes(10);
  /// From the first question about a bare key to the last moment it may be
  /// sent. Below `ClaimSettings::retention`, so that the store still holds
  /// the claim then.
  Duration claim_life = std::chrono::minutes(5);
};

/// \brief A complete answer, kept for resends.
struct RecordedAnswer {
  AnswerHead head;
  std::string body;
};
using RecordedAnswerPtr = std::shared_ptr<const RecordedAnswer>;

/// \brief How far a key has come. Only moves down this list.
enum class KeyState : std::uint8_t {
  kClaiming,   ///< Bare; the store has not been heard. Never sent.
  kRunning,    ///< May have been sent.
  kUnknown,    ///< Was sent; the outcome is lost.
  kCompleted,  ///< Ran.
  kClosed,     ///< Never sent and never will be.
};

/// \brief What is remembered of a key.
struct KeyRecord {
  ContentFingerprint content;
  KeyState state = KeyState::kRunning;
  RecordedAnswerPtr answer;  ///< Only of a completed key; may be null.
  TimePoint forget_at{};     ///< The table's index holds the same.
  Duration ticket_expiry{};  ///< Zero: bare.
};

/// \brief What is held of a key until it is decided.
struct ActiveKey {
  std::vector<RequestNumber> calls;  ///< That wait, oldest first.
  ClaimNumber claim;                 ///< Zero: under a ticket.
  TimePoint asked_at{};
};

/// \brief The keys of one process.
struct KeyTable {
  KeyOwner self;
  KeyTableSettings settings;
  TimePoint started{};
  /// When it stopped taking new keys, for good.
  std::optional<TimePoint> sealed_at;
  ClaimNumber last_claim;
  /// Never more than `max_keys`. A key is here from before it is sent until
  /// its ticket has expired and the retention time is over.
  std::unordered_map<KeyFingerprint, KeyRecord> records;
  /// Exactly the records that claim or run.
  std::map<KeyFingerprint, ActiveKey> active;
  std::set<std::pair<TimePoint, KeyFingerprint>> forget_order;
  Bytes answers;  ///< Size of the kept answers.
};

/// \returns An empty table.
[[nodiscard]] KeyTable MakeKeyTable(KeyOwner self, TimePoint now,
                                    const KeyTableSettings& settings = {});

/// \returns A ticket of this table, good for its ticket life.
[[nodiscard]] Ticket NextTicket(const KeyTable& table, TimePoint now) noexcept;

/// \brief How a keyed call came to this process.
enum class KeyRoute : std::uint8_t {
  kTicket,  ///< Under a ticket that names this process.
  kEntry,   ///< Bare, from a caller.
  kBound,   ///< Bare, passed on because the store names this process.
};

/// \brief A call that names a key.
struct KeyedCall {
  RequestNumber number;
  KeyFingerprint key;
  ContentFingerprint content;
  KeyRoute route = KeyRoute::kEntry;
  Duration ticket_expiry{};  ///< Only under a ticket.
};

/// Send the request now. At most one per key and table.
struct RunCall {
  RequestNumber number;
  KeyFingerprint key;
};
/// Ask the committer of the slot which process the key is bound to.
struct AskClaim {
  ClaimAsk ask;
};
/// Pass the call on to this very process, or refuse it as `kOwnerGone`.
struct ForwardCall {
  RequestNumber number;
  KeyOwner owner;
};
/// Answer with what the first call was answered.
struct ReplayAnswer {
  RequestNumber number;
  RecordedAnswerPtr answer;  ///< Never null.
};
/// Answer with `ProblemFor(refusal)`.
struct RefuseCall {
  RequestNumber number;
  KeyRefusal refusal;
};
using KeyEffect =
    std::variant<RunCall, AskClaim, ForwardCall, ReplayAnswer, RefuseCall>;
using KeyEffects = std::vector<KeyEffect>;

/// \brief A keyed call has come in.
/// \returns What to do; nothing when the call waits for the first one.
[[nodiscard]] KeyEffects AdmitCall(KeyTable& table, TimePoint now,
                                   const KeyedCall& call);

/// \brief The committer has said which process a bare key is bound to.
[[nodiscard]] KeyEffects LearnBinding(KeyTable& table, TimePoint now,
                                      const ClaimBinding& binding);

/// \brief The committer could not say; the calls are refused, the key stays
/// open.
[[nodiscard]] KeyEffects LearnClaimRefused(KeyTable& table,
                                           const ClaimAsk& ask);

/// \brief The running key was answered in full.
/// \param answer Null when it was not kept or is incomplete.
[[nodiscard]] KeyEffects RecordCompleted(KeyTable& table, TimePoint now,
                                         KeyFingerprint key,
                                         RecordedAnswerPtr answer);

/// \brief The running key was sent and its outcome is lost.
[[nodiscard]] KeyEffects RecordUnknown(KeyTable& table, TimePoint now,
                                       KeyFingerprint key);

/// \brief The running key was provably given to no upstream. Closes it: a
/// copy that is still on its way will not run either.
[[nodiscard]] KeyEffects RecordNotRun(KeyTable& table, TimePoint now,
                                      KeyFingerprint key);

/// \brief A call's other side went away. The key goes on.
void AbandonCall(KeyTable& table, KeyFingerprint key, RequestNumber number);

/// \brief Takes no new key from here on. Calls whose claim is undecided are
/// refused.
[[nodiscard]] KeyEffects SealKeys(KeyTable& table, TimePoint now);

/// \brief Forgets what is due.
/// \param most Bounds the work of one call.
/// \returns Refusals of calls whose claim took too long.
[[nodiscard]] KeyEffects ForgetKeys(KeyTable& table, TimePoint now,
                                    std::size_t most = 1024);

/// \returns The bytes that count against `max_answers`.
[[nodiscard]] Bytes SizeOf(const RecordedAnswer& answer) noexcept;

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_ONCE_KEY_TABLE_H_
