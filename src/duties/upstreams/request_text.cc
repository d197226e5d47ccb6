// Encoding of requests to upstreams by Boost.Beast.

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

void Insert(RequestMessage& message, std::string_view name,
            const std::string& value) {
  if (IsFieldValue(value)) {
    message.insert(beast::string_view(name.data(), name.size()), value);
  }
}

[[nodiscard]] bool MayHaveBody(const std::string& method) {
  return method == "POST" || method == "PUT" || method == "PATCH";
}

// A stream has to be read to be cut at its events.
[[nodiscard]] bool IsPassedOn(const Header& header, const RequestHead& head) {
  return !head.stream || !EqualsIgnoringCase(header.name, "Accept-Encoding");
}

void InsertOwnFields(RequestMessage& message,
                     const StartUpstreamAttempt& attempt) {
  const RequestHead& head = *attempt.head;
  const auto remaining =
      std::chrono::floor<std::chrono::milliseconds>(attempt.remaining);
  Insert(message, "X-Request-Id", head.id.value());
  Insert(message, kRequestIdField, head.id.value());
  Insert(message, kPriorityField, std::to_string(attempt.priority));
  Insert(message, kTimeoutField, std::to_string(remaining.count()));
  if (!head.path.empty()) {
    Insert(message, kPathField, FormatPath(head.path));
  }
  if (head.key) {
    Insert(message, kIdempotencyKeyField, head.key->value());
  }
  if (attempt.last_event_id) {
    Insert(message, kLastEventIdField, *attempt.last_event_id);
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
    if (IsPassedOn(header, head)) {
      Insert(message, header.name, header.value);
    }
  }
  InsertOwnFields(message, attempt);
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
