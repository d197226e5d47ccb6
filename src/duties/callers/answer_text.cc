// Serialization of answers with Boost.Beast.

#include "mimosagauge/impl/duties/callers/answer_text.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/serializer.hpp>
#include <charconv>
#include <chrono>
#include <utility>

#include "mimosagauge/impl/duties/callers/problems.h"
#include "mimosagauge/impl/duties/common/http_fields.h"

namespace mimosagauge::detail {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr unsigned kHttp11 = 11;
constexpr std::uint16_t kNoContent = 204;
constexpr std::uint16_t kNotModified = 304;
constexpr std::string_view kTokenPunctuation = "!#$%&'*+-.^_`|~";

template <typename Buffers>
void AppendBuffers(std::string& out, const Buffers& buffers) {
  for (const asio::const_buffer part : beast::buffers_range_ref(buffers)) {
    out.append(static_cast<const char*>(part.data()), part.size());
  }
}

[[nodiscard]] bool IsFieldName(const std::string& name) {
  return !name.empty() && std::all_of(name.begin(), name.end(), [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') ||
           (c >= 'A' && c <= 'Z') ||
           kTokenPunctuation.find(c) != std::string_view::npos;
  });
}

[[nodiscard]] std::string RetryAfterSeconds(Duration wait) {
  return std::to_string(std::chrono::ceil<std::chrono::seconds>(wait).count());
}

}  // namespace

void AppendAnswerHead(std::string& out, const FramedAnswerHead& head) {
  http::response<http::empty_body> message;
  message.version(kHttp11);
  message.result(static_cast<unsigned>(head.status));
  for (const Header& header : head.headers) {
    if (IsFieldName(header.name) && IsFieldValue(header.value)) {
      message.insert(header.name, header.value);
    }
  }
  if (head.framing == BodyFraming::kChunked) {
    message.set(http::field::transfer_encoding, "chunked");
  }
  if (head.framing == BodyFraming::kLength) {
    message.set(http::field::content_length, std::to_string(head.length));
  }
  if (!head.keep_alive) {
    message.set(http::field::connection, "close");
  }
  http::response_serializer<http::empty_body> serializer(message);
  serializer.split(true);
  beast::error_code error;
  serializer.next(error, [&out](beast::error_code&, const auto& buffers) {
    AppendBuffers(out, buffers);
  });
}

void AppendChunk(std::string& out, std::string_view data) {
  if (!data.empty()) {
    AppendBuffers(out, http::make_chunk(asio::buffer(data)));
  }
}

void AppendLastChunk(std::string& out) {
  AppendBuffers(out, http::make_chunk_last());
}

std::vector<Header> TraceFields(const RequestId& id,
                                const std::vector<Place>& path) {
  std::vector<Header> fields;
  if (!id.empty()) {
    fields.push_back({std::string(kRequestIdField), id.value()});
  }
  if (!path.empty()) {
    fields.push_back({std::string(kServedByField), ToString(path.back())});
    fields.push_back({std::string(kPathField), FormatPath(path)});
  }
  return fields;
}

std::vector<Header> ProblemFields(const Problem& problem, const RequestId& id) {
  std::vector<Header> fields = TraceFields(id, {});
  fields.push_back({"Content-Type", "application/problem+json"});
  if (problem.retry_after) {
    fields.push_back({"Retry-After", RetryAfterSeconds(*problem.retry_after)});
  }
  if (problem.status == status::kUnauthorized) {
    fields.push_back({"WWW-Authenticate", "Bearer"});
  }
  return fields;
}

std::optional<std::uint64_t> ExtractContentLength(
    std::vector<Header>& headers) {
  std::optional<std::uint64_t> length;
  for (const Header& header : headers) {
    if (!EqualsIgnoringCase(header.name, "Content-Length")) {
      continue;
    }
    std::uint64_t value = 0;
    const char* end = header.value.data() + header.value.size();
    const auto parsed = std::from_chars(header.value.data(), end, value);
    if (parsed.ec == std::errc{} && parsed.ptr == end) {
      length = value;
    }
  }
  std::erase_if(headers, [](const Header& header) {
    return EqualsIgnoringCase(header.name, "Content-Length") ||
           EqualsIgnoringCase(header.name, "Transfer-Encoding") ||
           EqualsIgnoringCase(header.name, "Connection");
  });
  return length;
}

bool StatusForbidsBody(std::uint16_t status) noexcept {
  return status == kNoContent || status == kNotModified;
}

}  // namespace mimosagauge::detail
