// Codec for etcd v3's JSON mapping. Pure functions convert between typed calls
// and JSON texts, without I/O.

#ifndef MIMOSAGAUGE_IMPL_STORE_STORE_CODEC_H_
#define MIMOSAGAUGE_IMPL_STORE_STORE_CODEC_H_

#include <string>
#include <string_view>

#include "mimosagauge/impl/core/error.h"
#include "mimosagauge/impl/store/store.h"

namespace mimosagauge {

/// \returns The body of a call of `/v3/kv/range`.
[[nodiscard]] std::string EncodeRange(const StoreRange& range);
/// \returns The body of a call of `/v3/kv/txn`.
[[nodiscard]] std::string EncodeTransaction(
    const StoreTransaction& transaction);
/// \param ttl Rounded up to whole seconds, at least one.
/// \returns The body of a call of `/v3/lease/grant`.
[[nodiscard]] std::string EncodeGrant(Duration ttl);
/// \returns The body of a call of `/v3/lease/keepalive` or
/// `/v3/lease/revoke`.
[[nodiscard]] std::string EncodeLeaseId(LeaseId lease);
/// \param from First revision to report; zero: only new changes.
/// \returns The body of a call of `/v3/watch`.
[[nodiscard]] std::string EncodeWatch(const StoreRange& range,
                                      StoreRevision from);

/// \returns The result of a read, or `kInvalidInput`.
[[nodiscard]] Result<StoreReadResult> DecodeRange(std::string_view text);
/// \returns The result of a transaction, or `kInvalidInput`.
[[nodiscard]] Result<StoreCommitResult> DecodeTransaction(
    std::string_view text);
/// \returns The lease granted, or `kInvalidInput`.
[[nodiscard]] Result<StoreLease> DecodeGrant(std::string_view text);
/// \returns The lease renewed, or `kInvalidInput`.
[[nodiscard]] Result<StoreLease> DecodeKeepAlive(std::string_view text);
/// \param line One line of a watch's answer.
/// \returns The changes it reports, `kUnavailable` when the service ended the
/// watch, or `kInvalidInput`.
[[nodiscard]] Result<StoreWatchUpdate> DecodeWatch(std::string_view line);
/// \param status HTTP status of an answer that reports a failure.
/// \param text The answer's body.
/// \returns `kInvalidInput`, `kUnauthenticated`, `kNotFound`, `kOverloaded` or
/// `kUnavailable`. Only after `kUnavailable` may a write have taken effect.
[[nodiscard]] Error DecodeErrorAnswer(unsigned status, std::string_view text);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_STORE_STORE_CODEC_H_
