// A limit and a check for HTTP connections to servers; shared by the store
// client, the operators' client and the connection pools of the upstreams.

#ifndef MIMOSAGAUGE_IMPL_STORE_HTTP_CONNECTION_H_
#define MIMOSAGAUGE_IMPL_STORE_HTTP_CONNECTION_H_

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>

namespace mimosagauge {

/// Largest number of bytes that a parser may leave unread in a buffer: a
/// header, a chunk size line or a trailer that has not ended.
inline constexpr std::size_t kMaxUnparsedBytes = 128UL * 1024;

/// \brief Checks whether a connection can be used for another request: that is
/// so if there is nothing to read on it. An end of file or unexpected bytes,
/// such as a second copy of an answer, mean that it must be closed.
/// \param socket A non-blocking socket without a pending read.
[[nodiscard]] bool HasNothingToRead(boost::asio::ip::tcp::socket& socket);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_STORE_HTTP_CONNECTION_H_
