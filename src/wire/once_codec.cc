// FlatBuffers of claims and hand-overs.

#include "mimosagauge/impl/wire/once_codec.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "mimosagauge/impl/wire/once_schema.h"

namespace mimosagauge {
namespace {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

std::string Finish(FlatBufferBuilder& builder, Offset<void> root) {
  builder.Finish(Offset<flatbuffers::Table>(root.o));
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
          builder.GetSize()};
}

// The root table, or null when the bytes do not hold.
// `bytes` owns its memory, which the allocator aligned.
template <typename Root>
const Root* Verified(const std::string& bytes) {
  const auto* data = reinterpret_cast<const std::uint8_t*>(bytes.data());
  flatbuffers::Verifier verifier(data, bytes.size());
  return verifier.VerifyBuffer<Root>(nullptr) ? flatbuffers::GetRoot<Root>(data)
                                              : nullptr;
}

Error Invalid(const char* what) {
  return {ErrorKind::kInvalidInput, std::string(what) + " cannot be read",
          "look for an instance of another version, or damage in the store"};
}

template <typename Tag>
wire::Print PrintOf(Fingerprint<Tag> print) {
  return {print.high, print.low};
}

template <typename Tag>
Fingerprint<Tag> Read(const wire::Print& print) {
  return {print.high(), print.low()};
}

Offset<wire::KeyOwner> Write(FlatBufferBuilder& builder,
                             const KeyOwner& owner) {
  return wire::CreateKeyOwnerDirect(builder, owner.instance.value().c_str(),
                                    owner.incarnation.value(), owner.nonce);
}

KeyOwner ReadOwner(const wire::KeyOwner& owner) {
  return {InstanceId(owner.instance()->str()), Incarnation{owner.incarnation()},
          owner.nonce()};
}

// Owners of a slot, each named once.
class OwnerIndex {
 public:
  std::uint32_t Of(const KeyOwner& owner) {
    const auto size = static_cast<std::uint32_t>(index_.size());
    return index_.emplace(owner, size).first->second;
  }

  [[nodiscard]] std::vector<Offset<wire::KeyOwner>> Write(
      FlatBufferBuilder& builder) const {
    std::vector<Offset<wire::KeyOwner>> owners(index_.size());
    for (const auto& [owner, at] : index_) {
      owners.at(at) = mimosagauge::Write(builder, owner);
    }
    return owners;
  }

 private:
  std::map<KeyOwner, std::uint32_t> index_;
};

Offset<wire::SlotBucket> WriteBucket(FlatBufferBuilder& builder,
                                     const ClaimBucket& bucket,
                                     OwnerIndex& owners) {
  std::vector<wire::SlotBinding> bindings;
  for (const ClaimBinding& binding : bucket.bindings) {
    bindings.emplace_back(PrintOf(binding.key), binding.number.value(),
                          owners.Of(binding.owner));
  }
  return wire::CreateSlotBucketDirect(builder, bucket.open_for.count(),
                                      bucket.closed_for.count(), &bindings);
}

std::optional<ClaimBucket> ReadBucket(const wire::SlotBucket& bucket,
                                      const std::vector<KeyOwner>& owners) {
  ClaimBucket read;
  read.open_for = Duration(bucket.open_for_ns());
  read.closed_for = Duration(bucket.closed_for_ns());
  if (bucket.bindings() == nullptr) {
    return read;
  }
  for (const wire::SlotBinding* binding : *bucket.bindings()) {
    if (binding->owner() >= owners.size()) {
      return std::nullopt;
    }
    read.bindings.push_back({Read<KeyFingerprintTag>(binding->key()),
                             owners[binding->owner()],
                             ClaimNumber{binding->number()}});
  }
  return read;
}

Offset<wire::Answer> WriteAnswer(FlatBufferBuilder& builder,
                                 const RecordedAnswer& answer) {
  std::vector<Offset<wire::AnswerField>> headers;
  for (const Header& header : answer.head.headers) {
    headers.push_back(wire::CreateAnswerFieldDirect(
        builder, header.name.c_str(), header.value.c_str()));
  }
  std::vector<Offset<wire::AnswerPlace>> path;
  for (const Place& place : answer.head.path) {
    path.push_back(wire::CreateAnswerPlaceDirect(
        builder, place.region.value().c_str(), place.name.c_str()));
  }
  const std::vector<std::uint8_t> body(answer.body.begin(), answer.body.end());
  return wire::CreateAnswerDirect(builder, answer.head.status, &headers, &path,
                                  &body);
}

RecordedAnswerPtr ReadAnswer(const wire::Answer* answer) {
  if (answer == nullptr) {
    return nullptr;
  }
  auto read = std::make_shared<RecordedAnswer>();
  read->head.status = answer->status();
  if (answer->headers() != nullptr) {
    for (const wire::AnswerField* header : *answer->headers()) {
      read->head.headers.push_back(
          {header->name()->str(), header->value()->str()});
    }
  }
  if (answer->path() != nullptr) {
    for (const wire::AnswerPlace* place : *answer->path()) {
      read->head.path.push_back(
          {RegionId(place->region()->str()), place->name()->str()});
    }
  }
  if (answer->body() != nullptr) {
    read->body.assign(answer->body()->begin(), answer->body()->end());
  }
  return read;
}

Offset<wire::HandedKey> WriteRecord(FlatBufferBuilder& builder,
                                    const HandoverRecord& record) {
  const auto answer = record.answer ? WriteAnswer(builder, *record.answer) : 0;
  const wire::Print key = PrintOf(record.key);
  const wire::Print content = PrintOf(record.content);
  return wire::CreateHandedKey(builder, &key, &content,
                               static_cast<std::uint8_t>(record.state), answer);
}

HandoverRecord ReadRecord(const wire::HandedKey& record) {
  HandoverRecord read;
  read.key = Read<KeyFingerprintTag>(*record.key());
  read.content = Read<ContentFingerprintTag>(*record.content());
  // A state that is not known here may have run.
  const auto state = static_cast<KeyState>(record.state());
  read.state = state == KeyState::kCompleted || state == KeyState::kClosed
                   ? state
                   : KeyState::kUnknown;
  read.answer = ReadAnswer(record.answer());
  return read;
}

}  // namespace

