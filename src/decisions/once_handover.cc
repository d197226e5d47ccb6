// Export, import and use of the key records of stopped owners.

#include <algorithm>
#include <utility>

#include "mimosagauge/impl/decisions/once/handover.h"

namespace mimosagauge {
namespace {

Bytes AnswerSize(const HandoverRecord& record) noexcept {
  return record.answer ? SizeOf(*record.answer) : Bytes{};
}

HandoverRecord ToHandoverRecord(KeyFingerprint key, const KeyRecord& record) {
  const bool undecided =
      record.state == KeyState::kRunning || record.state == KeyState::kClaiming;
  return {key, record.content, undecided ? KeyState::kUnknown : record.state,
          record.answer};
}

// Distributes records to chunks of limited size.
class ChunkBuilder {
 public:
  explicit ChunkBuilder(HandoverChunk empty_chunk)
      : empty_chunk_(std::move(empty_chunk)) {
    chunks_.push_back(empty_chunk_);
  }

  void Add(HandoverRecord record) {
    const Bytes size = AnswerSize(record);
    if (!chunks_.back().records.empty() &&
        (chunks_.back().records.size() >= kMaxRecordsPerChunk ||
         answers_size_ + size > kChunkBytes)) {
      chunks_.push_back(empty_chunk_);
      answers_size_ = Bytes{};
    }
    answers_size_ += size;
    chunks_.back().records.push_back(std::move(record));
  }

  [[nodiscard]] std::vector<HandoverChunk> TakeChunks() {
    std::uint32_t index = 0;
    for (HandoverChunk& chunk : chunks_) {
      chunk.index = index++;
      chunk.count = static_cast<std::uint32_t>(chunks_.size());
    }
    return std::move(chunks_);
  }

