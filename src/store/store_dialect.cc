// The dialect for etcd v3's JSON mapping.

#include "mimosagauge/impl/store/store_dialect.h"

#include "mimosagauge/impl/store/store_codec.h"

namespace mimosagauge {
namespace {

constexpr unsigned kOk = 200;

[[nodiscard]] StoreHttpCall Post(const char* target, std::string body) {
  return {StoreVerb::kPost, target, std::move(body)};
}

}  // namespace

const StoreDialect& EtcdDialect() noexcept {
  static constexpr StoreDialect kDialect{
      [](unsigned status) { return status == kOk; },
      &DecodeRefusal,
      [](const StoreRange& range) {
        return Post("/v3/kv/range", EncodeRange(range));
      },
      [](const StoreAnswer& answer) { return DecodeRange(answer.body); },
      [](const StoreTransaction& transaction) {
        return Post("/v3/kv/txn", EncodeTransaction(transaction));
      },
      [](const StoreAnswer& answer) { return DecodeTransaction(answer.body); },
      [](Duration ttl) { return Post("/v3/lease/grant", EncodeGrant(ttl)); },
      [](const StoreAnswer& answer) { return DecodeGrant(answer.body); },
      [](LeaseId lease) {
        return Post("/v3/lease/keepalive", EncodeLease(lease));
      },
      [](const StoreAnswer& answer) { return DecodeKeepAlive(answer.body); },
      [](LeaseId lease) {
        return Post("/v3/lease/revoke", EncodeLease(lease));
      },
      nullptr,
      nullptr};
  return kDialect;
}

}  // namespace mimosagauge
