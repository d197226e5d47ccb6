// Peeks at the bytes that the kernel has received.

#include "mimosagauge/impl/store/http_connection.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>

namespace mimosagauge {

bool HasNothingToRead(boost::asio::ip::tcp::socket& socket) {
  char byte = 0;
  boost::system::error_code error;
  socket.receive(boost::asio::buffer(&byte, 1),
                 boost::asio::socket_base::message_peek, error);
  return error == boost::asio::error::would_block;
}

}  // namespace mimosagauge