 private:
  HandoverChunk empty_chunk_;
  std::vector<HandoverChunk> chunks_;
  Bytes answers_size_;  // Total size of the answers in the last chunk.
};

bool IsComplete(const ReceivedHandover& handover) noexcept {
  return handover.chunk_count != 0 &&
         handover.received_chunks.size() == handover.chunk_count;
}

bool IsValidChunk(const HandoverChunk& chunk) noexcept {
  return chunk.count != 0 && chunk.count <= kMaxChunksPerOwner &&
         chunk.index < chunk.count &&
         chunk.records.size() <= kMaxRecordsPerChunk;
}

Error InvalidChunkError() {
  return {
      ErrorKind::kInvalidInput,
      "a handover chunk has an invalid index, chunk count or number of records",
      "hand the records over to another instance"};
}

Bytes TotalAnswerSize(const HandoverChunk& chunk) noexcept {
  Bytes answers;
  for (const HandoverRecord& record : chunk.records) {
    answers += AnswerSize(record);
  }
  return answers;
}

KeyEffect AnswerFromRecord(const HandoverRecord& record,
                           const KeyedCall& call) {
  if (record.content != call.content) {
    return RefuseCall{call.number, KeyRefusal::kContentDiffers};
  }
  if (record.state == KeyState::kClosed) {
    return RefuseCall{call.number, KeyRefusal::kClosed};
  }
  if (record.state != KeyState::kCompleted) {
    return RefuseCall{call.number, KeyRefusal::kOutcomeUnknown};
  }
  if (!record.answer) {
    return RefuseCall{call.number, KeyRefusal::kAnswerNotKept};
  }
  return ReplayAnswer{call.number, record.answer};
}

// Returns whether a missing record proves that the key was never sent. The
// owner accepted no key after its table was sealed, and at the time of the
// export it had not yet removed any record of a key under this ticket.
bool MissingRecordProvesNotRun(const ReceivedHandover& handover,
                               const KeyedCall& call) noexcept {
  return call.route == KeyRoute::kTicket && IsComplete(handover) &&
         call.ticket_expiry + handover.retention > handover.taken_at;
}

bool ContainsInstance(std::span<const InstanceId> live,
                      const InstanceId& instance) {
  return std::find(live.begin(), live.end(), instance) != live.end();
}

}  // namespace

Result<std::vector<HandoverChunk>> ExportKeys(const KeyTable& table,
                                              TimePoint now) {
  if (!table.sealed_at) {
    return Error{ErrorKind::kInternal, "the key table is not sealed",
                 "seal the key table before exporting it"};
  }
  HandoverChunk empty_chunk;
  empty_chunk.owner = table.self;
  empty_chunk.taken_at = now - table.started;
  empty_chunk.retention = table.settings.retention;
  empty_chunk.hold_for =
      table.settings.retention + table.settings.ticket_lifetime;
  ChunkBuilder builder(std::move(empty_chunk));
  for (const auto& [key, record] : table.records) {
    builder.Add(ToHandoverRecord(key, record));
  }
  return builder.TakeChunks();
}

std::vector<HandoverChunk> ExportReceivedHandovers(
    const ReceivedHandovers& held, TimePoint now) {
  std::vector<HandoverChunk> chunks;
  for (const auto& [owner, handover] : held.by_owner) {
    if (!IsComplete(handover) || handover.expires_at <= now) {
      continue;
    }
    HandoverChunk empty_chunk;
    empty_chunk.owner = owner;
    empty_chunk.taken_at = handover.taken_at;
    empty_chunk.retention = handover.retention;
    empty_chunk.hold_for = handover.expires_at - now;
    ChunkBuilder builder(std::move(empty_chunk));
    for (const auto& [key, record] : handover.records) {
      builder.Add(record);
    }
    for (HandoverChunk& chunk : builder.TakeChunks()) {
      chunks.push_back(std::move(chunk));
    }
  }
  return chunks;
}

Result<void> AcceptChunk(ReceivedHandovers& held, TimePoint now,
                         const HandoverChunk& chunk) {
  if (!IsValidChunk(chunk)) {
    return InvalidChunkError();
  }
  const auto known = held.by_owner.find(chunk.owner);
  if (known != held.by_owner.end()) {
    if (known->second.chunk_count != chunk.count) {
      return InvalidChunkError();
    }
    if (known->second.received_chunks.contains(chunk.index)) {
      return success();
    }
  }
  const Bytes answers = TotalAnswerSize(chunk);
  if (held.records + chunk.records.size() > held.max_records ||
      held.answers + answers > held.max_total_answer_size) {
    return Error{
        ErrorKind::kOverloaded,
        "the chunk exceeds the limits on handed-over records and answers",
        "hand the records over to another instance"};
  }
  ReceivedHandover& handover = held.by_owner[chunk.owner];
  handover.taken_at = chunk.taken_at;
  handover.retention = chunk.retention;
  handover.expires_at = std::max(handover.expires_at, now + chunk.hold_for);
  handover.chunk_count = chunk.count;
  handover.received_chunks.insert(chunk.index);
  for (const HandoverRecord& record : chunk.records) {
    if (handover.records.emplace(record.key, record).second) {
      ++held.records;
      held.answers += AnswerSize(record);
    }
  }
  return success();
}

KeyEffect AnswerFromHandover(const ReceivedHandovers& held,
                             const KeyOwner& owner, const KeyedCall& call) {
  const auto handover = held.by_owner.find(owner);
  if (handover == held.by_owner.end()) {
    return RefuseCall{call.number, KeyRefusal::kOwnerUnreachable};
  }
  const auto record = handover->second.records.find(call.key);
  if (record != handover->second.records.end()) {
    return AnswerFromRecord(record->second, call);
  }
  return RefuseCall{call.number,
                    MissingRecordProvesNotRun(handover->second, call)
                        ? KeyRefusal::kOwnerStopping
                        : KeyRefusal::kOwnerUnreachable};
}

void RemoveExpiredHandovers(ReceivedHandovers& held, TimePoint now) {
  std::erase_if(held.by_owner, [&held, now](const auto& entry) {
    const ReceivedHandover& handover = entry.second;
    if (now < handover.expires_at) {
      return false;
    }
    held.records -= handover.records.size();
    for (const auto& [key, record] : handover.records) {
      held.answers -= AnswerSize(record);
    }
    return true;
  });
}

bool MergeHandoverNotice(HandoverDirectory& directory, TimePoint now,
                         const HandoverNotice& notice) {
  const auto known = directory.entries.find(notice.owner);
  if (known != directory.entries.end()) {
    HandoverDirectory::Entry& entry = known->second;
    const bool newer =
        notice.step > entry.step ||
        (notice.step == entry.step && notice.successor > entry.successor);
    if (newer) {
      entry = {notice.successor, notice.step, now + notice.hold_for};
    }
    return newer;
  }
  if (directory.entries.size() >= directory.max_entries) {
    return false;
  }
  directory.entries.emplace(
      notice.owner, HandoverDirectory::Entry{notice.successor, notice.step,
                                             now + notice.hold_for});
  return true;
}

void RemoveExpiredNotices(HandoverDirectory& directory, TimePoint now) {
  std::erase_if(directory.entries, [now](const auto& entry) {
    return entry.second.expires_at <= now;
  });
}

OwnerLocation LocateOwner(const KeyOwner& owner, const KeyOwner& self,
                          const ReceivedHandovers& held,
                          const HandoverDirectory& directory,
                          std::span<const InstanceId> live) {
  if (owner == self) {
    return OwnedLocally{};
  }
  if (held.by_owner.contains(owner)) {
    return RecordsHeldLocally{};
  }
  const auto notice = directory.entries.find(owner);
  if (notice != directory.entries.end() &&
      notice->second.successor != self.instance &&
      ContainsInstance(live, notice->second.successor)) {
    return ForwardToInstance{notice->second.successor};
  }
  // The instance may have been restarted since; it compares the owner with
  // itself.
  if (owner.instance != self.instance &&
      ContainsInstance(live, owner.instance)) {
    return ForwardToInstance{owner.instance};
  }
  return OwnerUnreachable{};
}

}  // namespace mimosagauge
