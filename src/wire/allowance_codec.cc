// Messages about allowances as FlatBuffers behind a tag.

#include "mimosagauge/impl/wire/allowance_codec.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <vector>

#include "mimosagauge/impl/wire/allowance_schema.h"

namespace mimosagauge {
namespace {

// FlatBuffers needs aligned bytes; the tag takes a whole unit.
constexpr std::size_t kTagBytes = 8;

[[nodiscard]] std::uint32_t Microseconds(Duration duration) {
  const auto count =
      std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
  return static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(count, 0, UINT32_MAX));
}

[[nodiscard]] bool IsAmount(double units) {
  return std::isfinite(units) && units >= 0;
}

[[nodiscard]] Error InvalidMessage() {
  return {ErrorKind::kInvalidInput,
          "a message about allowances of another instance cannot be read",
          "run the same release on both sides"};
}

}  // namespace

std::string EncodeAllowance(const AllowanceMessage& message) {
  std::vector<wire::AllowanceRequest> requests;
  for (const AllowanceRequest& request : message.requests) {
    requests.emplace_back(request.account.value(), request.nonce.value(),
                          request.need, request.ahead, request.transfer);
  }
  std::vector<wire::AllowanceGrant> grants;
  for (const AllowanceGrant& grant : message.grants) {
    grants.emplace_back(grant.account.value(), grant.nonce.value(),
                        grant.amount, grant.spare, Microseconds(grant.lifetime),
                        Microseconds(grant.retry_after),
                        static_cast<std::uint8_t>(grant.outcome));
  }
  flatbuffers::FlatBufferBuilder builder;
  // Empty lists take no bytes.
  using Requests =
      flatbuffers::Offset<flatbuffers::Vector<const wire::AllowanceRequest*>>;
  using Grants =
      flatbuffers::Offset<flatbuffers::Vector<const wire::AllowanceGrant*>>;
  const Requests request_list =
      requests.empty() ? Requests() : builder.CreateVectorOfStructs(requests);
  const Grants grant_list =
      grants.empty() ? Grants() : builder.CreateVectorOfStructs(grants);
  builder.Finish(
      wire::CreateAllowanceMessage(builder, request_list, grant_list));
  std::string bytes(kTagBytes, kAllowanceTag);
  bytes.append(reinterpret_cast<const char*>(builder.GetBufferPointer()),
               builder.GetSize());
  return bytes;
}

Result<AllowanceMessage> DecodeAllowance(std::string_view bytes) {
  if (bytes.size() <= kTagBytes || bytes.front() != kAllowanceTag) {
    return InvalidMessage();
  }
  // A copy, because the bytes of a frame are not aligned.
  const std::vector<std::uint8_t> payload(bytes.begin() + kTagBytes,
                                          bytes.end());
  flatbuffers::Verifier verifier(payload.data(), payload.size());
  if (!wire::VerifyAllowanceMessageBuffer(verifier)) {
    return InvalidMessage();
  }
  const wire::AllowanceMessage& table =
      *wire::GetAllowanceMessage(payload.data());
  AllowanceMessage message;
  if (table.requests() != nullptr) {
    for (const wire::AllowanceRequest* request : *table.requests()) {
      if (!IsAmount(request->need()) || !IsAmount(request->ahead())) {
        return InvalidMessage();
      }
      message.requests.push_back(
          {AccountHash{request->account()}, AllowanceNonce{request->nonce()},
           request->need(), request->ahead(), request->transfer()});
    }
  }
  if (table.grants() != nullptr) {
    constexpr auto kLastOutcome =
        static_cast<std::uint8_t>(GrantOutcome::kPending);
    for (const wire::AllowanceGrant* grant : *table.grants()) {
      if (!IsAmount(grant->amount()) || !std::isfinite(grant->spare()) ||
          grant->outcome() > kLastOutcome) {
        return InvalidMessage();
      }
      message.grants.push_back(
          {AccountHash{grant->account()}, AllowanceNonce{grant->nonce()},
           static_cast<GrantOutcome>(grant->outcome()), grant->amount(),
           std::chrono::microseconds(grant->lifetime_us()),
           std::chrono::microseconds(grant->retry_after_us()), grant->spare()});
    }
  }
  return message;
}

}  // namespace mimosagauge
