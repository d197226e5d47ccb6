// A key-value stand-in on a thread of its own, and calls of its controls.

#ifndef TESTS_SUPPORT_RUNNING_STORE_H_
#define TESTS_SUPPORT_RUNNING_STORE_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <future>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

#include "mimosagauge/impl/core/endpoint.h"
#include "tests/support/store_standin.h"

namespace mimosagauge::testing {

class RunningStore {
 public:
  /// \param port 0 takes a free one.
  explicit RunningStore(std::uint16_t port = 0);
  ~RunningStore();
  RunningStore(const RunningStore&) = delete;
  RunningStore& operator=(const RunningStore&) = delete;

  [[nodiscard]] Endpoint endpoint() const { return endpoint_; }
  void SetFaults(const nlohmann::json& faults);
  /// \returns How often a path was called, or another count by its name.
  [[nodiscard]] std::uint64_t Count(const std::string& name);
  /// \brief Calls the service past its faults, as in `/v3/kv/put`.
  nlohmann::json Call(const std::string& target, const nlohmann::json& body);

 private:
  template <typename Function>
  auto OnThread(Function function) {
    std::packaged_task<decltype(function())()> task(std::move(function));
    auto result = task.get_future();
    boost::asio::post(io_context_, [&task] { task(); });
    return result.get();
  }

  boost::asio::io_context io_context_;
  std::unique_ptr<StoreStandin> standin_;
  Endpoint endpoint_;
  std::thread thread_;
};

/// \returns An endpoint on which nothing listens.
[[nodiscard]] Endpoint UnusedEndpoint();

}  // namespace mimosagauge::testing

#endif  // TESTS_SUPPORT_RUNNING_STORE_H_
