// Opening of listening sockets, the same for every duty that listens.

#ifndef MIMOSAGAUGE_IMPL_DUTIES_COMMON_LISTENER_H_
#define MIMOSAGAUGE_IMPL_DUTIES_COMMON_LISTENER_H_

#include <boost/asio/ip/tcp.hpp>

#include "mimosagauge/impl/core/endpoint.h"

namespace mimosagauge {

/// \brief Binds and listens.
/// \returns What failed, or no error.
[[nodiscard]] boost::system::error_code OpenListener(
    boost::asio::ip::tcp::acceptor& acceptor, const Endpoint& endpoint);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DUTIES_COMMON_LISTENER_H_
