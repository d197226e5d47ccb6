// Data types of the platform's key-value service, independent of its protocol:
// keys with values, compare-and-swap transactions, leases and watches.

#ifndef MIMOSAGAUGE_IMPL_STORE_STORE_H_
#define MIMOSAGAUGE_IMPL_STORE_STORE_H_

#include <cstddef>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "mimosagauge/impl/core/strong_id.h"
#include "mimosagauge/impl/core/time.h"

namespace mimosagauge {

/// Revision of the store, which increases with every write; zero: never
/// written.
using StoreRevision = StrongNumber<struct StoreRevisionTag>;
/// Rises each time that the service's contents are restored from an earlier
/// copy; zero: not stated. Revisions of different eras cannot be compared,
/// since they are given out again after a restoration.
using StoreEra = StrongNumber<struct StoreEraTag>;
/// Identifies a lease; zero: none.
using LeaseId = StrongNumber<struct LeaseTag>;

/// Most bytes in one value; the service itself accepts up to a megabyte.
inline constexpr std::size_t kMaxStoreValueBytes = 1000UL * 1000;

/// \brief A key and its value.
struct StoreEntry {
  std::string key;
  std::string value;
  StoreRevision created;   ///< Revision that created the key.
  StoreRevision modified;  ///< Revision of the key's last change.
  LeaseId lease;  ///< The key is removed when this lease ends; zero: never.

  [[nodiscard]] friend bool operator==(const StoreEntry&,
                                       const StoreEntry&) = default;
};

/// \brief Keys to read: one, or all with a prefix.
struct StoreRange {
  std::string key;
  bool prefix = false;  ///< `key` is the prefix of the keys to read.
  std::string after{};  ///< Only keys that sort after this one; empty: all.
};

/// \brief Result of a read.
struct StoreReadResult {
  StoreRevision revision;  ///< Revision of the whole store at the read.
  std::vector<StoreEntry> entries;
  bool more = false;  ///< The service has more keys than it returned.
};

/// \brief Condition of a transaction: the key's last change has this revision.
struct StoreCondition {
  std::string key;
  StoreRevision modified;  ///< Zero: the key does not exist.
};

/// Sets a key.
struct StorePut {
  std::string key;
  std::string value;
  LeaseId lease;
};
/// Removes a key.
struct StoreDelete {
  std::string key;
};
using StoreWrite = std::variant<StorePut, StoreDelete>;

/// \brief Writes that take effect together when every condition holds.
struct StoreTransaction {
  std::vector<StoreCondition> conditions;
  std::vector<StoreWrite> writes;
  /// Keys to read when a condition does not hold.
  std::vector<StoreRange> reads_on_failure;
};

/// \brief Result of a transaction.
struct StoreCommitResult {
  bool applied = false;    ///< All conditions held, and the writes took effect.
  StoreRevision revision;  ///< Revision of the store after the transaction.
  std::vector<StoreEntry> entries;  ///< Entries that `reads_on_failure` found.
};

/// \brief A lease that was granted or renewed.
struct StoreLease {
  LeaseId id;
  /// Lifetime left when the service answered; zero: the lease has expired.
  Duration remaining{};
};

/// \brief A key that changed.
struct StoreChange {
  std::string key;
  std::optional<StoreEntry> entry;  ///< None: the key was removed.
  StoreRevision modified;           ///< Revision of the change.
};

/// \brief Changes and state that a watch reports at once.
struct StoreWatchUpdate {
  StoreRevision revision;  ///< Revision of the whole store.
  bool created = false;    ///< The watch was created; no change yet.
  std::vector<StoreChange> changes;
  /// The service no longer has the changes requested, so the keys must be read
  /// again.
  bool gap = false;
};

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_STORE_STORE_H_
