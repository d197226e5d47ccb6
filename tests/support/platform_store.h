// A stand-in for the users' platform store, with faults on demand: items,
// leases, transactions and polls in the platform's dialect.

#ifndef TESTS_SUPPORT_PLATFORM_STORE_H_
#define TESTS_SUPPORT_PLATFORM_STORE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <future>
#include <list>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "mimosagauge/impl/core/endpoint.h"
#include "tests/support/standin_server.h"

namespace mimosagauge::testing {

/// \brief Runs on a thread of its own, and expires leases by the real clock.
class PlatformStore {
 public:
  PlatformStore();
  ~PlatformStore();
  PlatformStore(const PlatformStore&) = delete;
  PlatformStore& operator=(const PlatformStore&) = delete;

  [[nodiscard]] Endpoint endpoint() const {
    return {"127.0.0.1", server_.port()};
  }
  /// \brief Writes an item, as the operator and the upstreams do.
  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  [[nodiscard]] bool Contains(const std::string& key);
  /// \brief Polls that start before the newest revision are answered 410.
  void Compact();
  /// \brief Keeps a copy of all items, leases and revisions.
  void TakeCopy();
  /// \brief Replaces everything by the last copy. Revisions continue from the
  /// copy's, and the era in all answers rises by one.
  void RestoreCopy();
  /// \returns The newest revision.
  [[nodiscard]] std::uint64_t Revision();
  /// \brief Sets the time from the arrival of a call to its answer.
  void SetDelay(std::chrono::milliseconds delay);
  /// \brief Calls are answered 503 while the store is down.
  void SetDown(bool down);
  /// \brief The connections that are open now are never answered again.
  void SilenceOpenConnections();
  /// \returns The number of calls of this name so far, as in `kv-range`.
  [[nodiscard]] std::uint64_t CallCount(const std::string& name);

 private:
  struct Item {
    std::string value;
    std::uint64_t modified = 0;
    std::uint64_t created = 0;
    std::uint64_t lease = 0;
  };
  struct Change {
    std::uint64_t revision = 0;
    std::string key;
    std::optional<Item> item;  // Nothing: the key was removed.
  };
  struct Lease {
    std::chrono::milliseconds lifetime{};
    std::chrono::steady_clock::time_point end;
  };
  // Everything that a copy of the store contains.
  struct Contents {
    std::map<std::string, Item> items;
    std::vector<Change> history;
    std::map<std::uint64_t, Lease> leases;
    std::uint64_t revision = 1;
    std::uint64_t compacted_revision = 0;
    std::uint64_t next_lease = 1000;
  };
  struct WaitingPoll {
    std::uint64_t after = 0;
    std::string prefix;
    std::chrono::steady_clock::time_point end;
    StandinConnectionPtr connection;
  };
  using Query = std::map<std::string, std::string>;

  template <typename Function>
  auto OnThread(Function function) {
    std::packaged_task<decltype(function())()> task(std::move(function));
    auto result = task.get_future();
    boost::asio::post(io_context_, [&task] { task(); });
    return result.get();
  }

  void Handle(const StandinRequest& request,
              const StandinConnectionPtr& connection);
  void Answer(const StandinConnectionPtr& connection, unsigned status,
              const nlohmann::json& body);
  void Poll(const Query& query, const StandinConnectionPtr& connection);
  void AnswerPolls();
  [[nodiscard]] nlohmann::json Range(const Query& query) const;
  [[nodiscard]] nlohmann::json EventsFor(const WaitingPoll& poll) const;
  [[nodiscard]] unsigned Transact(const nlohmann::json& request,
                                  nlohmann::json& body);
  void Write(const std::string& key, std::optional<Item> item);
  void EndLease(std::uint64_t lease);
  void ScheduleExpiry();

  boost::asio::io_context io_context_;
  StandinServer server_;
  boost::asio::steady_timer expiry_timer_;
  Contents contents_;
  Contents copy_;
  std::uint64_t era_ = 1;
  std::list<WaitingPoll> polls_;
  std::map<std::string, std::uint64_t> call_counts_;
  std::chrono::milliseconds delay_{0};
  bool down_ = false;
  std::thread thread_;
};

}  // namespace mimosagauge::testing

#endif  // TESTS_SUPPORT_PLATFORM_STORE_H_
