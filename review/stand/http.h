// Blocking HTTP/1.1 over loopback sockets, for the stand-ins of the review.

#ifndef REVIEW_STAND_HTTP_H_
#define REVIEW_STAND_HTTP_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace review {

/// \brief A message: its first line, its fields by lower-case name, its body.
struct HttpMessage {
  std::string first_line;
  std::map<std::string, std::string> fields;
  std::string body;

  [[nodiscard]] std::string Field(const std::string& name) const;
};

/// \brief One connection; owns the socket.
class Channel {
 public:
  explicit Channel(int socket) : socket_(socket) {}
  ~Channel();
  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;

  /// \brief Reads at most `size` bytes into the buffer.
  /// \returns The number of bytes; zero at the end, negative after a reset.
  std::int64_t ReadSome(std::size_t size = 65536);
  /// \returns A header and a body with a length; nothing if the channel ended.
  std::optional<HttpMessage> ReadMessage();
  /// \returns Only the first line and the fields.
  std::optional<HttpMessage> ReadHead();
  /// \returns False if the other side has closed.
  bool Write(const std::string& bytes);

  [[nodiscard]] std::string& buffer() { return buffer_; }
  [[nodiscard]] int socket() const { return socket_; }

 private:
  int socket_;
  std::string buffer_;
};

/// \returns A port that is free now, on the loopback address.
[[nodiscard]] std::uint16_t FreePort();

/// \brief Options of a client's socket that are set before it connects.
struct ConnectOptions {
  int receive_buffer = 0;   ///< Bytes; zero: the system's default.
  int segment = 0;          ///< Largest TCP segment; zero: the default.
  int receive_timeout = 0;  ///< Seconds; zero: none.
};

/// \returns A connected socket, or -1.
[[nodiscard]] int Connect(std::uint16_t port, const ConnectOptions& options);

/// \brief Serves each connection on a thread of its own until the process ends.
class Server {
 public:
  using Handler = std::function<void(Channel&)>;
  explicit Server(Handler handler);
  [[nodiscard]] std::uint16_t port() const { return port_; }

 private:
  Handler handler_;
  int listener_ = -1;
  std::uint16_t port_ = 0;
};

/// \returns Seconds since the start of the program, of the steady clock.
[[nodiscard]] double Now();

/// \brief Appends a line with the time to `record.txt`.
void Record(const std::string& line);
void OpenRecord(const std::string& file);

}  // namespace review

#endif  // REVIEW_STAND_HTTP_H_
