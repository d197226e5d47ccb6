// The byte stream under a link: TLS 1.3 with certificates on both sides, or
// plain TCP on loopback addresses.

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
/// whose certificate the authority signed, or `kInvalidSettings`.
[[nodiscard]] Result<LinkTlsContextPtr> MakeLinkTlsContext(
    const LinkTlsSettings& settings);

/// \brief Which side of a link this process is.
enum class LinkRole : std::uint8_t {
  kDialing,    ///< Sends requests.
  kAccepting,  ///< Takes requests.
};

/// \brief A connected socket, with TLS when a context is given.
class LinkTransport {
 public:
  using Socket = boost::asio::ip::tcp::socket;
  using TlsStream = boost::asio::ssl::stream<Socket>;
  using Done = std::function<void(const boost::system::error_code&)>;
  using Transferred =
      std::function<void(const boost::system::error_code&, std::size_t)>;

  /// \param socket Connected.
  /// \param context Null: plain TCP.
  LinkTransport(Socket socket, const LinkTlsContextPtr& context);

  /// \brief Makes the TLS handshake; at once without TLS.
  void AsyncHandshake(LinkRole role, Done done);

  /// \brief Reads some bytes.
  void AsyncRead(const boost::asio::mutable_buffer& buffer, Transferred done);

  /// \brief Writes all bytes.
  void AsyncWrite(const boost::asio::const_buffer& buffer, Transferred done);

  /// \brief Closes the socket without waiting; pending operations end.
  void Close();

  /// \returns Whether the other side proved to be `instance`; always true
  /// without TLS. After the handshake.
  [[nodiscard]] bool ProvedToBe(const InstanceId& instance) const;

  /// \returns Whether the bytes are encrypted.
  [[nodiscard]] bool encrypted() const noexcept;

 private:
  [[nodiscard]] Socket& socket();

  LinkTlsContextPtr context_;  // Outlives the stream that refers to it.
  std::variant<Socket, TlsStream> stream_;
};

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DUTIES_LINKS_TRANSPORT_H_
