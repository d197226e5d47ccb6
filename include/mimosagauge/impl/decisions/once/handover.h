// Handover of key records when their owner stops as planned. The records go to
// a successor, which answers repeated calls from them and runs no request.

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

/// \brief The final record of one key of a stopped owner.
struct HandoverRecord {
  KeyFingerprint key;
  ContentFingerprint content;
  KeyState state = KeyState::kUnknown;  ///< Never `kClaiming` or `kRunning`.
  /// Null unless the key is completed and its answer was kept.
  RecordedAnswerPtr answer;
};

/// \brief A part of the records of one owner.
struct HandoverChunk {
  KeyOwner owner;
  /// Time of the export, counted from the owner's start on its monotonic clock.
  Duration taken_at{};
  Duration retention{};     ///< The owner's `KeyTableSettings::retention`.
  Duration hold_for{};      ///< How long the successor keeps the records.
  std::uint32_t index = 0;  ///< Position of this chunk, from 0.
  std::uint32_t count = 1;  ///< Number of chunks of this owner; at least one.
  std::vector<HandoverRecord> records;
};

/// Maximum total size of the answers in a chunk. A single larger answer gets a
/// chunk of its own.
inline constexpr Bytes kChunkBytes = Kibibytes(256);
/// Maximum number of records in a chunk.
inline constexpr std::size_t kMaxRecordsPerChunk = 2048;
/// Maximum number of chunks of one owner.
inline constexpr std::uint32_t kMaxChunksPerOwner = 4096;

/// \brief The records received from one stopped owner.
struct ReceivedHandover {
  Duration taken_at{};   ///< As in `HandoverChunk`.
  Duration retention{};  ///< As in `HandoverChunk`.
  TimePoint expires_at{};
  std::uint32_t chunk_count = 0;  ///< Number of chunks of this owner.
  /// Indices of the received chunks. The handover is complete when there are
  /// `chunk_count` of them.
  std::set<std::uint32_t> received_chunks;
  std::unordered_map<KeyFingerprint, HandoverRecord> records;
};

/// \brief All records that this process holds for stopped owners.
struct ReceivedHandovers {
  std::size_t max_records = 400'000;  ///< Limit for all owners together.
  /// Limit on the size of the answers of all owners together.
  Bytes max_total_answer_size = Kibibytes(256ULL * 1024);
  /// Number of records of all owners; never above the limit.
  std::size_t records = 0;
  Bytes answers;  ///< Size of the answers of all owners; never above the limit.
  std::map<KeyOwner, ReceivedHandover> by_owner;
};

/// \brief Exports the records of a sealed key table. Keys that are still
/// running are exported with an unknown outcome, so wait for them to finish
/// first.
/// \returns At least one chunk, or `kInternal` when the table is not sealed.
[[nodiscard]] Result<std::vector<HandoverChunk>> ExportKeys(
    const KeyTable& table, TimePoint now);

/// \returns The records of all completely received owners, as chunks for the
/// next successor. Owners whose records have expired are left out.
[[nodiscard]] std::vector<HandoverChunk> ExportReceivedHandovers(
    const ReceivedHandovers& held, TimePoint now);

/// \brief Stores a received chunk. A chunk that was stored before is ignored.
/// \returns Success; `kOverloaded` when the limits on held records or answers
/// would be exceeded; `kInvalidInput` when the chunk is malformed or its chunk
/// count differs from that of the owner's earlier chunks.
[[nodiscard]] Result<void> AcceptChunk(ReceivedHandovers& held, TimePoint now,
                                       const HandoverChunk& chunk);

/// \brief Answers a call from the records of a stopped owner.
/// \returns The recorded answer, or a refusal; never an effect that runs the
/// call.
[[nodiscard]] KeyEffect AnswerFromHandover(const ReceivedHandovers& held,
                                           const KeyOwner& owner,
                                           const KeyedCall& call);

/// \brief Removes the records of owners whose hold time has passed.
void RemoveExpiredHandovers(ReceivedHandovers& held, TimePoint now);

/// \brief Announces which instance holds the records of a stopped owner.
struct HandoverNotice {
  KeyOwner owner;
  InstanceId successor;
  std::uint32_t step = 0;  ///< Increases with each successor.
  Duration hold_for{};     ///< How much longer the successor holds the records.
};

/// \brief The handover notices that an instance has received. Merging a notice
/// is commutative and idempotent.
struct HandoverDirectory {
  struct Entry {
    InstanceId successor;
    std::uint32_t step = 0;
    TimePoint expires_at{};
  };
  std::size_t max_entries = 4096;
  std::map<KeyOwner, Entry> entries;
};

/// \brief Merges a notice into the directory.
/// \returns Whether the directory changed; if so, the notice is to be forwarded
/// to other instances.
bool MergeHandoverNotice(HandoverDirectory& directory, TimePoint now,
                         const HandoverNotice& notice);

/// \brief Removes the notices whose hold time has passed.
void RemoveExpiredNotices(HandoverDirectory& directory, TimePoint now);

/// This process owns the key.
struct OwnedLocally {};
/// The key's owner has stopped and this process holds its records.
struct RecordsHeldLocally {};
/// Another instance owns the key or holds its owner's records; forward the call
/// to it.
struct ForwardToInstance {
  InstanceId instance;
};
/// No live instance owns the key or holds its owner's records; refuse the call
/// as `kOwnerUnreachable`.
struct OwnerUnreachable {};
using OwnerLocation = std::variant<OwnedLocally, RecordsHeldLocally,
                                   ForwardToInstance, OwnerUnreachable>;

/// \returns Where calls of a key with this owner are answered.
/// \param live The instances that this process considers live, those that are
/// leaving included, in any order.
[[nodiscard]] OwnerLocation LocateOwner(const KeyOwner& owner,
                                        const KeyOwner& self,
                                        const ReceivedHandovers& held,
                                        const HandoverDirectory& directory,
                                        std::span<const InstanceId> live);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_ONCE_HANDOVER_H_
