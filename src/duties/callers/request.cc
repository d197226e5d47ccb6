// Reading of callers' requests.

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
constexpr std::string_view kOwnFirstSegment = "v1";
constexpr std::size_t kMaxKeyBytes = 255;
constexpr std::uint64_t kMaxTimeoutMs = 24ULL * 60 * 60 * 1000;

struct OwnPath {
  std::string_view path;
  OwnResource resource;
};
constexpr std::array kOwnPaths{
    OwnPath{"/v1/entry", OwnResource::kEntry},
    OwnPath{"/healthz", OwnResource::kHealth},
    OwnPath{"/readyz", OwnResource::kReady},
    OwnPath{"/metrics", OwnResource::kMetrics},
};

[[nodiscard]] std::string_view ToView(boost::beast::string_view text) noexcept {
  return {text.data(), text.size()};
}

[[nodiscard]] std::string_view PathOf(std::string_view target) noexcept {
  return target.substr(0, target.find('?'));
}

// A field that says something about the whole request and may stand once.
struct SingleField {
  int count = 0;
  std::string_view value;
};

[[nodiscard]] SingleField FindSingle(const http::fields& fields,
                                     std::string_view name) {
  const auto range = fields.equal_range({name.data(), name.size()});
  SingleField found;
  for (auto it = range.first; it != range.second; ++it) {
    ++found.count;
    found.value = ToView(it->value());
  }
  return found;
}

[[nodiscard]] Problem Repeated(std::string_view name) {
  return MalformedRequest(std::string(name) + " stands more than once",
                          "send it once");
}

[[nodiscard]] Problem Unauthenticated() {
  return NotRunProblem(status::kUnauthorized, "unauthenticated",
                       "the request names no known client account",
                       "send Authorization: Bearer TOKEN with the account's "
                       "token");
}

[[nodiscard]] std::optional<Problem> ReadKey(const http::fields& fields,
                                             RequestHead& head) {
  const SingleField key = FindSingle(fields, kIdempotencyKeyField);
  if (key.count == 0) {
    return std::nullopt;
  }
  if (key.count > 1) {
    return Repeated(kIdempotencyKeyField);
  }
  const bool printable =
      std::all_of(key.value.begin(), key.value.end(),
                  [](char c) { return c >= ' ' && c <= '~'; });
  if (key.value.empty() || key.value.size() > kMaxKeyBytes || !printable) {
    return MalformedRequest("Idempotency-Key is empty, too long or not ASCII",
                            "send 1 to 255 printable ASCII characters");
  }
  head.key = IdempotencyKey{std::string(key.value)};
  return std::nullopt;
}

[[nodiscard]] std::optional<Problem> ReadTimeout(const http::fields& fields,
                                                 RequestHead& head) {
  const SingleField timeout = FindSingle(fields, kTimeoutField);
  if (timeout.count == 0) {
    return std::nullopt;
  }
  if (timeout.count > 1) {
    return Repeated(kTimeoutField);
  }
  std::uint64_t milliseconds = 0;
  const char* end = timeout.value.data() + timeout.value.size();
  const auto parsed = std::from_chars(timeout.value.data(), end, milliseconds);
  if (parsed.ec != std::errc{} || parsed.ptr != end || milliseconds == 0 ||
      milliseconds > kMaxTimeoutMs) {
    return MalformedRequest("Mimosagauge-Timeout-Ms is not a time",
                            "send whole milliseconds, 1 to 86400000");
  }
  head.remaining = std::chrono::milliseconds(milliseconds);
  return std::nullopt;
}

// The first segment names the service; the upstream is sent the rest.
[[nodiscard]] std::optional<Problem> ReadService(RequestHead& head) {
  const std::string_view path = head.caller_path;
  const std::size_t end = std::min(path.find('/', 1), path.size());
  const std::string_view service = path.substr(1, end - 1);
  if (service.empty() || service == kOwnFirstSegment) {
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

[[nodiscard]] CallerRequest ReadOwn(const OwnPath& own, http::verb method) {
  if (method != http::verb::get && method != http::verb::head) {
    return NotRunProblem(status::kMethodNotAllowed, "method-not-allowed",
                         "the path only answers GET", "send GET");
  }
  return OwnRequest{own.resource, {}};
}

[[nodiscard]] std::optional<Problem> CheckMethod(http::verb method, bool chat) {
  if (method == http::verb::connect || method == http::verb::trace) {
    return NotRunProblem(status::kNotImplemented, "unsupported-method",
                         "the method is not passed on", "send another method");
  }
  if (chat && method != http::verb::post) {
    return NotRunProblem(status::kMethodNotAllowed, "method-not-allowed",
                         "chat completions only answer POST", "send POST");
  }
  return std::nullopt;
}

[[nodiscard]] CallerRequest ReadForUpstream(
    const http::request_header<>& header, const AccountSettings& account,
    const Settings& settings) {
  UpstreamRequest request;
  RequestHead& head = request.head;
  head.account = account.id;
  head.account_home = account.home;
  head.entry_region = settings.region;
  head.method = ToView(header.method_string());
  head.target = ToView(header.target());
  head.caller_path = PathOf(head.target);
  request.chat = head.caller_path == kChatPath;
  auto problem = CheckMethod(header.method(), request.chat);
  if (!problem) {
    problem = ReadKey(header, head);
  }
  if (!problem) {
    problem = ReadTimeout(header, head);
  }
  if (!problem && !request.chat) {
    problem = ReadService(head);
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
                               const AccountBook& accounts) {
  constexpr unsigned kHttp11 = 11;
  if (header.version() != kHttp11) {
    return NotRunProblem(status::kVersionNotSupported, "unsupported-version",
                         "the request is not HTTP/1.1", "send HTTP/1.1");
  }
  const std::string_view target = ToView(header.target());
  if (auto problem = CheckTarget(target)) {
    return std::move(*problem);
  }
  const std::string_view path = PathOf(target);
  const auto* own =
      std::find_if(kOwnPaths.begin(), kOwnPaths.end(),
                   [path](const OwnPath& entry) { return entry.path == path; });
  if (own != kOwnPaths.end() && own->resource != OwnResource::kEntry) {
    return ReadOwn(*own, header.method());
  }
  const SingleField authorization = FindSingle(header, "Authorization");
  if (authorization.count > 1) {
    return Repeated("Authorization");
  }
  const AccountSettings* account = accounts.Find(authorization.value);
  if (account == nullptr) {
    return Unauthenticated();
  }
  if (own != kOwnPaths.end()) {
    CallerRequest request = ReadOwn(*own, header.method());
    if (auto* entry = std::get_if<OwnRequest>(&request)) {
      entry->account = account->id;
    }
    return request;
  }
  return ReadForUpstream(header, *account, settings);
}

std::optional<Problem> ReadCallerBody(const std::string& body,
                                      UpstreamRequest& request) {
  RequestHead& head = request.head;
  if (request.chat) {
    Result<ChatRequest> chat = ParseChatRequest(body);
    if (!chat) {
      return MalformedRequest(chat.error().message, chat.error().remedy);
    }
    head.model = chat.value().model;
    head.stream = chat.value().stream;
  }
  const std::string_view query =
      std::string_view(head.target).substr(PathOf(head.target).size());
  head.digest =
      DigestContent(head.method, head.caller_path + std::string(query), body);
  return std::nullopt;
}

}  // namespace mimosagauge
