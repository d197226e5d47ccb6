// Client of the key-value service: calls with deadlines over reused
// connections to several addresses, and watches that reconnect.
//
// All functions and handlers run on the thread of one io_context. The handler
// of a call is called exactly once, never from within the function that started
// the call.

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

/// \brief Addresses, time limits and size limits of a store client.
struct StoreClientSettings {
  const StoreDialect* dialect = &EtcdDialect();  ///< Never null.
  std::vector<Endpoint> endpoints;  ///< Not empty; used first to last.
  Duration connect_timeout = std::chrono::seconds(1);
  /// A read that is not answered within this time is retried at the next
  /// endpoint.
  Duration read_timeout = std::chrono::seconds(2);
  /// Time limit of a call, including its retries.
  Duration call_timeout = std::chrono::seconds(6);
  /// A connection that was idle for longer is not reused.
  Duration idle_timeout = std::chrono::seconds(20);
  /// A watch that received nothing for this long is reconnected.
  Duration watch_timeout = std::chrono::seconds(60);
  Duration initial_backoff = std::chrono::milliseconds(50);
  Duration longest_backoff = std::chrono::seconds(5);
  /// Most calls in progress at once, each on a connection; watches not counted.
  std::size_t connections = 8;
  /// Most calls that wait for a connection; further ones are refused.
  std::size_t max_waiting_calls = 256;
  /// Most bytes in one answer, or in one line of a watch.
  std::size_t answer_bytes = 4UL * 1024 * 1024;
  std::uint64_t seed = 1;  ///< Seed of the random backoff jitter.
  /// Called when an answer states a later era than those before, which means
  /// that the service was restored from an earlier copy: writes that it had
  /// acknowledged are lost. Called before the handler of the call with that
  /// answer. Empty: not called.
  std::function<void(StoreEra)> on_restored;
};

namespace detail {
class StoreConnections;
class StoreWatchLoop;
}  // namespace detail

/// \brief A watch that reconnects until it is destroyed.
class StoreWatch {
 public:
  explicit StoreWatch(std::shared_ptr<detail::StoreWatchLoop> loop);
  ~StoreWatch();
  StoreWatch(StoreWatch&& other) noexcept;
  StoreWatch& operator=(StoreWatch&& other) noexcept;
  StoreWatch(const StoreWatch&) = delete;
  StoreWatch& operator=(const StoreWatch&) = delete;

  /// \brief Closes the connection, which may have stalled, and opens another
  /// one after the backoff.
  void Reconnect();

 private:
  std::shared_ptr<detail::StoreWatchLoop> loop_;
};

/// \brief Client for calls to the key-value service.
///
/// Errors: `kUnavailable` and `kTimeout` mean that nothing was written;
/// `kUnknownOutcome` means that a write may have taken effect; `kOverloaded`
/// that too many calls are waiting. Reads are retried. Writes are retried only
/// while no byte of them can have been sent.
class StoreClient {
 public:
  template <typename T>
  using Handler = std::function<void(Result<T>&&)>;
  using WatchHandler = std::function<void(const StoreWatchUpdate&)>;

  StoreClient(boost::asio::io_context& io_context,
              StoreClientSettings settings);
  /// Ends calls in progress without calling their handlers.
  ~StoreClient();
  StoreClient(const StoreClient&) = delete;
  StoreClient& operator=(const StoreClient&) = delete;

  /// \brief Reads keys; the service never answers from a stale replica.
  void Get(const StoreRange& range, Handler<StoreReadResult> handler);
  /// \brief Writes keys if all conditions hold (compare-and-swap).
  void Commit(const StoreTransaction& transaction,
              Handler<StoreCommitResult> handler);
  /// \brief Creates a lease.
  /// \param ttl Lifetime of the lease, in whole seconds, at least one.
  void GrantLease(Duration ttl, Handler<StoreLease> handler);
  /// \brief Renews a lease. `remaining` of zero means that it has expired.
  void KeepAlive(LeaseId lease, Handler<StoreLease> handler);
  /// \brief Revokes a lease. It is no error if the lease no longer exists.
  void Revoke(LeaseId lease, Handler<LeaseId> handler);
  /// \brief Waits once for changes. The dialect must support polls.
  /// \param after Only changes after this revision are returned.
  /// \param wait How long the service holds the call while there is no change.
  void Poll(const StoreRange& range, StoreRevision after, Duration wait,
            Handler<StoreWatchUpdate> handler);
  /// \returns The latest era that an answer stated; zero: none did.
  [[nodiscard]] StoreEra era() const noexcept;
  /// \brief Closes the connections that no call uses, which may have gone
  /// silent, so that the next calls open new ones.
  void DropIdleConnections();
  /// \brief Watches keys by one streamed call; only for the etcd dialect.
  /// \param from First revision to report; zero: only new changes.
  /// \param handler Called with every change, in order. After a reconnect the
  /// last changes may be reported again.
  [[nodiscard]] StoreWatch Watch(const StoreRange& range, StoreRevision from,
                                 WatchHandler handler);

 private:
  std::shared_ptr<detail::StoreConnections> connections_;
};

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_STORE_STORE_CLIENT_H_
