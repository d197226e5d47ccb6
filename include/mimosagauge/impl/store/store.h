// The platform's key-value service as the rest of the program sees it: keys
// with values, compare-and-swap transactions, leases and watches.

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

/// Counts all writes to the store; zero: never written.
using StoreRevision = StrongNumber<struct StoreRevisionTag>;
/// Names a lease; zero: none.
using LeaseId = StrongNumber<struct LeaseTag>;

/// Most bytes in one value; the service itself takes a megabyte.
inline constexpr std::size_t kMaxStoreValueBytes = 1000UL * 1000;

/// \brief A key and its value.
struct StoreEntry {
  std::string key;
  std::string value;
  StoreRevision created;
  StoreRevision modified;
  LeaseId lease;  ///< The key goes when this lease does.

  [[nodiscard]] friend bool operator==(const StoreEntry&,
                                       const StoreEntry&) = default;
};

/// \brief Keys to read: one, or all with a prefix.
struct StoreRange {
  std::string key;
  bool prefix = false;
  std::string after{};  ///< Only keys behind this one; empty: all.
};

/// \brief What a read found.
struct StoreRead {
  StoreRevision revision;  ///< Of the whole store at the time of reading.
  std::vector<StoreEntry> entries;
  bool more = false;  ///< There were more keys than the service sent.
};

/// \brief Condition of a transaction: the key was last changed then.
struct StoreCompare {
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
  std::vector<StoreCompare> conditions;
  std::vector<StoreWrite> writes;
  std::vector<StoreRange> reads_on_failure;  ///< Done when one does not hold.
};

/// \brief How a transaction went.
struct StoreCommit {
  bool applied = false;    ///< The conditions held, and the writes are done.
  StoreRevision revision;  ///< Of the store after it.
  std::vector<StoreEntry> entries;  ///< From `reads_on_failure`.
};

/// \brief A lease as granted or renewed.
struct StoreLease {
  LeaseId id;
  Duration remaining{};  ///< Counted from the service's answer; zero: lapsed.
};

/// \brief A key that changed.
struct StoreChange {
  std::string key;
  std::optional<StoreEntry> entry;  ///< None: the key was removed.
  StoreRevision modified;
};

/// \brief What a watch tells.
struct StoreWatchUpdate {
  StoreRevision revision;  ///< Of the whole store.
  bool created = false;    ///< The watch has begun; nothing has been told yet.
  std::vector<StoreChange> changes;
  /// The service no longer has the changes asked for: read the keys again.
  bool gap = false;
};

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_STORE_STORE_H_
