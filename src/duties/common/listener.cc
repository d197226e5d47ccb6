// Opening of listening sockets.

#include "mimosagauge/impl/duties/common/listener.h"

#include <boost/asio/ip/address.hpp>

namespace mimosagauge {

boost::system::error_code OpenListener(boost::asio::ip::tcp::acceptor& acceptor,
                                       const Endpoint& endpoint) {
  namespace asio = boost::asio;
  boost::system::error_code error;
  const auto address = asio::ip::make_address(endpoint.address, error);
  if (error) {
    return error;
  }
  const asio::ip::tcp::endpoint at(address, endpoint.port);
  acceptor.open(at.protocol(), error);
  if (!error) {
    acceptor.set_option(asio::socket_base::reuse_address(true), error);
  }
  if (!error) {
    acceptor.bind(at, error);
  }
  if (!error) {
    acceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  return error;
}

}  // namespace mimosagauge
