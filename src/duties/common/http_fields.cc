// Selects the HTTP header fields that are forwarded.

#include "mimosagauge/impl/duties/common/http_fields.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/rfc7230.hpp>

namespace mimosagauge {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr std::string_view kOwnFieldPrefix = "Mimosagauge-";

// Hop-by-hop fields apply to a single connection and are never forwarded.
constexpr std::array<std::string_view, 11> kHopByHopFields{
    "Connection",          "Keep-Alive", "Proxy-Connection",
    "Proxy-Authenticate",  "TE",         "Trailer",
    "Proxy-Authorization", "Upgrade",    "Transfer-Encoding",
    "HTTP2-Settings",      "Expect"};

// Each hop writes these fields itself, so they are not copied.
constexpr std::array<std::string_view, 6> kFieldsWrittenPerHop{
    "Host",         "Content-Length", "Authorization", "Idempotency-Key",
    "X-Request-Id", "Last-Event-ID"};

[[nodiscard]] std::string_view ToView(beast::string_view text) noexcept {
  return {text.data(), text.size()};
}

template <typename Names>
[[nodiscard]] bool IsOneOf(const Names& names, std::string_view name) noexcept {
  return std::any_of(names.begin(), names.end(),
                     [name](std::string_view field) {
                       return EqualsIgnoringCase(name, field);
                     });
}

[[nodiscard]] bool IsOwnOrWrittenPerHop(std::string_view name) {
  const bool has_own_prefix =
      name.size() >= kOwnFieldPrefix.size() &&
      EqualsIgnoringCase(name.substr(0, kOwnFieldPrefix.size()),
                         kOwnFieldPrefix);
  return has_own_prefix || IsOneOf(kFieldsWrittenPerHop, name);
}

[[nodiscard]] bool IsNamedByConnection(const http::fields& fields,
                                       beast::string_view name) {
  const auto range = fields.equal_range(http::field::connection);
  return std::any_of(range.first, range.second, [name](const auto& field) {
    return http::token_list{field.value()}.exists(name);
  });
}

}  // namespace

bool EqualsIgnoringCase(std::string_view a, std::string_view b) noexcept {
  return beast::iequals({a.data(), a.size()}, {b.data(), b.size()});
}

bool IsFieldValue(std::string_view text) noexcept {
  constexpr unsigned char kSpace = 0x20;
  constexpr unsigned char kDelete = 0x7F;
  return std::all_of(text.begin(), text.end(), [](char c) {
    const auto byte = static_cast<unsigned char>(c);
    return (byte >= kSpace && byte != kDelete) || c == '\t';
  });
}

std::vector<Header> EndToEndFields(const http::fields& fields) {
  return FieldsWithout(fields, &IsOwnOrWrittenPerHop);
}

std::vector<Header> FieldsWithout(const http::fields& fields,
                                  bool (*is_dropped)(std::string_view name)) {
  std::vector<Header> headers;
  for (const auto& field : fields) {
    const std::string_view name = ToView(field.name_string());
    if (IsOneOf(kHopByHopFields, name) || is_dropped(name) ||
        IsNamedByConnection(fields, field.name_string())) {
      continue;
    }
    headers.push_back({std::string(name), std::string(ToView(field.value()))});
  }
  return headers;
}

std::string_view FieldValue(const boost::beast::http::fields& fields,
                            std::string_view name) {
  const auto value =
      fields[boost::beast::string_view(name.data(), name.size())];
  return {value.data(), value.size()};
}

std::string_view FindField(const std::vector<Header>& headers,
                           std::string_view name) noexcept {
  for (const Header& header : headers) {
    if (EqualsIgnoringCase(header.name, name)) {
      return header.value;
    }
  }
  return {};
}

bool IsEventStream(const std::vector<Header>& headers) noexcept {
  const std::string_view value = FindField(headers, "Content-Type");
  const std::string_view type = value.substr(0, value.find_first_of("; \t"));
  return EqualsIgnoringCase(type, "text/event-stream");
}

std::string FormatPath(const std::vector<Place>& path) {
  std::string text;
  for (const Place& place : path) {
    text += text.empty() ? "" : ", ";
    text += ToString(place);
  }
  return text;
}

}  // namespace mimosagauge
