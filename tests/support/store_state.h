// The state of the stand-in for the key-value service: keys, leases, history.
// It reads and writes etcd v3's JSON mapping by itself, so that the client's
// codec is not tested against itself.

#ifndef TESTS_SUPPORT_STORE_STATE_H_
#define TESTS_SUPPORT_STORE_STATE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace mimosagauge::testing {

using StoreClock = std::chrono::steady_clock;

/// \brief Status and body of an answer.
struct StoreHttpAnswer {
  unsigned status = 200;
  nlohmann::json body;
};

/// \brief What a watch asked for.
struct StoreWatchRequest {
  std::string key;
  std::string range_end;   ///< Empty: just the key.
  std::uint64_t next = 0;  ///< First revision not yet told.
};

class StoreState {
 public:
  [[nodiscard]] StoreHttpAnswer Range(const nlohmann::json& request) const;
  [[nodiscard]] StoreHttpAnswer Put(const nlohmann::json& request);
  [[nodiscard]] StoreHttpAnswer Transact(const nlohmann::json& request);
  [[nodiscard]] StoreHttpAnswer Grant(const nlohmann::json& request,
                                      StoreClock::time_point now);
  [[nodiscard]] StoreHttpAnswer KeepAlive(const nlohmann::json& request,
                                          StoreClock::time_point now);
  [[nodiscard]] StoreHttpAnswer Revoke(const nlohmann::json& request);

  /// \returns What a watch is to be told now; null: nothing.
  [[nodiscard]] nlohmann::json Tell(StoreWatchRequest& watch) const;
  [[nodiscard]] StoreWatchRequest ParseWatch(
      const nlohmann::json& request) const;
  [[nodiscard]] nlohmann::json Header() const;

  /// \brief Ends leases whose time is over.
  void Expire(StoreClock::time_point now);
  /// \brief Ends one lease, or all when `lease` is zero.
  void Lapse(std::int64_t lease);
  /// \brief Forgets the history up to now.
  void Compact();
  [[nodiscard]] std::uint64_t revision() const { return revision_; }

 private:
  struct Value {
    std::string value;
    std::uint64_t created = 0;
    std::uint64_t modified = 0;
    std::uint64_t version = 0;
    std::int64_t lease = 0;
  };
  struct Lease {
    std::int64_t seconds = 0;
    StoreClock::time_point ends;
  };
  struct Change {
    std::uint64_t revision = 0;
    std::string key;
    bool removed = false;
    Value value;
  };

  [[nodiscard]] static nlohmann::json ToJson(const std::string& key,
                                             const Value& value);
  [[nodiscard]] static bool Covers(const std::string& key,
                                   const std::string& range_end,
                                   const std::string& candidate);
  [[nodiscard]] nlohmann::json RangeBody(const nlohmann::json& request) const;
  [[nodiscard]] bool Holds(const nlohmann::json& condition) const;
  [[nodiscard]] bool LeasesExist(const nlohmann::json& operations) const;
  [[nodiscard]] nlohmann::json Apply(const nlohmann::json& operation,
                                     std::uint64_t at);
  void Set(const std::string& key, const std::string& value, std::int64_t lease,
           std::uint64_t at);
  std::uint64_t Remove(const std::string& key, const std::string& range_end,
                       std::uint64_t at);

  std::map<std::string, Value> values_;
  std::map<std::int64_t, Lease> leases_;
  std::vector<Change> history_;
  std::uint64_t revision_ = 1;
  std::uint64_t compacted_ = 0;
  std::int64_t next_lease_ = 7587000000000001;
};

}  // namespace mimosagauge::testing

#endif  // TESTS_SUPPORT_STORE_STATE_H_
