// Problem documents for requests that are answered without an upstream.

#ifndef MIMOSAGAUGE_IMPL_DUTIES_CALLERS_PROBLEMS_H_
#define MIMOSAGAUGE_IMPL_DUTIES_CALLERS_PROBLEMS_H_

#include <cstdint>
#include <string>

#include "mimosagauge/impl/decisions/request.h"

namespace mimosagauge {

/// HTTP statuses of the answers that duties make themselves.
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

/// \param detail What is wrong with the request.
/// \param remedy What the caller should change.
/// \returns A problem of type `malformed-request` with status 400.
[[nodiscard]] Problem MalformedRequestProblem(std::string detail,
                                              std::string remedy);

/// \returns A problem for a request that was sent to no upstream; its run state
/// is `kNotRun`.
/// \param type The last part of the type URI, as in `body-too-large`.
[[nodiscard]] Problem NotRunProblem(std::uint16_t status, std::string type,
                                    std::string detail, std::string remedy);

/// \returns A problem of type `overloaded`, with status 503 and the time after
/// which to retry.
[[nodiscard]] Problem OverloadedProblem(std::string detail);

/// \returns The standard reason phrase of a status, as in `Bad Request`.
[[nodiscard]] std::string StatusTitle(std::uint16_t status);

/// \returns The problem as an RFC 9457 document in JSON.
[[nodiscard]] std::string FormatProblem(const Problem& problem);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DUTIES_CALLERS_PROBLEMS_H_
