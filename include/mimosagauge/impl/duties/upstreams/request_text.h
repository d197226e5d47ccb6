// Requests to upstreams as bytes.

#ifndef MIMOSAGAUGE_IMPL_DUTIES_UPSTREAMS_REQUEST_TEXT_H_
#define MIMOSAGAUGE_IMPL_DUTIES_UPSTREAMS_REQUEST_TEXT_H_

#include <string>

#include "mimosagauge/impl/decisions/effects.h"
#include "mimosagauge/impl/settings/settings.h"

namespace mimosagauge::detail {

/// \returns The request's header as it is written to the upstream; the body
/// follows it as it is.
[[nodiscard]] std::string FormatUpstreamHeader(
    const StartUpstreamAttempt& attempt, const UpstreamSettings& upstream);

}  // namespace mimosagauge::detail

#endif  // MIMOSAGAUGE_IMPL_DUTIES_UPSTREAMS_REQUEST_TEXT_H_
