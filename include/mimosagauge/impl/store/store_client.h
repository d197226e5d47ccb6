// Client of the key-value service: calls with deadlines over reused
// connections to several addresses, and watches that reconnect.
//
// Everything runs on the thread of one io_context. Each call ends in exactly
// one call of its handler, never from within the function that began it.

#ifndef MIMOSAGAUGE_IMPL_STORE_STORE_CLIENT_H_
#define MIMOSAGAUGE_IMPL_STORE_STORE_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "mimosagauge/impl/core/endpoint.h"
#include "mimosagauge/impl/core/error.h"
#include "mimosagauge/impl/store/store.h"
#include "mimosagauge/impl/store/store_dialect.h"

namespace mimosagauge {

/// \brief Addresses and bounds of a store client.
struct StoreClientSettings {
  const StoreDialect* dialect = &EtcdDialect();  ///< Never null.
  std::vector<Endpoint> endpoints;  ///< Not empty; the first is tried first.
  Duration connect_timeout = std::chrono::seconds(1);
  /// A read that is not answered within this is tried again elsewhere.
  Duration read_timeout = std::chrono::seconds(2);
  Duration call_timeout = std::chrono::seconds(6);  ///< With all tries.
  /// A connection unused for longer is not used again.
  Duration idle_timeout = std::chrono::seconds(20);
  /// A watch that told nothing for this long is opened anew.
  Duration watch_timeout = std::chrono::seconds(60);
  Duration first_backoff = std::chrono::milliseconds(50);
  Duration longest_backoff = std::chrono::seconds(5);
  std::size_t connections = 8;      ///< At once, without the watches'.
  std::size_t waiting_calls = 256;  ///< For a connection.
  std::size_t answer_bytes = 4UL * 1024 * 1024;
  std::uint64_t seed = 1;  ///< Of the jitter.
};

namespace detail {
class StoreConnections;
class StoreWatchLoop;
}  // namespace detail

/// \brief A watch that goes on until it is destroyed.
class StoreWatch {
 public:
  explicit StoreWatch(std::shared_ptr<detail::StoreWatchLoop> loop);
  ~StoreWatch();
  StoreWatch(StoreWatch&& other) noexcept;
  StoreWatch& operator=(StoreWatch&& other) noexcept;
  StoreWatch(const StoreWatch&) = delete;
  StoreWatch& operator=(const StoreWatch&) = delete;

  /// \brief Drops the connection, which may be silent, and opens another.
  void Reopen();

 private:
  std::shared_ptr<detail::StoreWatchLoop> loop_;
};

/// \brief Calls the key-value service.
///
/// Errors: `kUnavailable` and `kTimeout` mean that nothing was written;
/// `kUnknownOutcome` that a write may have taken effect; `kOverloaded` that
/// too many calls wait. Reads are retried, writes only while no byte of them
/// can have been sent.
class StoreClient {
 public:
  template <typename T>
  using Handler = std::function<void(Result<T>&&)>;
  using WatchHandler = std::function<void(const StoreWatchUpdate&)>;

  StoreClient(boost::asio::io_context& io_context,
              StoreClientSettings settings);
  /// Calls in progress end without their handlers being called.
  ~StoreClient();
  StoreClient(const StoreClient&) = delete;
  StoreClient& operator=(const StoreClient&) = delete;

  /// \brief Reads keys, never from a stale replica.
  void Get(const StoreRange& range, Handler<StoreRead> handler);
  /// \brief Compares and swaps.
  void Commit(const StoreTransaction& transaction,
              Handler<StoreCommit> handler);
  /// \param ttl In whole seconds, at least one.
  void GrantLease(Duration ttl, Handler<StoreLease> handler);
  /// \brief Renews a lease. `remaining` of zero: it has lapsed.
  void KeepAlive(LeaseId lease, Handler<StoreLease> handler);
  /// \brief Ends a lease; one that does not exist any more is no error.
  void Revoke(LeaseId lease, Handler<LeaseId> handler);
  /// \brief Waits once for changes; only where the dialect can.
  /// \param after Newest revision known.
  /// \param wait How long the service holds the call while there is none.
  void Poll(const StoreRange& range, StoreRevision after, Duration wait,
            Handler<StoreWatchUpdate> handler);
  /// \brief Watches on one streamed call; only etcd's.
  /// \param from First revision to be told of; zero: from now on.
  /// \param handler Called with every change, in order; after a reconnect the
  /// last ones may be told again.
  [[nodiscard]] StoreWatch Watch(const StoreRange& range, StoreRevision from,
                                 WatchHandler handler);

 private:
  std::shared_ptr<detail::StoreConnections> connections_;
};

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_STORE_STORE_CLIENT_H_
