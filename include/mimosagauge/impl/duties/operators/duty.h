// The thread that talks to operators: HTTP on an address of its own, behind
// a bearer token.

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

/// \brief Bounds of the operators duty.
struct OperatorsDutyOptions {
  std::size_t connections = 64;
  std::size_t header_bytes = 16UL * 1024;
  std::size_t body_bytes = 2UL * 1024 * 1024;
  Duration request_timeout = std::chrono::seconds(10);  ///< To come in whole.
  Duration idle_timeout = std::chrono::seconds(60);
};

/// \brief An operator's request, its token checked.
struct OperatorRequest {
  std::string method;
  std::string path;
  std::string body;
};

/// \brief What an operator is answered.
struct OperatorAnswer {
  unsigned status = 200;
  std::string content_type = "application/json";
  std::string body;
};

namespace detail {
class OperatorsServer;
}  // namespace detail

/// \brief Serves the operators' address.
///
/// All functions but the constructor run on the thread of `io_context`.
class OperatorsDuty {
 public:
  using AnswerHandler = std::function<void(OperatorAnswer&&)>;

  /// \param decisions Gets `DrainRequested`; produced from `io_context`.
  /// \param platform Gets edits of the rules; produced from `io_context`.
  OperatorsDuty(boost::asio::io_context& io_context, const Settings& settings,
                Mailbox<Event>& decisions, Mailbox<ChangeRules>& platform,
                const OperatorsDutyOptions& options = {});
  ~OperatorsDuty();
  OperatorsDuty(const OperatorsDuty&) = delete;
  OperatorsDuty& operator=(const OperatorsDuty&) = delete;

  /// \brief Listens.
  /// \returns Where, or `kUnavailable`.
  [[nodiscard]] Result<Endpoint> Start();
  /// \brief Closes everything.
  void Stop();
  /// \brief Shows this from now on.
  void Handle(PublishView&& effect);
  /// \brief Answers the operator whose edit has ended.
  void Handle(RulesChanged&& reply);

  /// \brief Answers one request; the handler is called now or later.
  void Serve(const OperatorRequest& request, AnswerHandler handler);

 private:
  void ServeEdit(const OperatorRequest& request, AnswerHandler handler);
  [[nodiscard]] OperatorAnswer ServeDrain();

  Settings settings_;
  Mailbox<Event>& decisions_;
  Mailbox<ChangeRules>& platform_;
  std::shared_ptr<detail::OperatorsServer> server_;
  InstanceViewPtr view_;  // Null until the decisions have published one.
  std::uint64_t next_number_ = 1;
  std::map<std::uint64_t, AnswerHandler> edits_;  // Under way, by number.
};

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DUTIES_OPERATORS_DUTY_H_
