// Interpretation of callers' requests in the default dialect.

#include "mimosagauge/impl/duties/callers/request.h"

#include <algorithm>
#include <array>
#include <boost/beast/http/field.hpp>
#include <charconv>
#include <cstdint>
#include <iterator>
#include <string_view>
#include <utility>

#include "mimosagauge/impl/duties/callers/chat_request.h"
#include "mimosagauge/impl/duties/callers/digest.h"
#include "mimosagauge/impl/duties/callers/problems.h"
#include "mimosagauge/impl/duties/callers/raw_header.h"
#include "mimosagauge/impl/duties/common/http_fields.h"

namespace mimosagauge {
namespace {

namespace http = boost::beast::http;

constexpr std::string_view kChatPath = "/v1/chat/completions";
constexpr std::string_view kReservedFirstSegment = "v1";
constexpr std::size_t kMaxKeyBytes = 255;
constexpr std::uint64_t kMaxTimeoutMs = 24ULL * 60 * 60 * 1000;

struct LocalPath {
  std::string_view path;
  LocalResource resource;
};
constexpr std::array kLocalPaths{
    LocalPath{"/v1/entry", LocalResource::kEntry},
    LocalPath{"/healthz", LocalResource::kHealth},
    LocalPath{"/readyz", LocalResource::kReady},
    LocalPath{"/metrics", LocalResource::kMetrics},
};

[[nodiscard]] std::string_view ToStringView(
    boost::beast::string_view text) noexcept {
  return {text.data(), text.size()};
}

[[nodiscard]] std::string_view PathOf(std::string_view target) noexcept {
  return target.substr(0, target.find('?'));
}

// The number of occurrences of a field that may occur only once, and its value
// (of the last occurrence).
struct SingleField {
  int count = 0;
  std::string_view value;
};

[[nodiscard]] SingleField FindSingleField(const http::fields& fields,
                                          std::string_view name) {
  const auto range = fields.equal_range({name.data(), name.size()});
  SingleField found;
  for (auto it = range.first; it != range.second; ++it) {
    ++found.count;
    found.value = ToStringView(it->value());
  }
  return found;
}

[[nodiscard]] Problem RepeatedFieldProblem(std::string_view name) {
  return MalformedRequestProblem(std::string(name) + " occurs more than once",
                                 "send it once");
}

[[nodiscard]] Problem UnauthenticatedProblem() {
  return NotRunProblem(status::kUnauthorized, "unauthenticated",
                       "the request has no token of a known client account",
                       "send Authorization: Bearer TOKEN with the account's "
                       "token");
}

[[nodiscard]] std::optional<Problem> ReadIdempotencyKey(
    const http::fields& fields, RequestHead& head) {
  const SingleField key = FindSingleField(fields, kIdempotencyKeyField);
  if (key.count == 0) {
    return std::nullopt;
  }
  if (key.count > 1) {
    return RepeatedFieldProblem(kIdempotencyKeyField);
  }
  const bool printable =
      std::all_of(key.value.begin(), key.value.end(),
                  [](char c) { return c >= ' ' && c <= '~'; });
  if (key.value.empty() || key.value.size() > kMaxKeyBytes || !printable) {
    return MalformedRequestProblem(
        "Idempotency-Key is empty, too long or not printable ASCII",
        "send 1 to 255 printable ASCII characters");
  }
  head.key = IdempotencyKey{std::string(key.value)};
  return std::nullopt;
}

[[nodiscard]] std::optional<Problem> ReadTimeout(const http::fields& fields,
                                                 RequestHead& head) {
  const SingleField timeout = FindSingleField(fields, kTimeoutField);
  if (timeout.count == 0) {
    return std::nullopt;
  }
  if (timeout.count > 1) {
    return RepeatedFieldProblem(kTimeoutField);
  }
  std::uint64_t milliseconds = 0;
  const char* end = timeout.value.data() + timeout.value.size();
  const auto parsed = std::from_chars(timeout.value.data(), end, milliseconds);
  if (parsed.ec != std::errc{} || parsed.ptr != end || milliseconds == 0 ||
      milliseconds > kMaxTimeoutMs) {
    return MalformedRequestProblem(
        "Mimosagauge-Timeout-Ms is not a whole number from 1 to 86400000",
        "send the timeout in milliseconds as a whole number");
  }
  head.remaining = std::chrono::milliseconds(milliseconds);
  return std::nullopt;
}

// The first path segment names the service. The rest is sent to the upstream.
[[nodiscard]] std::optional<Problem> ReadServiceFromPath(RequestHead& head) {
  const std::string_view path = head.caller_path;
  const std::size_t end = std::min(path.find('/', 1), path.size());
  const std::string_view service = path.substr(1, end - 1);
  if (service.empty() || service == kReservedFirstSegment) {
    return NotRunProblem(status::kNotFound, "no-such-path",
                         "the path names no service",
                         "send /v1/chat/completions or /SERVICE/...");
  }
  std::string rest = head.target.substr(end);
  if (rest.empty() || rest.front() != '/') {
    rest.insert(rest.begin(), '/');
  }
  head.service = ServiceId{std::string(service)};
  head.target = std::move(rest);
  return std::nullopt;
}

[[nodiscard]] CallerRequest ReadLocalRequest(const LocalPath& local_path,
                                             http::verb method) {
  if (method != http::verb::get && method != http::verb::head) {
    return NotRunProblem(status::kMethodNotAllowed, "method-not-allowed",
                         "the path supports only GET and HEAD", "send GET");
  }
  return LocalRequest{local_path.resource, {}};
}

[[nodiscard]] std::optional<Problem> CheckMethod(http::verb method,
                                                 bool is_chat_completion) {
  if (method == http::verb::connect || method == http::verb::trace) {
    return NotRunProblem(status::kNotImplemented, "unsupported-method",
                         "the method is not forwarded to upstreams",
                         "send another method");
  }
  if (is_chat_completion && method != http::verb::post) {
    return NotRunProblem(status::kMethodNotAllowed, "method-not-allowed",
                         "chat completions support only POST", "send POST");
  }
  return std::nullopt;
}

[[nodiscard]] CallerRequest ReadUpstreamRequest(
    const http::request_header<>& header, const AccountSettings& account,
    const Settings& settings) {
  UpstreamRequest request;
  RequestHead& head = request.head;
  head.account = account.id;
  head.account_home = account.home;
  head.entry_region = settings.region;
  head.method = ToStringView(header.method_string());
  head.target = ToStringView(header.target());
  head.caller_path = PathOf(head.target);
  request.is_chat_completion = head.caller_path == kChatPath;
  auto problem = CheckMethod(header.method(), request.is_chat_completion);
  if (!problem) {
    problem = ReadIdempotencyKey(header, head);
  }
  if (!problem) {
    problem = ReadTimeout(header, head);
  }
  if (!problem && !request.is_chat_completion) {
    problem = ReadServiceFromPath(head);
  }
  if (problem) {
    return std::move(*problem);
  }
  head.headers = EndToEndFields(header);
  head.id = MakeRequestId();
  return request;
}

}  // namespace

CallerRequest ReadCallerHeader(const http::request_header<>& header,
                               const Settings& settings,
                               const AccountRegistry& accounts) {
  constexpr unsigned kHttp11 = 11;
  if (header.version() != kHttp11) {
    return NotRunProblem(status::kVersionNotSupported, "unsupported-version",
                         "the request is not HTTP/1.1", "send HTTP/1.1");
  }
  const std::string_view target = ToStringView(header.target());
  if (auto problem = CheckTarget(target)) {
    return std::move(*problem);
  }
  const std::string_view path = PathOf(target);
  const auto* local_path = std::find_if(
      kLocalPaths.begin(), kLocalPaths.end(),
      [path](const LocalPath& entry) { return entry.path == path; });
  if (local_path != kLocalPaths.end() &&
      local_path->resource != LocalResource::kEntry) {
    return ReadLocalRequest(*local_path, header.method());
  }
  const SingleField authorization = FindSingleField(header, "Authorization");
  if (authorization.count > 1) {
    return RepeatedFieldProblem("Authorization");
  }
  const AccountSettings* account = accounts.Find(authorization.value);
  if (account == nullptr) {
    return UnauthenticatedProblem();
  }
  if (local_path != kLocalPaths.end()) {
    CallerRequest request = ReadLocalRequest(*local_path, header.method());
    if (auto* entry = std::get_if<LocalRequest>(&request)) {
      entry->account = account->id;
    }
    return request;
  }
  return ReadUpstreamRequest(header, *account, settings);
}

std::optional<Problem> ReadCallerBody(const std::string& body,
                                      UpstreamRequest& request) {
  RequestHead& head = request.head;
  if (request.is_chat_completion) {
    Result<ChatRequest> chat_request = ParseChatRequest(body);
    if (!chat_request) {
      return MalformedRequestProblem(chat_request.error().message,
                                     chat_request.error().remedy);
    }
    head.model = chat_request.value().model;
    head.stream = chat_request.value().stream;
  }
  const std::string_view query =
      std::string_view(head.target).substr(PathOf(head.target).size());
  head.digest =
      DigestContent(head.method, head.caller_path + std::string(query), body);
  return std::nullopt;
}

}  // namespace mimosagauge
