// How a key-value service is spoken to: typed calls to HTTP and back. Services
// differ in paths and formats only; everything else is shared.

#ifndef MIMOSAGAUGE_IMPL_STORE_STORE_DIALECT_H_
#define MIMOSAGAUGE_IMPL_STORE_STORE_DIALECT_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "mimosagauge/impl/core/error.h"
#include "mimosagauge/impl/store/store.h"

namespace mimosagauge {

enum class StoreVerb : std::uint8_t { kGet, kPost, kDelete };

/// \brief One call as HTTP; its body is JSON, or empty.
struct StoreHttpCall {
  StoreVerb verb = StoreVerb::kPost;
  std::string target;
  std::string body;
};

/// \brief What came back, with a status that `is_answer` accepts.
struct StoreAnswer {
  unsigned status = 0;
  std::string body;
};

/// \brief One kind of service.
struct StoreDialect {
  /// \returns Whether a status is part of the service's answers; others are
  /// refusals.
  bool (*is_answer)(unsigned status);
  Error (*decode_refusal)(unsigned status, std::string_view body);

  StoreHttpCall (*encode_range)(const StoreRange& range);
  Result<StoreRead> (*decode_range)(const StoreAnswer& answer);
  StoreHttpCall (*encode_transaction)(const StoreTransaction& transaction);
  Result<StoreCommit> (*decode_transaction)(const StoreAnswer& answer);
  StoreHttpCall (*encode_grant)(Duration ttl);
  Result<StoreLease> (*decode_grant)(const StoreAnswer& answer);
  StoreHttpCall (*encode_keep_alive)(LeaseId lease);
  Result<StoreLease> (*decode_keep_alive)(const StoreAnswer& answer);
  StoreHttpCall (*encode_revoke)(LeaseId lease);
  /// \brief A watch that answers once; null: the service only streams.
  StoreHttpCall (*encode_poll)(const StoreRange& range, StoreRevision after,
                               Duration wait);
  Result<StoreWatchUpdate> (*decode_poll)(const StoreAnswer& answer);
};

/// \returns etcd v3's JSON mapping.
[[nodiscard]] const StoreDialect& EtcdDialect() noexcept;

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_STORE_STORE_DIALECT_H_
