// Export, import and use of a stopped owner's records.

#include <algorithm>
#include <utility>

#include "mimosagauge/impl/decisions/once/handover.h"

namespace mimosagauge {
namespace {

Bytes AnswerSize(const HandedRecord& record) noexcept {
  return record.answer ? SizeOf(*record.answer) : Bytes{};
}

HandedRecord Handed(KeyFingerprint key, const KeyRecord& record) {
  const bool undecided =
      record.state == KeyState::kRunning || record.state == KeyState::kClaiming;
  return {key, record.content, undecided ? KeyState::kUnknown : record.state,
          record.answer};
}

// Puts records into chunks of bounded size.
class Chunker {
 public:
  explicit Chunker(HandoverChunk empty) : empty_(std::move(empty)) {
    chunks_.push_back(empty_);
  }

  void Add(HandedRecord record) {
    const Bytes size = AnswerSize(record);
    if (!chunks_.back().records.empty() &&
        (chunks_.back().records.size() >= kChunkRecords ||
         size_ + size > kChunkBytes)) {
      chunks_.push_back(empty_);
      size_ = Bytes{};
    }
    size_ += size;
    chunks_.back().records.push_back(std::move(record));
  }

  [[nodiscard]] std::vector<HandoverChunk> Take() {
    std::uint32_t index = 0;
    for (HandoverChunk& chunk : chunks_) {
      chunk.index = index++;
      chunk.count = static_cast<std::uint32_t>(chunks_.size());
    }
    return std::move(chunks_);
  }

 private:
  HandoverChunk empty_;
  std::vector<HandoverChunk> chunks_;
  Bytes size_;  // Of the answers in the last chunk.
};

bool IsComplete(const HeldTable& table) noexcept {
  return table.count != 0 && table.received.size() == table.count;
}

bool Fits(const HandoverChunk& chunk) noexcept {
  return chunk.count != 0 && chunk.count <= kMaxChunks &&
         chunk.index < chunk.count && chunk.records.size() <= kChunkRecords;
}

Error BadChunk() {
  return {ErrorKind::kInvalidInput, "a chunk of handed-over records is invalid",
          "hand the records to another instance"};
}

Bytes AnswersIn(const HandoverChunk& chunk) noexcept {
  Bytes answers;
  for (const HandedRecord& record : chunk.records) {
    answers += AnswerSize(record);
  }
  return answers;
}

KeyEffect AnswerFromRecord(const HandedRecord& record, const KeyedCall& call) {
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

// Whether the absence of a record proves that the key was never sent: the
// owner took no key after it was sealed, and when the records were read it
// had forgotten none of this ticket.
bool ProvesNotRun(const HeldTable& table, const KeyedCall& call) noexcept {
  return call.route == KeyRoute::kTicket && IsComplete(table) &&
         call.ticket_expiry + table.retention > table.taken_at;
}

bool Contains(std::span<const InstanceId> live, const InstanceId& instance) {
  return std::find(live.begin(), live.end(), instance) != live.end();
}

}  // namespace

Result<std::vector<HandoverChunk>> ExportKeys(const KeyTable& table,
                                              TimePoint now) {
  if (!table.sealed_at) {
    return Error{ErrorKind::kInternal, "the keys are still open",
                 "seal the key table before it is handed over"};
  }
  HandoverChunk empty;
  empty.owner = table.self;
  empty.taken_at = now - table.started;
  empty.retention = table.settings.retention;
  empty.hold_for = table.settings.retention + table.settings.ticket_life;
  Chunker chunker(std::move(empty));
  for (const auto& [key, record] : table.records) {
    chunker.Add(Handed(key, record));
  }
  return chunker.Take();
}

std::vector<HandoverChunk> ExportHeld(const HeldTables& held, TimePoint now) {
  std::vector<HandoverChunk> chunks;
  for (const auto& [owner, table] : held.tables) {
    if (!IsComplete(table) || table.forget_at <= now) {
      continue;
    }
    HandoverChunk empty;
    empty.owner = owner;
    empty.taken_at = table.taken_at;
    empty.retention = table.retention;
    empty.hold_for = table.forget_at - now;
    Chunker chunker(std::move(empty));
    for (const auto& [key, record] : table.records) {
      chunker.Add(record);
    }
    for (HandoverChunk& chunk : chunker.Take()) {
      chunks.push_back(std::move(chunk));
    }
  }
  return chunks;
}

Result<void> AcceptChunk(HeldTables& held, TimePoint now,
                         const HandoverChunk& chunk) {
  if (!Fits(chunk)) {
    return BadChunk();
  }
  const auto known = held.tables.find(chunk.owner);
  if (known != held.tables.end()) {
    if (known->second.count != chunk.count) {
      return BadChunk();
    }
    if (known->second.received.contains(chunk.index)) {
      return success();
    }
  }
  const Bytes answers = AnswersIn(chunk);
  if (held.records + chunk.records.size() > held.max_records ||
      held.answers + answers > held.max_answers) {
    return Error{ErrorKind::kOverloaded, "no room for handed-over records",
                 "hand the records to another instance"};
  }
  HeldTable& table = held.tables[chunk.owner];
  table.taken_at = chunk.taken_at;
  table.retention = chunk.retention;
  table.forget_at = std::max(table.forget_at, now + chunk.hold_for);
  table.count = chunk.count;
  table.received.insert(chunk.index);
  for (const HandedRecord& record : chunk.records) {
    if (table.records.emplace(record.key, record).second) {
      ++held.records;
      held.answers += AnswerSize(record);
    }
  }
  return success();
}

KeyEffect AnswerFromHeld(const HeldTables& held, const KeyOwner& owner,
                         const KeyedCall& call) {
  const auto table = held.tables.find(owner);
  if (table == held.tables.end()) {
    return RefuseCall{call.number, KeyRefusal::kOwnerGone};
  }
  const auto record = table->second.records.find(call.key);
  if (record != table->second.records.end()) {
    return AnswerFromRecord(record->second, call);
  }
  return RefuseCall{call.number, ProvesNotRun(table->second, call)
                                     ? KeyRefusal::kStopping
                                     : KeyRefusal::kOwnerGone};
}

void ForgetHeld(HeldTables& held, TimePoint now) {
  std::erase_if(held.tables, [&held, now](const auto& entry) {
    const HeldTable& table = entry.second;
    if (now < table.forget_at) {
      return false;
    }
    held.records -= table.records.size();
    for (const auto& [key, record] : table.records) {
      held.answers -= AnswerSize(record);
    }
    return true;
  });
}

bool LearnNotice(HandoverDirectory& directory, TimePoint now,
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

void ForgetNotices(HandoverDirectory& directory, TimePoint now) {
  std::erase_if(directory.entries, [now](const auto& entry) {
    return entry.second.forget_at <= now;
  });
}

OwnerPlace PlaceOf(const KeyOwner& owner, const KeyOwner& self,
                   const HeldTables& held, const HandoverDirectory& directory,
                   std::span<const InstanceId> live) {
  if (owner == self) {
    return OwnedHere{};
  }
  if (held.tables.contains(owner)) {
    return HeldHere{};
  }
  const auto notice = directory.entries.find(owner);
  if (notice != directory.entries.end() &&
      notice->second.successor != self.instance &&
      Contains(live, notice->second.successor)) {
    return AskInstance{notice->second.successor};
  }
  // The instance may have been started anew; it checks for itself.
  if (owner.instance != self.instance && Contains(live, owner.instance)) {
    return AskInstance{owner.instance};
  }
  return NobodyToAsk{};
}

}  // namespace mimosagauge
