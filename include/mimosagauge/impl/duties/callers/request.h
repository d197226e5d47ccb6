// From a parsed HTTP request to the request that the decisions see.

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

/// \brief What the instance answers itself.
enum class OwnResource : std::uint8_t { kEntry, kHealth, kReady, kMetrics };

/// \brief A request for the instance itself.
struct OwnRequest {
  OwnResource resource = OwnResource::kHealth;
  AccountId account;   ///< Only of a question for the instances to use.
  RegionId region{};   ///< Of who asks, where it says so; else empty.
  std::string host{};  ///< That it asks for, where it says so; else empty.
};

/// \brief A request for an upstream, its body still to come.
struct UpstreamRequest {
  RequestHead head;
  bool chat = false;  ///< Its body names the model.
};

/// \brief What a request's header asks for.
using CallerRequest = std::variant<OwnRequest, UpstreamRequest, Problem>;

/// \brief Reads a request's header.
/// \param header Passed `CheckRawHeader`.
[[nodiscard]] CallerRequest ReadCallerHeader(
    const boost::beast::http::request_header<>& header,
    const Settings& settings, const AccountBook& accounts);

/// \brief Adds what the body says: model and stream of a chat completions
/// request, and the digest.
/// \returns The problem, or nothing.
[[nodiscard]] std::optional<Problem> ReadCallerBody(const std::string& body,
                                                    UpstreamRequest& request);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DUTIES_CALLERS_REQUEST_H_
