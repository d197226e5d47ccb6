// HTTP server of the operators' API: limits, timeouts and token check.

#ifndef MIMOSAGAUGE_SRC_DUTIES_OPERATORS_SERVER_H_
#define MIMOSAGAUGE_SRC_DUTIES_OPERATORS_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>

#include "mimosagauge/impl/core/endpoint.h"
#include "mimosagauge/impl/core/error.h"
#include "mimosagauge/impl/duties/operators/duty.h"

namespace mimosagauge::detail {

class OperatorSession;

/// \returns Whether two secrets are equal. The time taken depends only on their
/// lengths. An empty secret equals no other, not even an empty one.
[[nodiscard]] bool SecretsEqual(std::string_view a, std::string_view b);

/// \brief Accepts connections and passes requests with a valid token to the
/// handler.
class OperatorsServer : public std::enable_shared_from_this<OperatorsServer> {
 public:
  using RequestHandler = std::function<void(const OperatorRequest& request,
                                            OperatorsDuty::AnswerHandler)>;

  OperatorsServer(boost::asio::io_context& io_context, std::string token,
                  OperatorsDutyOptions options, RequestHandler handler);

  [[nodiscard]] Result<Endpoint> Listen(const Endpoint& endpoint);
  void Stop();

  // The public functions below are called only by the sessions.
  [[nodiscard]] const OperatorsDutyOptions& options() const noexcept {
    return options_;
  }
  [[nodiscard]] const std::string& token() const noexcept { return token_; }
  void Serve(const OperatorRequest& request,
             OperatorsDuty::AnswerHandler handler) {
    handler_(request, std::move(handler));
  }
  void RemoveSession(const std::shared_ptr<OperatorSession>& session);

 private:
  void Accept();
  void ScheduleAccept();

  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_retry_timer_;
  std::string token_;
  OperatorsDutyOptions options_;
  RequestHandler handler_;
  std::set<std::shared_ptr<OperatorSession>> sessions_;
};

}  // namespace mimosagauge::detail

#endif  // MIMOSAGAUGE_SRC_DUTIES_OPERATORS_SERVER_H_
