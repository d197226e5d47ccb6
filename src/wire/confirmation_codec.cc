// Questions and answers about the newest configuration as FlatBuffers behind a
// tag.

#include "mimosagauge/impl/wire/confirmation_codec.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <vector>

#include "mimosagauge/impl/wire/confirmation_schema.h"

namespace mimosagauge {
namespace {

// FlatBuffers wants its bytes aligned; the tag takes a whole unit.
constexpr std::size_t kTagBytes = 8;
// Longer ages are those of a faulty sender.
constexpr std::chrono::microseconds kMaxAge = std::chrono::hours(24);

[[nodiscard]] std::uint64_t AgeToWire(Duration age) {
  const auto count = std::chrono::ceil<std::chrono::microseconds>(age).count();
  return static_cast<std::uint64_t>(std::max<std::int64_t>(0, count));
}

[[nodiscard]] Duration AgeFromWire(std::uint64_t microseconds) {
  const auto longest = static_cast<std::uint64_t>(kMaxAge.count());
  return std::chrono::microseconds(
      static_cast<std::int64_t>(std::min(microseconds, longest)));
}

}  // namespace

std::string EncodeConfirmation(const ConfirmationMessage& message) {
  flatbuffers::FlatBufferBuilder builder;
  const wire::ProcessStamp asked(message.asked.process,
                                 message.asked.at.time_since_epoch().count());
  wire::ConfirmedVersion confirmed;
  if (message.confirmed) {
    confirmed = wire::ConfirmedVersion(message.confirmed->version.value(),
                                       AgeToWire(message.confirmed->age));
  }
  builder.Finish(wire::CreateConfirmation(
      builder, &asked, message.confirmed ? &confirmed : nullptr));
  std::string bytes(kTagBytes, '\0');
  bytes.front() = kConfirmationTag;
  for (std::size_t i = 0; i < builder.GetSize(); ++i) {
    bytes += static_cast<char>(builder.GetBufferPointer()[i]);
  }
  return bytes;
}

Result<ConfirmationMessage> DecodeConfirmation(std::string_view bytes) {
  const Error invalid{ErrorKind::kInvalidInput,
                      "a confirmation message of another instance is not valid",
                      "run the same release on both sides"};
  if (bytes.size() <= kTagBytes || bytes.front() != kConfirmationTag) {
    return invalid;
  }
  // A copy, because the bytes of a frame are not aligned.
  const std::vector<std::uint8_t> payload(bytes.begin() + kTagBytes,
                                          bytes.end());
  flatbuffers::Verifier verifier(payload.data(), payload.size());
  if (!wire::VerifyConfirmationBuffer(verifier)) {
    return invalid;
  }
  const wire::Confirmation& table = *wire::GetConfirmation(payload.data());
  ConfirmationMessage message;
  message.asked = {table.asked()->process(),
                   TimePoint{Duration(table.asked()->at_ns())}};
  if (table.confirmed() != nullptr) {
    message.confirmed =
        ConfirmedVersion{Revision{table.confirmed()->version()},
                         AgeFromWire(table.confirmed()->age_us())};
  }
  return message;
}

}  // namespace mimosagauge
