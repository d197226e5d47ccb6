// A plain HTTP client for tests, one connection a request.

#ifndef TESTS_SUPPORT_HTTP_CLIENT_H_
#define TESTS_SUPPORT_HTTP_CLIENT_H_

#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "mimosagauge/impl/core/endpoint.h"

namespace mimosagauge::testing {

/// \brief What to send.
struct HttpRequest {
  std::string method = "GET";
  std::string target = "/";
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  std::chrono::milliseconds timeout = std::chrono::seconds(60);
};

/// \brief What came back.
struct HttpReply {
  int status = 0;  ///< Zero: no answer, `error` says why.
  std::map<std::string, std::string> headers;  ///< Names in lower case.
  std::string body;
  bool whole = false;  ///< The body ended as its framing promised.
  std::string error;

  /// \returns The field, or empty.
  [[nodiscard]] std::string header(const std::string& name) const;
};

/// \brief Sends one request and reads its answer to the end.
/// \param progress Called with the reply each time more has come in; false
/// closes the connection.
[[nodiscard]] HttpReply Fetch(
    const Endpoint& endpoint, const HttpRequest& request,
    const std::function<bool(const HttpReply&)>& progress = {});

}  // namespace mimosagauge::testing

#endif  // TESTS_SUPPORT_HTTP_CLIENT_H_
