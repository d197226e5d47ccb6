// Opens listening sockets; shared by all duties that accept connections.

#ifndef MIMOSAGAUGE_IMPL_DUTIES_COMMON_LISTENER_H_
#define MIMOSAGAUGE_IMPL_DUTIES_COMMON_LISTENER_H_

#include <boost/asio/ip/tcp.hpp>

#include "mimosagauge/impl/core/endpoint.h"

namespace mimosagauge {

/// \brief Opens the acceptor with address reuse, binds it to the endpoint and
/// listens.
/// \returns The error of the first step that failed, or no error.
[[nodiscard]] boost::system::error_code OpenListener(
    boost::asio::ip::tcp::acceptor& acceptor, const Endpoint& endpoint);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DUTIES_COMMON_LISTENER_H_
