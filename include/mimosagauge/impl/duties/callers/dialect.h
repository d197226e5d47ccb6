// How a deployment's callers speak: the names and formats of requests and
// answers, which differ between deployments, as plain functions.

#ifndef MIMOSAGAUGE_IMPL_DUTIES_CALLERS_DIALECT_H_
#define MIMOSAGAUGE_IMPL_DUTIES_CALLERS_DIALECT_H_

#include <boost/beast/http/message.hpp>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "mimosagauge/impl/decisions/once/fingerprint.h"
#include "mimosagauge/impl/duties/callers/entry_document.h"
#include "mimosagauge/impl/duties/callers/request.h"

namespace mimosagauge {

/// \brief What a listener is for.
enum class ListenerKind : std::uint8_t {
  kCallers,    ///< Requests, for upstreams mostly.
  kResources,  ///< The instance's own resources, and nothing else.
};

/// \brief Everything that differs between deployments towards callers.
struct CallerDialect {
  /// \brief Reads a request's header, which passed `CheckRawHeader`.
  CallerRequest (*read_header)(
      const boost::beast::http::request_header<>& header,
      const Settings& settings, const AccountBook& accounts,
      ListenerKind listener);
  /// \brief Adds what the body says.
  std::optional<Problem> (*read_body)(const std::string& body,
                                      UpstreamRequest& request);
  /// \returns The answer for an own resource.
  OwnAnswer (*own_answer)(const OwnRequest& request, const InstanceView& view,
                          std::span<const Authenticator> secrets);
  /// \returns The fields that tell a caller how its answer came about.
  std::vector<Header> (*trace_fields)(const RequestId& id,
                                      const std::vector<Place>& path);
  /// \returns The fields of a problem's answer.
  std::vector<Header> (*problem_fields)(const Problem& problem,
                                        const RequestId& id);
};

/// \returns The product's own interface.
[[nodiscard]] const CallerDialect& OwnCallerDialect() noexcept;

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DUTIES_CALLERS_DIALECT_H_
