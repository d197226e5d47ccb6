// Conversion of parsed HTTP requests to the typed requests of the decision
// logic.

#ifndef MIMOSAGAUGE_IMPL_DUTIES_CALLERS_REQUEST_H_
#define MIMOSAGAUGE_IMPL_DUTIES_CALLERS_REQUEST_H_

#include <boost/beast/http/message.hpp>
#include <optional>
#include <string>
#include <variant>

#include "mimosagauge/impl/decisions/request.h"
#include "mimosagauge/impl/duties/callers/account_book.h"
#include "mimosagauge/impl/settings/settings.h"

namespace mimosagauge {

/// \brief The resources that the instance serves itself.
enum class LocalResource : std::uint8_t { kEntry, kHealth, kReady, kMetrics };

/// \brief A request for a resource that the instance serves itself.
struct LocalRequest {
  LocalResource resource = LocalResource::kHealth;
  AccountId account;   ///< Set for `kEntry` only, in the default dialect.
  RegionId region{};   ///< The caller's region; empty if not sent.
  std::string host{};  ///< The host it wants to call; empty if not sent.
};

/// \brief A request for an upstream whose body has not been read yet.
struct UpstreamRequest {
  RequestHead head;
  bool is_chat_completion = false;  ///< The body names the model.
};

/// \brief The result of reading a request's header: a request, or the problem
/// to answer with.
using CallerRequest = std::variant<LocalRequest, UpstreamRequest, Problem>;

/// \brief Interprets a request's header in the default dialect.
/// \param header Must have passed `CheckRawHeader`.
/// \returns The request, or the problem to answer with.
[[nodiscard]] CallerRequest ReadCallerHeader(
    const boost::beast::http::request_header<>& header,
    const Settings& settings, const AccountRegistry& accounts);

/// \brief Completes a request from its body: sets the model and the stream flag
/// of a chat completions request, and the content digest of every request.
/// \returns The problem to answer with, or nothing.
[[nodiscard]] std::optional<Problem> ReadCallerBody(const std::string& body,
                                                    UpstreamRequest& request);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DUTIES_CALLERS_REQUEST_H_
