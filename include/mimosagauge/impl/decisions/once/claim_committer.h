// Group commit of claims of bare keys to the store: one write commits many
// claims. Any number of committers may write to the same slot, because the
// compare-and-swap keeps the result correct; choosing a single committer for
// each slot only reduces the number of writes.

#ifndef MIMOSAGAUGE_IMPL_DECISIONS_ONCE_CLAIM_COMMITTER_H_
#define MIMOSAGAUGE_IMPL_DECISIONS_ONCE_CLAIM_COMMITTER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <unordered_map>
#include <variant>
#include <vector>

#include "mimosagauge/impl/core/time.h"
#include "mimosagauge/impl/decisions/once/claim.h"

namespace mimosagauge {

/// \brief Limits and times of a committer.
struct ClaimSettings {
  /// Minimum time between two writes of the same slot.
  Duration interval = std::chrono::milliseconds(250);
  /// The minimum time between two writes of a slot is at least this time
  /// multiplied by its number of bindings, which limits the bytes written.
  Duration write_interval_per_binding = std::chrono::microseconds(200);
  /// Delay between a failed call to the store and the next one.
  Duration retry = std::chrono::milliseconds(500);
  /// A claim request that has not been answered for this long is refused.
  Duration patience = std::chrono::seconds(5);
  /// A binding is removed this long after its bucket was closed, which is up to
  /// one `bucket_width` after the binding was written.
  Duration retention = std::chrono::minutes(15);
  /// How long a bucket is open to new bindings.
  Duration bucket_width = std::chrono::minutes(1);
  std::size_t max_bindings_per_slot =
      4096;  ///< Maximum number of bindings per slot.
  /// Maximum number of waiting requests per slot.
  std::size_t max_waiting = 1024;
};

/// Number that a committer gives to each of its calls to the store; never
/// reused.
using StoreCallNumber = StrongNumber<struct StoreCallNumberTag>;

/// \brief A claim request that waits for the store.
struct PendingClaim {
  ClaimAsk request;
  TimePoint requested_at{};
};

/// \brief A committer's state of one slot.
struct SlotState {
  enum class Phase : std::uint8_t {
    kUnloaded,  ///< The slot is to be read at `retry_at` or later.
    kLoading,   ///< A read is in progress.
    kLoaded,    ///< The store held `value` at `revision`.
    /// A write of `proposed_value` over `revision` is in progress.
    kCommitting,
  };
  Phase phase = Phase::kUnloaded;
  /// The last call to the store; results of earlier calls are ignored.
  StoreCallNumber call;
  SlotRevision revision;
  SlotValue value;
  /// When `value` was read or written; the ages in it are as of this time.
  TimePoint value_as_of{};
  std::shared_ptr<const SlotValue> proposed_value;  ///< Null unless committing.
  /// The bindings in `value`, by key.
  std::unordered_map<KeyFingerprint, ClaimBinding> bindings;
  /// Requests without an answer; at most one for each key and requesting
  /// process.
  std::vector<PendingClaim> waiting;
  TimePoint next_write_at{};  ///< Earliest time of the next write.
  TimePoint retry_at{};       ///< Earliest time of the next read.
};

/// \brief A committer: the state of all slots for which it has received claim
/// requests.
struct ClaimCommitter {
  ClaimSettings settings;
  StoreCallNumber last_call;
  std::map<SlotNumber, SlotState>
      slots;  ///< At most `kClaimSlotCount` entries.
};

/// Read the slot and report the result as `SlotLoaded` or `SlotLoadFailed`.
struct LoadSlot {
  SlotNumber slot;
  StoreCallNumber call;
};
/// Write the slot if it still has the expected revision, and report the result
/// as `ClaimCommitted`, `ClaimConflict` or `ClaimOutcomeUnknown`.
struct CommitClaims {
  SlotNumber slot;
  StoreCallNumber call;
  SlotRevision expected;
  std::shared_ptr<const SlotValue> value;
};
/// Send the requesting process the binding of the key.
struct AnswerClaim {
  KeyOwner requester;
  ClaimBinding binding;
};
/// Report to the requesting process that the key's binding could not be
/// determined.
struct RefuseClaim {
  ClaimAsk ask;
};
using ClaimEffect =
    std::variant<LoadSlot, CommitClaims, AnswerClaim, RefuseClaim>;
using ClaimEffects = std::vector<ClaimEffect>;

/// The slot was read from the store.
struct SlotLoaded {
  SlotNumber slot;
  StoreCallNumber call;
  /// Zero, with an empty value, when the slot does not exist.
  SlotRevision revision;
  SlotValue value;
};
/// The slot could not be read.
struct SlotLoadFailed {
  SlotNumber slot;
  StoreCallNumber call;
};
/// The write took effect.
struct ClaimCommitted {
  SlotNumber slot;
  StoreCallNumber call;
  SlotRevision revision;  ///< The revision after the write.
};
/// The write did not take effect: the slot had another revision.
struct ClaimConflict {
  SlotNumber slot;
  StoreCallNumber call;
};
/// The result of the write was lost: it may have taken effect, may still take
/// effect, or may never do so.
struct ClaimOutcomeUnknown {
  SlotNumber slot;
  StoreCallNumber call;
};
using StoreEvent = std::variant<SlotLoaded, SlotLoadFailed, ClaimCommitted,
                                ClaimConflict, ClaimOutcomeUnknown>;

/// \brief Handles a process's request to become the owner of a bare key.
/// \returns The answer if the key's binding is already loaded, a refusal if too
/// many requests wait for the slot, and otherwise the store calls that are due.
[[nodiscard]] ClaimEffects RequestClaim(ClaimCommitter& committer,
                                        TimePoint now, const ClaimAsk& request);

/// \brief Applies the result of a call to the store. Results of other calls
/// than the slot's last one are ignored.
/// \returns The answers to waiting requests and the store calls that are due.
[[nodiscard]] ClaimEffects HandleStoreEvent(ClaimCommitter& committer,
                                            TimePoint now,
                                            const StoreEvent& event);

/// \brief Does the work that depends on time; to be called regularly.
/// \returns The reads and writes that are due, and refusals of requests that
/// waited too long.
[[nodiscard]] ClaimEffects TickClaims(ClaimCommitter& committer, TimePoint now);

/// \brief Chooses the instance that commits a slot, by rendezvous hashing.
/// \param live The instances that this process considers live, in any order.
/// \returns The instance, or an empty name when `live` is empty. Instances with
/// different member lists may choose differently, which only costs additional
/// writes.
[[nodiscard]] InstanceId CommitterForSlot(SlotNumber slot,
                                          std::span<const InstanceId> live);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_ONCE_CLAIM_COMMITTER_H_
