// Which HTTP header fields travel end to end, and which are our own.

#ifndef MIMOSAGAUGE_IMPL_DUTIES_COMMON_HTTP_FIELDS_H_
#define MIMOSAGAUGE_IMPL_DUTIES_COMMON_HTTP_FIELDS_H_

#include <boost/beast/http/fields.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "mimosagauge/impl/decisions/request.h"

namespace mimosagauge {

inline constexpr std::string_view kRequestIdField = "Mimosagauge-Request-Id";
inline constexpr std::string_view kServedByField = "Mimosagauge-Served-By";
inline constexpr std::string_view kPathField = "Mimosagauge-Path";
inline constexpr std::string_view kTimeoutField = "Mimosagauge-Timeout-Ms";
inline constexpr std::string_view kPriorityField = "Mimosagauge-Priority";
/// An upstream's own statement that it did not run the request.
inline constexpr std::string_view kNotRunField = "Mimosagauge-Not-Run";
inline constexpr std::string_view kIdempotencyKeyField = "Idempotency-Key";
inline constexpr std::string_view kLastEventIdField = "Last-Event-ID";

/// \returns Whether the texts are equal but for ASCII case.
[[nodiscard]] bool EqualsIgnoringCase(std::string_view a,
                                      std::string_view b) noexcept;

/// \returns Whether the text may stand as a field's value: no control
/// characters, so that it cannot begin another field.
[[nodiscard]] bool IsFieldValue(std::string_view text) noexcept;

/// \brief Picks what travels on: no hop-by-hop fields, none that `Connection`
/// names, none that each hop writes itself, none of our own.
[[nodiscard]] std::vector<Header> EndToEndFields(
    const boost::beast::http::fields& fields);

/// \brief The same with another choice of what each hop writes itself.
/// \param is_dropped Of a field's name; hop-by-hop fields and those that
/// `Connection` names are dropped besides.
[[nodiscard]] std::vector<Header> FieldsWithout(
    const boost::beast::http::fields& fields,
    bool (*is_dropped)(std::string_view name));

/// \returns The value of the named field, empty when it is missing.
[[nodiscard]] std::string_view FindField(const std::vector<Header>& headers,
                                         std::string_view name) noexcept;

/// \returns Whether the answer is a stream of server-sent events.
[[nodiscard]] bool IsEventStream(const std::vector<Header>& headers) noexcept;

/// \returns The places, separated by commas.
[[nodiscard]] std::string FormatPath(const std::vector<Place>& path);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DUTIES_COMMON_HTTP_FIELDS_H_
