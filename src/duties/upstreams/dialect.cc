// The default interface towards upstreams.

#include "mimosagauge/impl/duties/upstreams/dialect.h"

#include <boost/beast/core/string.hpp>

#include "mimosagauge/impl/duties/common/http_fields.h"
#include "mimosagauge/impl/duties/upstreams/request_text.h"

namespace mimosagauge {
namespace {

constexpr unsigned kServiceUnavailable = 503;

[[nodiscard]] AnswerHeadInfo ReadHead(
    const boost::beast::http::response_header<>& head,
    const StartUpstreamAttempt& /*attempt*/) {
  AnswerHeadInfo info;
  const auto value =
      head[boost::beast::string_view(kNotRunField.data(), kNotRunField.size())];
  info.refused_without_running =
      head.result_int() == kServiceUnavailable &&
      EqualsIgnoringCase({value.data(), value.size()}, "true");
  return info;
}

}  // namespace

const UpstreamDialect& DefaultUpstreamDialect() noexcept {
  static constexpr UpstreamDialect kDialect{
      &detail::FormatUpstreamHeader, &ReadHead, &EndToEndFields, true, false};
  return kDialect;
}

}  // namespace mimosagauge
