// The platform's metadata store, as PROTOCOL.md describes it, in memory.

#ifndef REVIEW_STAND_STORE_H_
#define REVIEW_STAND_STORE_H_

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "http.h"

namespace review {

class Store {
 public:
  Store();
  [[nodiscard]] std::uint16_t port() const { return server_->port(); }

  /// \brief Writes as the operator or a worker does.
  void Put(const std::string& key, const std::string& value,
           std::uint64_t lease = 0);
  void Remove(const std::string& key);
  /// \brief Sets the round trip time, which a new channel takes once more.
  void SetRoundTrip(std::chrono::milliseconds round_trip);
  /// \brief From now on nothing passes on the channels that are open; new ones
  /// work.
  void SilenceOpenChannels();
  /// \returns The number of calls of the watch that have arrived.
  [[nodiscard]] std::uint64_t watch_calls() const { return watch_calls_; }

 private:
  struct Item {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    std::uint64_t lease = 0;
  };
  struct Change {
    std::uint64_t revision = 0;
    std::string key;
    bool removed = false;
    Item item;
  };
  struct Lease {
    std::chrono::milliseconds lifetime{};
    std::chrono::steady_clock::time_point end;
  };

  void Serve(Channel& channel);
  [[nodiscard]] std::string Answer(const HttpMessage& request,
                                   unsigned& status);
  [[nodiscard]] std::string Range(const std::string& query);
  [[nodiscard]] std::string Watch(const std::string& query);
  [[nodiscard]] std::string Transact(const std::string& body, unsigned& status);
  void PutLocked(const std::string& key, const std::string& value,
                 std::uint64_t lease);
  void RemoveLocked(const std::string& key);
  void EndLease(std::uint64_t lease);
  void ExpireLeases();

  std::atomic<std::uint64_t> watch_calls_ = 0;
  std::atomic<std::uint64_t> silences_ = 0;
  std::atomic<std::int64_t> round_trip_ms_ = 0;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::uint64_t revision_ = 1;
  std::uint64_t next_lease_ = 1000;
  std::map<std::string, Item> items_;
  std::vector<Change> history_;
  std::map<std::uint64_t, Lease> leases_;
  std::unique_ptr<Server> server_;
};

}  // namespace review

#endif  // REVIEW_STAND_STORE_H_
