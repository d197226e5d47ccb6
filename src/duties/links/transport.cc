// The byte stream of a link.

#include "mimosagauge/impl/duties/links/transport.h"

#include <fmt/format.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <openssl/crypto.h>
#include <openssl/ssl.h>
#include <openssl/x509.h>
#include <openssl/x509v3.h>

#include <boost/asio/post.hpp>
#include <string>
#include <utility>

namespace mimosagauge {
namespace {

namespace ssl = boost::asio::ssl;

/// Limit, in bytes, of unsent data in the kernel, so that a small frame does
/// not wait there behind a long backlog.
constexpr int kUnsentLowWaterBytes = 128 * 1024;

[[nodiscard]] Error TlsFileError(const std::string& file,
                                 const boost::system::error_code& error) {
  return Error{ErrorKind::kInvalidSettings,
               fmt::format("cannot load {} as a TLS file for links: {}", file,
                           error.message()),
               "check link_tls in the settings and the file's permissions"};
}

void SetSocketOptions(LinkTransport::Socket& socket) {
  boost::system::error_code ignored;
  socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_NOTSENT_LOWAT,
               &kUnsentLowWaterBytes, sizeof(kUnsentLowWaterBytes));
}

[[nodiscard]] std::variant<LinkTransport::Socket, LinkTransport::TlsStream>
MakeStream(LinkTransport::Socket socket, const LinkTlsContextPtr& context) {
  using Stream = std::variant<LinkTransport::Socket, LinkTransport::TlsStream>;
  if (context == nullptr) {
    return Stream(std::in_place_index<0>, std::move(socket));
  }
  return Stream(std::in_place_index<1>, std::move(socket), *context);
}

[[nodiscard]] bool CertificateHasName(X509* certificate,
                                      const std::string& name) {
  char* matched = nullptr;
  const int found = X509_check_host(certificate, name.data(), name.size(),
                                    X509_CHECK_FLAG_NO_WILDCARDS, &matched);
  // X509_check_host ignores case, but instance names are case-sensitive.
  const bool same_case = found == 1 && matched != nullptr && name == matched;
  OPENSSL_free(matched);
  return same_case;
}

}  // namespace

Result<LinkTlsContextPtr> MakeLinkTlsContext(const LinkTlsSettings& settings) {
  auto context = std::make_shared<ssl::context>(ssl::context::tls);
  SSL_CTX_set_min_proto_version(context->native_handle(), TLS1_3_VERSION);
  // TLS sessions are not resumed, so each connection is authenticated anew.
  SSL_CTX_set_session_cache_mode(context->native_handle(), SSL_SESS_CACHE_OFF);
  SSL_CTX_set_num_tickets(context->native_handle(), 0);
  boost::system::error_code error;
  context->set_verify_mode(ssl::verify_peer | ssl::verify_fail_if_no_peer_cert,
                           error);
  context->load_verify_file(settings.authority_file, error);
  if (error) {
    return TlsFileError(settings.authority_file, error);
  }
  context->use_certificate_chain_file(settings.certificate_file, error);
  if (error) {
    return TlsFileError(settings.certificate_file, error);
  }
  context->use_private_key_file(settings.key_file, ssl::context::pem, error);
  if (error) {
    return TlsFileError(settings.key_file, error);
  }
  return context;
}

LinkTransport::LinkTransport(Socket socket, const LinkTlsContextPtr& context)
    : context_(context), stream_(MakeStream(std::move(socket), context)) {
  SetSocketOptions(this->socket());
}

LinkTransport::Socket& LinkTransport::socket() {
  if (auto* tls = std::get_if<TlsStream>(&stream_)) {
    return tls->next_layer();
  }
  return std::get<Socket>(stream_);
}

bool LinkTransport::is_encrypted() const noexcept {
  return std::holds_alternative<TlsStream>(stream_);
}

void LinkTransport::AsyncHandshake(LinkRole role, HandshakeHandler done) {
  if (auto* tls = std::get_if<TlsStream>(&stream_)) {
    tls->async_handshake(role == LinkRole::kDialing ? ssl::stream_base::client
                                                    : ssl::stream_base::server,
                         std::move(done));
    return;
  }
  boost::asio::post(socket().get_executor(), [done = std::move(done)] {
    done(boost::system::error_code());
  });
}

void LinkTransport::AsyncRead(const boost::asio::mutable_buffer& buffer,
                              TransferHandler done) {
  std::visit(
      [&](auto& stream) { stream.async_read_some(buffer, std::move(done)); },
      stream_);
}

void LinkTransport::AsyncWrite(const boost::asio::const_buffer& buffer,
                               TransferHandler done) {
  std::visit(
      [&](auto& stream) {
        boost::asio::async_write(stream, buffer, std::move(done));
      },
      stream_);
}

void LinkTransport::Close() {
  boost::system::error_code ignored;
  socket().shutdown(Socket::shutdown_both, ignored);
  socket().close(ignored);
}

bool LinkTransport::IsAuthenticatedAs(const InstanceId& instance) const {
  const auto* tls = std::get_if<TlsStream>(&stream_);
  if (tls == nullptr) {
    return true;
  }
  // The const_cast is needed because OpenSSL takes no pointer to const here.
  X509* certificate = SSL_get1_peer_certificate(
      const_cast<TlsStream*>(tls)->native_handle());  // NOLINT
  const bool is_authenticated =
      certificate != nullptr &&
      CertificateHasName(certificate, instance.value());
  X509_free(certificate);
  return is_authenticated;
}

}  // namespace mimosagauge
