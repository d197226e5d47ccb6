// What a stand-in remembers of the requests it ran, and how it misbehaves.

#ifndef TESTS_SUPPORT_STANDIN_RECORD_H_
#define TESTS_SUPPORT_STANDIN_RECORD_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "tests/support/standin_server.h"

namespace mimosagauge::testing {

/// \brief One request that the stand-in began to run.
struct StandinEntry {
  std::string request_id;
  std::string idempotency_key;
  std::string method;
  std::string target;
  std::string digest;  ///< SHA-256 of the body.
  std::string priority;
  std::string path;
  std::string last_event_id;
  std::size_t body_bytes = 0;
  bool completed = false;
  bool gone = false;  ///< The connection closed before the answer ended.
};

/// \brief Faults that are to happen, over all requests until changed.
///
/// JSON members of `POST /standin/faults`, all optional; what is left out is
/// off. `requests` says how many requests are affected, none: all.
struct StandinFaults {
  std::optional<std::uint64_t> close_after_events;   ///< Clean close.
  std::optional<std::uint64_t> reset_after_events;   ///< Connection reset.
  std::optional<std::uint64_t> silent_after_events;  ///< Stays open.
  bool silent = false;         ///< Runs the request and answers nothing.
  bool refuse = false;         ///< Says that it did not run the request.
  bool fail = false;           ///< Runs the request and answers 500.
  std::uint64_t delay_ms = 0;  ///< Before each answer.
  std::optional<std::uint64_t> requests;
};

using StandinEntryPtr = std::shared_ptr<StandinEntry>;

/// \brief Log and faults of one stand-in.
class StandinRecord {
 public:
  /// \brief Notes a request as run.
  StandinEntryPtr Add(const StandinRequest& request);

  /// \returns The faults that the next request meets.
  [[nodiscard]] StandinFaults TakeFaults();

  /// \brief Answers `/standin/log` and `/standin/faults`.
  /// \returns Whether the request was one of them.
  [[nodiscard]] bool HandleControl(const StandinRequest& request,
                                   StandinConnection& connection,
                                   StandinServer& server);

 private:
  void SetFaults(const nlohmann::json& document, StandinServer& server);
  [[nodiscard]] std::string FormatLog() const;

  std::vector<StandinEntryPtr> entries_;
  StandinFaults faults_;
};

/// \returns The field's value, empty when missing.
[[nodiscard]] std::string FieldOf(const StandinRequest& request,
                                  std::string_view name);

}  // namespace mimosagauge::testing

#endif  // TESTS_SUPPORT_STANDIN_RECORD_H_
