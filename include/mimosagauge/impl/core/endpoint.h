// The address and port of a TCP listener.

#ifndef MIMOSAGAUGE_IMPL_CORE_ENDPOINT_H_
#define MIMOSAGAUGE_IMPL_CORE_ENDPOINT_H_

#include <compare>
#include <cstdint>
#include <string>

#include "mimosagauge/impl/core/error.h"

namespace mimosagauge {

/// \brief An IP number and a port.
struct Endpoint {
  std::string address;  ///< IPv4, or IPv6 without brackets.
  std::uint16_t port = 0;

  [[nodiscard]] friend bool operator==(const Endpoint&,
                                       const Endpoint&) = default;
  [[nodiscard]] friend auto operator<=>(const Endpoint&,
                                        const Endpoint&) = default;
};

/// \param text `address:port`, an IPv6 address in brackets.
/// \returns The endpoint, or `kInvalidInput`.
[[nodiscard]] Result<Endpoint> ParseEndpoint(const std::string& text);

/// \returns `address:port`, an IPv6 address in brackets.
[[nodiscard]] std::string ToString(const Endpoint& endpoint);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_CORE_ENDPOINT_H_
