// Checks of the bytes of request headers.

#include "mimosagauge/impl/duties/callers/raw_header.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <string>

#include "mimosagauge/impl/duties/callers/problems.h"
#include "mimosagauge/impl/duties/common/http_fields.h"

namespace mimosagauge {
namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kHeaderEnd = "\r\n\r\n";

// How often each field occurs that determines where a request ends or which
// host it is for.
struct FramingFieldCounts {
  int content_lengths = 0;
  int transfer_encodings = 0;
  int host_fields = 0;
};

[[nodiscard]] bool IsTokenCharacter(char c) noexcept {
  constexpr std::string_view kTokenPunctuation = "!#$%&'*+-.^_`|~";
  return std::isalnum(static_cast<unsigned char>(c)) != 0 ||
         kTokenPunctuation.find(c) != std::string_view::npos;
}

[[nodiscard]] bool IsToken(std::string_view text) noexcept {
  return !text.empty() &&
         std::all_of(text.begin(), text.end(), IsTokenCharacter);
}

[[nodiscard]] std::string_view Trim(std::string_view text) noexcept {
  const std::size_t first = text.find_first_not_of(" \t");
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

[[nodiscard]] bool IsNumber(std::string_view text) noexcept {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    return c >= '0' && c <= '9';
  });
}

[[nodiscard]] std::optional<Problem> CheckField(std::string_view line,
                                                FramingFieldCounts& counts) {
  if (line.front() == ' ' || line.front() == '\t') {
    return MalformedRequestProblem(
        "a header field is folded over several lines",
        "write each field on one line");
  }
  const std::size_t colon = line.find(':');
  if (colon == std::string_view::npos || !IsToken(line.substr(0, colon))) {
    return MalformedRequestProblem(
        "a header line has no valid field name",
        "write NAME: VALUE without space before the colon");
  }
  const std::string_view name = line.substr(0, colon);
  const std::string_view value = Trim(line.substr(colon + 1));
  if (EqualsIgnoringCase(name, "Content-Length")) {
    ++counts.content_lengths;
    if (!IsNumber(value)) {
      return MalformedRequestProblem("Content-Length is not a number",
                                     "send one decimal number of bytes");
    }
  }
  if (EqualsIgnoringCase(name, "Transfer-Encoding")) {
    ++counts.transfer_encodings;
    if (!EqualsIgnoringCase(value, "chunked")) {
      return NotRunProblem(status::kNotImplemented, "unsupported-coding",
                           "the transfer coding is not supported",
                           "send Transfer-Encoding: chunked or Content-Length");
    }
  }
  if (EqualsIgnoringCase(name, "Host")) {
    ++counts.host_fields;
  }
  return std::nullopt;
}

[[nodiscard]] std::optional<Problem> CheckFraming(
    const FramingFieldCounts& counts) {
  if (counts.content_lengths > 1 || counts.transfer_encodings > 1) {
    return MalformedRequestProblem(
        "Content-Length or Transfer-Encoding occurs more than once",
        "send one Content-Length or Transfer-Encoding");
  }
  if (counts.content_lengths + counts.transfer_encodings > 1) {
    return MalformedRequestProblem(
        "the request has both Content-Length and Transfer-Encoding",
        "send one of the two");
  }
  if (counts.host_fields != 1) {
    return MalformedRequestProblem(
        "the request does not have exactly one Host field",
        "send one Host field");
  }
  return std::nullopt;
}

[[nodiscard]] int HexValue(char c) noexcept {
  constexpr int kHexLetterValue = 10;
  if (c >= '0' && c <= '9') {
    return c - '0';
  }
  if (c >= 'a' && c <= 'f') {
    return c - 'a' + kHexLetterValue;
  }
  if (c >= 'A' && c <= 'F') {
    return c - 'A' + kHexLetterValue;
  }
  return -1;
}

// Some servers decode unreserved characters and slashes before they interpret
// the path, and some end the path at a control character. If these were allowed
// in encoded form, one path would have several spellings.
[[nodiscard]] bool IsEncodingAllowed(char c) noexcept {
  constexpr std::string_view kUnreservedMarks = "-._~";
  constexpr std::string_view kSeparators = "/\\";
  const auto byte = static_cast<unsigned char>(c);
  constexpr unsigned char kSpace = 0x20;
  constexpr unsigned char kDelete = 0x7F;
  return byte >= kSpace && byte != kDelete && std::isalnum(byte) == 0 &&
         kUnreservedMarks.find(c) == std::string_view::npos &&
         kSeparators.find(c) == std::string_view::npos;
}

