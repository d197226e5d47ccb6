// The dialect for etcd v3's JSON mapping.

#include "mimosagauge/impl/store/store_dialect.h"

#include "mimosagauge/impl/store/store_codec.h"

namespace mimosagauge {
namespace {

constexpr unsigned kOk = 200;

[[nodiscard]] StoreHttpRequest Post(const char* target, std::string body) {
  return {StoreHttpMethod::kPost, target, std::move(body)};
}

}  // namespace

const StoreDialect& EtcdDialect() noexcept {
  static constexpr StoreDialect kDialect{
      [](unsigned status) { return status == kOk; },
      &DecodeErrorAnswer,
      [](const StoreRange& range) {
        return Post("/v3/kv/range", EncodeRange(range));
      },
      [](const StoreHttpAnswer& answer) { return DecodeRange(answer.body); },
      [](const StoreTransaction& transaction) {
        return Post("/v3/kv/txn", EncodeTransaction(transaction));
      },
      [](const StoreHttpAnswer& answer) {
        return DecodeTransaction(answer.body);
      },
      [](Duration ttl) { return Post("/v3/lease/grant", EncodeGrant(ttl)); },
      [](const StoreHttpAnswer& answer) { return DecodeGrant(answer.body); },
      [](LeaseId lease) {
        return Post("/v3/lease/keepalive", EncodeLeaseId(lease));
      },
      [](const StoreHttpAnswer& answer) {
        return DecodeKeepAlive(answer.body);
      },
      [](LeaseId lease) {
        return Post("/v3/lease/revoke", EncodeLeaseId(lease));
      },
      nullptr,
      nullptr,
      {}};
  return kDialect;
}

}  // namespace mimosagauge
