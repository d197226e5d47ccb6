// Serialization of requests to upstreams as HTTP/1.1.

#ifndef MIMOSAGAUGE_IMPL_DUTIES_UPSTREAMS_REQUEST_TEXT_H_
#define MIMOSAGAUGE_IMPL_DUTIES_UPSTREAMS_REQUEST_TEXT_H_

#include <string>

#include "mimosagauge/impl/decisions/effects.h"
#include "mimosagauge/impl/settings/settings.h"

namespace mimosagauge::detail {

/// \returns The complete header of the request, as bytes to be written to the
/// upstream. The body follows it unchanged.
[[nodiscard]] std::string FormatUpstreamHeader(
    const StartUpstreamAttempt& attempt, const UpstreamSettings& upstream);

}  // namespace mimosagauge::detail

#endif  // MIMOSAGAUGE_IMPL_DUTIES_UPSTREAMS_REQUEST_TEXT_H_
