// Records of keys that outlive their owner's planned stop: a named successor
// answers from them and runs nothing.

#ifndef MIMOSAGAUGE_IMPL_DECISIONS_ONCE_HANDOVER_H_
#define MIMOSAGAUGE_IMPL_DECISIONS_ONCE_HANDOVER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <unordered_map>
#include <variant>
#include <vector>

#include "mimosagauge/impl/core/error.h"
#include "mimosagauge/impl/core/ids.h"
#include "mimosagauge/impl/core/time.h"
#include "mimosagauge/impl/core/units.h"
#include "mimosagauge/impl/decisions/once/key_table.h"

namespace mimosagauge {

/// \brief One decided key as its owner left it.
struct HandedRecord {
  KeyFingerprint key;
  ContentFingerprint content;
  KeyState state = KeyState::kUnknown;  ///< Never claiming or running.
  RecordedAnswerPtr answer;             ///< Only of a completed key.
};

/// \brief Part of the records of one owner.
struct HandoverChunk {
  KeyOwner owner;
  Duration taken_at{};   ///< When the records were read, from its start.
  Duration retention{};  ///< The owner's.
  Duration hold_for{};   ///< How long the successor keeps them.
  std::uint32_t index = 0;
  std::uint32_t count = 1;  ///< Chunks in all; at least one.
  std::vector<HandedRecord> records;
};

/// Largest size of a chunk's answers, unless one answer is larger.
inline constexpr Bytes kChunkBytes = Kibibytes(256);
/// Most records of a chunk.
inline constexpr std::size_t kChunkRecords = 2048;
/// Most chunks of one owner.
inline constexpr std::uint32_t kMaxChunks = 4096;

/// \brief The records of one stopped owner.
struct HeldTable {
  Duration taken_at{};  ///< On the owner's clock.
  Duration retention{};
  TimePoint forget_at{};
  std::uint32_t count = 0;           ///< Chunks in all.
  std::set<std::uint32_t> received;  ///< Complete when it holds `count`.
  std::unordered_map<KeyFingerprint, HandedRecord> records;
};

/// \brief Records that this process holds for stopped owners.
struct HeldTables {
  std::size_t max_records = 400'000;
  Bytes max_answers = Kibibytes(256ULL * 1024);
  std::size_t records = 0;  ///< Of all tables; never more than the bound.
  Bytes answers;            ///< Of all tables; never more than the bound.
  std::map<KeyOwner, HeldTable> tables;
};

/// \brief The records of a sealed table. Keys still running are handed over
/// as unknown, so first let them end.
/// \returns At least one chunk; `kInternal` when the table is not sealed.
[[nodiscard]] Result<std::vector<HandoverChunk>> ExportKeys(
    const KeyTable& table, TimePoint now);

/// \brief The complete tables held, for the next successor.
[[nodiscard]] std::vector<HandoverChunk> ExportHeld(const HeldTables& held,
                                                    TimePoint now);

/// \brief Takes a chunk in; a repeated one changes nothing.
/// \returns `kOverloaded` when there is no room, `kInvalidInput` when it does
/// not fit to the chunks before it.
[[nodiscard]] Result<void> AcceptChunk(HeldTables& held, TimePoint now,
                                       const HandoverChunk& chunk);

/// \brief Answers a call from the records of a stopped owner.
[[nodiscard]] KeyEffect AnswerFromHeld(const HeldTables& held,
                                       const KeyOwner& owner,
                                       const KeyedCall& call);

/// \brief Forgets the tables whose time is over.
void ForgetHeld(HeldTables& held, TimePoint now);

/// \brief Says who holds the records of a stopped owner.
struct HandoverNotice {
  KeyOwner owner;
  InstanceId successor;
  std::uint32_t step = 0;  ///< Rises with each successor.
  Duration hold_for{};     ///< How much longer the records are held.
};

/// \brief The notices that an instance knows. Merging is commutative and
/// idempotent.
struct HandoverDirectory {
  struct Entry {
    InstanceId successor;
    std::uint32_t step = 0;
    TimePoint forget_at{};
  };
  std::size_t max_entries = 4096;
  std::map<KeyOwner, Entry> entries;
};

/// \brief Takes a notice in.
/// \returns Whether it was news, to be passed on.
bool LearnNotice(HandoverDirectory& directory, TimePoint now,
                 const HandoverNotice& notice);

/// \brief Forgets the notices whose time is over.
void ForgetNotices(HandoverDirectory& directory, TimePoint now);

/// This process owns the key.
struct OwnedHere {};
/// This process holds the records of the key's stopped owner.
struct HeldHere {};
/// Another instance owns the key or holds its owner's records.
struct AskInstance {
  InstanceId instance;
};
/// Nobody can be asked: refuse as `kOwnerGone`.
struct NobodyToAsk {};
using OwnerPlace = std::variant<OwnedHere, HeldHere, AskInstance, NobodyToAsk>;

/// \brief Where a key's owner can be asked.
/// \param live The instances believed live, leaving ones too; any order.
[[nodiscard]] OwnerPlace PlaceOf(const KeyOwner& owner, const KeyOwner& self,
                                 const HeldTables& held,
                                 const HandoverDirectory& directory,
                                 std::span<const InstanceId> live);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_ONCE_HANDOVER_H_
