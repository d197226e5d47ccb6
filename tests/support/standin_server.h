// A small HTTP server for the stand-ins, which can also misbehave.

#ifndef TESTS_SUPPORT_STANDIN_SERVER_H_
#define TESTS_SUPPORT_STANDIN_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "mimosagauge/impl/core/endpoint.h"

namespace mimosagauge::testing {

using StandinRequest =
    boost::beast::http::request<boost::beast::http::string_body>;

class StandinServer;

/// \brief One connection: answers the request it was handed out with.
class StandinConnection
    : public std::enable_shared_from_this<StandinConnection> {
 public:
  StandinConnection(boost::asio::ip::tcp::socket socket, StandinServer& server);

  void Read();

  /// \brief Writes status and fields of a chunked answer.
  void Begin(unsigned status, const std::string& content_type);
  /// \brief Writes a chunk.
  void Chunk(std::string_view data);
  /// \brief Ends a chunked answer.
  void End();
  /// \brief Writes a whole answer.
  /// \param fields Further lines, each ended by CR LF.
  void Whole(unsigned status, const std::string& content_type,
             const std::string& body, const std::string& fields = "");
  /// \brief Closes after what was written before.
  void Close();
  /// \brief Resets the connection at once.
  void Reset();
  /// \brief Neither reads nor writes from now on; stays open.
  void GoSilent() noexcept { silent_ = true; }

  /// \brief Sets what is called when the client closes before the answer ends.
  void set_on_gone(std::function<void()> on_gone) {
    on_gone_ = std::move(on_gone);
  }

 private:
  void OnRequest();
  void Watch();
  void Send(std::string_view bytes);
  void Write();
  void Gone();

  boost::asio::ip::tcp::socket socket_;
  StandinServer& server_;
  boost::beast::flat_buffer buffer_;
  std::unique_ptr<
      boost::beast::http::request_parser<boost::beast::http::string_body>>
      parser_;
  std::string out_;
  std::string writing_;
  std::function<void()> on_gone_;
  bool head_only_ = false;
  bool watching_ = false;
  bool ended_ = false;    // The answer is queued whole.
  bool closing_ = false;  // Close once everything is written.
  bool closed_ = false;
  bool silent_ = false;
};

using StandinConnectionPtr = std::shared_ptr<StandinConnection>;

/// \brief Listens and hands out requests, all on one thread.
class StandinServer {
 public:
  using Handler =
      std::function<void(StandinRequest request, StandinConnectionPtr)>;

  /// Throws when the address cannot be had.
  StandinServer(boost::asio::io_context& io, const Endpoint& listen,
                Handler handler);

  [[nodiscard]] std::uint16_t port() const;
  /// \brief All connections that are open now go silent; new ones work.
  void SilenceOpenConnections();

  void Handle(StandinRequest request, StandinConnectionPtr connection) {
    handler_(std::move(request), std::move(connection));
  }

 private:
  void Accept();

  boost::asio::ip::tcp::acceptor acceptor_;
  Handler handler_;
  std::vector<std::weak_ptr<StandinConnection>> connections_;
};

}  // namespace mimosagauge::testing

#endif  // TESTS_SUPPORT_STANDIN_SERVER_H_
