// The product's own interface towards upstreams.

#include "mimosagauge/impl/duties/upstreams/dialect.h"

#include <boost/beast/core/string.hpp>

#include "mimosagauge/impl/duties/common/http_fields.h"
#include "mimosagauge/impl/duties/upstreams/request_text.h"

namespace mimosagauge {
namespace {

constexpr unsigned kServiceUnavailable = 503;

[[nodiscard]] AnswerSigns ReadHead(
    const boost::beast::http::response_header<>& head,
    const StartUpstreamAttempt& /*attempt*/) {
  AnswerSigns signs;
  const auto value =
      head[boost::beast::string_view(kNotRunField.data(), kNotRunField.size())];
  signs.refused_unrun =
      head.result_int() == kServiceUnavailable &&
      EqualsIgnoringCase({value.data(), value.size()}, "true");
  return signs;
}

}  // namespace

const UpstreamDialect& OwnUpstreamDialect() noexcept {
  static constexpr UpstreamDialect kDialect{
      &detail::FormatUpstreamHeader, &ReadHead, &EndToEndFields, true, false};
  return kDialect;
}

}  // namespace mimosagauge
