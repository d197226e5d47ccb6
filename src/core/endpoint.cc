// Parsing and printing of endpoints.

#include "mimosagauge/impl/core/endpoint.h"

#include <fmt/format.h>

#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <cstddef>
#include <string_view>

namespace mimosagauge {
namespace {

[[nodiscard]] Error InvalidEndpoint(const std::string& text) {
  return Error{ErrorKind::kInvalidInput,
               fmt::format("'{}' is not an address and port", text),
               "write an IP number and a port, as in 127.0.0.1:8080"};
}

[[nodiscard]] bool ParsePort(std::string_view text, std::uint16_t& port) {
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, port);
  return parsed.ec == std::errc{} && parsed.ptr == end && !text.empty();
}

}  // namespace

Result<Endpoint> ParseEndpoint(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    return InvalidEndpoint(text);
  }
  Endpoint endpoint;
  endpoint.address = text.substr(0, colon);
  const bool bracketed = endpoint.address.size() > 2 &&
                         endpoint.address.front() == '[' &&
                         endpoint.address.back() == ']';
  if (bracketed) {
    endpoint.address = endpoint.address.substr(1, endpoint.address.size() - 2);
  }
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(endpoint.address, error);
  if (error || address.is_v6() != bracketed) {
    return InvalidEndpoint(text);
  }
  if (!ParsePort(std::string_view(text).substr(colon + 1), endpoint.port)) {
    return InvalidEndpoint(text);
  }
  return endpoint;
}

std::string ToString(const Endpoint& endpoint) {
  const bool v6 = endpoint.address.find(':') != std::string::npos;
  return v6 ? fmt::format("[{}]:{}", endpoint.address, endpoint.port)
            : fmt::format("{}:{}", endpoint.address, endpoint.port);
}

}  // namespace mimosagauge
