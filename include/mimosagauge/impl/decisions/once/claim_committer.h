// Commits claims of bare keys to the store, many in one write. Any number of
// committers may work on one slot: the compare-and-swap keeps them exact, and
// an agreed one only keeps the writes few.

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

/// \brief Bounds of a committer.
struct ClaimSettings {
  /// Shortest time between two writes of one slot.
  Duration interval = std::chrono::milliseconds(250);
  /// A longer time for a fuller slot, which bounds the bytes written.
  Duration interval_per_binding = std::chrono::microseconds(200);
  /// Between a failed call to the store and the next one.
  Duration retry = std::chrono::milliseconds(500);
  /// A question unanswered for so long is refused.
  Duration patience = std::chrono::seconds(5);
  /// A binding is forgotten after this and at most one bucket's width.
  Duration retention = std::chrono::minutes(15);
  Duration bucket_width = std::chrono::minutes(1);
  std::size_t max_bindings = 4096;  ///< In one slot.
  std::size_t max_waiting = 1024;   ///< Questions of one slot.
};

/// A call to the store as one committer numbers it; never reused.
using StoreCallNumber = StrongNumber<struct StoreCallNumberTag>;

/// \brief A question that waits, and since when.
struct WaitingAsk {
  ClaimAsk ask;
  TimePoint since{};
};

/// \brief One slot as a committer knows it.
struct SlotState {
  enum class Phase : std::uint8_t {
    kUnloaded,    ///< The store is to be read, at `retry_at` or later.
    kLoading,     ///< A read is under way.
    kLoaded,      ///< `value` was in the store at `revision`.
    kCommitting,  ///< A write of `proposed` over `revision` is under way.
  };
  Phase phase = Phase::kUnloaded;
  StoreCallNumber call;  ///< The one under way; answers to others are late.
  SlotRevision revision;
  SlotValue value;
  /// When `value` was learned. Its ages are those of this moment.
  TimePoint value_at{};
  std::shared_ptr<const SlotValue> proposed;  ///< Only while committing.
  std::unordered_map<KeyFingerprint, ClaimBinding> bindings;  ///< Of `value`.
  std::vector<WaitingAsk> waiting;  ///< No two with the same key and asker.
  TimePoint next_write_at{};
  TimePoint retry_at{};
};

/// \brief All slots that a committer has been asked about.
struct ClaimCommitter {
  ClaimSettings settings;
  StoreCallNumber last_call;
  std::map<SlotNumber, SlotState> slots;  ///< At most `kClaimSlots`.
};

/// Read the slot; answer with one of the `Slot...` events.
struct LoadSlot {
  SlotNumber slot;
  StoreCallNumber call;
};
/// Write the slot if it still has this revision; answer with one of the
/// `Claim...` events.
struct CommitClaims {
  SlotNumber slot;
  StoreCallNumber call;
  SlotRevision expected;
  std::shared_ptr<const SlotValue> value;
};
/// Tell the asker which process the key is bound to.
struct AnswerClaim {
  KeyOwner asker;
  ClaimBinding binding;
};
/// Tell the asker that nothing could be found out.
struct RefuseClaim {
  ClaimAsk ask;
};
using ClaimEffect =
    std::variant<LoadSlot, CommitClaims, AnswerClaim, RefuseClaim>;
using ClaimEffects = std::vector<ClaimEffect>;

/// The slot was read.
struct SlotLoaded {
  SlotNumber slot;
  StoreCallNumber call;
  SlotRevision revision;  ///< Zero and an empty value: not there.
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
  SlotRevision revision;  ///< The new one.
};
/// The write did not take effect: the slot had another revision.
struct ClaimConflict {
  SlotNumber slot;
  StoreCallNumber call;
};
/// The write may have taken effect, may yet, or never will.
struct ClaimOutcomeUnknown {
  SlotNumber slot;
  StoreCallNumber call;
};
using StoreEvent = std::variant<SlotLoaded, SlotLoadFailed, ClaimCommitted,
                                ClaimConflict, ClaimOutcomeUnknown>;

/// \brief A process asks whether it may run a bare key.
[[nodiscard]] ClaimEffects AskForClaim(ClaimCommitter& committer, TimePoint now,
                                       const ClaimAsk& ask);

/// \brief The store has answered, or has failed to.
[[nodiscard]] ClaimEffects LearnFromStore(ClaimCommitter& committer,
                                          TimePoint now,
                                          const StoreEvent& event);

/// \brief Time went on: writes and reads that are due, questions that waited
/// too long.
[[nodiscard]] ClaimEffects TickClaims(ClaimCommitter& committer, TimePoint now);

/// \brief The instance that commits a slot, by rendezvous hashing.
/// \param live The live instances as this process sees them; any order.
/// \returns The empty name when there is none. Instances that see different
/// members may choose differently, which costs writes but nothing else.
[[nodiscard]] InstanceId CommitterOf(SlotNumber slot,
                                     std::span<const InstanceId> live);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_ONCE_CLAIM_COMMITTER_H_
