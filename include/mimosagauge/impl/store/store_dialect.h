// Protocols of key-value services: conversion of typed calls to HTTP requests
// and of HTTP answers to results. Services differ only in paths and formats;
// everything else is shared.

#ifndef MIMOSAGAUGE_IMPL_STORE_STORE_DIALECT_H_
#define MIMOSAGAUGE_IMPL_STORE_STORE_DIALECT_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "mimosagauge/impl/core/error.h"
#include "mimosagauge/impl/store/store.h"

namespace mimosagauge {

/// \brief HTTP method of a call.
enum class StoreHttpMethod : std::uint8_t { kGet, kPost, kDelete };

/// \brief A call as an HTTP request. The body is JSON, or empty.
struct StoreHttpRequest {
  StoreHttpMethod verb = StoreHttpMethod::kPost;
  std::string target;  ///< Path and query.
  std::string body;
};

/// \brief An HTTP answer with a status that `is_result_status` accepts.
struct StoreHttpAnswer {
  unsigned status = 0;
  std::string body;
};

/// \brief Protocol of one kind of service. The decoders return `kInvalidInput`
/// for a malformed answer.
struct StoreDialect {
  /// \returns Whether an answer with this status is decoded as a result; any
  /// other status is a failure.
  bool (*is_result_status)(unsigned status);
  /// \returns The error for an answer with any other status.
  Error (*decode_error_answer)(unsigned status, std::string_view body);

  StoreHttpRequest (*encode_range)(const StoreRange& range);
  Result<StoreReadResult> (*decode_range)(const StoreHttpAnswer& answer);
  StoreHttpRequest (*encode_transaction)(const StoreTransaction& transaction);
  Result<StoreCommitResult> (*decode_transaction)(
      const StoreHttpAnswer& answer);
  StoreHttpRequest (*encode_grant)(Duration ttl);
  Result<StoreLease> (*decode_grant)(const StoreHttpAnswer& answer);
  StoreHttpRequest (*encode_keep_alive)(LeaseId lease);
  Result<StoreLease> (*decode_keep_alive)(const StoreHttpAnswer& answer);
  StoreHttpRequest (*encode_revoke)(LeaseId lease);
  /// \brief A watch that is answered once. Null: the service supports only
  /// streamed watches.
  StoreHttpRequest (*encode_poll)(const StoreRange& range, StoreRevision after,
                                  Duration wait);
  Result<StoreWatchUpdate> (*decode_poll)(const StoreHttpAnswer& answer);
  /// Field of all answers, of any status, that states the era of the service's
  /// contents as a decimal number; empty: the service states none.
  std::string_view era_field;
};

/// \returns The dialect for etcd v3's JSON mapping.
[[nodiscard]] const StoreDialect& EtcdDialect() noexcept;

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_STORE_STORE_DIALECT_H_
