// The default interface towards upstreams.

#include "mimosagauge/impl/duties/upstreams/dialect.h"

#include <string_view>

#include "mimosagauge/impl/duties/common/http_fields.h"
#include "mimosagauge/impl/duties/upstreams/request_text.h"

namespace mimosagauge {
namespace {

constexpr unsigned kServiceUnavailable = 503;

[[nodiscard]] AnswerHeadInfo ReadHead(
    const boost::beast::http::response_header<>& head,
    const StartUpstreamAttempt& attempt) {
  AnswerHeadInfo info;
  // Upstreams need not return the id. One that does identifies a late copy of
  // an earlier answer on the same connection.
  const std::string_view id = FieldValue(head, kRequestIdField);
  if (!id.empty() && id != attempt.head->id.value()) {
    info.fault = "the answer has the Mimosagauge-Request-Id of another request";
    return info;
  }
  info.names_request = !id.empty();
  info.refused_without_running =
      head.result_int() == kServiceUnavailable &&
      EqualsIgnoringCase(FieldValue(head, kNotRunField), "true");
  return info;
}

}  // namespace

const UpstreamDialect& DefaultUpstreamDialect() noexcept {
  static constexpr UpstreamDialect kDialect{
      &detail::FormatUpstreamHeader, &ReadHead, &EndToEndFields, true, false};
  return kDialect;
}

}  // namespace mimosagauge