std::string EncodeSlot(const SlotValue& value) {
  FlatBufferBuilder builder;
  OwnerIndex owners;
  std::vector<Offset<wire::SlotBucket>> buckets;
  for (const ClaimBucket& bucket : value.buckets) {
    buckets.push_back(WriteBucket(builder, bucket, owners));
  }
  const auto named = owners.Write(builder);
  return Finish(builder,
                wire::CreateSlotDirect(builder, &named, &buckets).Union());
}

Result<SlotValue> DecodeSlot(std::string_view bytes) {
  const std::string aligned(bytes);
  const auto* slot = Verified<wire::Slot>(aligned);
  if (slot == nullptr) {
    return Invalid("a slot of claims");
  }
  std::vector<KeyOwner> owners;
  for (const wire::KeyOwner* owner : *slot->owners()) {
    owners.push_back(ReadOwner(*owner));
  }
  SlotValue value;
  for (const wire::SlotBucket* bucket : *slot->buckets()) {
    auto read = ReadBucket(*bucket, owners);
    if (!read) {
      return Invalid("a slot of claims");
    }
    value.buckets.push_back(std::move(*read));
  }
  return value;
}

std::string EncodeClaim(const ClaimBinding& binding) {
  FlatBufferBuilder builder;
  const wire::Print key = PrintOf(binding.key);
  const auto owner = Write(builder, binding.owner);
  return Finish(
      builder,
      wire::CreateClaim(builder, &key, owner, binding.number.value()).Union());
}

Result<ClaimBinding> DecodeClaim(std::string_view bytes) {
  const std::string aligned(bytes);
  const auto* claim = Verified<wire::Claim>(aligned);
  if (claim == nullptr) {
    return Invalid("a claim");
  }
  return ClaimBinding{Read<KeyFingerprintTag>(*claim->key()),
                      ReadOwner(*claim->owner()), ClaimNumber{claim->number()}};
}

std::string EncodeHandover(const HandoverChunk& chunk) {
  FlatBufferBuilder builder;
  std::vector<Offset<wire::HandedKey>> records;
  for (const HandoverRecord& record : chunk.records) {
    records.push_back(WriteRecord(builder, record));
  }
  const auto owner = Write(builder, chunk.owner);
  return Finish(builder, wire::CreateHandoverDirect(
                             builder, owner, chunk.taken_at.count(),
                             chunk.retention.count(), chunk.hold_for.count(),
                             chunk.index, chunk.count, &records)
                             .Union());
}

Result<HandoverChunk> DecodeHandover(std::string_view bytes) {
  const std::string aligned(bytes);
  const auto* handover = Verified<wire::Handover>(aligned);
  if (handover == nullptr) {
    return Invalid("a chunk of handed-over records");
  }
  HandoverChunk chunk;
  chunk.owner = ReadOwner(*handover->owner());
  chunk.taken_at = Duration(handover->taken_at_ns());
  chunk.retention = Duration(handover->retention_ns());
  chunk.hold_for = Duration(handover->hold_for_ns());
  chunk.index = handover->index();
  chunk.count = handover->count();
  for (const wire::HandedKey* record : *handover->records()) {
    chunk.records.push_back(ReadRecord(*record));
  }
  return chunk;
}

}  // namespace mimosagauge
