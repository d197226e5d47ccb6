// Calls of an instance's operators address, for the subcommands that need a
// running instance.

#ifndef MIMOSAGAUGE_IMPL_QUERIES_OPERATORS_CLIENT_H_
#define MIMOSAGAUGE_IMPL_QUERIES_OPERATORS_CLIENT_H_

#include <tclap/CmdLine.h>

#include <chrono>
#include <optional>
#include <string>

#include "mimosagauge/impl/core/endpoint.h"
#include "mimosagauge/impl/core/error.h"
#include "mimosagauge/impl/core/time.h"

namespace mimosagauge {

/// Longer than an instance takes over an edit while the store is down.
inline constexpr Duration kOperatorTimeout = std::chrono::seconds(30);

/// \brief Where to call, and with what proof.
struct OperatorTarget {
  Endpoint instance;
  std::string token;
};

/// \brief The arguments that name a target. They register themselves.
class OperatorArguments {
 public:
  explicit OperatorArguments(TCLAP::CmdLine& parser);

  /// \returns The target; else none, after the fault has been printed.
  [[nodiscard]] std::optional<OperatorTarget> target() const;
  /// \returns Whether the answer is to be printed as JSON.
  [[nodiscard]] bool json() const { return json_.getValue(); }

 private:
  TCLAP::ValueArg<std::string> instance_;
  TCLAP::ValueArg<std::string> token_file_;
  TCLAP::SwitchArg json_;
};

/// \brief A call of the operators address.
struct OperatorCall {
  std::string method = "GET";
  std::string path;
  std::string body;
};

/// \brief What an instance answered.
struct OperatorReply {
  unsigned status = 0;
  std::string body;
};

/// \returns The answer, whatever its status; `kUnavailable` when the call was
/// not made, `kUnknownOutcome` when its answer did not come.
[[nodiscard]] Result<OperatorReply> CallInstance(
    const OperatorTarget& target, const OperatorCall& call,
    Duration timeout = kOperatorTimeout);

/// \brief Prints why a call failed, to standard error.
/// \param file Name of the rules file that the faults are about.
/// \param line_offset Added to the faults' line numbers.
void PrintFailure(const Result<OperatorReply>& reply,
                  const std::string& file = "rules",
                  std::uint32_t line_offset = 0);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_QUERIES_OPERATORS_CLIENT_H_
