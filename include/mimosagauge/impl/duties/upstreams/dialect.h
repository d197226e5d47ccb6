// The header fields of requests to upstreams and of their answers, which differ
// between deployments, as a table of functions.

#ifndef MIMOSAGAUGE_IMPL_DUTIES_UPSTREAMS_DIALECT_H_
#define MIMOSAGAUGE_IMPL_DUTIES_UPSTREAMS_DIALECT_H_

#include <boost/beast/http/message.hpp>
#include <optional>
#include <string>

#include "mimosagauge/impl/decisions/effects.h"
#include "mimosagauge/impl/decisions/engine_load.h"
#include "mimosagauge/impl/decisions/freshness/upstream_signals.h"
#include "mimosagauge/impl/settings/settings.h"

namespace mimosagauge {

/// \brief The information in the head of an upstream's answer.
struct AnswerHeadInfo {
  bool refused_without_running =
      false;  ///< The upstream did not run the request.
  /// The address now belongs to another upstream, which did not run the
  /// request.
  bool misdirected = false;
  /// The answer states the id of this request.
  bool names_request = false;
  /// The reason why this is not a valid answer of the upstream to this request;
  /// empty for a valid answer.
  std::string fault;
  std::optional<LoadReport> load;  ///< The upstream's load, if reported.
  /// Requests per second that the upstream accepts from all instances together;
  /// none if it names no limit.
  std::optional<double> rate_limit;
  /// Time after which the upstream closes an idle connection; none if it is not
  /// announced.
  std::optional<Duration> idle_timeout;
  /// What the upstream states about itself, also in an answer with a fault.
  UpstreamSignals signals;
};

/// \brief The functions and rules for the protocol between an instance and its
/// upstreams that differ between deployments.
struct UpstreamDialect {
  /// \returns The complete header of the request, as bytes to be written.
  std::string (*format_header)(const StartUpstreamAttempt& attempt,
                               const UpstreamSettings& upstream);
  /// \brief Interprets the head of a final answer, not of one with a 1xx
  /// status.
  AnswerHeadInfo (*read_head)(const boost::beast::http::response_header<>& head,
                              const StartUpstreamAttempt& attempt);
  /// \returns The header fields of the answer to be forwarded to the caller.
  std::vector<Header> (*fields_for_caller)(
      const boost::beast::http::fields& fields);
  /// A stream of an engine that ends without `data: [DONE]` is incomplete.
  bool streams_require_done_event = true;
  /// A body without a length is complete when the upstream closes the
  /// connection.
  bool allows_close_delimited_bodies = false;
  /// \returns The complete header of a health request; null if the dialect has
  /// none.
  std::string (*format_health)(const std::string& path,
                               const UpstreamSettings& upstream) = nullptr;
  /// \returns What the response to a health request states; empty if it is not
  /// the upstream's. Not null if `format_health` is not.
  std::optional<UpstreamSignals> (*read_health)(
      const boost::beast::http::response_header<>& head) = nullptr;
};

/// \returns The default interface of the product, without a platform adapter.
[[nodiscard]] const UpstreamDialect& DefaultUpstreamDialect() noexcept;

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DUTIES_UPSTREAMS_DIALECT_H_
