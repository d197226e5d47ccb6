// The names and formats of callers' requests and answers, which differ between
// deployments, as a table of functions.

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

/// \brief The requests that a listener serves.
enum class ListenerKind : std::uint8_t {
  kCallers,         ///< Requests for upstreams; by default also local ones.
  kLocalResources,  ///< Only resources that the instance serves itself.
};

/// \brief The functions for the protocol between callers and an instance that
/// differ between deployments.
struct CallerDialect {
  /// \brief Interprets the header of a request.
  /// \param header Must have passed `CheckRawHeader`.
  /// \returns The request, or the problem to answer with.
  CallerRequest (*read_header)(
      const boost::beast::http::request_header<>& header,
      const Settings& settings, const AccountRegistry& accounts,
      ListenerKind listener);
  /// \brief Adds the parts of the request that are read from the body.
  /// \returns The problem to answer with, or nothing.
  std::optional<Problem> (*read_body)(const std::string& body,
                                      UpstreamRequest& request);
  /// \returns The answer to a request that the instance serves itself.
  LocalAnswer (*local_answer)(const LocalRequest& request,
                              const InstanceView& view,
                              std::span<const Authenticator> ticket_secrets);
  /// \returns The header fields that trace an answer: the request's id and
  /// the places that served it.
  std::vector<Header> (*trace_fields)(const RequestId& id,
                                      const std::vector<Place>& path);
  /// \returns The header fields of an answer that carries a problem.
  std::vector<Header> (*problem_fields)(const Problem& problem,
                                        const RequestId& id);
};

/// \returns The default interface of the product, without a platform adapter.
[[nodiscard]] const CallerDialect& DefaultCallerDialect() noexcept;

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DUTIES_CALLERS_DIALECT_H_
