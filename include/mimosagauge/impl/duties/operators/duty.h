// HTTP API for operators, on its own thread and address, protected by a bearer
// token.

#ifndef MIMOSAGAUGE_IMPL_DUTIES_OPERATORS_DUTY_H_
#define MIMOSAGAUGE_IMPL_DUTIES_OPERATORS_DUTY_H_

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "mimosagauge/impl/core/endpoint.h"
#include "mimosagauge/impl/core/error.h"
#include "mimosagauge/impl/decisions/effects.h"
#include "mimosagauge/impl/decisions/events.h"
#include "mimosagauge/impl/duties/common/mailbox.h"
#include "mimosagauge/impl/duties/store/messages.h"
#include "mimosagauge/impl/settings/settings.h"

namespace mimosagauge {

/// \brief Limits and timeouts of the operators' API.
struct OperatorsDutyOptions {
  std::size_t max_connections = 64;
  std::size_t max_header_bytes = 16UL * 1024;
  std::size_t body_bytes = 2UL * 1024 * 1024;
  Duration request_timeout = std::chrono::seconds(
      10);  ///< To receive a request, and to write its answer.
  Duration idle_timeout = std::chrono::seconds(60);
};

/// \brief An operator's request whose token has been verified.
struct OperatorRequest {
  std::string method;
  std::string path;
  std::string body;
};

/// \brief The HTTP answer to an operator.
struct OperatorAnswer {
  unsigned status = 200;
  std::string content_type = "application/json";
  std::string body;
};

namespace detail {
class OperatorsServer;
}  // namespace detail

/// \brief Serves the operators' HTTP API.
///
/// All functions except the constructor must be called on the thread of
/// `io_context`.
class OperatorsDuty {
 public:
  using AnswerHandler = std::function<void(OperatorAnswer&&)>;

  /// \param decisions Receives `DrainRequested`; its producer is `io_context`.
  /// \param rule_edits Receives edits of the rules; its producer is
  /// `io_context`.
  OperatorsDuty(boost::asio::io_context& io_context, const Settings& settings,
                Mailbox<Event>& decisions,
                Mailbox<RulesEditCommand>& rule_edits,
                const OperatorsDutyOptions& options = {});
  ~OperatorsDuty();
  OperatorsDuty(const OperatorsDuty&) = delete;
  OperatorsDuty& operator=(const OperatorsDuty&) = delete;

  /// \brief Starts listening.
  /// \returns The address and port in use, or `kUnavailable` when listening
  /// fails.
  [[nodiscard]] Result<Endpoint> Start();
  /// \brief Closes the listening socket and all connections. Edits in progress
  /// get no answer.
  void Stop();
  /// \brief Serves this view of the instance from now on.
  void Handle(PublishView&& effect);
  /// \brief Answers the operator whose edit has completed.
  void Handle(RulesEditReply&& reply);

  /// \brief Answers one request. The handler is called before this returns, or
  /// later when the request edits the rules.
  void Serve(const OperatorRequest& request, AnswerHandler handler);

 private:
  void ServeEdit(const OperatorRequest& request, AnswerHandler handler);
  [[nodiscard]] OperatorAnswer ServeDrain();

  Settings settings_;
  Mailbox<Event>& decisions_;
  Mailbox<RulesEditCommand>& rule_edits_;
  std::shared_ptr<detail::OperatorsServer> server_;
  InstanceViewPtr view_;  // Null until the first view is published.
  std::uint64_t next_number_ = 1;
  std::map<std::uint64_t, AnswerHandler>
      pending_edits_;  // Handlers of the edits in progress, by number.
};

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DUTIES_OPERATORS_DUTY_H_
