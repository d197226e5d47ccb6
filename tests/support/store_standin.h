// A stand-in for the platform's key-value service, with faults on demand.

#ifndef TESTS_SUPPORT_STORE_STANDIN_H_
#define TESTS_SUPPORT_STORE_STANDIN_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

#include "mimosagauge/impl/core/endpoint.h"
#include "tests/support/store_state.h"

namespace mimosagauge::testing {

class StoreSession;

/// \brief Faults that the stand-in shows until told otherwise.
struct StoreFaults {
  bool down = false;  ///< Connections are closed without an answer.
  std::chrono::milliseconds slow{0};  ///< Answers wait this long.
  std::uint32_t lose_answers = 0;  ///< Of the next writes, after their effect.
  bool silent = false;             ///< Calls are read and never answered.
};

/// \brief Serves etcd v3's JSON mapping on one `io_context`.
///
/// `POST /standin/faults` takes any of `down`, `slow_ms`, `lose_answers`,
/// `silent`, `silence_open` (connections open now never answer again),
/// `lapse_lease` (an id, or "all") and `compact`. `GET /standin/counts`
/// answers how many calls of each kind came in. Both work during any fault.
class StoreStandin {
 public:
  /// \param endpoint Port 0 takes a free one.
  StoreStandin(boost::asio::io_context& io_context, const Endpoint& endpoint);
  ~StoreStandin();
  StoreStandin(const StoreStandin&) = delete;
  StoreStandin& operator=(const StoreStandin&) = delete;

  /// \returns Where it listens.
  [[nodiscard]] Endpoint endpoint() const;

  // The rest is for its sessions.
  [[nodiscard]] StoreHttpAnswer Answer(const std::string& target,
                                       const std::string& body);
  [[nodiscard]] nlohmann::json Counts() const;
  void SetFaults(const nlohmann::json& request);
  void TellWatches();
  void Leave(StoreSession* session);
  [[nodiscard]] StoreFaults& faults() { return faults_; }
  [[nodiscard]] StoreState& state() { return state_; }
  void CountCall(const std::string& target);

 private:
  void Accept();
  void Expire();
  void CloseSessions();

  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer expiry_;
  StoreState state_;
  StoreFaults faults_;
  nlohmann::json counts_ = nlohmann::json::object();
  std::set<StoreSession*> sessions_;
};

}  // namespace mimosagauge::testing

#endif  // TESTS_SUPPORT_STORE_STANDIN_H_
