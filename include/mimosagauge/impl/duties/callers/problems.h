// The problem documents that the duty towards callers makes itself.

#ifndef MIMOSAGAUGE_IMPL_DUTIES_CALLERS_PROBLEMS_H_
#define MIMOSAGAUGE_IMPL_DUTIES_CALLERS_PROBLEMS_H_

#include <cstdint>
#include <string>

#include "mimosagauge/impl/decisions/request.h"

namespace mimosagauge {

/// Statuses that the duties answer with.
namespace status {
inline constexpr std::uint16_t kBadRequest = 400;
inline constexpr std::uint16_t kUnauthorized = 401;
inline constexpr std::uint16_t kNotFound = 404;
inline constexpr std::uint16_t kMethodNotAllowed = 405;
inline constexpr std::uint16_t kRequestTimeout = 408;
inline constexpr std::uint16_t kContentTooLarge = 413;
inline constexpr std::uint16_t kUriTooLong = 414;
inline constexpr std::uint16_t kExpectationFailed = 417;
inline constexpr std::uint16_t kHeaderTooLarge = 431;
inline constexpr std::uint16_t kNotImplemented = 501;
inline constexpr std::uint16_t kServiceUnavailable = 503;
inline constexpr std::uint16_t kVersionNotSupported = 505;
}  // namespace status

/// \returns A problem of type `malformed-request`.
[[nodiscard]] Problem MalformedRequest(std::string detail, std::string remedy);

/// \returns A problem that no upstream has seen the request for.
[[nodiscard]] Problem NotRunProblem(std::uint16_t status, std::string type,
                                    std::string detail, std::string remedy);

/// \returns The problem `overloaded`, with the time to wait.
[[nodiscard]] Problem OverloadedProblem(std::string detail);

/// \returns The customary words for a status, as in `Bad Request`.
[[nodiscard]] std::string StatusTitle(std::uint16_t status);

/// \returns The problem document of RFC 9457, in JSON.
[[nodiscard]] std::string FormatProblem(const Problem& problem);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DUTIES_CALLERS_PROBLEMS_H_
