// Blocking sockets on loopback addresses, and the parts of HTTP/1.1 that the
// stand-ins need.

#ifndef REVIEW_STAND_2_NET_H_
#define REVIEW_STAND_2_NET_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// \param port The port of 127.0.0.1; zero: a free one, which is stored here.
/// \returns A listening socket, or -1.
int Listen(std::uint16_t& port);

/// \brief Finds free ports of 127.0.0.1, outside of the range from which the
/// kernel takes the ports of outgoing channels. No port is returned twice.
class FreePorts {
 public:
  ~FreePorts();
  std::uint16_t Next();
  /// \brief Lets the ports be used.
  void Release();

 private:
  std::random_device random_;
  std::vector<int> reserved_;
};

/// \returns A connected socket, or -1.
int ConnectTo(std::uint16_t port, milliseconds timeout);

/// \brief Closes the socket with a reset, as the kernel does for a process that
/// ended with unread data.
void ResetAndClose(int fd);

/// \returns Whether all bytes were written.
bool WriteAll(int fd, const std::string& text);

/// \brief Waits until the socket is readable.
/// \returns Whether it is.
bool WaitReadable(int fd, milliseconds timeout);

/// \brief The head and the body of one message. Names of fields are in lower
/// case.
struct Message {
  std::string first_line;
  std::map<std::string, std::string> fields;
  std::string body;

  [[nodiscard]] std::string Field(const std::string& name) const;
  /// \returns The word of the first line at this position.
  [[nodiscard]] std::string Word(std::size_t position) const;
};

/// \brief Reads messages and chunks from one socket.
class Reader {
 public:
  explicit Reader(int fd) : fd_(fd) {}

  /// \brief Reads the head of a message, without its body.
  std::optional<Message> ReadHead(Clock::time_point until);
  /// \brief Reads a head, and a body with Content-Length.
  std::optional<Message> ReadMessage(Clock::time_point until);
  /// \brief Reads one chunk of a chunked body.
  /// \returns The chunk, empty for the last one; nothing if the channel ended.
  std::optional<std::string> ReadChunk(Clock::time_point until);

 private:
  bool Fill(Clock::time_point until);
  std::optional<std::string> ReadLine(Clock::time_point until);

  int fd_;
  std::string buffer_;
};

}  // namespace review

#endif  // REVIEW_STAND_2_NET_H_
