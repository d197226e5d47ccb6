// Names of the gateway's own HTTP header fields, and selection of the fields
// that are forwarded end to end.

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
/// Response field by which an upstream states that it did not run the request.
inline constexpr std::string_view kNotRunField = "Mimosagauge-Not-Run";
inline constexpr std::string_view kIdempotencyKeyField = "Idempotency-Key";
inline constexpr std::string_view kLastEventIdField = "Last-Event-ID";

/// \returns Whether the texts are equal when the case of ASCII letters is
/// ignored.
[[nodiscard]] bool EqualsIgnoringCase(std::string_view a,
                                      std::string_view b) noexcept;

/// \returns Whether the text is a valid field value: it holds no control
/// characters except tab, so it cannot inject another field.
[[nodiscard]] bool IsFieldValue(std::string_view text) noexcept;

/// \returns The fields to forward: all except hop-by-hop fields, fields that
/// `Connection` names, fields that each hop writes itself, and the gateway's
/// own fields (prefix `Mimosagauge-`).
[[nodiscard]] std::vector<Header> EndToEndFields(
    const boost::beast::http::fields& fields);

/// \brief Like `EndToEndFields`, but the caller chooses which fields each hop
/// writes itself.
/// \param is_dropped Returns whether to drop the field of this name. Hop-by-hop
/// fields and fields that `Connection` names are always dropped.
[[nodiscard]] std::vector<Header> FieldsWithout(
    const boost::beast::http::fields& fields,
    bool (*is_dropped)(std::string_view name));

/// \returns The value of the field; empty if the field is missing. The view is
/// valid as long as `fields`.
[[nodiscard]] std::string_view FieldValue(
    const boost::beast::http::fields& fields, std::string_view name);

/// \returns The value of the first field of this name, ignoring case, or an
/// empty text when there is none.
[[nodiscard]] std::string_view FindField(const std::vector<Header>& headers,
                                         std::string_view name) noexcept;

/// \returns Whether the headers are those of a stream of server-sent events:
/// the content type is `text/event-stream`.
[[nodiscard]] bool IsEventStream(const std::vector<Header>& headers) noexcept;

/// \returns The places (instances or upstreams) that the request passed,
/// separated by commas.
[[nodiscard]] std::string FormatPath(const std::vector<Place>& path);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DUTIES_COMMON_HTTP_FIELDS_H_
