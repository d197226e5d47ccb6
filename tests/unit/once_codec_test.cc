// Claims and hand-overs survive encoding, and damaged bytes
// are refused.

#include "mimosagauge/impl/wire/once_codec.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <string>

namespace mimosagauge {
namespace {

using std::chrono::seconds;

KeyOwner Owner(std::uint64_t number) {
  return {InstanceId("kisumu-" + std::to_string(number)), Incarnation{number},
          number * 7};
}

SlotValue Slot() {
  SlotValue value;
  value.buckets.push_back({seconds(60),
                           seconds(5),
                           {{{1, 2}, Owner(1), ClaimNumber{3}},
                            {{4, 5}, Owner(2), ClaimNumber{6}}}});
  value.buckets.push_back(
      {seconds(1), seconds(0), {{{7, 8}, Owner(1), ClaimNumber{9}}}});
  return value;
}

HandoverChunk Chunk() {
  HandoverChunk chunk;
  chunk.owner = Owner(1);
  chunk.taken_at = seconds(100);
  chunk.retention = seconds(600);
  chunk.hold_for = seconds(1200);
  chunk.index = 1;
  chunk.count = 2;
  auto answer = std::make_shared<RecordedAnswer>();
  answer->head.status = 201;
  answer->head.headers = {{"Content-Type", "application/json"}};
  answer->head.path = {{RegionId("kisumu-a"), "order-desk-1"}};
  answer->body = std::string("{\"net\": \0}", 10);
  chunk.records = {{{1, 2}, {3, 4}, KeyState::kCompleted, answer},
                   {{5, 6}, {7, 8}, KeyState::kClosed, nullptr},
                   {{9, 9}, {9, 9}, KeyState::kRunning, nullptr}};
  return chunk;
}

TEST_CASE("a slot of claims is read back") {
  const SlotValue read = DecodeSlot(EncodeSlot(Slot())).value();
  REQUIRE(read.buckets.size() == 2);
  CHECK(read.buckets[0].bindings == Slot().buckets[0].bindings);
  CHECK(read.buckets[1].bindings == Slot().buckets[1].bindings);
  CHECK(read.buckets[0].open_for == seconds(60));
  CHECK(read.buckets[0].closed_for == seconds(5));
}

TEST_CASE("a claim is read back") {
  const ClaimBinding binding{{1, 2}, Owner(1), ClaimNumber{3}};
  CHECK(DecodeClaim(EncodeClaim(binding)).value() == binding);
}

TEST_CASE("a hand-over is read back") {
  const HandoverChunk read = DecodeHandover(EncodeHandover(Chunk())).value();
  CHECK(read.owner == Owner(1));
  CHECK(read.taken_at == seconds(100));
  CHECK(read.retention == seconds(600));
  CHECK(read.hold_for == seconds(1200));
  CHECK(read.index == 1);
  CHECK(read.count == 2);
  REQUIRE(read.records.size() == 3);
  CHECK(read.records[0].key == KeyFingerprint{1, 2});
  CHECK(read.records[0].content == ContentFingerprint{3, 4});
  REQUIRE(read.records[0].answer != nullptr);
  CHECK(read.records[0].answer->body == Chunk().records[0].answer->body);
  CHECK(read.records[0].answer->head.headers ==
        Chunk().records[0].answer->head.headers);
  CHECK(read.records[0].answer->head.path ==
        Chunk().records[0].answer->head.path);
  CHECK(read.records[1].state == KeyState::kClosed);
  // Undecided at its owner: it may have run.
  CHECK(read.records[2].state == KeyState::kUnknown);
}

TEST_CASE("bytes that do not hold are refused") {
  const auto bytes = GENERATE(values<std::string>(
      {"", "x", std::string(64, '\xff'), std::string(64, '\0')}));
  CHECK(DecodeSlot(bytes).has_error());
  CHECK(DecodeClaim(bytes).has_error());
  CHECK(DecodeHandover(bytes).has_error());
}

TEST_CASE("no shortened bytes are read beyond their end") {
  const std::string whole = EncodeHandover(Chunk());
  for (std::size_t size = 0; size < whole.size(); ++size) {
    // A copy of its own, so that the sanitizer sees reads past its end.
    const std::string part = whole.substr(0, size);
    const auto read = DecodeHandover(part);
    CHECK((read.has_error() || read.value().records.size() <= 3));
  }
}

}  // namespace
}  // namespace mimosagauge
