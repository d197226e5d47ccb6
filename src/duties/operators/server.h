// HTTP of the operators' address: bounds, timeouts and the token.

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

/// \returns Whether two secrets are the same, in a time that depends on their
/// lengths only. An empty secret equals nothing.
[[nodiscard]] bool SecretsEqual(std::string_view a, std::string_view b);

/// \brief Accepts connections and hands on requests with a valid token.
class OperatorsServer : public std::enable_shared_from_this<OperatorsServer> {
 public:
  using RequestHandler = std::function<void(const OperatorRequest& request,
                                            OperatorsDuty::AnswerHandler)>;

  OperatorsServer(boost::asio::io_context& io_context, std::string token,
                  OperatorsDutyOptions options, RequestHandler handler);

  [[nodiscard]] Result<Endpoint> Listen(const Endpoint& endpoint);
  void Stop();

  // The rest is for its sessions.
  [[nodiscard]] const OperatorsDutyOptions& options() const noexcept {
    return options_;
  }
  [[nodiscard]] const std::string& token() const noexcept { return token_; }
  void Serve(const OperatorRequest& request,
             OperatorsDuty::AnswerHandler handler) {
    handler_(request, std::move(handler));
  }
  void Leave(const std::shared_ptr<OperatorSession>& session);

 private:
  void Accept();
  void AcceptLater();

  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer pause_;
  std::string token_;
  OperatorsDutyOptions options_;
  RequestHandler handler_;
  std::set<std::shared_ptr<OperatorSession>> sessions_;
};

}  // namespace mimosagauge::detail

#endif  // MIMOSAGAUGE_SRC_DUTIES_OPERATORS_SERVER_H_
