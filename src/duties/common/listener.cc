// Opens listening sockets.

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
  const asio::ip::tcp::endpoint bind_endpoint(address, endpoint.port);
  acceptor.open(bind_endpoint.protocol(), error);
  if (!error) {
    acceptor.set_option(asio::socket_base::reuse_address(true), error);
  }
  if (!error) {
    acceptor.bind(bind_endpoint, error);
  }
  if (!error) {
    acceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  return error;
}

}  // namespace mimosagauge
