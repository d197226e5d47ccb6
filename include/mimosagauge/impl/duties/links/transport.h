// The byte stream of a link: TLS 1.3 with certificates on both sides, or plain
// TCP on loopback addresses.

#ifndef MIMOSAGAUGE_IMPL_DUTIES_LINKS_TRANSPORT_H_
#define MIMOSAGAUGE_IMPL_DUTIES_LINKS_TRANSPORT_H_

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <boost/asio/write.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <variant>

#include "mimosagauge/impl/core/error.h"
#include "mimosagauge/impl/core/ids.h"
#include "mimosagauge/impl/settings/settings.h"

namespace mimosagauge {

using LinkTlsContextPtr = std::shared_ptr<boost::asio::ssl::context>;

/// \brief Reads the certificate, key and authority files.
/// \returns A context for both roles that accepts only TLS 1.3 and only peers
/// whose certificate the authority signed, or `kInvalidSettings` when a file
/// cannot be used.
[[nodiscard]] Result<LinkTlsContextPtr> MakeLinkTlsContext(
    const LinkTlsSettings& settings);

/// \brief Role of this process on a link.
enum class LinkRole : std::uint8_t {
  kDialing,    ///< Connects and sends requests.
  kAccepting,  ///< Accepts the connection and receives requests.
};

/// \brief A connected socket, with TLS when a context is given.
class LinkTransport {
 public:
  using Socket = boost::asio::ip::tcp::socket;
  using TlsStream = boost::asio::ssl::stream<Socket>;
  using HandshakeHandler =
      std::function<void(const boost::system::error_code&)>;
  using TransferHandler =
      std::function<void(const boost::system::error_code&, std::size_t)>;

  /// \param socket A connected socket.
  /// \param context TLS context; null for plain TCP.
  LinkTransport(Socket socket, const LinkTlsContextPtr& context);

  /// \brief Performs the TLS handshake. Without TLS, only posts `done`, without
  /// an error.
  void AsyncHandshake(LinkRole role, HandshakeHandler done);

  /// \brief Reads at least one byte; `done` gets the count.
  void AsyncRead(const boost::asio::mutable_buffer& buffer,
                 TransferHandler done);

  /// \brief Writes all bytes; `buffer` must stay valid until `done` is called.
  void AsyncWrite(const boost::asio::const_buffer& buffer,
                  TransferHandler done);

  /// \brief Closes the socket at once; pending operations end with an error.
  void Close();

  /// \returns Whether the certificate of the other side is for `instance`;
  /// always true without TLS. Call this after the handshake.
  [[nodiscard]] bool IsAuthenticatedAs(const InstanceId& instance) const;

  /// \returns Whether the stream uses TLS.
  [[nodiscard]] bool is_encrypted() const noexcept;

 private:
  [[nodiscard]] Socket& socket();

  LinkTlsContextPtr context_;  // Must outlive `stream_`, which refers to it.
  std::variant<Socket, TlsStream> stream_;
};

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DUTIES_LINKS_TRANSPORT_H_