[[nodiscard]] std::optional<Problem> CheckEncoding(std::string_view path) {
  constexpr int kHexBase = 16;
  constexpr std::size_t kEncodedSize = 3;
  for (std::size_t i = 0; i < path.size(); ++i) {
    if (path[i] != '%') {
      continue;
    }
    const bool has_two_digits = i + kEncodedSize <= path.size();
    const int high = has_two_digits ? HexValue(path[i + 1]) : -1;
    const int low = has_two_digits ? HexValue(path[i + 2]) : -1;
    if (high < 0 || low < 0) {
      return MalformedRequestProblem(
          "a percent sign in the path is not followed by two hexadecimal "
          "digits",
          "write %25 for a percent sign");
    }
    if (!IsEncodingAllowed(static_cast<char>(high * kHexBase + low))) {
      return MalformedRequestProblem(
          "the path encodes a character that must not be encoded",
          "write letters, digits, '-', '.', '_' and '~' as they are; encoded "
          "slashes, backslashes and control characters are refused");
    }
  }
  return std::nullopt;
}

[[nodiscard]] std::optional<Problem> CheckSegments(std::string_view path) {
  std::size_t start = 1;
  while (start <= path.size()) {
    const std::size_t end = std::min(path.find('/', start), path.size());
    const std::string_view segment = path.substr(start, end - start);
    if (segment == "." || segment == "..") {
      return MalformedRequestProblem(
          "the path has a dot segment",
          "send the path with its dot segments resolved");
    }
    if (segment.empty() && end != path.size()) {
      return MalformedRequestProblem("the path has an empty segment",
                                     "separate segments by single slashes");
    }
    start = end + 1;
  }
  return std::nullopt;
}

}  // namespace

std::optional<std::size_t> FindHeaderEnd(std::string_view bytes,
                                         std::size_t searched_bytes) noexcept {
  const std::size_t overlap = kHeaderEnd.size() - 1;
  const std::size_t from =
      searched_bytes > overlap ? searched_bytes - overlap : 0;
  const std::size_t found = bytes.find(kHeaderEnd, from);
  if (found == std::string_view::npos) {
    return std::nullopt;
  }
  return found + kHeaderEnd.size();
}

std::optional<Problem> CheckLineEnds(std::string_view bytes) {
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    const char c = bytes[i];
    const bool bare_cr =
        c == '\r' && i + 1 < bytes.size() && bytes[i + 1] != '\n';
    // A line feed that is the first byte was checked with the bytes before it.
    const bool bare_lf = c == '\n' && i > 0 && bytes[i - 1] != '\r';
    if (bare_cr || bare_lf) {
      return MalformedRequestProblem("a line ends with CR or LF alone",
                                     "end header lines with CR LF");
    }
    const bool ends_line = c == '\r' || c == '\n';
    if (!ends_line && !IsFieldValue(std::string_view(&c, 1))) {
      return MalformedRequestProblem("the header contains a control character",
                                     "send printable characters only");
    }
  }
  return std::nullopt;
}

std::optional<Problem> CheckRawHeader(std::string_view header) {
  if (auto problem = CheckLineEnds(header)) {
    return problem;
  }
  FramingFieldCounts counts;
  std::size_t start = header.find(kLineEnd);
  while (start != std::string_view::npos) {
    start += kLineEnd.size();
    const std::size_t end = header.find(kLineEnd, start);
    if (end == std::string_view::npos || end == start) {
      break;
    }
    if (auto problem = CheckField(header.substr(start, end - start), counts)) {
      return problem;
    }
    start = end;
  }
  return CheckFraming(counts);
}

std::optional<Problem> CheckTarget(std::string_view target) {
  if (target.empty() || target.front() != '/') {
    return MalformedRequestProblem(
        "the request target does not start with a slash",
        "send only the path and query, as in GET /v1/...");
  }
  const std::string_view path = target.substr(0, target.find('?'));
  constexpr std::string_view kForbiddenCharacters = "\\#\"<>^`{|}";
  const bool printable = std::all_of(
      target.begin(), target.end(), [](char c) { return c > ' ' && c <= '~'; });
  if (!printable ||
      path.find_first_of(kForbiddenCharacters) != std::string_view::npos ||
      target.find('#') != std::string_view::npos) {
    return MalformedRequestProblem(
        "the target contains a character that is not allowed",
        "percent-encode it; send no fragment");
  }
  if (auto problem = CheckEncoding(path)) {
    return problem;
  }
  return CheckSegments(path);
}

}  // namespace mimosagauge
