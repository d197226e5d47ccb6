// Serialization of requests to upstreams with Boost.Beast.

#include "mimosagauge/impl/duties/upstreams/request_text.h"

#include <algorithm>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/serializer.hpp>
#include <chrono>
#include <string_view>

#include "mimosagauge/impl/duties/common/http_fields.h"

namespace mimosagauge::detail {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr unsigned kHttp11 = 11;

using RequestMessage = http::request<http::empty_body>;

void InsertField(RequestMessage& message, std::string_view name,
                 const std::string& value) {
  if (IsFieldValue(value)) {
    message.insert(beast::string_view(name.data(), name.size()), value);
  }
}

[[nodiscard]] bool MayHaveBody(const std::string& method) {
  return method == "POST" || method == "PUT" || method == "PATCH";
}

// Accept-Encoding is not forwarded for streams: an encoded stream could not be
// split at its events.
[[nodiscard]] bool IsForwarded(const Header& header, const RequestHead& head) {
  return !head.stream || !EqualsIgnoringCase(header.name, "Accept-Encoding");
}

void InsertGatewayFields(RequestMessage& message,
                         const StartUpstreamAttempt& attempt) {
  const RequestHead& head = *attempt.head;
  const auto remaining =
      std::chrono::floor<std::chrono::milliseconds>(attempt.remaining);
  InsertField(message, "X-Request-Id", head.id.value());
  InsertField(message, kRequestIdField, head.id.value());
  InsertField(message, kPriorityField, std::to_string(attempt.priority));
  InsertField(message, kTimeoutField, std::to_string(remaining.count()));
  if (!head.path.empty()) {
    InsertField(message, kPathField, FormatPath(head.path));
  }
  if (head.key) {
    InsertField(message, kIdempotencyKeyField, head.key->value());
  }
  if (attempt.last_event_id) {
    InsertField(message, kLastEventIdField, *attempt.last_event_id);
  }
}

}  // namespace

std::string FormatUpstreamHeader(const StartUpstreamAttempt& attempt,
                                 const UpstreamSettings& upstream) {
  const RequestHead& head = *attempt.head;
  RequestMessage message;
  message.version(kHttp11);
  message.method_string(head.method);
  message.target(head.target);
  message.set(http::field::host, ToString(upstream.endpoint));
  for (const Header& header : head.headers) {
    if (IsForwarded(header, head)) {
      InsertField(message, header.name, header.value);
    }
  }
  InsertGatewayFields(message, attempt);
  const std::size_t length = attempt.body ? attempt.body->size() : 0;
  if (length > 0 || MayHaveBody(head.method)) {
    message.set(http::field::content_length, std::to_string(length));
  }
  std::string text;
  http::request_serializer<http::empty_body> serializer(message);
  serializer.split(true);
  beast::error_code error;
  serializer.next(error, [&text](beast::error_code&, const auto& buffers) {
    for (const auto part : beast::buffers_range_ref(buffers)) {
      text.append(static_cast<const char*>(part.data()), part.size());
    }
  });
  return text;
}

}  // namespace mimosagauge::detail
