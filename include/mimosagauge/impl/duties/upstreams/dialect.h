// How a deployment's upstreams speak: the names of header fields and what an
// answer's head says, as plain functions.

#ifndef MIMOSAGAUGE_IMPL_DUTIES_UPSTREAMS_DIALECT_H_
#define MIMOSAGAUGE_IMPL_DUTIES_UPSTREAMS_DIALECT_H_

#include <boost/beast/http/message.hpp>
#include <optional>
#include <string>

#include "mimosagauge/impl/decisions/effects.h"
#include "mimosagauge/impl/decisions/engine_load.h"
#include "mimosagauge/impl/settings/settings.h"

namespace mimosagauge {

/// \brief What the head of an upstream's answer says.
struct AnswerSigns {
  bool refused_unrun = false;  ///< It did not run the request.
  /// Another upstream has the address now; it did not run the request.
  bool misdirected = false;
  /// Why this is not the upstream's answer to this request; empty: it is.
  std::string fault;
  std::optional<LoadReport> load;
  std::optional<Duration> idle_timeout;  ///< Until it closes the connection.
};

/// \brief Everything that differs between deployments towards upstreams.
struct UpstreamDialect {
  /// \returns The request's header as it is written.
  std::string (*format_header)(const StartUpstreamAttempt& attempt,
                               const UpstreamSettings& upstream);
  /// \brief Reads the head of a final answer.
  AnswerSigns (*read_head)(const boost::beast::http::response_header<>& head,
                           const StartUpstreamAttempt& attempt);
  /// \returns The fields that travel on to the caller.
  std::vector<Header> (*fields_for_caller)(
      const boost::beast::http::fields& fields);
  /// A stream that ends without `data: [DONE]` is not whole.
  bool streams_end_with_done = true;
  /// A body without a length ends with its connection.
  bool bodies_end_with_connection = false;
};

/// \returns The product's own interface.
[[nodiscard]] const UpstreamDialect& OwnUpstreamDialect() noexcept;

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DUTIES_UPSTREAMS_DIALECT_H_
